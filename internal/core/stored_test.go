package core

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/upgrade"
	"github.com/zinclb/zinclb/internal/golden"
)

// storedFile contains the values as commit 63ef244 stores them.
const storedFile = "testdata/stored_63ef244.json"

// storedRow is an entry of storedFile.
type storedRow struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// fullSpec returns a job spec with every field set.
func fullSpec(id string, kind jobstate.Kind, priority int) *jobstate.Spec {
	return &jobstate.Spec{
		ID: id, Class: "train", Team: "t", Kind: kind, Priority: priority, Tasks: 300, Need: jobstate.Resources{CPU: 1500, GPU: 2000, Mem: 4250},
		Types: []string{"big", "small"}, Zone: "a", OneZone: true, Spread: true, Spot: true, Image: "img/a<b>&c", ImageMB: 2048, Estimate: 90 * second,
		Checkpoint: 30 * second, Save: 2 * second, Deadline: 600 * second, Dependencies: []string{"j-0", "j-1"}, Sweep: "s", Run: 7,
	}
}

// storedRunSets returns a set of runs that is encoded as bits and one that is encoded as ranges.
func storedRunSets() (few, many *roaring.Bitmap) {
	few, many = roaring.BitmapOf(1, 3, 17), roaring.New()
	many.AddRange(20, 9000)
	return few, many
}

// storedValues returns the stored values that are encoded structures, by key. Each kind of
// structure occurs, and each of its fields is set in at least one value.
func storedValues() map[string]any {
	few, many := storedRunSets()
	long := fullSpec("j-brief", jobstate.Service, jobstate.Production)
	long.Image = strings.Repeat("x", 900)
	var brief jobstate.Record
	if err := json.Unmarshal((jobstate.Record{Spec: long, Arrival: 6, Outcome: jobstate.Cancelled, SubmittedWall: 1_700_000_000_000_006}).Encode(800), &brief); err != nil {
		panic(err) // impossible for a value encoded above
	}
	values := map[string]any{
		jobPrefix + "j-least": jobstate.Record{Spec: &jobstate.Spec{ID: "j-least", Class: "c", Team: "t", Kind: jobstate.Array, Tasks: 300, Need: jobstate.Resources{CPU: 1}}},
		jobPrefix + "j-full":  jobstate.Record{Spec: fullSpec("j-full", jobstate.Array, jobstate.Idle), Arrival: 3, SubmittedWall: 1_700_000_000_000_003},
		jobPrefix + "j-done":  jobstate.Record{Spec: fullSpec("j-done", jobstate.Gang, jobstate.Normal), Arrival: 4, Outcome: jobstate.Done, SubmittedWall: 1_700_000_000_000_004},
		jobPrefix + "j-ended": jobstate.Record{Spec: fullSpec("j-ended", jobstate.Service, jobstate.Urgent), Arrival: 5, Outcome: jobstate.Cancelled, SubmittedWall: 1_700_000_000_000_005},
		jobPrefix + "j-brief": brief,
		endPrefix + "e-first": jobstate.End{Outcome: jobstate.Done, Tasks: 3},
		endPrefix + "e-done":  jobstate.End{Outcome: jobstate.Done, Tasks: 3, At: 1_700_000_000_000_001},
		endPrefix + "e-ended": jobstate.End{Outcome: jobstate.Cancelled, Tasks: 4, At: 1_700_000_000_000_002},
		LeaderKey:             leaderRecord{Name: "n1", Incarnation: "b1", Token: 5, Lease: 9},
		tokenKey:              tokenRecord{Token: 5},
		typesKey: []fleet.Type{
			{Name: "big", Cap: jobstate.Resources{CPU: 64000, GPU: 8000, Mem: 256000}, FetchRate: 500, CacheMB: 50000, Price: 12.5, SpotPrice: 4.25, Boot: 30 * second, Zones: []string{"a", "b"}},
			{Name: "small"},
		},
		typesKey + "/1":             []fleet.Type{{Name: "small", Cap: jobstate.Resources{CPU: 8000, Mem: 32000}, FetchRate: 250, CacheMB: 10000, Price: 1, SpotPrice: 0.5, Boot: 8 * second, Zones: []string{"a"}}},
		partitionsKey:               fleet.Partitions{Boundaries: []uint32{1 << 30, 1<<32 - 1}, Holders: []string{"n0", "n1"}, LeaseDuration: 10 * second, FencingToken: 5, Seq: 77},
		hintsKey + "/0":             hintsRecord{Of: 2, Images: []hintImage{{Name: "img", MB: 512}, {Name: "other", MB: 1}}, Machines: map[string]uint64{"host-000001": 3, "host-000002": 1 << 62}, Sources: []*jobstate.Spec{fullSpec("j-source", jobstate.Gang, jobstate.Urgent)}},
		hintsKey + "/1":             hintsRecord{Of: 2},
		formatKey:                   formatRecord{Version: 3, Tasks: 64},
		memberPrefix + "n1":         upgrade.Advertisement{Format: 3, Incarnation: "b1", Program: 5, OldestFormat: 1, Features: []upgrade.FeatureName{upgrade.ProgressLog, upgrade.Sweeps}, Withheld: []upgrade.FeatureName{upgrade.Connectivity, upgrade.SharedReads}},
		memberPrefix + "n2":         upgrade.Advertisement{Format: 2, Incarnation: "b2"},
		featuresKey:                 featuresRecord{On: []upgrade.StoredFeature{{Name: "alien", Required: false}, {Name: upgrade.Connectivity}, {Name: upgrade.SharedReads, Required: true}}},
		decommissionedPrefix + "n3": decommissionedRecord{At: 1_700_000_000_000_007},
		connectivityPrefix + "n1":   connectivity.Advertisement{Incarnation: "b1", ReachableEighths: map[string]int{"a": 8, "b": 0}, Peers: []string{"n0", "n2"}, Cloud: true, Flapping: true},
		connectivityPrefix + "n2":   connectivity.Advertisement{},

		sweepPrefix + "s":                                 sweepHead{Runs: 9000, Parts: 2, MaxUnfinished: 100, Digest: "0123456789abcdef", Submitted: 1_700_000_000_000_008},
		sweepPrefix + "s/0":                               "KLUv/QQAaQAAaWQ6ICJzIg",
		sweepPrefix + "s/1":                               "second/part+",
		sweepPositionPrefix + "s":                         sweepPosition{Next: 9000, Open: encodeRunSet(few), Closed: true},
		sweepPositionPrefix + "new":                       sweepPosition{Next: 1},
		sweepPositionPrefix + "s" + cancelledRunsSuffix:   cancelledRuns{Runs: encodeRunSet(many)},
		sweepPositionPrefix + "new" + cancelledRunsSuffix: cancelledRuns{Runs: encodeRunSet(few)},
		sweepEndPrefix + "s":                              sweepEndRecord{Outcome: jobstate.Done, At: 1_700_000_000_000_009},
		sweepEndPrefix + "ended":                          sweepEndRecord{Outcome: jobstate.Cancelled, At: 1_700_000_000_000_010},
	}
	return values
}

// storedChunk is a chunk of a job's progress, with the changes that produce it.
type storedChunk struct {
	job   string
	ref   jobstate.ChunkRef
	seq   uint64
	apply func(j *jobstate.Job)
}

// storedChunks returns a stored chunk of each form.
func storedChunks() []storedChunk {
	return []storedChunk{
		// In this order: a chunk of the first format, without the sequence number of a log
		// entry; the last chunk of a job, which has fewer tasks; a chunk with a sequence
		// number; and smaller chunks with a sequence number.
		{"j-least", jobstate.ChunkRef{ChunkSize: 256, Index: 0}, 0, func(j *jobstate.Job) {
			j.SetTrialDone(1)
			j.PlaceTask(0, "host-000001", 3, 1)
			j.PlaceTask(255, "host-000001", 4, 1)
			j.PlaceTask(8, "host-000002", 5, 1)
			j.SetDone(8, 1)
			j.SetDone(9, 1)
		}},
		{"j-least", jobstate.ChunkRef{ChunkSize: 256, Index: 1}, 0, func(j *jobstate.Job) { j.SetDone(299, 1) }},
		{"j-full", jobstate.ChunkRef{ChunkSize: 256, Index: 0}, 41, func(j *jobstate.Job) { j.PlaceTask(7, "host-000003", 2, 1); j.SetTrialDone(1) }},
		{"j-full", jobstate.ChunkRef{ChunkSize: 64, Index: 1}, 42, func(j *jobstate.Job) { j.PlaceTask(64, "host-000003", 6, 1); j.SetDone(127, 1) }},
		{"j-done", jobstate.ChunkRef{ChunkSize: 64, Index: 0}, 43, func(j *jobstate.Job) { j.PlaceTask(0, "host-000001", 1, 1); j.UnplaceTask(0, 1) }},
		{"j-done", jobstate.ChunkRef{ChunkSize: 1, Index: 299}, 44, func(j *jobstate.Job) { j.SetDone(299, 1) }},
	}
}

func (s storedChunk) key() string { return chunkKey(s.job, s.ref) }

// chunk returns the job without progress, split into chunks of the stored size.
func (s storedChunk) chunk() *jobstate.Job {
	j := jobstate.NewJob(&jobstate.Spec{ID: s.job, Tasks: 300})
	j.SplitChunks(s.ref.ChunkSize)
	return j
}

// storedPages returns the stored pages of the progress log, by key.
func storedPages() map[string]jobstate.LogPage {
	return map[string]jobstate.LogPage{
		pageKey(12): {FirstSeq: 41, Entries: []jobstate.LogEntry{
			{Job: "j-full", Task: 299, Machine: "host-000012", Attempt: 9},
			{Job: "j-least", Task: 100, Done: true, Machine: "host-000013", Attempt: 3},
			{Job: "j-full", Task: 298, Done: true, Attempt: 8},
			{Job: "j-full", Task: 297},
			{Job: "j-full", Task: 296, Machine: "host-000012", Attempt: 10},
		}},
		pageKey(13): {FirstSeq: 46, Entries: []jobstate.LogEntry{}},
	}
}

// encodeStoredFile returns the contents of storedFile as the current code encodes them.
func encodeStoredFile() string {
	all := map[string][]byte{}
	for key, value := range storedValues() {
		all[key] = encodeJSON(value)
	}
	for _, stored := range storedChunks() {
		j := stored.chunk()
		stored.apply(j)
		all[stored.key()], _ = j.BeginChunkWrite(stored.ref.Index, stored.seq)
	}
	for key, page := range storedPages() {
		all[key] = page.Encode()
	}
	var lines []string
	for _, key := range sortedKeys(all) {
		lines = append(lines, string(encodeJSON(storedRow{key, all[key]})))
	}
	return "[\n" + strings.Join(lines, ",\n") + "\n]\n"
}

// readStoredFile returns the entries of storedFile in their order, and their values by key.
func readStoredFile(t *testing.T) (rows []storedRow, values map[string][]byte) {
	t.Helper()
	b, err := os.ReadFile(storedFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(b, &rows); err != nil {
		t.Fatal(err)
	}
	values = map[string][]byte{}
	for _, r := range rows {
		values[r.Key] = r.Value
	}
	return rows, values
}

// TestStored checks that every kind of stored value is read as commit 63ef244 wrote it, and
// written with the same bytes under the same key.
func TestStored(t *testing.T) {
	golden.Compare(t, storedFile, encodeStoredFile())
	_, rawValues := readStoredFile(t)
	take := func(key string) []byte {
		t.Helper()
		if rawValues[key] == nil {
			t.Fatalf("%s: got no recorded value, want one", key)
		}
		defer delete(rawValues, key)
		return rawValues[key]
	}
	same := func(key string, raw, got []byte) {
		t.Helper()
		if !bytes.Equal(raw, got) {
			t.Errorf("%s: got encoded value %s, want %s", key, got, raw)
		}
	}
	for key, want := range storedValues() {
		raw := take(key)
		got := reflect.New(reflect.TypeOf(want))
		decoder := json.NewDecoder(bytes.NewReader(raw))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(got.Interface()); err != nil || !reflect.DeepEqual(got.Elem().Interface(), want) {
			t.Errorf("%s: got decoded value %+v, error %v, want %+v", key, got.Elem().Interface(), err, want)
		}
		same(key, raw, encodeJSON(got.Elem().Interface()))
		same(key, raw, encodeJSON(want))
	}
	for _, stored := range storedChunks() {
		raw := take(stored.key())
		got, want := stored.chunk(), stored.chunk()
		stored.apply(want)
		if err := got.LoadChunk(stored.ref, raw, 5, 1); err != nil {
			t.Errorf("%s: got error %v from loading the chunk, want none", stored.key(), err)
		}
		for i := range want.Tasks {
			// The attempt of a task that has no machine is not stored.
			gotTask, wantTask := got.Task(i), want.Task(i)
			if gotTask.Machine != wantTask.Machine || gotTask.Done != wantTask.Done || gotTask.Machine != "" && gotTask.Attempt != wantTask.Attempt {
				t.Errorf("%s: got task %d %+v, want %+v", stored.key(), i, gotTask, wantTask)
			}
		}
		if got.TrialDone != want.TrialDone || got.FirstUnstoredSeq(stored.ref.Index) != stored.seq || got.NextAttempt() != want.NextAttempt() || got.ChunkRevision(stored.ref) != 5 {
			t.Errorf("%s: got trial done %v, first unstored sequence number %d, next attempt %d, revision %d, want %v, %d, %d, 5", stored.key(), got.TrialDone, got.FirstUnstoredSeq(stored.ref.Index), got.NextAttempt(), got.ChunkRevision(stored.ref), want.TrialDone, stored.seq, want.NextAttempt())
		}
		for _, j := range []*jobstate.Job{got, want} {
			value, _ := j.BeginChunkWrite(stored.ref.Index, stored.seq)
			same(stored.key(), raw, value)
		}
		if id, ref, err := parseChunkKey(strings.TrimPrefix(stored.key(), runPrefix)); id != stored.job || ref != stored.ref || err != nil {
			t.Errorf("%s: got parsed key %s %+v, error %v, want %s %+v", stored.key(), id, ref, err, stored.job, stored.ref)
		}
	}
	for key, want := range storedPages() {
		raw := take(key)
		got, err := jobstate.DecodeLogPage(raw)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got decoded page %+v, error %v, want %+v", key, got, err, want)
		}
		same(key, raw, got.Encode())
	}
	for key := range rawValues {
		t.Errorf("%s: got a recorded value that this test does not read, want none", key)
	}
}

// TestStoredSets checks that sets of runs are decoded and encoded in both forms: as bits, and as
// ranges of numbers.
func TestStoredSets(t *testing.T) {
	few, many := storedRunSets()
	for text, want := range map[string]*roaring.Bitmap{"bCgAC": few, storedValues()[sweepPositionPrefix+"s"+cancelledRunsSuffix].(cancelledRuns).Runs: many} {
		if got, err := decodeRunSet(text); err != nil || !got.Equals(want) || encodeRunSet(got) != text {
			t.Errorf("%s: got set %v, error %v, want %v, which is encoded as %s", text, got, err, want, encodeRunSet(want))
		}
	}
}

// TestStoredAreRead checks that a controller that lists all stored values logs no error and has
// their contents in its state cache.
func TestStoredAreRead(t *testing.T) {
	var logged bytes.Buffer
	settings := newLeaderHarness(t).core.settings
	settings.Peers = []string{"n1", "n2", "n3"}
	settings.Ops.Sweeps = true
	core := New(settings, second, rand.New(rand.NewPCG(1, 1)), slog.New(slog.NewTextHandler(&logged, &slog.HandlerOptions{Level: slog.LevelError})))
	rows, rawValues := readStoredFile(t)
	list := StateListed{Revision: 100}
	for i, r := range rows {
		if !slices.ContainsFunc(StartPrefixes, func(p string) bool { return strings.HasPrefix(r.Key, p) }) && !strings.HasPrefix(r.Key, endPrefix) {
			t.Errorf("%s: got a key that is not listed at startup, want it under one of StartPrefixes", r.Key)
		}
		list.Changes = append(list.Changes, Change{Key: r.Key, Value: r.Value, Revision: uint64(i + 1)})
	}
	core.Step(second, list)
	if logged.Len() > 0 || !core.cache.synced {
		t.Fatalf("got synced %v, logged errors %q, want true and no errors", core.cache.synced, logged.String())
	}
	done, _ := core.cache.ends.Get("e-done")
	ended, _ := core.cache.ends.Get("e-ended")
	for key, got := range map[string]any{
		LeaderKey: core.cache.leader, tokenKey: core.cache.token, partitionsKey: core.cache.partitions, formatKey: core.membership.format,
		endPrefix + "e-done": done, endPrefix + "e-ended": ended, sweepPrefix + "s": core.sweepManager.sweeps["s"].head,
		memberPrefix + "n1": core.membership.activation.Advertisements()["n1"], memberPrefix + "n2": core.membership.activation.Advertisements()["n2"], hintsKey + "/0": json.RawMessage(core.cache.imageHints[hintsKey+"/0"]),
	} {
		if !bytes.Equal(rawValues[key], encodeJSON(got)) {
			t.Errorf("%s: got value %s, want %s", key, encodeJSON(got), rawValues[key])
		}
	}
	if len(core.cache.machineTypes) != 2 || core.cache.machineTypes[1].Cap.CPU != 8000 || len(core.cache.progressLog) != 2 || core.membership.chunkTasks != 64 || !core.sweepManager.enabled() || !core.membership.activation.Enabled(upgrade.SharedReads) {
		t.Errorf("got machine types %+v, %d log pages, %d tasks per chunk, features %+v, want 2 types, the second with 8000 milli-CPUs, 2 pages, 64 tasks, sweeps and shared reads enabled", core.cache.machineTypes, len(core.cache.progressLog), core.membership.chunkTasks, core.membership.activation.FeatureStates())
	}
	for id, outcome := range map[string]string{"j-least": "", "j-full": "", "j-done": jobstate.Done, "j-ended": jobstate.Cancelled, "j-brief": jobstate.Cancelled} {
		j := core.cache.jobs[id]
		if j == nil || j.Outcome() != outcome || j.Truncated != (id == "j-brief") {
			t.Errorf("job %s: got %+v, want outcome %q, truncated %v", id, j, outcome, id == "j-brief")
			continue
		}
		record := jobstate.Record{Spec: j.Spec, Arrival: j.Arrival, Outcome: j.Outcome(), SubmittedWall: j.SubmittedWall, Truncated: j.Truncated}
		if id == "j-least" {
			record.Arrival = 0 // not stored; defaults to the revision of the value
		}
		if key := jobPrefix + id; !bytes.Equal(rawValues[key], encodeJSON(record)) {
			t.Errorf("%s: got record %s, want %s", key, encodeJSON(record), rawValues[key])
		}
	}
	for _, want := range []struct {
		job     string
		task    int
		machine string
		attempt uint32
		done    bool
	}{
		{"j-least", 255, "host-000001", 4, false},
		{"j-least", 9, "", 0, true},
		{"j-least", 100, "host-000013", 3, true},
		{"j-full", 7, "host-000003", 2, false},
		{"j-full", 64, "host-000003", 6, false},
		{"j-full", 299, "host-000012", 9, false},
		{"j-full", 298, "", 8, true},
	} {
		if got := core.cache.jobs[want.job].Task(want.task); got.Machine != want.machine || got.Attempt != want.attempt || got.Done != want.done {
			t.Errorf("task %s/%d: got %+v, want %+v", want.job, want.task, got, want)
		}
	}
}

// TestStoredFields checks that each field of a stored type has an explicit JSON name, so that the
// Go field can be renamed, and that it is recorded with a non-zero value.
func TestStoredFields(t *testing.T) {
	seen := map[string]bool{}
	var walk func(v reflect.Value)
	walk = func(v reflect.Value) {
		switch v.Kind() {
		case reflect.Pointer:
			if !v.IsNil() {
				walk(v.Elem())
			}
		case reflect.Slice:
			for i := range v.Len() {
				walk(v.Index(i))
			}
		case reflect.Struct:
			for i := range v.NumField() {
				f := v.Type().Field(i)
				name := v.Type().String() + "." + f.Name
				if tag, _, _ := strings.Cut(f.Tag.Get("json"), ","); tag == "" || f.Anonymous {
					t.Errorf("field %s: got no JSON name, want one", name)
				}
				seen[name] = seen[name] || !v.Field(i).IsZero()
				walk(v.Field(i))
			}
		}
	}
	for _, v := range storedValues() {
		walk(reflect.ValueOf(v))
	}
	for name, recorded := range seen {
		if !recorded {
			t.Errorf("field %s: got only zero values recorded, want at least one other value", name)
		}
	}
	if len(seen) < 60 {
		t.Errorf("got %d stored fields, want at least 60", len(seen))
	}
}
