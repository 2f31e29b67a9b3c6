package environment

import (
	"slices"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// testbed is an environment with two machines and one controller, whose responses the test case
// sets.
type testbed struct {
	t      *testing.T
	env    *Environment
	now    int64
	events []history.Event
	// The controller's responses to reports have the token, or status 503 if unavailable is set.
	// orders are sent with the next response to each machine.
	token       uint64
	unavailable bool
	orders      map[string][]wire.Order
	last        map[string]*wire.Report // last report by machine
	direct      []Answer                // responses to direct commands
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	c := Config{
		Seed: 4, RestartTime: 4 * second, Types: []wire.MachineType{{Name: "big", CPUs: 8, MemGB: 32, FetchRate: 1, CacheGB: 4, BootS: 1, Zones: []string{"a"}}},
		Machines: []InitialMachines{{Type: "big", Zone: "a", Count: 2}},
	}
	params := &c.Params
	params.Size, params.Zones, params.Teams = 1, []string{"a"}, []config.Team{{Name: "t"}}
	params.Workers.ReportS, params.Workers.LeaseS, params.Workers.GangWaitS, params.Workers.GangPeerS, params.Workers.CancelS = 2, 16, 20, 4, 36
	params.State.RPS, params.State.WriteRPS, params.State.TxnOps = 100, 100, 10
	job := func(id, kind string, tasks int, cpus float64) Job {
		return Job{At: -1, Run: 30 * second, Spec: wire.Job{ID: id, Kind: kind, Tasks: tasks, CPUs: cpus, MemGB: 1, Image: "i", ImageGB: 1, CheckpointS: 5, CheckpointCostS: 2}}
	}
	c.Jobs = []Job{job("a", wire.Array, 4, 2), job("wide", wire.Array, 1, 7), job("g", wire.Gang, 2, 2), job("unsent", wire.Array, 1, 1)}
	s := &testbed{t: t, token: 5, orders: map[string][]wire.Order{}, last: map[string]*wire.Report{}}
	env, err := New(c, func(e history.Event) { s.events = append(s.events, e) })
	if err != nil {
		t.Fatal(err)
	}
	s.env = env
	for _, id := range []string{"a", "wide", "g"} {
		env.jobs[id].submitted = true
	}
	s.step(ControllerUp{Controller: "node-0", Up: true})
	s.advance(5)
	return s
}

// step sends a message to the environment and answers the requests to the controller.
func (s *testbed) step(msg any) {
	for _, e := range s.env.Step(s.now, msg) {
		switch e := e.(type) {
		case Answer:
			s.direct = append(s.direct, e)
		case Ask:
			r, ok := e.Request.(*wire.Report)
			if !ok {
				s.step(AskAnswer{ID: e.ID, Status: 200})
				continue
			}
			s.last[r.Machine] = r
			if s.unavailable {
				s.step(AskAnswer{ID: e.ID, Status: 503})
				continue
			}
			orders := s.orders[r.Machine]
			delete(s.orders, r.Machine)
			s.step(AskAnswer{ID: e.ID, Status: 200, Body: wire.HeartbeatAnswer{Token: s.token, Orders: orders}})
		}
	}
}

// advance runs the environment for the given number of seconds.
func (s *testbed) advance(seconds float64) {
	end := s.now + config.MicrosOf(seconds)
	for {
		at, ok := s.env.Next()
		if !ok || at > end {
			break
		}
		s.now = max(s.now, at)
		s.step(nil)
	}
	s.now = end
	s.step(nil)
}

// sendOrders sends orders to a machine's own address and returns the response, or the zero Answer
// if there was not exactly one.
func (s *testbed) sendOrders(machine string, token, session uint64, orders ...wire.Order) Answer {
	s.direct = nil
	s.step(Call{ID: 1, From: "node-0", To: machine, Request: wire.WorkerOrders{Token: &token, Session: &session, Orders: orders}})
	s.advance(0.1)
	if len(s.direct) != 1 {
		return Answer{}
	}
	return s.direct[0]
}

func runOrder(task string, attempt uint64) wire.Order {
	return wire.Order{Op: "run", Task: task, Attempt: attempt}
}

func killOrder(task string, grace float64) wire.Order {
	return wire.Order{Op: "kill", Task: task, Attempt: 1, GraceS: grace}
}

// lastReported returns the state of an attempt in the machine's last report, with the reason if
// there is one and "stored" if the progress is saved, or "none" if the attempt is not in it.
func (s *testbed) lastReported(machine, name string, attempt uint64) string {
	r := s.last[machine]
	for _, t := range r.Tasks {
		if t.Name == name && t.Attempt == attempt {
			out := t.State
			if t.Reason != "" {
				out += " " + t.Reason
			}
			if t.Saved {
				out += " stored"
			}
			return out
		}
	}
	return "none"
}

// expectTask checks the state of an attempt in a machine's last report, see lastReported.
func (s *testbed) expectTask(machine, name string, attempt uint64, want string) {
	s.t.Helper()
	if got := s.lastReported(machine, name, attempt); got != want {
		s.t.Errorf("at %.1f s: task %s, attempt %d on %s: got %q, want %q", float64(s.now)/1e6, name, attempt, machine, got, want)
	}
}

const (
	m0 = "host-000000"
	m1 = "host-000001"
)

// TestWorkers checks workers and gangs against the published protocol.
func TestWorkers(t *testing.T) {
	gang := func(s *testbed) { // starts a gang on both machines
		s.sendOrders(m0, 5, 1, runOrder("g/0", 1))
		s.sendOrders(m1, 5, 1, runOrder("g/1", 1))
		s.advance(6)
		s.expectTask(m0, "g/0", 1, "running")
		s.expectTask(m1, "g/1", 1, "running")
	}
	cases := []struct {
		name string
		run  func(s *testbed)
	}{
		{"task fetches its image, runs and completes", func(s *testbed) {
			s.sendOrders(m0, 5, 1, runOrder("a/0", 1))
			s.advance(0.6)
			s.expectTask(m0, "a/0", 1, "fetching")
			s.advance(5)
			s.expectTask(m0, "a/0", 1, "running")
			s.advance(40)
			s.expectTask(m0, "a/0", 1, "ended done")
		}},
		{"new attempt of a completed task is done once it has its image", func(s *testbed) {
			s.sendOrders(m0, 5, 1, runOrder("a/0", 1))
			s.advance(45)
			s.sendOrders(m1, 5, 1, runOrder("a/0", 2))
			s.advance(4)
			s.expectTask(m1, "a/0", 2, "ended done")
		}},
		{"refusals no_such, in_use and no_room", func(s *testbed) {
			s.sendOrders(m0, 5, 1, runOrder("unsent/0", 1), runOrder("a/9", 1), runOrder("a/0", 1), runOrder("a/0", 2), runOrder("wide/0", 1))
			s.advance(1)
			s.expectTask(m0, "unsent/0", 1, "ended no_such")
			s.expectTask(m0, "a/9", 1, "ended no_such")
			s.expectTask(m0, "a/0", 2, "ended in_use")
			s.expectTask(m0, "wide/0", 1, "ended no_room")
		}},
		{"run has no effect on a known attempt and restarts a forgotten one", func(s *testbed) {
			s.sendOrders(m0, 5, 1, runOrder("a/0", 1), killOrder("a/0", 0), runOrder("a/0", 1))
			s.advance(1)
			s.expectTask(m0, "a/0", 1, "ended stopped")
			s.sendOrders(m0, 5, 1, wire.Order{Op: "forget", Task: "a/0", Attempt: 1}, runOrder("a/0", 1))
			s.advance(1)
			s.expectTask(m0, "a/0", 1, "fetching")
		}},
		{"forget has no effect on a running task", func(s *testbed) {
			s.sendOrders(m0, 5, 1, runOrder("a/0", 1), wire.Order{Op: "forget", Task: "a/0", Attempt: 1})
			s.advance(5)
			s.expectTask(m0, "a/0", 1, "running")
		}},
		{"killed task saves with enough grace, second kill ends it", func(s *testbed) {
			s.sendOrders(m0, 5, 1, runOrder("a/0", 1), runOrder("a/1", 1), runOrder("a/2", 1))
			s.advance(9)
			s.sendOrders(m0, 5, 1, killOrder("a/0", 2), killOrder("a/1", 1), killOrder("a/2", 5))
			s.advance(0.7)
			s.expectTask(m0, "a/0", 1, "saving")
			s.expectTask(m0, "a/1", 1, "ended stopped")
			s.sendOrders(m0, 5, 1, killOrder("a/2", 0))
			s.advance(2.5)
			s.expectTask(m0, "a/0", 1, "ended stopped stored")
			s.expectTask(m0, "a/2", 1, "ended stopped")
			if p := s.env.jobs["a"].progress; p[0] < 5*second || p[0]%(5*second) == 0 || p[1] != 5*second {
				s.t.Errorf("got saved progress %v, want that of a/0 to be at least 5 s and no multiple of 5 s, and 5 s for a/1", p)
			}
		}},
		{"lower token or other session gets status 409 and a report", func(s *testbed) {
			for _, a := range []Answer{s.sendOrders(m0, 4, 1, runOrder("a/0", 1)), s.sendOrders(m0, 5, 2, runOrder("a/0", 1))} {
				if r, ok := a.Body.(*wire.Report); a.Status != 409 || !ok || len(r.Tasks) != 0 {
					s.t.Errorf("got status %d, body %+v, want 409 and a report without tasks", a.Status, a.Body)
				}
			}
		}},
		{"missing token gets status 400", func(s *testbed) {
			s.direct = nil
			s.step(Call{ID: 1, From: "node-0", To: m0, Request: wire.WorkerOrders{}})
			s.advance(0.1)
			if len(s.direct) != 1 || s.direct[0].Status != 400 {
				s.t.Errorf("got responses %+v, want one with status 400", s.direct)
			}
		}},
		{"response with a lower token is dropped and does not renew the lease", func(s *testbed) {
			s.sendOrders(m0, 5, 1, runOrder("a/0", 1))
			s.advance(5)
			s.token = 4
			s.orders[m0] = []wire.Order{killOrder("a/0", 0)}
			s.advance(10)
			s.expectTask(m0, "a/0", 1, "running")
			s.advance(12)
			s.expectTask(m0, "a/0", 1, "none")
			if r := s.last[m0]; r.Session < 2 || r.Token != 5 {
				s.t.Errorf("got session %d, token %d, want session 2 or later, token 5", r.Session, r.Token)
			}
		}},
		{"lease expiry kills and forgets all tasks and starts a new session", func(s *testbed) {
			s.sendOrders(m0, 5, 1, runOrder("a/0", 1))
			s.advance(5)
			s.unavailable = true
			s.advance(19)
			s.unavailable = false
			s.advance(3)
			s.expectTask(m0, "a/0", 1, "none")
			if s.last[m0].Session != 2 {
				s.t.Errorf("got session %d, want 2", s.last[m0].Session)
			}
			if !slices.ContainsFunc(s.events, func(e history.Event) bool { return e.Kind == history.TaskLeft && e.Reason == "lease" }) {
				s.t.Error("got no event of a task that left because of the lease, want one")
			}
		}},
		{"direct commands do not renew the lease", func(s *testbed) {
			s.unavailable = true
			for range 20 {
				s.sendOrders(m0, 5, 1)
				s.advance(1)
			}
			if s.last[m0].Session < 2 {
				s.t.Errorf("got session %d, want 2 or later", s.last[m0].Session)
			}
		}},
		{"gang waits for its last task and starts together", func(s *testbed) {
			s.sendOrders(m0, 5, 1, runOrder("g/0", 1))
			s.advance(5)
			s.expectTask(m0, "g/0", 1, "waiting")
			s.sendOrders(m1, 5, 1, runOrder("g/1", 1))
			s.advance(5)
			s.expectTask(m0, "g/0", 1, "running")
			s.advance(40)
			s.expectTask(m0, "g/0", 1, "ended done")
			s.expectTask(m1, "g/1", 1, "ended done")
		}},
		{"task of another attempt does not complete a gang", func(s *testbed) {
			s.sendOrders(m0, 5, 1, runOrder("g/0", 1))
			s.sendOrders(m1, 5, 1, runOrder("g/1", 2))
			s.advance(10)
			s.expectTask(m0, "g/0", 1, "waiting")
			s.advance(17)
			s.expectTask(m0, "g/0", 1, "ended incomplete")
		}},
		{"replacement task with the same attempt completes a gang before its start", func(s *testbed) {
			s.sendOrders(m0, 5, 1, runOrder("g/0", 1))
			s.advance(5)
			s.sendOrders(m0, 5, 1, killOrder("g/0", 0))
			s.sendOrders(m1, 5, 1, runOrder("g/1", 1))
			s.advance(5)
			s.expectTask(m1, "g/1", 1, "waiting")
			s.sendOrders(m0, 5, 1, wire.Order{Op: "forget", Task: "g/0", Attempt: 1}, runOrder("g/0", 1))
			s.advance(3)
			s.expectTask(m0, "g/0", 1, "running")
			s.expectTask(m1, "g/1", 1, "running")
		}},
		{"gang tasks exit within gang_peer_s when a machine dies", func(s *testbed) {
			gang(s)
			s.env.cloud.fail(s.env.cloud.machine(m0))
			s.advance(5)
			s.expectTask(m1, "g/1", 1, "ended mates_gone")
		}},
		{"gang tasks exit within gang_peer_s when a machine hangs", func(s *testbed) {
			gang(s)
			s.env.cloud.machine(m0).hang()
			s.advance(5)
			s.expectTask(m1, "g/1", 1, "ended mates_gone")
			s.env.cloud.machine(m0).resume()
			s.advance(2)
			s.expectTask(m0, "g/0", 1, "ended mates_gone")
		}},
		{"orderly stop saves all progress of a gang", func(s *testbed) {
			gang(s)
			s.sendOrders(m0, 5, 1, killOrder("g/0", 5))
			s.sendOrders(m1, 5, 1, killOrder("g/1", 5))
			s.advance(4)
			s.expectTask(m0, "g/0", 1, "ended stopped stored")
			s.expectTask(m1, "g/1", 1, "ended stopped stored")
			if p := s.env.jobs["g"].progress[0]; p < 2*second || p%(5*second) == 0 {
				s.t.Errorf("got progress %d µs, want at least 2 s and no multiple of 5 s", p)
			}
		}},
		{"gang tasks without a kill command exit and the save fails", func(s *testbed) {
			gang(s)
			s.advance(5)
			s.sendOrders(m0, 5, 1, killOrder("g/0", 5))
			s.advance(9)
			s.expectTask(m1, "g/1", 1, "ended mates_gone")
			if got := s.lastReported(m0, "g/0", 1); got == "ended stopped stored" {
				s.t.Errorf("got %q for g/0, want that its save is not stored as g/1 did not save", got)
			}
			if p := s.env.jobs["g"].progress[0]; p == 0 || p%(5*second) != 0 {
				s.t.Errorf("got progress %d µs, want that of the last checkpoint, a multiple of 5 s", p)
			}
		}},
		{"gang with too little grace falls back to the last checkpoint", func(s *testbed) {
			gang(s)
			s.advance(5)
			s.sendOrders(m0, 5, 1, killOrder("g/0", 1))
			s.advance(5)
			s.expectTask(m0, "g/0", 1, "ended stopped")
			s.expectTask(m1, "g/1", 1, "ended mates_gone")
		}},
		{"machine that resumes within its lease executes deferred commands", func(s *testbed) {
			s.sendOrders(m0, 5, 1, runOrder("a/0", 1))
			s.advance(5)
			m := s.env.cloud.machine(m0)
			m.hang()
			s.sendOrders(m0, 5, 1, killOrder("a/0", 0))
			s.advance(8)
			m.resume()
			s.advance(1)
			s.expectTask(m0, "a/0", 1, "ended stopped")
		}},
		{"faulty machine fails every task", func(s *testbed) {
			s.env.cloud.machine(m0).faulty = true
			s.sendOrders(m0, 5, 1, runOrder("a/0", 1))
			s.advance(6)
			s.expectTask(m0, "a/0", 1, "ended error")
		}},
		{"spot notice is reported", func(s *testbed) {
			s.env.Spot = Spot{Notice: 10 * second}
			s.env.cloud.reclaim(s.env.cloud.machine(m0))
			s.advance(1)
			if n := s.last[m0].NoticeS; n == nil || *n > 10 || *n < 8 {
				s.t.Errorf("got notice %v, want 8 to 10 s", n)
			}
			s.advance(16)
			if !s.env.cloud.machine(m0).gone {
				s.t.Error("machine still exists after the spot reclaim")
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { tc.run(newTestbed(t)) })
	}
}

// TestRegions checks that the delay between two hosts depends on their zones and regions, and that
// a whole region can be partitioned.
func TestRegions(t *testing.T) {
	n := Network{SameZone: 400, CrossZone: 800, CrossRegion: 8000, Regions: map[string]string{"a": "north", "b": "north", "c": "south"}, HomeRegion: "south"}
	cases := []struct {
		a, b string
		want int64
	}{{"a", "a", 400}, {"a", "b", 800}, {"a", "c", 8000}, {"", "c", 800}, {"", "a", 8000}, {"", "", 400}}
	for _, tc := range cases {
		if got := n.latency(tc.a, tc.b); got != tc.want {
			t.Errorf("delay from zone %q to %q: got %d µs, want %d µs", tc.a, tc.b, got, tc.want)
		}
	}
	plain := Network{SameZone: 400, CrossZone: 800, CrossRegion: 8000}
	if got := plain.latency("a", "c"); got != 800 {
		t.Errorf("delay between zones without regions: got %d µs, want 800 µs", got)
	}
	c := Config{Network: n}
	c.Params.Size, c.Params.Zones = 3, []string{"a", "b", "c"}
	env, err := New(c, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := env.InjectFault(Fault{Kind: "cut", Hosts: []string{"region:north"}, To: []string{"all"}, Duration: second}); err != nil {
		t.Fatal(err)
	}
	for i, want := range []bool{true, true, false} {
		if partitioned, _ := env.LinkState(ControllerName(i), StateHost); partitioned != want {
			t.Errorf("partition between %s and the state service: got %v, want %v", ControllerName(i), partitioned, want)
		}
	}
}
