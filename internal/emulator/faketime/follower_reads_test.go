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

// newFollowerRun returns a run in which users query all controllers and cancel jobs, so that
// followers have to answer immediately after a change through another controller.
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

// followerReads counts the reads that followers send to the leader.
type followerReads struct {
	sent, answered, failed int
	// err is the error of the first fault that could not be injected.
	err error
	// onRead, if set, is called with each read from the leader between 20 s and 170 s.
	onRead func(c *Cluster, node, leader string)
}

// runWithFollowers runs the configuration and counts the reads. It calls injectFaults at the given
// interval from 20 s to 170 s.
func (d *testRun) runWithFollowers(t *testing.T, reads *followerReads, interval int64, injectFaults func(c *Cluster, inject func(environment.Fault), i int), programs func(node, epoch int) upgrade.Program) *Cluster {
	t.Helper()
	var cluster *Cluster
	options := Options{
		Operators: d.ops, Programs: programs,
		OnQuery: func(node string, read core.ReadFromLeader) {
			reads.sent++
			if reads.onRead != nil && cluster.Now() > 20*second && cluster.Now() < 170*second {
				reads.onRead(cluster, node, read.To)
			}
		},
		OnQueryEnd: func(_ string, done *core.LeaderReadDone) {
			if done.Answer.View != nil {
				reads.answered++
			} else {
				reads.failed++
			}
		},
		OnStart: func(c *Cluster) {
			cluster = c
			inject := func(f environment.Fault) { c.ScheduleFaults(&reads.err, f) }
			for i := range int(150 * second / interval) {
				c.After(20*second+int64(i)*interval, func() { injectFaults(c, inject, i) })
			}
		},
	}
	c, err := Run(d.Config, options)
	if err != nil || reads.err != nil {
		t.Fatal(err, reads.err)
	}
	return c
}

// TestFollowerReads injects faults between a follower's read from the leader and its answer,
// with 3, 5 and 12 controllers. No rule may be violated, no user may get a state older than
// one that was answered before, and all accepted jobs have to end.
func TestFollowerReads(t *testing.T) {
	nothing := func(*Cluster, func(environment.Fault), int) {}
	// atRead injects a fault into the leader at every nth read, with a delay of 0 to
	// 900 µs, while the read is on its way.
	atRead := func(nth int, f environment.Fault) func(reads *followerReads) {
		return func(reads *followerReads) {
			n := 0
			reads.onRead = func(c *Cluster, _, leader string) {
				if n++; n%nth == 0 {
					f.Hosts = []string{leader}
					f.At = int64(n/nth%4) * 300
					c.ScheduleFaults(&reads.err, f)
				}
			}
		}
	}
	type faultCase struct {
		name         string
		interval     int64
		injectFaults func(c *Cluster, inject func(environment.Fault), i int)
		setup        func(reads *followerReads)
		// wantFailures is set if some reads have to fail.
		wantFailures bool
	}
	faultCases := []faultCase{
		{name: "no faults", interval: 150 * second, injectFaults: nothing},
		{name: "the leader crashes", interval: 150 * second, injectFaults: nothing, setup: atRead(150, environment.Fault{Kind: "crash"}), wantFailures: true},
		{name: "the leader restarts immediately", interval: 150 * second, injectFaults: nothing, setup: atRead(150, environment.Fault{Kind: "crash", Duration: 200_000}), wantFailures: true},
		{name: "the leader is frozen for longer than its lease", interval: 150 * second, injectFaults: nothing, setup: atRead(200, environment.Fault{Kind: "freeze", Duration: 5 * second}), wantFailures: true},
		{name: "answers are lost one way", interval: 20 * second, wantFailures: true, injectFaults: func(c *Cluster, inject func(environment.Fault), _ int) {
			n := c.LeaderFirst()
			inject(environment.Fault{Kind: "cut", Hosts: n[:1], To: n[1:2], Duration: 8 * second, PartitionMode: environment.PartitionMode{OneWay: true}})
		}},
		{name: "reads are lost one way", interval: 20 * second, wantFailures: true, injectFaults: func(c *Cluster, inject func(environment.Fault), _ int) {
			n := c.LeaderFirst()
			inject(environment.Fault{Kind: "cut", Hosts: n[1:2], To: n[:1], Duration: 8 * second, PartitionMode: environment.PartitionMode{OneWay: true}})
		}},
		{name: "answers are delayed", interval: 1500_000, wantFailures: true, injectFaults: func(c *Cluster, inject func(environment.Fault), i int) {
			n := c.LeaderFirst()
			inject(environment.Fault{Kind: "cut", Hosts: n[:1], To: n[1:], Duration: 150_000 + int64(i%5)*100_000})
		}},
		{name: "ten leaders in two minutes", interval: 13 * second, wantFailures: true, injectFaults: func(c *Cluster, inject func(environment.Fault), i int) {
			inject(environment.Fault{Kind: "crash", Hosts: c.LeaderFirst()[:1], Duration: int64(1+i%2*3) * second})
		}},
		{name: "the leader is refused by the state service", interval: 30 * second, injectFaults: func(c *Cluster, inject func(environment.Fault), _ int) {
			inject(environment.Fault{Kind: "state_refuse", Hosts: c.LeaderFirst()[:1], Duration: 6 * second})
		}, wantFailures: true},
	}
	links := []string{environment.StateHost, "controllers", "workers"}
	for subset := 1; subset < 1<<len(links); subset++ {
		var to []string
		for i, link := range links {
			if subset>>i&1 == 1 {
				to = append(to, link)
			}
		}
		faultCases = append(faultCases, faultCase{name: "a follower partitioned from " + strings.Join(to, ", "), interval: 25 * second, injectFaults: func(c *Cluster, inject func(environment.Fault), _ int) {
			inject(environment.Fault{Kind: "cut", Hosts: c.LeaderFirst()[1:2], To: to, Duration: 12 * second})
		}})
	}
	for k, size := range []int{3, 5, 12} {
		for i, tc := range faultCases {
			if raceEnabled && (i+k)%4 != 0 {
				continue
			}
			t.Run(fmt.Sprintf("%d controllers/%s", size, tc.name), func(t *testing.T) {
				t.Parallel()
				reads := &followerReads{}
				if tc.setup != nil {
					tc.setup(reads)
				}
				d := newFollowerRun(uint64(900+20*k+i), size)
				c := d.runWithFollowers(t, reads, tc.interval, tc.injectFaults, nil)
				checkRun(t, c)
				if reads.answered < 100 || tc.wantFailures && reads.failed == 0 {
					t.Errorf("got %d reads, %d of them answered, want at least 100 answered; got %d failed reads, want at least one: %v", reads.sent, reads.answered, reads.failed, tc.wantFailures)
				}
			})
		}
	}
}

// TestFollowerReadsMixedVersions checks that no follower reads from the leader while one
// controller runs an older program without follower reads, and that no rule is violated if a
// controller goes back to the older program after the feature has been activated.
func TestFollowerReadsMixedVersions(t *testing.T) {
	current := upgrade.CurrentProgram()
	older := current
	older.Version, older.Features = 4, current.Features[:len(current.Features)-1]
	cases := []struct {
		name      string
		programs  func(node, epoch int) upgrade.Program
		wantReads bool
	}{
		{"one controller is older", func(node, _ int) upgrade.Program {
			return map[bool]upgrade.Program{true: older, false: current}[node == 1]
		}, false},
		{"all controllers are older at first", func(_, epoch int) upgrade.Program {
			return map[bool]upgrade.Program{true: older, false: current}[epoch == 1]
		}, true},
		{"one controller goes back to the older program", func(node, epoch int) upgrade.Program {
			return map[bool]upgrade.Program{true: older, false: current}[node == 1 && epoch > 1]
		}, true},
	}
	for k, size := range []int{3, 5, 12} {
		for i, tc := range cases {
			if raceEnabled && i != k {
				continue
			}
			t.Run(fmt.Sprintf("%d controllers/%s", size, tc.name), func(t *testing.T) {
				t.Parallel()
				reads := &followerReads{}
				d := newFollowerRun(uint64(970+3*k+i), size)
				c := d.runWithFollowers(t, reads, 6*second, func(_ *Cluster, inject func(environment.Fault), i int) {
					inject(environment.Fault{Kind: "crash", Hosts: []string{environment.ControllerName(i % size)}})
				}, tc.programs)
				checkRun(t, c)
				if tc.wantReads != (reads.sent > 0) {
					t.Errorf("got %d reads from the leader, want any: %v", reads.sent, tc.wantReads)
				}
			})
		}
	}
}

// TestStaleFollowerReads checks that the rules detect a leader that answers with a state that
// it read before the request arrived, or that keeps answering from its state after another
// controller became the leader.
func TestStaleFollowerReads(t *testing.T) {
	stale := func(read *core.LeaderReadDone) {
		read.Err, read.Answer = nil, core.Reply{Status: 200, View: &replica.View{Revision: read.AfterRevision, Ordered: true}}
	}
	cases := []struct {
		name string
		// tamper changes an answer; since is the time since the current leader was elected.
		tamper func(read *core.LeaderReadDone, since int64)
		want   bool
	}{
		{"answers are unchanged", func(*core.LeaderReadDone, int64) {}, false},
		{"the answer is older than the request", func(read *core.LeaderReadDone, _ int64) { stale(read) }, true},
		{"the answer is older than the change of leader", func(read *core.LeaderReadDone, since int64) {
			if since < 10*second {
				stale(read)
			}
		}, true},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := newFollowerRun(uint64(990+i), 3)
			var cluster *Cluster
			electedAt := int64(0)
			var failed error
			c, err := Run(d.Config, Options{
				Operators: d.ops,
				OnEvent: func(e history.Event) {
					if e.Kind == history.StateChanged && e.Key == core.LeaderKey && e.State == "put" {
						electedAt = e.At
					}
				},
				OnQueryEnd: func(_ string, read *core.LeaderReadDone) { tc.tamper(read, cluster.Now()-electedAt) },
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
				t.Errorf("got violations %v, want any: %v", found, tc.want)
			}
		})
	}
}
