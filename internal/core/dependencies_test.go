package core

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
)

// harness is a core with a small state service that answers at once.
type harness struct {
	t        *testing.T
	core     *Core
	now      int64
	revision uint64
	keys     map[string]Change
	// unavailable: nothing is answered but views and leases; most bytes and writes
	// that it takes, and what it has refused.
	unavailable      bool
	maxValue, maxOps int
	rejected         int
	unreachable      map[string]bool
	replies          map[uint64]Reply
	lastRequest      uint64
	// watchLags: changes are not told to the core, as to one whose watch lags.
	watchLags bool
	// losesAnswers: transactions are carried out, and not answered. reads counts what was
	// asked of single keys and what only compares; so many more are refused.
	losesAnswers         bool
	reads, readsToRefuse int
	// delaysCommits: transactions are carried out when they are taken from later.
	delaysCommits  bool
	delayedCommits []CommitTransaction
}

// refusesRead says whether a read is refused for its rate.
func (s *harness) refusesRead() bool {
	s.reads++
	s.readsToRefuse--
	return s.readsToRefuse >= 0
}

func (s *harness) store(key string, v any) {
	s.revision++
	s.keys[key] = Change{Key: key, Value: encodeJSON(v), Revision: s.revision}
}

func job(id string, awaits ...string) jobstate.Record {
	return jobstate.Record{Spec: &jobstate.Spec{ID: id, Class: "c", Team: "t", Kind: jobstate.Array, Tasks: 1, Need: jobstate.Resources{CPU: 1000}, Estimate: 10 * second, Dependencies: awaits}, SubmittedWall: 1}
}

func newHarness(t *testing.T, keys map[string]any) *harness {
	s := &harness{t: t, now: second, keys: map[string]Change{}, maxValue: 8192, maxOps: 12, unreachable: map[string]bool{}, replies: map[uint64]Reply{}}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		s.store(k, keys[k])
	}
	s.store(typesKey, []fleet.Type{{Name: "c", Cap: jobstate.Resources{CPU: 1000, Mem: 1000}, Zones: []string{"a"}}})
	set := Settings{Name: "n0", Incarnation: "b", Ops: config.Defaults()}
	set.Size, set.Zones, set.Teams = 1, []string{"a"}, []config.Team{{Name: "t"}}
	set.Workers.ReportS, set.Workers.LeaseS, set.Workers.CancelS = 2, 16, 36
	set.State.RPS, set.State.WriteRPS, set.State.ValueKB, set.State.TxnOps = 100, 100, 8, 12
	set.Cloud.RPS = 1
	s.core = New(set, s.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	s.listState()
	return s
}

// listState tells the core all that is stored, in the order of keys as the state
// service does: parts of a value that was too long come after the whole one
// which they replace.
func (s *harness) listState() {
	l := StateListed{Revision: s.revision}
	for _, p := range StartPrefixes {
		for _, k := range slices.Sorted(maps.Keys(s.keys)) {
			if strings.HasPrefix(k, p) {
				l.Changes = append(l.Changes, s.keys[k])
			}
		}
	}
	s.step(l)
}

func (s *harness) advance(d int64) {
	for end := s.now + d; s.now < end; {
		s.now += 50_000
		s.step(Tick{TimeOfDay: s.now + 1_000_000*second})
	}
}

func (s *harness) step(msg any) {
	for _, e := range s.core.Step(s.now, msg) {
		switch e := e.(type) {
		case Reply:
			s.replies[e.RequestID] = e
		case GrantLease:
			s.step(LeaseGranted{Lease: 9, SentAt: s.now})
		case RenewLease:
			s.step(LeaseRenewed{Lease: e.Lease, SentAt: s.now})
		case ReadState:
			s.readState(StateRead{AfterRevision: e.AfterRevision, SentAt: s.now, Immediate: true, ForRequests: e.ForRequests})
		case ReadKey:
			if s.refusesRead() || s.unavailable || s.unreachable[e.Key] {
				s.step(KeyRead{ID: e.ID, Key: e.Key, Err: errors.New("no answer")})
				continue
			}
			k := s.keys[e.Key]
			s.step(KeyRead{ID: e.ID, Key: e.Key, Value: k.Value, Revision: k.Revision})
		case CommitTransaction:
			s.commit(e)
		}
	}
}

// readState answers a watch or a view with all that is newer.
func (s *harness) readState(w StateRead) {
	w.Revision = s.revision
	for _, ch := range s.keys {
		if ch.Revision > w.AfterRevision {
			w.Changes = append(w.Changes, ch)
		}
	}
	slices.SortFunc(w.Changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	s.step(w)
}

func (s *harness) commit(e CommitTransaction) {
	if s.delaysCommits {
		s.delayedCommits = append(s.delayedCommits, e)
		return
	}
	m := TransactionResult{ID: e.ID, Outcome: kv.Committed}
	for _, w := range e.Conditions {
		if s.keys[w.Key].Revision != w.Revision {
			m.Failed, m.Outcome = append(m.Failed, w.Key), kv.Conflict
		}
	}
	for _, w := range e.Writes {
		if len(w.Value) > s.maxValue || len(e.Writes) > s.maxOps {
			m.Outcome = kv.Malformed
		}
	}
	if m.Outcome == kv.Malformed {
		s.rejected++
	}
	if s.unavailable {
		m.Outcome = kv.Unavailable
	}
	if len(e.Writes) == 0 && s.refusesRead() {
		m.Outcome, m.Failed = kv.RateLimited, nil
	}
	var news []Change
	if m.Outcome == kv.Committed {
		s.revision++
		m.Revision = s.revision
		for _, w := range e.Writes {
			ch := Change{Key: w.Key, Value: w.Value, Revision: s.revision, Removed: w.Value == nil}
			news = append(news, ch)
			if ch.Removed {
				delete(s.keys, w.Key)
			} else {
				s.keys[w.Key] = ch
			}
		}
	}
	if !s.losesAnswers {
		s.step(m)
	}
	if news != nil && !s.watchLags {
		s.step(StateRead{AfterRevision: s.revision - 1, Revision: s.revision, SentAt: s.now, Changes: news})
	}
}

// request sends a request and returns its answer.
func (s *harness) request(msg any) Reply {
	s.t.Helper()
	s.lastRequest++
	switch m := msg.(type) {
	case SubmitJob:
		m.RequestID = s.lastRequest
		s.step(m)
	case QueryJob:
		m.RequestID = s.lastRequest
		s.step(m)
	case CancelJob:
		m.RequestID = s.lastRequest
		s.step(m)
	}
	for i := 0; i < 40; i++ {
		if r, ok := s.replies[s.lastRequest]; ok {
			return r
		}
		s.advance(50_000)
	}
	s.t.Fatal("no answer")
	return Reply{}
}

func (s *harness) jobState(id string) string {
	s.t.Helper()
	r := s.request(QueryJob{ID: id})
	if r.Job == nil {
		return fmt.Sprint(r.Status)
	}
	return r.Job.State
}

var (
	joined    = formatRecord{Version: 2, Tasks: 64}
	endDone   = jobstate.End{Outcome: jobstate.Done, Tasks: 1}
	cancelled = jobstate.End{Outcome: jobstate.Cancelled, Tasks: 1}
)

// TestAccept has what a submission may await, and what it is answered.
func TestAccept(t *testing.T) {
	service := job("service")
	service.Spec.Kind = jobstate.Service
	keys := map[string]any{formatKey: joined, jobPrefix + "open": job("open"), endPrefix + "done": endDone, endPrefix + "cancelled": cancelled, jobPrefix + "service": service}
	cases := []struct {
		name   string
		awaits []string
		do     func(s *harness)
		want   ReplyCode
		reason string
	}{
		{"an unfinished job", []string{"open"}, nil, 201, ""},
		{"one that is done and of which only the end is stored", []string{"done"}, nil, 201, ""},
		{"a cancelled one", []string{"open", "cancelled"}, nil, 201, ""},
		{"one never accepted", []string{"open", "other"}, nil, 422, "other was never accepted"},
		{"itself", []string{"new"}, nil, 422, "itself"},
		{"a service", []string{"service"}, nil, 422, "service"},
		{"one accepted a moment ago, which the watch has yet to tell", []string{"recent"}, func(s *harness) { s.store(jobPrefix+"recent", job("recent")) }, 201, ""},
		{"an end that can't be read is not one that isn't there", []string{"done"}, func(s *harness) { s.unreachable[endPrefix+"done"] = true }, 503, ""},
		{"before all controllers have this version", []string{"open"}, func(s *harness) { s.core.membership.activation = newActivation(&s.core.settings) }, 503, "version"},
		{"more than can ever be stored", strings.Fields(strings.Repeat("open-"+strings.Repeat("x", 90)+" ", 90)), func(s *harness) {
			s.store(jobPrefix+"open-"+strings.Repeat("x", 90), job("open-"+strings.Repeat("x", 90)))
		}, 400, "bytes"},
		{"a repeat of a known job, whatever it says", []string{"other"}, func(s *harness) { s.store(jobPrefix+"new", job("new")) }, 200, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newHarness(t, keys)
			s.advance(200_000)
			if tc.do != nil {
				tc.do(s)
			}
			r := s.request(SubmitJob{Spec: job("new", tc.awaits...).Spec})
			if r.Status != tc.want || !strings.Contains(r.Error, tc.reason) {
				t.Errorf("%d %q, want %d %q", r.Status, r.Error, tc.want, tc.reason)
			}
			if _, stored := s.keys[jobPrefix+"new"]; stored != (tc.want < 300) {
				t.Errorf("stored: %v", stored)
			}
		})
	}
}

// TestWaiting follows jobs that wait through the ends of those before them.
func TestWaiting(t *testing.T) {
	chain := map[string]any{formatKey: joined, jobPrefix + "a": job("a"), jobPrefix + "b": job("b", "a"), jobPrefix + "c": job("c", "b"), jobPrefix + "d": job("d", "b", "c")}
	with := func(key string, v any) map[string]any {
		m := map[string]any{}
		for k, v := range chain {
			m[k] = v
		}
		if key == endPrefix+"a" {
			delete(m, jobPrefix+"a")
		}
		m[key] = v
		return m
	}
	cases := []struct {
		name    string
		keys    map[string]any
		do      func(s *harness)
		want    string // states of b, c, d
		waiting string // those that wait still
	}{
		{"nothing ends", chain, nil, "queued queued queued", "bcd"},
		{"the first is done, only its end is left", with(endPrefix+"a", endDone), nil, "queued queued queued", "cd"},
		{"the first is cancelled, only its end is left", with(endPrefix+"a", cancelled), nil, "cancelled cancelled cancelled", ""},
		{"the first is cancelled by its user", chain, func(s *harness) { s.request(CancelJob{ID: "a"}) }, "cancelled cancelled cancelled", ""},
		{"one between is", chain, func(s *harness) { s.request(CancelJob{ID: "c"}) }, "queued cancelled cancelled", "b"},
		{"the end of the first can't be read: nothing unfinished may be told", with(endPrefix+"a", cancelled), func(s *harness) { s.unreachable[endPrefix+"a"] = true }, "", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newHarness(t, tc.keys)
			if tc.do != nil {
				tc.do(s)
			}
			if tc.want == "" {
				s.core = New(s.core.settings, s.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
				s.listState()
				if got := s.jobState("d"); got != "503" {
					t.Errorf("told %s", got)
				}
				return
			}
			s.advance(2 * second)
			if got := s.jobState("b") + " " + s.jobState("c") + " " + s.jobState("d"); got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
			waiting := ""
			for _, id := range []string{"b", "c", "d"} {
				if j := s.core.cache.jobs[id]; j != nil && j.IsBlocked() {
					waiting += id
				}
			}
			if waiting != tc.waiting {
				t.Errorf("%q wait, want %q", waiting, tc.waiting)
			}
			// Whoever starts anew from storage comes to the same.
			s.core = New(s.core.settings, s.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
			s.listState()
			s.advance(second)
			if got := s.jobState("b") + " " + s.jobState("c") + " " + s.jobState("d"); got != tc.want {
				t.Errorf("after a start: %s, want %s", got, tc.want)
			}
		})
	}
}

// TestCascade cancels the first of many jobs: all users are told at once, and
// the ends are stored in time, in chains and in fans.
func TestCascade(t *testing.T) {
	const n = 1000
	id := func(i int) string { return fmt.Sprintf("j-%04d", i) }
	shapes := map[string]func(i int) []string{
		"deep": func(i int) []string { return []string{id(i - 1)} },
		"wide": func(int) []string { return []string{id(0)} },
		"both": func(i int) []string { return []string{id(i / 2), id(i / 3)} },
	}
	for name, awaits := range shapes {
		t.Run(name, func(t *testing.T) {
			keys := map[string]any{formatKey: joined, jobPrefix + id(0): job(id(0))}
			for i := 1; i < n; i++ {
				keys[jobPrefix+id(i)] = job(id(i), awaits(i)...)
			}
			s := newHarness(t, keys)
			s.advance(3 * second)
			if s.core.elector.leadership == nil {
				t.Fatal("does not lead")
			}
			s.request(CancelJob{ID: id(0)})
			for i := range n {
				if got := s.jobState(id(i)); got != jobstate.Cancelled {
					t.Fatalf("%s is %s", id(i), got)
				}
			}
			// A crash halfway changes nothing.
			s.advance(second)
			s.core = New(s.core.settings, s.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
			delete(s.keys, LeaderKey)
			s.listState()
			s.advance(40 * second)
			for i := range n {
				if _, ok := s.keys[endPrefix+id(i)]; !ok {
					t.Fatalf("the end of %s is not stored", id(i))
				}
				if _, ok := s.keys[jobPrefix+id(i)]; ok {
					t.Fatalf("%s is not removed", id(i))
				}
			}
		})
	}
}

// TestRefusedWrites: limits that fall before the format allows for smaller
// values, or further than the settings say, must not stop the rest, and nothing
// is sent again for ever.
func TestRefusedWrites(t *testing.T) {
	cases := []struct {
		name   string
		format formatRecord
		next   bool // the settings announce it
		most   int  // transactions refused
	}{
		{"before the format", formatRecord{}, true, 2},
		{"announced", joined, true, 0},
		{"not announced", joined, false, 20},
	}
	keys := map[string]any{}
	large := job("large")
	large.Spec.Tasks = 200
	keys[jobPrefix+"large"] = large
	for i := range 5 {
		keys[fmt.Sprintf("%ssmall-%d", jobPrefix, i)] = job(fmt.Sprintf("small-%d", i))
	}
	for _, tc := range cases {
		s := newHarness(t, keys)
		s.core.settings.Peers = []string{"old"} // it never says that it is of this version
		if kb, ops := 2.0, 4; tc.next {
			s.core.settings.State.Next = &config.UpcomingStateLimits{ValueKB: &kb, TxnOps: &ops}
		}
		if tc.format.Version != 0 {
			s.store(formatKey, tc.format)
			s.readState(StateRead{AfterRevision: s.core.cache.appliedRevision, Immediate: true})
		}
		s.advance(3 * second)
		s.maxValue, s.maxOps = 2048, 4
		for id, j := range s.core.cache.jobs {
			for i := range j.Tasks {
				j.PlaceTask(i, fmt.Sprintf("host-%06d", i), 1, s.now)
			}
			if id != "large" {
				j.SetDone(0, s.now)
			}
			s.core.committer.markDirty(j)
		}
		s.advance(20 * second)
		for i := range 5 {
			if _, ok := s.keys[fmt.Sprintf("%ssmall-%d", endPrefix, i)]; !ok {
				t.Errorf("%s: small-%d does not end", tc.name, i)
			}
		}
		if s.rejected > tc.most {
			t.Errorf("%s: %d writes refused", tc.name, s.rejected)
		}
		if j := s.core.cache.jobs["large"]; tc.name == "announced" && !(j.Task(0).Stored && j.Task(199).Stored) {
			t.Error("a job of many tasks is stored in parts")
		}
	}
}

// TestEndangered: operators are told of a pipeline that will be late before it
// is, and of the stage that holds it up.
func TestEndangered(t *testing.T) {
	cases := []struct {
		name     string
		deadline int64
		done     bool // the first stage
		want     string
	}{
		{"time enough", 300 * second, false, ""},
		{"too little for what is left", 25 * second, false, "the pipeline to c will be about"},
		{"the second stage holds it up", 25 * second, true, "b is queued"},
	}
	for _, tc := range cases {
		last := job("c", "b")
		last.Spec.Deadline = tc.deadline
		keys := map[string]any{formatKey: joined, jobPrefix + "b": job("b", "a"), jobPrefix + "c": last}
		if keys[jobPrefix+"a"] = job("a"); tc.done {
			delete(keys, jobPrefix+"a")
			keys[endPrefix+"a"] = endDone
		}
		for k, v := range keys {
			if r, ok := v.(jobstate.Record); ok {
				r.SubmittedWall = 1_000_001 * second
				keys[k] = r
			}
		}
		s := newHarness(t, nil)
		s.advance(second) // the time of day has to be known
		for _, k := range slices.Sorted(maps.Keys(keys)) {
			s.store(k, keys[k])
		}
		s.readState(StateRead{AfterRevision: s.core.cache.appliedRevision, Immediate: true})
		s.advance(15 * second)
		s.lastRequest++
		s.step(QueryOperatorView{RequestID: s.lastRequest})
		got := strings.Join(s.replies[s.lastRequest].Ops.Conditions, "; ")
		if tc.want == "" && strings.Contains(got, "pipeline") || !strings.Contains(got, tc.want) {
			t.Errorf("%s: %q", tc.name, got)
		}
	}
}

// TestTypesInParts: machine types that are read after a change of the limits
// are those of the later writes, not of parts that were left behind.
func TestTypesInParts(t *testing.T) {
	whole := func(cpu int64, names ...string) []fleet.Type {
		var l []fleet.Type
		for _, n := range names {
			l = append(l, fleet.Type{Name: n, Cap: jobstate.Resources{CPU: cpu}})
		}
		return l
	}
	type write struct {
		key   string
		types []fleet.Type
	}
	cases := []struct {
		name   string
		writes []write
		want   string
	}{
		{"whole", []write{{"", whole(1, "a", "b")}}, "a1 b1"},
		{"whole, then parts", []write{{"", whole(1, "a", "b")}, {"/0", whole(2, "a")}, {"/1", whole(2, "b")}}, "a2 b2"},
		{"half of the parts written", []write{{"", whole(1, "a", "b")}, {"/0", whole(2, "a")}}, "a2 b1"},
		{"a new type", []write{{"", whole(1, "a")}, {"/0", whole(1, "a")}, {"/1", whole(1, "b")}}, "a1 b1"},
		{"parts, then whole", []write{{"/0", whole(1, "a")}, {"/1", whole(1, "b")}, {"", whole(2, "a", "c")}}, "a2 c2"},
	}
	for _, tc := range cases {
		s := newHarness(t, nil)
		for _, w := range tc.writes {
			s.store(typesKey+w.key, w.types)
		}
		s.core = New(s.core.settings, s.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
		s.listState()
		var got []string
		for _, x := range s.core.cache.machineTypes {
			got = append(got, fmt.Sprint(x.Name, x.Cap.CPU))
		}
		if g := strings.Join(got, " "); g != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, g, tc.want)
		}
	}
}

// TestLongValues: what was or would be longer than the limits to come is stored
// in parts, or as what is left to be known of it.
func TestLongValues(t *testing.T) {
	long := job("long")
	for i := range 40 {
		long.Spec.Types = append(long.Spec.Types, fmt.Sprintf("%s-%02d", strings.Repeat("x", 100), i))
	}
	s := newHarness(t, map[string]any{formatKey: joined, jobPrefix + "long": long})
	kb := 2.0
	s.core.settings.State.Next = &config.UpcomingStateLimits{ValueKB: &kb}
	s.maxValue = 2048
	s.advance(3 * second)
	if r := s.request(CancelJob{ID: "long"}); r.Status != 200 || s.rejected > 0 {
		t.Errorf("a job from before the limits: %d, %d refused", r.Status, s.rejected)
	}
	var types []fleet.Type
	for i := range 30 {
		types = append(types, fleet.Type{Name: fmt.Sprintf("type-%02d", i), Cap: jobstate.Resources{CPU: 1000}, Zones: []string{"a", "b"}})
	}
	s.step(MachineTypesListed{Types: types, FencingToken: s.core.elector.leadership.fencingToken})
	s.advance(second)
	s.core = New(s.core.settings, s.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	s.listState()
	if n := len(s.core.cache.machineTypes); n < 30 || s.rejected > 0 {
		t.Errorf("%d of 30 types are read back, %d writes refused", n, s.rejected)
	}
}
