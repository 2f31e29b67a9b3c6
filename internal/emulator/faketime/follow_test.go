package faketime

import (
	"fmt"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/replica"
	"github.com/zinclb/zinclb/internal/core/upgrade"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
)

// newFollowerRun is a run in which users probe all controllers and cancel, so that newFollowerRun have
// to answer right after something has happened elsewhere.
func newFollowerRun(seed uint64, size int) *testRun {
	d := newTestRun(seed)
	d.Params.Size, d.Length = size, 270*second
	d.Params.State.RPS = float64(60 + 15*size)
	d.StrayRequestRate = 1
	d.Faults = []fault{faultAt(15, "close_looks", 240)}
	for i := range d.Jobs {
		if i%3 == 0 {
			d.Jobs[i].Cancel = d.Jobs[i].At + 3*second + int64(i)*second
		}
	}
	return d
}

// followerReads counts the reads of the followers from the leader.
type followerReads struct {
	sent, answered, failed int
	// err is that of the first fault that could not be injected.
	err error
	// onRead, if set, is called with each read from the leader, while faults last.
	onRead func(c *Cluster, node, leader string)
}

// runWithFollowers runs a day, with a fault every so often from 20 s to 170 s.
func (d *testRun) runWithFollowers(t *testing.T, f *followerReads, every int64, again func(c *Cluster, inject func(environment.Fault), i int), programs func(node, epoch int) upgrade.Program) *Cluster {
	t.Helper()
	var cluster *Cluster
	o := Options{
		Operators: d.ops, Programs: programs,
		OnQuery: func(node string, q core.ReadFromLeader) {
			f.sent++
			if f.onRead != nil && cluster.Now() > 20*second && cluster.Now() < 170*second {
				f.onRead(cluster, node, q.To)
			}
		},
		OnQueryEnd: func(_ string, s *core.LeaderReadDone) {
			if s.Answer.View != nil {
				f.answered++
			} else {
				f.failed++
			}
		},
		OnStart: func(c *Cluster) {
			cluster = c
			inject := func(x environment.Fault) { c.ScheduleFaults(&f.err, x) }
			for i := range int(150 * second / every) {
				c.After(20*second+int64(i)*every, func() { again(c, inject, i) })
			}
		},
	}
	c, err := Run(d.Config, o)
	if err != nil || f.err != nil {
		t.Fatal(err, f.err)
	}
	return c
}

// TestFollowerReads plays what may come between a follower's question and its answer,
// with 3, 5 and 12 controllers. No rule is broken, nobody is told anything older than
// before, and all that was accepted comes to its end.
func TestFollowerReads(t *testing.T) {
	nothing := func(*Cluster, func(environment.Fault), int) {}
	// atQuestion injects a fault into the leader at every so manieth question, as
	// long as it takes the question to arrive.
	atQuestion := func(nth int, x environment.Fault) func(f *followerReads) {
		return func(f *followerReads) {
			n := 0
			f.onRead = func(c *Cluster, _, leader string) {
				if n++; n%nth == 0 {
					x.Hosts = []string{leader}
					x.At = int64(n/nth%4) * 300
					c.ScheduleFaults(&f.err, x)
				}
			}
		}
	}
	type faultCase struct {
		name  string
		every int64
		again func(c *Cluster, inject func(environment.Fault), i int)
		meet  func(f *followerReads)
		// fails: some questions have to go unanswered.
		fails bool
	}
	faultCases := []faultCase{
		{name: "calm", every: 150 * second, again: nothing},
		{name: "the one asked ends", every: 150 * second, again: nothing, meet: atQuestion(150, environment.Fault{Kind: "crash"}), fails: true},
		{name: "the one asked is back at once", every: 150 * second, again: nothing, meet: atQuestion(150, environment.Fault{Kind: "crash", Duration: 200_000}), fails: true},
		{name: "the one asked stands still for longer than its lease", every: 150 * second, again: nothing, meet: atQuestion(200, environment.Fault{Kind: "freeze", Duration: 5 * second}), fails: true},
		{name: "answers are lost one way", every: 20 * second, fails: true, again: func(c *Cluster, inject func(environment.Fault), _ int) {
			n := c.LeaderFirst()
			inject(environment.Fault{Kind: "cut", Hosts: n[:1], To: n[1:2], Duration: 8 * second, PartitionMode: environment.PartitionMode{OneWay: true}})
		}},
		{name: "questions are lost one way", every: 20 * second, fails: true, again: func(c *Cluster, inject func(environment.Fault), _ int) {
			n := c.LeaderFirst()
			inject(environment.Fault{Kind: "cut", Hosts: n[1:2], To: n[:1], Duration: 8 * second, PartitionMode: environment.PartitionMode{OneWay: true}})
		}},
		{name: "answers come late", every: 1500_000, fails: true, again: func(c *Cluster, inject func(environment.Fault), i int) {
			n := c.LeaderFirst()
			inject(environment.Fault{Kind: "cut", Hosts: n[:1], To: n[1:], Duration: 150_000 + int64(i%5)*100_000})
		}},
		{name: "ten leaders in two minutes", every: 13 * second, fails: true, again: func(c *Cluster, inject func(environment.Fault), i int) {
			inject(environment.Fault{Kind: "crash", Hosts: c.LeaderFirst()[:1], Duration: int64(1+i%2*3) * second})
		}},
		{name: "the leader is refused by the state service", every: 30 * second, again: func(c *Cluster, inject func(environment.Fault), _ int) {
			inject(environment.Fault{Kind: "state_refuse", Hosts: c.LeaderFirst()[:1], Duration: 6 * second})
		}, fails: true},
	}
	links := []string{environment.StateHost, "controllers", "workers"}
	for subset := 1; subset < 1<<len(links); subset++ {
		var to []string
		for i, l := range links {
			if subset>>i&1 == 1 {
				to = append(to, l)
			}
		}
		faultCases = append(faultCases, faultCase{name: "a follower without " + strings.Join(to, ", "), every: 25 * second, again: func(c *Cluster, inject func(environment.Fault), _ int) {
			inject(environment.Fault{Kind: "cut", Hosts: c.LeaderFirst()[1:2], To: to, Duration: 12 * second})
		}})
	}
	for k, size := range []int{3, 5, 12} {
		for i, x := range faultCases {
			if raceEnabled && (i+k)%4 != 0 {
				continue
			}
			t.Run(fmt.Sprintf("%d controllers/%s", size, x.name), func(t *testing.T) {
				t.Parallel()
				f := &followerReads{}
				if x.meet != nil {
					x.meet(f)
				}
				d := newFollowerRun(uint64(900+20*k+i), size)
				c := d.runWithFollowers(t, f, x.every, x.again, nil)
				checkRun(t, c)
				if f.answered < 100 || x.fails && f.failed == 0 {
					t.Errorf("%d questions, %d answers, %d without one", f.sent, f.answered, f.failed)
				}
			})
		}
	}
}

// TestFollowerReadsMixedVersions: beside a program that shares nothing nobody asks the leader, and
// one that comes back when all share reads does no harm.
func TestFollowerReadsMixedVersions(t *testing.T) {
	this := upgrade.CurrentProgram()
	before := this
	before.Version, before.Features = 4, this.Features[:len(this.Features)-1]
	cases := []struct {
		name     string
		programs func(node, epoch int) upgrade.Program
		asks     bool
	}{
		{"one is older", func(node, _ int) upgrade.Program {
			return map[bool]upgrade.Program{true: before, false: this}[node == 1]
		}, false},
		{"all are older at first", func(_, epoch int) upgrade.Program {
			return map[bool]upgrade.Program{true: before, false: this}[epoch == 1]
		}, true},
		{"one goes back to the older", func(node, epoch int) upgrade.Program {
			return map[bool]upgrade.Program{true: before, false: this}[node == 1 && epoch > 1]
		}, true},
	}
	for k, size := range []int{3, 5, 12} {
		for i, tc := range cases {
			if raceEnabled && i != k {
				continue
			}
			t.Run(fmt.Sprintf("%d controllers/%s", size, tc.name), func(t *testing.T) {
				t.Parallel()
				f := &followerReads{}
				d := newFollowerRun(uint64(970+3*k+i), size)
				c := d.runWithFollowers(t, f, 6*second, func(_ *Cluster, inject func(environment.Fault), i int) {
					inject(environment.Fault{Kind: "crash", Hosts: []string{environment.ControllerName(i % size)}})
				}, tc.programs)
				checkRun(t, c)
				if tc.asks != (f.sent > 0) {
					t.Errorf("%d questions", f.sent)
				}
			})
		}
	}
}

// TestFollowersPlanted: a leader that shows what it read before the question came, or
// that goes on answering by what it knew when another leads, is found out.
func TestFollowersPlanted(t *testing.T) {
	stale := func(s *core.LeaderReadDone) {
		s.Err, s.Answer = nil, core.Reply{Status: 200, View: &replica.View{Revision: s.AfterRevision}}
	}
	cases := []struct {
		name string
		// tamper changes an answer; since is for how long the present leader leads.
		tamper func(s *core.LeaderReadDone, since int64)
		want   bool
	}{
		{"nothing is planted", func(*core.LeaderReadDone, int64) {}, false},
		{"a proof older than the request", func(s *core.LeaderReadDone, _ int64) { stale(s) }, true},
		{"a proof kept over a change of leader", func(s *core.LeaderReadDone, since int64) {
			if since < 10*second {
				stale(s)
			}
		}, true},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := newFollowerRun(uint64(990+i), 3)
			var cluster *Cluster
			led := int64(0)
			var failed error
			c, err := Run(d.Config, Options{
				Operators: d.ops,
				OnEvent: func(e history.Event) {
					if e.Kind == history.StateChanged && e.Key == core.LeaderKey && e.State == "put" {
						led = e.At
					}
				},
				OnQueryEnd: func(_ string, s *core.LeaderReadDone) { tc.tamper(s, cluster.Now()-led) },
				OnStart: func(c *Cluster) {
					cluster = c
					for i := range 8 {
						c.After(int64(25+18*i)*second, func() {
							c.ScheduleFaults(&failed, environment.Fault{Kind: "crash", Hosts: c.LeaderFirst()[:1]})
						})
					}
				},
			})
			if err != nil || failed != nil {
				t.Fatal(err, failed)
			}
			if found := c.Violations(); (len(found) > 0) != tc.want {
				t.Errorf("found %v", found)
			}
		})
	}
}
