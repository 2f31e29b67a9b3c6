package environment

import (
	"slices"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// stage is a world with two machines and one controller, whose answers the
// cases say.
type stage struct {
	t      *testing.T
	w      *Environment
	now    int64
	events []history.Event
	// token and silent are how the controller answers reports; orders go out
	// with the next answer to each machine.
	token  uint64
	silent bool
	orders map[string][]wire.Order
	last   map[string]*wire.Report
	direct []Answer
}

func newStage(t *testing.T) *stage {
	t.Helper()
	c := Config{
		Seed: 4, RestartTime: 4 * second, Types: []wire.MachineType{{Name: "big", CPUs: 8, MemGB: 32, FetchRate: 1, CacheGB: 4, BootS: 1, Zones: []string{"a"}}},
		Machines: []Machines{{Type: "big", Zone: "a", Count: 2}},
	}
	p := &c.Params
	p.Size, p.Zones, p.Teams = 1, []string{"a"}, []config.Team{{Name: "t"}}
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.GangWaitS, p.Workers.GangPeerS, p.Workers.CancelS = 2, 16, 20, 4, 36
	p.State.RPS, p.State.WriteRPS, p.State.TxnOps = 100, 100, 10
	job := func(id, kind string, tasks int, cpus float64) Job {
		return Job{At: -1, Run: 30 * second, Spec: wire.Job{ID: id, Kind: kind, Tasks: tasks, CPUs: cpus, MemGB: 1, Image: "i", ImageGB: 1, CheckpointS: 5, CheckpointCostS: 2}}
	}
	c.Jobs = []Job{job("a", wire.Array, 4, 2), job("wide", wire.Array, 1, 7), job("g", wire.Gang, 2, 2), job("unsent", wire.Array, 1, 1)}
	s := &stage{t: t, token: 5, orders: map[string][]wire.Order{}, last: map[string]*wire.Report{}}
	w, err := New(c, func(e history.Event) { s.events = append(s.events, e) })
	if err != nil {
		t.Fatal(err)
	}
	s.w = w
	for _, id := range []string{"a", "wide", "g"} {
		w.jobs[id].submitted = true
	}
	s.step(ControllerUp{Controller: "node-0", Up: true})
	s.run(5)
	return s
}

func (s *stage) step(msg any) {
	for _, e := range s.w.Step(s.now, msg) {
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
			if s.silent {
				s.step(AskAnswer{ID: e.ID, Status: 503})
				continue
			}
			orders := s.orders[r.Machine]
			delete(s.orders, r.Machine)
			s.step(AskAnswer{ID: e.ID, Status: 200, Body: wire.HeartbeatAnswer{Token: s.token, Orders: orders}})
		}
	}
}

// run lets so many seconds pass.
func (s *stage) run(seconds float64) {
	end := s.now + config.MicrosOf(seconds)
	for {
		at, ok := s.w.Next()
		if !ok || at > end {
			break
		}
		s.now = max(s.now, at)
		s.step(nil)
	}
	s.now = end
	s.step(nil)
}

// do sends orders to a machine's own address and returns the answer.
func (s *stage) do(machine string, token, session uint64, orders ...wire.Order) Answer {
	s.direct = nil
	s.step(Call{ID: 1, From: "node-0", To: machine, Request: wire.WorkerOrders{Token: &token, Session: &session, Orders: orders}})
	s.run(0.1)
	if len(s.direct) != 1 {
		return Answer{}
	}
	return s.direct[0]
}

func run(task string, attempt uint64) wire.Order {
	return wire.Order{Op: "run", Task: task, Attempt: attempt}
}

func kill(task string, grace float64) wire.Order {
	return wire.Order{Op: "kill", Task: task, Attempt: 1, GraceS: grace}
}

// task is how a machine has last reported an attempt: its state, why and
// whether it is stored.
func (s *stage) task(machine, name string, attempt uint64) string {
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

func (s *stage) is(machine, name string, attempt uint64, want string) {
	s.t.Helper()
	if got := s.task(machine, name, attempt); got != want {
		s.t.Errorf("at %.1f s %s, attempt %d on %s: %q, want %q", float64(s.now)/1e6, name, attempt, machine, got, want)
	}
}

const (
	m0 = "host-000000"
	m1 = "host-000001"
)

// TestWorkers are sentences of the protocol on workers and gangs.
func TestWorkers(t *testing.T) {
	gang := func(s *stage) { // both run
		s.do(m0, 5, 1, run("g/0", 1))
		s.do(m1, 5, 1, run("g/1", 1))
		s.run(6)
		s.is(m0, "g/0", 1, "running")
		s.is(m1, "g/1", 1, "running")
	}
	cases := []struct {
		says string
		play func(s *stage)
	}{
		{"a task fetches its image, runs and is done", func(s *stage) {
			s.do(m0, 5, 1, run("a/0", 1))
			s.run(0.6)
			s.is(m0, "a/0", 1, "fetching")
			s.run(5)
			s.is(m0, "a/0", 1, "running")
			s.run(40)
			s.is(m0, "a/0", 1, "ended done")
		}},
		{"the result is kept: started again it is done as soon as it has its image", func(s *stage) {
			s.do(m0, 5, 1, run("a/0", 1))
			s.run(45)
			s.do(m1, 5, 1, run("a/0", 2))
			s.run(4)
			s.is(m1, "a/0", 2, "ended done")
		}},
		{"no_such, in_use and no_room", func(s *stage) {
			s.do(m0, 5, 1, run("unsent/0", 1), run("a/9", 1), run("a/0", 1), run("a/0", 2), run("wide/0", 1))
			s.run(1)
			s.is(m0, "unsent/0", 1, "ended no_such")
			s.is(m0, "a/9", 1, "ended no_such")
			s.is(m0, "a/0", 2, "ended in_use")
			s.is(m0, "wide/0", 1, "ended no_room")
		}},
		{"run has no effect on an attempt in any state; after forget it starts again", func(s *stage) {
			s.do(m0, 5, 1, run("a/0", 1), kill("a/0", 0), run("a/0", 1))
			s.run(1)
			s.is(m0, "a/0", 1, "ended stopped")
			s.do(m0, 5, 1, wire.Order{Op: "forget", Task: "a/0", Attempt: 1}, run("a/0", 1))
			s.run(1)
			s.is(m0, "a/0", 1, "fetching")
		}},
		{"forget leaves what has not ended", func(s *stage) {
			s.do(m0, 5, 1, run("a/0", 1), wire.Order{Op: "forget", Task: "a/0", Attempt: 1})
			s.run(5)
			s.is(m0, "a/0", 1, "running")
		}},
		{"with enough grace it saves and then exits; a second kill ends it", func(s *stage) {
			s.do(m0, 5, 1, run("a/0", 1), run("a/1", 1), run("a/2", 1))
			s.run(9)
			s.do(m0, 5, 1, kill("a/0", 2), kill("a/1", 1), kill("a/2", 5))
			s.run(0.7)
			s.is(m0, "a/0", 1, "saving")
			s.is(m0, "a/1", 1, "ended stopped")
			s.do(m0, 5, 1, kill("a/2", 0))
			s.run(2.5)
			s.is(m0, "a/0", 1, "ended stopped stored")
			s.is(m0, "a/2", 1, "ended stopped")
			if p := s.w.jobs["a"].progress; p[0] < 5*second || p[0]%(5*second) == 0 || p[1] != 5*second {
				s.t.Errorf("progress saved %v", p)
			}
		}},
		{"a lower token or another session: 409, nothing executed, the report as body", func(s *stage) {
			for _, a := range []Answer{s.do(m0, 4, 1, run("a/0", 1)), s.do(m0, 5, 2, run("a/0", 1))} {
				if r, ok := a.Body.(*wire.Report); a.Status != 409 || !ok || len(r.Tasks) != 0 {
					s.t.Errorf("%d %+v", a.Status, a.Body)
				}
			}
		}},
		{"without a token: 400", func(s *stage) {
			s.direct = nil
			s.step(Call{ID: 1, From: "node-0", To: m0, Request: wire.WorkerOrders{}})
			s.run(0.1)
			if len(s.direct) != 1 || s.direct[0].Status != 400 {
				s.t.Errorf("%+v", s.direct)
			}
		}},
		{"an answer with a lower token is dropped and does not renew the lease", func(s *stage) {
			s.do(m0, 5, 1, run("a/0", 1))
			s.run(5)
			s.token = 4
			s.orders[m0] = []wire.Order{kill("a/0", 0)}
			s.run(10)
			s.is(m0, "a/0", 1, "running")
			s.run(12)
			s.is(m0, "a/0", 1, "none")
			if r := s.last[m0]; r.Session < 2 || r.Token != 5 {
				s.t.Errorf("session %d, token %d", r.Session, r.Token)
			}
		}},
		{"when the lease is over all tasks are killed and forgotten, and the session goes on", func(s *stage) {
			s.do(m0, 5, 1, run("a/0", 1))
			s.run(5)
			s.silent = true
			s.run(19)
			s.silent = false
			s.run(3)
			s.is(m0, "a/0", 1, "none")
			if s.last[m0].Session != 2 {
				s.t.Errorf("session %d", s.last[m0].Session)
			}
			if !slices.ContainsFunc(s.events, func(e history.Event) bool { return e.Kind == history.TaskLeft && e.Reason == "lease" }) {
				s.t.Error("no task was killed")
			}
		}},
		{"direct commands do not renew the lease", func(s *stage) {
			s.silent = true
			for range 20 {
				s.do(m0, 5, 1)
				s.run(1)
			}
			if s.last[m0].Session < 2 {
				s.t.Error("it is still in its first session")
			}
		}},
		{"a gang waits for its last task, and starts together", func(s *stage) {
			s.do(m0, 5, 1, run("g/0", 1))
			s.run(5)
			s.is(m0, "g/0", 1, "waiting")
			s.do(m1, 5, 1, run("g/1", 1))
			s.run(5)
			s.is(m0, "g/0", 1, "running")
			s.run(40)
			s.is(m0, "g/0", 1, "ended done")
			s.is(m1, "g/1", 1, "ended done")
		}},
		{"another attempt does not complete it, and it ends as incomplete", func(s *stage) {
			s.do(m0, 5, 1, run("g/0", 1))
			s.do(m1, 5, 1, run("g/1", 2))
			s.run(10)
			s.is(m0, "g/0", 1, "waiting")
			s.run(17)
			s.is(m0, "g/0", 1, "ended incomplete")
		}},
		{"before the start a replacement with the same attempt completes it", func(s *stage) {
			s.do(m0, 5, 1, run("g/0", 1))
			s.run(5)
			s.do(m0, 5, 1, kill("g/0", 0))
			s.do(m1, 5, 1, run("g/1", 1))
			s.run(5)
			s.is(m1, "g/1", 1, "waiting")
			s.do(m0, 5, 1, wire.Order{Op: "forget", Task: "g/0", Attempt: 1}, run("g/0", 1))
			s.run(3)
			s.is(m0, "g/0", 1, "running")
			s.is(m1, "g/1", 1, "running")
		}},
		{"if one of a running gang disappears the others notice within gang_peer_s", func(s *stage) {
			gang(s)
			s.w.cloud.died(s.w.cloud.machine(m0))
			s.run(5)
			s.is(m1, "g/1", 1, "ended mates_gone")
		}},
		{"and if its machine hangs", func(s *stage) {
			gang(s)
			s.w.cloud.machine(m0).hang()
			s.run(5)
			s.is(m1, "g/1", 1, "ended mates_gone")
			s.w.cloud.machine(m0).resume()
			s.run(2)
			s.is(m0, "g/0", 1, "ended mates_gone")
		}},
		{"an orderly stop saves all of its progress", func(s *stage) {
			gang(s)
			s.do(m0, 5, 1, kill("g/0", 5))
			s.do(m1, 5, 1, kill("g/1", 5))
			s.run(4)
			s.is(m0, "g/0", 1, "ended stopped stored")
			s.is(m1, "g/1", 1, "ended stopped stored")
			if p := s.w.jobs["g"].progress[0]; p < 2*second || p%(5*second) == 0 {
				s.t.Errorf("progress %d", p)
			}
		}},
		{"tasks that are not told in time exit, and the save fails", func(s *stage) {
			gang(s)
			s.run(5)
			s.do(m0, 5, 1, kill("g/0", 5))
			s.run(9)
			s.is(m1, "g/1", 1, "ended mates_gone")
			if got := s.task(m0, "g/0", 1); got == "ended stopped stored" {
				s.t.Error("the save of one of two is stored")
			}
			if p := s.w.jobs["g"].progress[0]; p == 0 || p%(5*second) != 0 {
				s.t.Errorf("progress %d, want that of the last checkpoint", p)
			}
		}},
		{"with too little grace it falls back to the last checkpoint", func(s *stage) {
			gang(s)
			s.run(5)
			s.do(m0, 5, 1, kill("g/0", 1))
			s.run(5)
			s.is(m0, "g/0", 1, "ended stopped")
			s.is(m1, "g/1", 1, "ended mates_gone")
		}},
		{"a hanging machine may go on within its lease, and does what came meanwhile", func(s *stage) {
			s.do(m0, 5, 1, run("a/0", 1))
			s.run(5)
			m := s.w.cloud.machine(m0)
			m.hang()
			s.do(m0, 5, 1, kill("a/0", 0))
			s.run(8)
			m.resume()
			s.run(1)
			s.is(m0, "a/0", 1, "ended stopped")
		}},
		{"a faulty machine fails every task", func(s *stage) {
			s.w.cloud.machine(m0).faulty = true
			s.do(m0, 5, 1, run("a/0", 1))
			s.run(6)
			s.is(m0, "a/0", 1, "ended error")
		}},
		{"a spot notice is reported", func(s *stage) {
			s.w.Spot = Spot{Notice: 10 * second}
			s.w.cloud.reclaim(s.w.cloud.machine(m0))
			s.run(1)
			if n := s.last[m0].NoticeS; n == nil || *n > 10 || *n < 8 {
				s.t.Errorf("notice %v", n)
			}
			s.run(16)
			if !s.w.cloud.machine(m0).gone {
				s.t.Error("it is still there")
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.says, func(t *testing.T) { tc.play(newStage(t)) })
	}
}

// TestRegions: the delay between two hosts goes by their zones and regions, and a
// region can be cut off as a whole.
func TestRegions(t *testing.T) {
	n := Network{SameZone: 400, CrossZone: 800, CrossRegion: 8000, Regions: map[string]string{"a": "north", "b": "north", "c": "south"}, HomeRegion: "south"}
	cases := []struct {
		a, b string
		want int64
	}{{"a", "a", 400}, {"a", "b", 800}, {"a", "c", 8000}, {"", "c", 800}, {"", "a", 8000}, {"", "", 400}}
	for _, tc := range cases {
		if got := n.latency(tc.a, tc.b); got != tc.want {
			t.Errorf("%q to %q: %d, want %d", tc.a, tc.b, got, tc.want)
		}
	}
	plain := Network{SameZone: 400, CrossZone: 800, CrossRegion: 8000}
	if got := plain.latency("a", "c"); got != 800 {
		t.Errorf("without regions: %d", got)
	}
	c := Config{Network: n}
	c.Params.Size, c.Params.Zones = 3, []string{"a", "b", "c"}
	w, err := New(c, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := w.InjectFault(Fault{Kind: "cut", Hosts: []string{"region:north"}, To: []string{"all"}, Duration: second}); err != nil {
		t.Fatal(err)
	}
	for i, want := range []bool{true, true, false} {
		if cut, _ := w.LinkState(ControllerName(i), StateHost); cut != want {
			t.Errorf("%s is cut: %v", ControllerName(i), cut)
		}
	}
}
