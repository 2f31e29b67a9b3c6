package core

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// version1Fixture holds the values that version 1 stored, and messages that it encoded with gob,
// which only the tests of package peer use.
type version1Fixture struct {
	Keys []struct {
		Key   string          `json:"key"`
		Value json.RawMessage `json:"value"`
	} `json:"keys"`
	Gob map[string]string `json:"gob"`
}

func readVersion1Fixture(t *testing.T) (fixture version1Fixture) {
	t.Helper()
	b, err := os.ReadFile("testdata/version1.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(b, &fixture); err != nil {
		t.Fatal(err)
	}
	return fixture
}

// TestVersion1 checks that values stored by version 1, which had no pipelines, are read and written
// back unchanged. It guards against a renamed stored field.
func TestVersion1(t *testing.T) {
	var logged bytes.Buffer
	settings := newLeaderHarness(t).core.settings
	core := New(settings, second, rand.New(rand.NewPCG(1, 1)), slog.New(slog.NewTextHandler(&logged, &slog.HandlerOptions{Level: slog.LevelError})))
	var list StateListed
	want := map[string]json.RawMessage{}
	for i, k := range readVersion1Fixture(t).Keys {
		list.Changes = append(list.Changes, Change{Key: k.Key, Value: k.Value, Revision: uint64(i + 1)})
		want[k.Key] = k.Value
	}
	list.Revision = 100
	core.Step(second, list)
	if logged.Len() > 0 {
		t.Fatalf("got logged errors %q, want none", logged.String())
	}
	if core.membership.logEnabled() || core.membership.chunkTasks != jobstate.DefaultChunkSize {
		t.Errorf("got log enabled %v, %d tasks per chunk, want false and %d, as in the first format", core.membership.logEnabled(), core.membership.chunkTasks, jobstate.DefaultChunkSize)
	}
	same := func(key string, got []byte) {
		t.Helper()
		var b bytes.Buffer
		if err := json.Compact(&b, want[key]); err != nil || b.String() != string(got) {
			t.Errorf("%s: got encoded value %s, want %s", key, got, b.String())
		}
		delete(want, key)
	}
	for id, j := range core.cache.jobs {
		same(jobPrefix+id, jobstate.Record{Spec: j.Spec, SubmittedWall: j.SubmittedWall}.Encode(8000))
		for n := range j.NumChunks() {
			if j.Chunk(n).Revision != 0 {
				value, _ := j.BeginChunkWrite(n, 0)
				same(chunkKey(id, jobstate.ChunkRef{ChunkSize: j.ChunkSize(), Index: n}), value)
			}
		}
	}
	for id, end := range core.cache.ends.All() {
		same(endPrefix+id, encodeJSON(end))
	}
	same(LeaderKey, encodeJSON(core.cache.leader))
	same(tokenKey, encodeJSON(core.cache.token))
	same(partitionsKey, encodeJSON(core.cache.partitions))
	same(typesKey, encodeJSON(core.cache.machineTypes))
	for key, value := range core.cache.imageHints {
		var hints hintsRecord
		if err := json.Unmarshal(value, &hints); err != nil {
			t.Error(err)
		}
		same(key, encodeJSON(hints))
	}
	if len(want) > 0 {
		t.Errorf("got values that were not read: %v, want none", want)
	}
}

// TestInterruptedChunkSplit stores progress in the first format, splits the chunks, and stops
// after each single write. What is then read must not depend on the order in which the values are
// read, must not lose one of the first 50 tasks, and must be the whole progress after the last
// write.
func TestInterruptedChunkSplit(t *testing.T) {
	spec := &jobstate.Spec{ID: "j", Kind: jobstate.Array, Tasks: 300}
	state := func(j *jobstate.Job) string {
		var b strings.Builder
		for i := range j.Tasks {
			task := j.Task(i)
			switch {
			case task.Done:
				b.WriteByte('d')
			case task.Machine != "":
				b.WriteString(task.Machine)
			default:
				b.WriteByte('.')
			}
		}
		return b.String()
	}
	type value struct {
		key      jobstate.ChunkRef
		bytes    []byte
		revision uint64
	}
	j := jobstate.NewJob(spec)
	var values []value
	revision := uint64(1)
	write := func(n int, seq uint64) {
		v, version := j.BeginChunkWrite(n, seq)
		revision++
		j.CommitChunkWrite(n, version, revision)
		values = append(values, value{jobstate.ChunkRef{ChunkSize: j.ChunkSize(), Index: n}, v, revision})
	}
	for i := range 200 {
		j.PlaceTask(i, "a", 1, 1)
	}
	write(0, 0)
	j.SetDone(299, 1)
	write(1, 0)
	for i := range 50 {
		j.UnplaceTask(i, 2)
		j.SetDone(i, 2)
	}
	j.PlaceTask(250, "b", 2, 2)
	for _, chunkSize := range []int{64, 16} {
		j.SplitChunks(chunkSize)
		if dirty := j.DirtyChunks(); chunkSize == 64 && len(dirty) != 4 {
			t.Fatalf("got chunks %v to be written after the split, want 4", dirty)
		}
		for _, n := range j.DirtyChunks() {
			write(n, 0)
		}
		j.SetDone(100, 3)
		j.UnplaceTask(100, 3)
	}
	for _, n := range j.DirtyChunks() {
		write(n, 0)
	}
	whole := state(j)
	// Reading the values in the order of the writes and in reverse must give the same state.
	for written := 2; written <= len(values); written++ {
		read := func(order func(i int) int) *jobstate.Job {
			loaded := jobstate.NewJob(spec)
			for i := range written {
				stored := values[order(i)]
				if err := loaded.LoadChunk(stored.key, stored.bytes, stored.revision, 1); err != nil {
					t.Fatal(err)
				}
			}
			return loaded
		}
		inOrder, reversed := read(func(i int) int { return i }), read(func(i int) int { return written - 1 - i })
		if state(inOrder) != state(reversed) || inOrder.NumPlaced != reversed.NumPlaced || inOrder.NumDone != reversed.NumDone || inOrder.NextAttempt() != reversed.NextAttempt() {
			t.Errorf("after %d writes: got state %s read in order, %s read in reverse, want the same", written, state(inOrder), state(reversed))
		}
		if strings.Contains(state(inOrder)[:50], ".") {
			t.Errorf("after %d writes: got state %s, want none of the first 50 tasks lost", written, state(inOrder))
		}
		if written == len(values) && state(inOrder) != whole {
			t.Errorf("after all writes: got state %s, want %s", state(inOrder), whole)
		}
	}
}

// TestLogReplay combines chunk values with log entries and checks that the newest log entry of a
// task takes effect unless its chunk is newer, whether the job is read before or after them.
func TestLogReplay(t *testing.T) {
	entry := func(i int, done bool, machine string) jobstate.LogEntry {
		return jobstate.LogEntry{Job: "j", Task: i, Done: done, Machine: machine, Attempt: 1}
	}
	page := func(base uint64, entries ...jobstate.LogEntry) []byte {
		p := jobstate.LogPage{FirstSeq: base, Entries: entries}
		return p.Encode()
	}
	record := jobstate.Record{Spec: &jobstate.Spec{ID: "j", Kind: jobstate.Array, Tasks: 4}}.Encode(8000)
	chunk := func(seq uint64, place map[int]string, done ...int) []byte {
		j := jobstate.NewJob(&jobstate.Spec{ID: "j", Kind: jobstate.Array, Tasks: 4})
		for _, i := range done {
			j.SetDone(i, 1)
		}
		for i, m := range place {
			j.PlaceTask(i, m, 1, 1)
		}
		value, _ := j.BeginChunkWrite(0, seq)
		return value
	}
	run, p1, p2 := runPrefix+"j/0", pageKey(1), pageKey(2)
	cases := []struct {
		name    string
		changes []Change
		want    string
	}{
		{"log only", []Change{{Key: p1, Value: page(0, entry(0, false, "a"), entry(0, true, "")), Revision: 2}}, "d..."},
		{"page with a later entry", []Change{{Key: p1, Value: page(0, entry(0, false, "a")), Revision: 2}, {Key: p1, Value: page(0, entry(0, false, "a"), entry(1, false, "b")), Revision: 3}}, "ab.."},
		{"chunk newer than the log", []Change{{Key: p1, Value: page(0, entry(0, false, "a")), Revision: 2}, {Key: run, Value: chunk(1, nil, 0), Revision: 3}}, "d..."},
		{"chunk older than the log", []Change{{Key: run, Value: chunk(1, map[int]string{0: "a"}), Revision: 2}, {Key: p1, Value: page(1, entry(0, true, "")), Revision: 3}}, "d..."},
		{"chunk read after a newer page", []Change{{Key: p1, Value: page(0, entry(0, false, "a"), entry(1, false, "b")), Revision: 4}, {Key: run, Value: chunk(1, map[int]string{0: "a"}), Revision: 3}}, "ab.."},
		{"two pages, the first one removed", []Change{
			{Key: p1, Value: page(0, entry(0, false, "a")), Revision: 2},
			{Key: run, Value: chunk(1, map[int]string{0: "a"}), Revision: 3},
			{Key: p2, Value: page(1, entry(3, false, "c")), Revision: 4},
			{Key: p1, Removed: true, Revision: 5},
		}, "a..c"},
	}
	for _, tc := range cases {
		for _, order := range []string{"job first", "job last"} {
			core := New(newLeaderHarness(t).core.settings, second, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
			job := Change{Key: jobPrefix + "j", Value: record, Revision: 1}
			var rows []Change
			if order == "job first" {
				rows = []Change{job}
			}
			core.Step(second, StateListed{Changes: rows, Revision: 1})
			for _, change := range tc.changes {
				core.cache.apply(change)
			}
			if order == "job last" {
				core.cache.apply(job)
			}
			got := ""
			for i := range 4 {
				switch task := core.cache.jobs["j"].Task(i); {
				case task.Done:
					got += "d"
				case task.Machine != "":
					got += task.Machine
				default:
					got += "."
				}
			}
			if got != tc.want {
				t.Errorf("%s, %s: got state %s, want %s", tc.name, order, got, tc.want)
			}
		}
	}
}

// TestLogPageSizeLimit checks that pages filled with entries of all lengths stay within the limit.
// A page above the limit would be rejected each time that it is written, and block all writes.
func TestLogPageSizeLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	name := func(size int) string {
		b := make([]byte, 1+rng.IntN(size))
		for i := range b {
			b[i] = byte('a' + rng.IntN(26))
		}
		return string(b)
	}
	for range 200 {
		limit := 500 + rng.IntN(8000)
		page := &logPage{LogPage: jobstate.LogPage{FirstSeq: rng.Uint64()}, uncompactedChunks: map[chunkRef]struct{}{}, newest: map[taskRef]int{}, names: map[string]struct{}{}, size: 80}
		maxNameLength := 1 + rng.IntN(60)
		rejected := 0
		for rejected < 5 {
			var entries []jobstate.LogEntry
			for range 1 + rng.IntN(40) {
				entry := jobstate.LogEntry{Job: name(maxNameLength), Task: rng.IntN(jobstate.MaxTasks), Done: rng.IntN(2) == 0, Attempt: rng.Uint32() >> (1 + rng.IntN(31))}
				if rng.IntN(3) > 0 {
					entry.Machine = "host-" + name(maxNameLength)
				}
				entries = append(entries, entry)
			}
			if !page.append(chunkRef{}, entries, limit) {
				rejected++
			}
			if size := len(page.Encode()); size > limit {
				t.Fatalf("got a page of %d bytes with %d entries, want at most %d bytes", size, len(page.Entries), limit)
			}
		}
		decoded, err := jobstate.DecodeLogPage(page.Encode())
		if err != nil || decoded.FirstSeq != page.FirstSeq || !slices.Equal(decoded.Entries, page.Entries) {
			t.Fatalf("got decoded page %+v, error %v, want %+v", decoded, err, page.LogPage)
		}
	}
}
