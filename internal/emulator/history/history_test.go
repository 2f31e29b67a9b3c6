package history

import (
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestServed checks which jobs count as served in the shares of each class and team, and which
// jobs are left out.
func TestServed(t *testing.T) {
	const s = 1_000_000
	due := 50.0
	terms := Expectations{Jobs: map[string]*wire.Job{}}
	var h []Event
	add := func(id, class, team string, deadline *float64, at, done int64, cancelled bool) {
		terms.Jobs[id] = &wire.Job{ID: id, Class: class, Team: team, Kind: wire.Array, Tasks: 1, EstimateS: 10, DeadlineS: deadline}
		h = append(h, Event{At: at * s, Kind: RequestSent, Op: Submit, Job: id})
		if cancelled {
			h = append(h, Event{At: at*s + 1, Kind: RequestSent, Op: Cancel, Job: id})
		}
		if done != 0 {
			h = append(h, Event{At: done * s, Kind: TaskCompleted, Job: id})
		}
	}
	add("in time", "due", "red", &due, 10, 59, false)
	add("late", "due", "red", &due, 10, 61, false)
	add("never", "due", "blue", &due, 10, 0, false)
	add("cancelled", "due", "blue", &due, 10, 0, true)
	add("still has time", "due", "blue", &due, 280, 0, false)
	add("within the longest objective", "aimed", "red", nil, 100, 195, false)
	add("after the longest objective", "aimed", "red", nil, 100, 205, false)
	add("done without a deadline", "free", "green", nil, 20, 290, false)
	add("not done", "free", "green", nil, 21, 0, false)
	add("submitted too late to count", "free", "green", nil, 200, 0, false)
	h = append(h, Event{At: 300 * s, Kind: FaultChanged})
	got := Metrics(h, terms, []Objective{{Kind: "complete", Class: "aimed", Within: 50 * s}, {Kind: "complete", Class: "aimed", Within: 100 * s}})
	for name, want := range map[string]float64{"served class due": 1.0 / 3, "served class aimed": 0.5, "served class free": 0.5, "served team red": 0.5, "served team blue": 0, "served team green": 0.5, "served_least": 0} {
		if v, ok := got[name]; !ok || v != want {
			t.Errorf("%s: %v (%v), want %v", name, v, ok, want)
		}
	}
}

// TestLargest checks which jobs are the largest of their class, and when they count as served and
// as started in time.
func TestLargest(t *testing.T) {
	const s = 1_000_000
	terms := Expectations{Jobs: map[string]*wire.Job{}}
	var h []Event
	add := func(id, class, kind string, tasks int, started []int64, done int64) {
		terms.Jobs[id] = &wire.Job{ID: id, Class: class, Team: "t", Kind: kind, Tasks: tasks, EstimateS: 1}
		h = append(h, Event{At: s, Kind: RequestSent, Op: Submit, Job: id})
		for i, at := range started {
			h = append(h, Event{At: at * s, Kind: TaskStarted, Job: id, Task: i})
		}
		for i := range tasks {
			if done != 0 {
				h = append(h, Event{At: done * s, Kind: TaskCompleted, Job: id, Task: i})
			}
		}
	}
	add("large gang in time", "gang", wire.Gang, 3, []int64{9, 9, 9}, 20)
	add("large gang with one task missing", "gang", wire.Gang, 3, []int64{9, 9}, 0)
	add("large gang late", "gang", wire.Gang, 3, []int64{242, 242, 242}, 260)
	add("small gang never started", "gang", wire.Gang, 1, nil, 0)
	add("large array started", "array", wire.Array, 40, []int64{200}, 0)
	add("small array", "array", wire.Array, 2, nil, 0)
	add("only size of its class", "same", wire.Array, 5, nil, 0)
	h = append(h, Event{At: 300 * s, Kind: FaultChanged})
	got := Metrics(h, terms, nil)
	for name, want := range map[string]float64{"largest begun gang": 1.0 / 3, "largest served gang": 2.0 / 3, "largest begun array": 1, "largest served array": 0, LargestLeast: 0} {
		if v, ok := got[name]; !ok || v != want {
			t.Errorf("%s: %v (%v), want %v", name, v, ok, want)
		}
	}
	if _, ok := got["largest begun same"]; ok {
		t.Error("got a share of largest jobs for a class with one size, want none")
	}
}

// TestViolations adds a violation of each rule to a history without violations, and checks that it is
// found.
func TestViolations(t *testing.T) {
	const s = 1_000_000
	b := "b"
	terms := func() Expectations {
		return Expectations{Stored: StoredKeys{Jobs: "job/", Ends: "end/"}, CancelWithin: 36 * s, Teams: map[string]Limits{"red": {GPUs: 12}}, Types: map[string]wire.MachineType{"big": {Name: "big", CPUs: 8, GPUs: 4, MemGB: 8}}, Jobs: map[string]*wire.Job{
			"j":     {ID: "j", Team: "red", Kind: wire.Array, Tasks: 2, GPUs: 1, Spot: true},
			"g":     {ID: "g", Team: "red", Kind: wire.Gang, Tasks: 2, GPUs: 1, Spot: true},
			"next":  {ID: "next", Team: "red", Kind: wire.Array, Tasks: 1, Spot: true, DependsOn: []string{"j"}},
			"after": {ID: "after", Team: "red", Kind: wire.Array, Tasks: 1, Spot: true, DependsOn: []string{"next"}},
		}}
	}
	call := uint64(100)
	ask := func(at int64, op, job string, status int, state string) []Event {
		call++
		return []Event{{At: at, Kind: RequestSent, Op: op, Job: job, Call: call}, {At: at + 1000, Kind: ResponseReceived, Op: op, Job: job, Call: call, Status: status, State: state}}
	}
	up := func(m, zone string) Event {
		return Event{Kind: MachineUp, Machine: m, Type: "big", Zone: zone, Spot: m == "m2"}
	}
	on := func(k Kind, at int64, job string, task int, machine string) Event {
		return Event{At: at, Kind: k, Job: job, Task: task, Machine: machine, Attempt: 1}
	}
	good := append([]Event{up("m0", "a"), up("m1", "b"), up("m2", "a")}, ask(1, Submit, "j", 201, wire.Pending)...)
	good = append(good, on(TaskEntered, 2*s, "j", 0, "m0"), on(TaskLeft, 3*s, "j", 0, "m0"))
	// wait returns the events of a job that is accepted and then waits for the given seconds;
	// passing are the events of each of these seconds.
	wait := func(id string, seconds int64, passing ...Event) (l []Event) {
		l = ask(4*s, Submit, id, 201, wire.Pending)
		for i := range seconds {
			for _, e := range append(passing, Event{Kind: StateChanged, Key: "k"}) {
				e.At = 5*s + i*s
				l = append(l, e)
			}
		}
		return l
	}
	unfit := func(why string) []Event {
		l := ask(5*s, Submit, "odd", 201, wire.Pending)
		return append([]Event{l[0], {At: 5 * s, Kind: InvalidSubmission, Job: "odd", Call: call, Reason: why}}, l[1:]...)
	}
	stored := func(at int64, key, state string) Event {
		return Event{At: at, Kind: StateChanged, Key: key, State: state}
	}
	cases := []struct {
		rule  string
		tasks func(*wire.Job)
		plant [][]Event
	}{
		{rule: LostEnd, plant: [][]Event{{stored(4*s, "job/j", KeyPut), stored(5*s, "job/j", KeyRemoved)}}},
		{rule: LostEnd, plant: [][]Event{{stored(4*s, "end/g", KeyPut), stored(5*s, "job/j", KeyRemoved), stored(6*s, "end/j", KeyPut)}}},
		{rule: LostEnd, plant: [][]Event{{stored(5*s, "job/j", KeyRemoved), stored(5*s, "end/g", KeyPut), stored(5*s, "job/g", KeyRemoved)}}},
		{rule: "left_waiting", plant: [][]Event{wait("j", 92)}},
		{rule: "left_waiting", plant: [][]Event{{on(TaskPlaced, 4*s, "g", 1, "m0"), on(RoomFreed, 4*s, "g", 1, "m0")}, wait("g", 92)}},
		{rule: "left_waiting", tasks: func(j *wire.Job) { j.OneZone, j.CPUs = true, 8 }, plant: [][]Event{{on(TaskPlaced, 4*s, "j", 0, "m0")}, wait("j", 92)}},
		{rule: "accepted_unfit", plant: [][]Event{unfit("hands is missing")}},
		{rule: "ran_twice", plant: [][]Event{{on(TaskEntered, 4*s, "j", 0, "m0"), on(TaskEntered, 5*s, "j", 0, "m2")}}},
		{rule: "quota", tasks: func(j *wire.Job) { j.GPUs = 100 }},
		{rule: "wrong_place", tasks: func(j *wire.Job) { j.Zone = &b }},
		{rule: "wrong_place", tasks: func(j *wire.Job) { j.Types = []string{"small"} }},
		{rule: "wrong_place", tasks: func(j *wire.Job) { j.Spot = false }, plant: [][]Event{{on(TaskEntered, 4*s, "j", 1, "m2")}}},
		{rule: "wrong_place", tasks: func(j *wire.Job) { j.OneZone = true }, plant: [][]Event{{on(TaskEntered, 4*s, "j", 0, "m0"), on(TaskEntered, 4*s, "j", 1, "m1")}}},
		{rule: "wrong_place", tasks: func(j *wire.Job) { j.Spread = true }, plant: [][]Event{{on(TaskEntered, 4*s, "j", 0, "m0"), on(TaskEntered, 4*s, "j", 1, "m2")}}},
		{rule: "ran_cancelled", plant: [][]Event{{on(TaskEntered, 4*s, "j", 0, "m0")}, ask(5*s, Cancel, "j", 200, wire.Cancelled), {{At: 60 * s, Kind: FaultChanged}}}},
		{rule: "ran_cancelled", plant: [][]Event{ask(5*s, Cancel, "j", 200, wire.Cancelled), {on(TaskEntered, 50*s, "j", 0, "m0")}}},
		{rule: "forgotten", plant: [][]Event{ask(5*s, Poll, "j", 404, "")}},
		{rule: "forgotten", plant: [][]Event{ask(5*s, Submit, "j", 422, "")}},
		{rule: "forgotten", plant: [][]Event{ask(70*s, Poll, "j", 503, ""), ask(80*s, Poll, "j", 0, ""), ask(85*s, Poll, "j", 0, ""), ask(94*s, Poll, "g", 404, ""), ask(95*s, Poll, "j", 503, "")}},
		{rule: "forgotten", plant: [][]Event{{{At: 20 * s, Kind: FaultChanged}}, ask(70*s, Poll, "j", 503, ""), ask(90*s, Poll, "j", 0, ""), ask(96*s, Poll, "j", 503, "")}},
		{rule: "invented", plant: [][]Event{ask(5*s, Poll, "other", 200, wire.Pending)}},
		{rule: "invented", plant: [][]Event{{on(TaskEntered, 4*s, "other", 0, "m0")}}},
		{rule: "not_done", plant: [][]Event{{on(TaskCompleted, 4*s, "j", 0, "m0")}, ask(5*s, Poll, "j", 200, wire.Done)}},
		{rule: "went_back", plant: [][]Event{{on(TaskCompleted, 4*s, "j", 0, "m0"), on(TaskCompleted, 4*s, "j", 1, "m0")}, ask(5*s, Poll, "j", 200, wire.Done), ask(6*s, Poll, "j", 200, wire.Running)}},
		{rule: "went_back", plant: [][]Event{ask(5*s, Poll, "j", 200, wire.Cancelled)}},
		{rule: "too_early", plant: [][]Event{ask(3*s, Submit, "next", 201, wire.Pending), {on(TaskCompleted, 4*s, "j", 0, "m0"), on(TaskEntered, 5*s, "next", 0, "m0")}}},
		{rule: "orphaned", plant: [][]Event{ask(3*s, Submit, "next", 201, wire.Pending), ask(3*s, Submit, "after", 201, wire.Pending), ask(5*s, Cancel, "j", 200, wire.Cancelled), ask(50*s, Poll, "after", 200, wire.Pending)}},
		{rule: "part_of_gang", plant: [][]Event{ask(3*s, Submit, "g", 201, wire.Pending), {on(TaskEntered, 4*s, "g", 0, "m0"), on(TaskStarted, 5*s, "g", 0, "m0")}, ask(6*s, Poll, "g", 200, wire.Running)}},
		{rule: "nothing_ran"},
		// Violations that only the order of requests and responses shows.
		{rule: "not_linear", plant: [][]Event{ask(5*s, Poll, "j", 404, "")}},
		{rule: "not_linear", plant: [][]Event{ask(5*s, Cancel, "j", 503, ""), ask(6*s, Poll, "j", 200, wire.Cancelled), ask(8*s, Poll, "j", 200, wire.Pending)}},
		{rule: "not_linear", plant: [][]Event{ask(5*s, Cancel, "j", 200, wire.Done)}},
		{rule: "not_linear", plant: [][]Event{ask(5*s, Cancel, "j", 200, wire.Cancelled), ask(9*s, Submit, "j", 200, wire.Running)}},
	}
	// Histories that are close to a violation of left_waiting, but are none.
	for name, tc := range map[string]struct {
		tasks func(*wire.Job)
		plant []Event
	}{
		"wait is too short":            {nil, wait("j", 88)},
		"no room for a moment":         {func(j *wire.Job) { j.CPUs = 8 }, append(wait("j", 50), append([]Event{on(TaskPlaced, 56*s, "g", 0, "m0"), on(TaskPlaced, 56*s, "g", 1, "m1"), on(TaskPlaced, 56*s, "other", 0, "m2"), {At: 57 * s, Kind: StateChanged}, on(RoomFreed, 58*s, "g", 0, "m0")}, wait("j", 88)[2:]...)...)},
		"no machine has room":          {func(j *wire.Job) { j.CPUs = 9 }, wait("j", 92)},
		"no allowed zone has room":     {func(j *wire.Job) { z := "c"; j.Zone = &z }, wait("j", 92)},
		"no allowed type has room":     {func(j *wire.Job) { j.Types = []string{"small"} }, wait("j", 92)},
		"team is at its limit":         {func(j *wire.Job) { j.GPUs = 13 }, wait("j", 92)},
		"cancellation was requested":   {nil, append(ask(3*s, Cancel, "j", 503, ""), wait("j", 92)...)},
		"waits for a dependency":       {func(j *wire.Job) { j.CPUs = 9 }, wait("next", 92)},
		"a fault is still active":      {nil, append(wait("j", 92), Event{At: 100 * s, Kind: FaultChanged})},
		"only a spot machine has room": {func(j *wire.Job) { j.Spot, j.CPUs = false, 8 }, wait("j", 92, on(TaskPlaced, 0, "g", 0, "m0"), on(TaskPlaced, 0, "g", 1, "m1"))},
		"only one task of a gang fits": {nil, wait("g", 92, on(TaskPlaced, 0, "wide", 0, "m0"), on(TaskPlaced, 0, "wide", 1, "m1"))},
	} {
		t.Run(name, func(t *testing.T) {
			l := terms()
			l.Jobs["wide"] = &wire.Job{ID: "wide", Team: "red", Kind: wire.Array, Tasks: 3, CPUs: 8, Spot: true}
			l.Jobs["other"] = &wire.Job{ID: "other", Team: "red", Kind: wire.Array, Tasks: 1, CPUs: 8, Spot: true}
			l.Jobs["g"].CPUs = 8
			if tc.tasks != nil {
				tc.tasks(l.Jobs["j"])
			}
			h := append(good[:4:4], tc.plant...)
			for _, b := range CheckRules(h, l) {
				if b.Rule == "left_waiting" {
					t.Error(b)
				}
			}
		})
	}
	t.Run("ends stored in time", func(t *testing.T) {
		h := append(good[:len(good):len(good)],
			stored(4*s, "end/g", KeyPut), stored(5*s, "job/g", KeyRemoved),
			stored(6*s, "job/j", KeyRemoved), stored(6*s, "end/j", KeyPut), // of one transaction
			stored(7*s, "job/next", KeyPut), stored(7*s, "log/1", KeyRemoved))
		if found := CheckRules(h, terms()); len(found) != 0 {
			t.Errorf("got violations %v, want none", found)
		}
	})
	for _, tc := range cases {
		t.Run(tc.rule, func(t *testing.T) {
			all := func(h []Event, terms Expectations) (l []string) {
				for _, b := range CheckAll(h, terms) {
					l = append(l, b.Rule)
				}
				return l
			}
			if l := all(good, terms()); len(l) != 0 {
				t.Fatalf("got violations %v before the planted one, want none", l)
			}
			h, limits := good, terms()
			if tc.rule == "nothing_ran" {
				h = good[:5]
			}
			for _, p := range tc.plant {
				h = append(h[:len(h):len(h)], p...)
			}
			if tc.tasks != nil {
				tc.tasks(limits.Jobs["j"])
			}
			if l := all(h, limits); !strings.Contains(strings.Join(l, " "), tc.rule) {
				t.Errorf("got violations %v, want %s among them", l, tc.rule)
			}
		})
	}
}
