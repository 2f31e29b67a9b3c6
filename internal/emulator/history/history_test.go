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
	expected := Expectations{Jobs: map[string]*wire.Job{}}
	var events []Event
	add := func(id, class, team string, deadline *float64, at, done int64, cancelled bool) {
		expected.Jobs[id] = &wire.Job{ID: id, Class: class, Team: team, Kind: wire.Array, Tasks: 1, EstimateS: 10, DeadlineS: deadline}
		events = append(events, Event{At: at * s, Kind: RequestSent, Op: Submit, Job: id})
		if cancelled {
			events = append(events, Event{At: at*s + 1, Kind: RequestSent, Op: Cancel, Job: id})
		}
		if done != 0 {
			events = append(events, Event{At: done * s, Kind: TaskCompleted, Job: id})
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
	events = append(events, Event{At: 300 * s, Kind: FaultChanged})
	got := Metrics(events, expected, []Objective{{Kind: "complete", Class: "aimed", Within: 50 * s}, {Kind: "complete", Class: "aimed", Within: 100 * s}})
	for name, want := range map[string]float64{"served class due": 1.0 / 3, "served class aimed": 0.5, "served class free": 0.5, "served team red": 0.5, "served team blue": 0, "served team green": 0.5, "served_least": 0} {
		if share, ok := got[name]; !ok || share != want {
			t.Errorf("%s: got %v (present: %v), want %v", name, share, ok, want)
		}
	}
}

// TestLargest checks which jobs are the largest of their class, and when they count as served and
// as started in time.
func TestLargest(t *testing.T) {
	const s = 1_000_000
	expected := Expectations{Jobs: map[string]*wire.Job{}}
	var events []Event
	add := func(id, class, kind string, tasks int, started []int64, done int64) {
		expected.Jobs[id] = &wire.Job{ID: id, Class: class, Team: "t", Kind: kind, Tasks: tasks, EstimateS: 1}
		events = append(events, Event{At: s, Kind: RequestSent, Op: Submit, Job: id})
		for i, at := range started {
			events = append(events, Event{At: at * s, Kind: TaskStarted, Job: id, Task: i})
		}
		for i := range tasks {
			if done != 0 {
				events = append(events, Event{At: done * s, Kind: TaskCompleted, Job: id, Task: i})
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
	events = append(events, Event{At: 300 * s, Kind: FaultChanged})
	got := Metrics(events, expected, nil)
	for name, want := range map[string]float64{"largest begun gang": 1.0 / 3, "largest served gang": 2.0 / 3, "largest begun array": 1, "largest served array": 0, LargestLeast: 0} {
		if share, ok := got[name]; !ok || share != want {
			t.Errorf("%s: got %v (present: %v), want %v", name, share, ok, want)
		}
	}
	if _, ok := got["largest begun same"]; ok {
		t.Error("got a share of largest jobs for a class with one size, want none")
	}
}

// TestViolations adds a violation of each rule to a history without violations, and checks that
// the violation is found.
func TestViolations(t *testing.T) {
	const s = 1_000_000
	b := "b"
	expected := func() Expectations {
		return Expectations{Stored: StoredKeys{Jobs: "job/", Ends: "end/"}, CancelWithin: 36 * s, Teams: map[string]Limits{"red": {GPUs: 12}}, Types: map[string]wire.MachineType{"big": {Name: "big", CPUs: 8, GPUs: 4, MemGB: 8}}, Jobs: map[string]*wire.Job{
			"j":     {ID: "j", Team: "red", Kind: wire.Array, Tasks: 2, GPUs: 1, Spot: true},
			"g":     {ID: "g", Team: "red", Kind: wire.Gang, Tasks: 2, GPUs: 1, Spot: true},
			"next":  {ID: "next", Team: "red", Kind: wire.Array, Tasks: 1, Spot: true, DependsOn: []string{"j"}},
			"after": {ID: "after", Team: "red", Kind: wire.Array, Tasks: 1, Spot: true, DependsOn: []string{"next"}},
		}}
	}
	call := uint64(100)
	exchange := func(at int64, op, job string, status int, state string) []Event {
		call++
		return []Event{{At: at, Kind: RequestSent, Op: op, Job: job, Call: call}, {At: at + 1000, Kind: ResponseReceived, Op: op, Job: job, Call: call, Status: status, State: state}}
	}
	machineUp := func(name, zone string) Event {
		return Event{Kind: MachineUp, Machine: name, Type: "big", Zone: zone, Spot: name == "m2"}
	}
	taskEvent := func(k Kind, at int64, job string, task int, machine string) Event {
		return Event{At: at, Kind: k, Job: job, Task: task, Machine: machine, Attempt: 1}
	}
	valid := append([]Event{machineUp("m0", "a"), machineUp("m1", "b"), machineUp("m2", "a")}, exchange(1, Submit, "j", 201, wire.Pending)...)
	valid = append(valid, taskEvent(TaskEntered, 2*s, "j", 0, "m0"), taskEvent(TaskLeft, 3*s, "j", 0, "m0"))
	// wait returns the events of a job that is accepted and then waits for the given number of
	// seconds. In each of these seconds, the events everySecond and a state change happen.
	wait := func(id string, seconds int64, everySecond ...Event) (events []Event) {
		events = exchange(4*s, Submit, id, 201, wire.Pending)
		for i := range seconds {
			for _, e := range append(everySecond, Event{Kind: StateChanged, Key: "k"}) {
				e.At = 5*s + i*s
				events = append(events, e)
			}
		}
		return events
	}
	invalidSubmission := func(reason string) []Event {
		submit := exchange(5*s, Submit, "odd", 201, wire.Pending)
		return append([]Event{submit[0], {At: 5 * s, Kind: InvalidSubmission, Job: "odd", Call: call, Reason: reason}}, submit[1:]...)
	}
	stored := func(at int64, key, state string) Event {
		return Event{At: at, Kind: StateChanged, Key: key, State: state}
	}
	cases := []struct {
		rule   string
		change func(*wire.Job)
		added  [][]Event
	}{
		{rule: LostEnd, added: [][]Event{{stored(4*s, "job/j", KeyPut), stored(5*s, "job/j", KeyRemoved)}}},
		{rule: LostEnd, added: [][]Event{{stored(4*s, "end/g", KeyPut), stored(5*s, "job/j", KeyRemoved), stored(6*s, "end/j", KeyPut)}}},
		{rule: LostEnd, added: [][]Event{{stored(5*s, "job/j", KeyRemoved), stored(5*s, "end/g", KeyPut), stored(5*s, "job/g", KeyRemoved)}}},
		{rule: "left_waiting", added: [][]Event{wait("j", 92)}},
		{rule: "left_waiting", added: [][]Event{{taskEvent(TaskPlaced, 4*s, "g", 1, "m0"), taskEvent(RoomFreed, 4*s, "g", 1, "m0")}, wait("g", 92)}},
		{rule: "left_waiting", change: func(j *wire.Job) { j.OneZone, j.CPUs = true, 8 }, added: [][]Event{{taskEvent(TaskPlaced, 4*s, "j", 0, "m0")}, wait("j", 92)}},
		{rule: "accepted_unfit", added: [][]Event{invalidSubmission("hands is missing")}},
		{rule: "ran_twice", added: [][]Event{{taskEvent(TaskEntered, 4*s, "j", 0, "m0"), taskEvent(TaskEntered, 5*s, "j", 0, "m2")}}},
		{rule: "quota", change: func(j *wire.Job) { j.GPUs = 100 }},
		{rule: "wrong_place", change: func(j *wire.Job) { j.Zone = &b }},
		{rule: "wrong_place", change: func(j *wire.Job) { j.Types = []string{"small"} }},
		{rule: "wrong_place", change: func(j *wire.Job) { j.Spot = false }, added: [][]Event{{taskEvent(TaskEntered, 4*s, "j", 1, "m2")}}},
		{rule: "wrong_place", change: func(j *wire.Job) { j.OneZone = true }, added: [][]Event{{taskEvent(TaskEntered, 4*s, "j", 0, "m0"), taskEvent(TaskEntered, 4*s, "j", 1, "m1")}}},
		{rule: "wrong_place", change: func(j *wire.Job) { j.Spread = true }, added: [][]Event{{taskEvent(TaskEntered, 4*s, "j", 0, "m0"), taskEvent(TaskEntered, 4*s, "j", 1, "m2")}}},
		{rule: "ran_cancelled", added: [][]Event{{taskEvent(TaskEntered, 4*s, "j", 0, "m0")}, exchange(5*s, Cancel, "j", 200, wire.Cancelled), {{At: 60 * s, Kind: FaultChanged}}}},
		{rule: "ran_cancelled", added: [][]Event{exchange(5*s, Cancel, "j", 200, wire.Cancelled), {taskEvent(TaskEntered, 50*s, "j", 0, "m0")}}},
		{rule: "forgotten", added: [][]Event{exchange(5*s, Poll, "j", 404, "")}},
		{rule: "forgotten", added: [][]Event{exchange(5*s, Submit, "j", 422, "")}},
		{rule: "forgotten", added: [][]Event{exchange(70*s, Poll, "j", 503, ""), exchange(80*s, Poll, "j", 0, ""), exchange(85*s, Poll, "j", 0, ""), exchange(94*s, Poll, "g", 404, ""), exchange(95*s, Poll, "j", 503, "")}},
		{rule: "forgotten", added: [][]Event{{{At: 20 * s, Kind: FaultChanged}}, exchange(70*s, Poll, "j", 503, ""), exchange(90*s, Poll, "j", 0, ""), exchange(96*s, Poll, "j", 503, "")}},
		{rule: "invented", added: [][]Event{exchange(5*s, Poll, "other", 200, wire.Pending)}},
		{rule: "invented", added: [][]Event{{taskEvent(TaskEntered, 4*s, "other", 0, "m0")}}},
		{rule: "not_done", added: [][]Event{{taskEvent(TaskCompleted, 4*s, "j", 0, "m0")}, exchange(5*s, Poll, "j", 200, wire.Done)}},
		{rule: "went_back", added: [][]Event{{taskEvent(TaskCompleted, 4*s, "j", 0, "m0"), taskEvent(TaskCompleted, 4*s, "j", 1, "m0")}, exchange(5*s, Poll, "j", 200, wire.Done), exchange(6*s, Poll, "j", 200, wire.Running)}},
		{rule: "went_back", added: [][]Event{exchange(5*s, Poll, "j", 200, wire.Cancelled)}},
		{rule: "too_early", added: [][]Event{exchange(3*s, Submit, "next", 201, wire.Pending), {taskEvent(TaskCompleted, 4*s, "j", 0, "m0"), taskEvent(TaskEntered, 5*s, "next", 0, "m0")}}},
		{rule: "orphaned", added: [][]Event{exchange(3*s, Submit, "next", 201, wire.Pending), exchange(3*s, Submit, "after", 201, wire.Pending), exchange(5*s, Cancel, "j", 200, wire.Cancelled), exchange(50*s, Poll, "after", 200, wire.Pending)}},
		{rule: "part_of_gang", added: [][]Event{exchange(3*s, Submit, "g", 201, wire.Pending), {taskEvent(TaskEntered, 4*s, "g", 0, "m0"), taskEvent(TaskStarted, 5*s, "g", 0, "m0")}, exchange(6*s, Poll, "g", 200, wire.Running)}},
		{rule: "nothing_ran"},
		// Violations that only the order of requests and responses shows.
		{rule: "not_linear", added: [][]Event{exchange(5*s, Poll, "j", 404, "")}},
		{rule: "not_linear", added: [][]Event{exchange(5*s, Cancel, "j", 503, ""), exchange(6*s, Poll, "j", 200, wire.Cancelled), exchange(8*s, Poll, "j", 200, wire.Pending)}},
		{rule: "not_linear", added: [][]Event{exchange(5*s, Cancel, "j", 200, wire.Done)}},
		{rule: "not_linear", added: [][]Event{exchange(5*s, Cancel, "j", 200, wire.Cancelled), exchange(9*s, Submit, "j", 200, wire.Running)}},
	}
	// Histories that come close to violating left_waiting, but do not violate it.
	for name, tc := range map[string]struct {
		change func(*wire.Job)
		added  []Event
	}{
		"wait is too short":            {nil, wait("j", 88)},
		"no room for a moment":         {func(j *wire.Job) { j.CPUs = 8 }, append(wait("j", 50), append([]Event{taskEvent(TaskPlaced, 56*s, "g", 0, "m0"), taskEvent(TaskPlaced, 56*s, "g", 1, "m1"), taskEvent(TaskPlaced, 56*s, "other", 0, "m2"), {At: 57 * s, Kind: StateChanged}, taskEvent(RoomFreed, 58*s, "g", 0, "m0")}, wait("j", 88)[2:]...)...)},
		"no machine has room":          {func(j *wire.Job) { j.CPUs = 9 }, wait("j", 92)},
		"no allowed zone has room":     {func(j *wire.Job) { z := "c"; j.Zone = &z }, wait("j", 92)},
		"no allowed type has room":     {func(j *wire.Job) { j.Types = []string{"small"} }, wait("j", 92)},
		"team is at its limit":         {func(j *wire.Job) { j.GPUs = 13 }, wait("j", 92)},
		"cancellation was requested":   {nil, append(exchange(3*s, Cancel, "j", 503, ""), wait("j", 92)...)},
		"waits for a dependency":       {func(j *wire.Job) { j.CPUs = 9 }, wait("next", 92)},
		"a fault is still active":      {nil, append(wait("j", 92), Event{At: 100 * s, Kind: FaultChanged})},
		"only a spot machine has room": {func(j *wire.Job) { j.Spot, j.CPUs = false, 8 }, wait("j", 92, taskEvent(TaskPlaced, 0, "g", 0, "m0"), taskEvent(TaskPlaced, 0, "g", 1, "m1"))},
		"only one task of a gang fits": {nil, wait("g", 92, taskEvent(TaskPlaced, 0, "wide", 0, "m0"), taskEvent(TaskPlaced, 0, "wide", 1, "m1"))},
	} {
		t.Run(name, func(t *testing.T) {
			expectations := expected()
			expectations.Jobs["wide"] = &wire.Job{ID: "wide", Team: "red", Kind: wire.Array, Tasks: 3, CPUs: 8, Spot: true}
			expectations.Jobs["other"] = &wire.Job{ID: "other", Team: "red", Kind: wire.Array, Tasks: 1, CPUs: 8, Spot: true}
			expectations.Jobs["g"].CPUs = 8
			if tc.change != nil {
				tc.change(expectations.Jobs["j"])
			}
			events := append(valid[:4:4], tc.added...)
			for _, violation := range CheckRules(events, expectations) {
				if violation.Rule == "left_waiting" {
					t.Error(violation)
				}
			}
		})
	}
	t.Run("ends stored in time", func(t *testing.T) {
		events := append(valid[:len(valid):len(valid)],
			stored(4*s, "end/g", KeyPut), stored(5*s, "job/g", KeyRemoved),
			stored(6*s, "job/j", KeyRemoved), stored(6*s, "end/j", KeyPut), // of one transaction
			stored(7*s, "job/next", KeyPut), stored(7*s, "log/1", KeyRemoved))
		if found := CheckRules(events, expected()); len(found) != 0 {
			t.Errorf("got violations %v, want none", found)
		}
	})
	for _, tc := range cases {
		t.Run(tc.rule, func(t *testing.T) {
			violatedRules := func(events []Event, expected Expectations) (rules []string) {
				for _, violation := range CheckAll(events, expected) {
					rules = append(rules, violation.Rule)
				}
				return rules
			}
			if rules := violatedRules(valid, expected()); len(rules) != 0 {
				t.Fatalf("got violations %v before one is added, want none", rules)
			}
			events, expectations := valid, expected()
			if tc.rule == "nothing_ran" {
				events = valid[:5]
			}
			for _, p := range tc.added {
				events = append(events[:len(events):len(events)], p...)
			}
			if tc.change != nil {
				tc.change(expectations.Jobs["j"])
			}
			if rules := violatedRules(events, expectations); !strings.Contains(strings.Join(rules, " "), tc.rule) {
				t.Errorf("got violations %v, want %s among them", rules, tc.rule)
			}
		})
	}
}
