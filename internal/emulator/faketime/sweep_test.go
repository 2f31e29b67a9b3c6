package faketime

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/scenario"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// sweepText returns the text of a sweep with the given number of pairs of runs; the second run of
// each pair depends on the first.
func sweepText(id string, pairs, pending int) string {
	return fmt.Sprintf(`id: %q pending: %d
		job { herd: "s" steward: "red" shape: "sweep" urgency: "normal" vcpus: 1 mem_gb: 1 seedstock: "im-s" pull_gb: 0.5 }
		set { field: "hands" is: "1 + a %% 3" }
		set { field: "expect_s" is: "4 + b" }
		set { field: "awaits" is: "[run(b=0)] if b == 1 else []" }
		parameter { name: "a" range { from: 1 to: %d } } parameter { name: "b" range { from: 0 to: 1 } }`, id, pending, pairs)
}

// newSweepRun returns a run with a sweep and six other jobs.
func newSweepRun(tb testing.TB, seed uint64, s environment.Sweep) *testRun {
	tb.Helper()
	d := newTestRun(seed)
	d.ops.Sweeps = true
	d.Jobs = d.Jobs[:6]
	d.Sweeps = []environment.Sweep{expandSweep(tb, s)}
	return d
}

// expandSweep returns the sweep with its runs filled in.
func expandSweep(tb testing.TB, s environment.Sweep) environment.Sweep {
	tb.Helper()
	s, err := scenario.Expand(s)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// checkSweep runs d and checks that each run of its sweeps has exactly one end, which every
// controller lists. It returns the last final state of a sweep that a response to a user showed.
func checkSweep(t *testing.T, d *testRun, onStart func(*Cluster)) (finalState string) {
	t.Helper()
	var listed [][]core.SweepRun
	c := d.run(t, func(c *Cluster) {
		if onStart != nil {
			onStart(c)
		}
		c.After(d.Length-max(20*second, d.Length/10), func() {
			for _, controller := range c.Controllers {
				for _, s := range d.Sweeps {
					controller.listAllSweepRuns(s.ID, func(runs []core.SweepRun) { listed = append(listed, runs) })
				}
			}
		})
	})
	errs := c.Violations()
	if len(listed) != len(c.Controllers)*len(d.Sweeps) {
		errs = append(errs, fmt.Sprintf("got %d lists of runs, want %d", len(listed), len(c.Controllers)*len(d.Sweeps)))
	}
	for i, runs := range listed {
		errs = append(errs, sweepRunErrors(&d.Sweeps[i%len(d.Sweeps)], runs, c.History)...)
	}
	for _, e := range c.History {
		if e.Kind == history.ResponseReceived && strings.HasPrefix(e.Job, "sweep:") && (e.State == wire.Done || e.State == wire.Cancelled) {
			finalState = e.State
		}
	}
	if finalState == "" {
		errs = append(errs, "got no response that shows that the sweep has ended, want one")
	}
	if len(errs) > 0 {
		t.Errorf("%s", strings.Join(errs[:min(len(errs), 12)], "\n"))
	}
	return finalState
}

// listAllSweepRuns requests all runs of a sweep from a controller, page by page, and calls done
// with them. A second after a request has failed, it repeats the request.
func (n *Controller) listAllSweepRuns(id string, done func([]core.SweepRun)) {
	var runs []core.SweepRun
	var next func(after int)
	next = func(after int) {
		n.Request(func(req uint64) any { return core.ListSweepRuns{RequestID: req, ID: id, After: after, Limit: 70} }, func(reply core.Reply) {
			if reply.Runs == nil {
				n.cluster.After(second, func() { next(after) })
				return
			}
			runs = append(runs, reply.Runs.Runs...)
			if reply.Runs.Next == 0 {
				done(runs)
				return
			}
			next(reply.Runs.Next)
		})
	}
	next(0)
}

// sweepRunErrors returns the errors in the listed runs of a sweep that has ended: each run has
// to be listed once, with its values, and in the state of its stored end.
func sweepRunErrors(sweep *environment.Sweep, runs []core.SweepRun, events []history.Event) []string {
	var errs []string
	fail := func(format string, args ...any) { errs = append(errs, fmt.Sprintf(format, args...)) }
	ends, created := map[string]string{}, map[string]int{}
	exists := map[string]bool{}
	for _, e := range events {
		if id, ok := strings.CutPrefix(e.Key, core.Prefix+"job/"); ok {
			put := e.State == "put"
			if put && !exists[id] {
				created[id]++
			}
			exists[id] = put
		}
		if id, ok := strings.CutPrefix(e.Key, core.Prefix+"end/"); ok {
			var end jobstate.End
			if err := json.Unmarshal([]byte(e.Value), &end); err != nil || ends[id] != "" {
				fail("%s has a second end, or an end that cannot be decoded", id)
			}
			ends[id] = end.Outcome
		}
	}
	listed := map[int]core.SweepRun{}
	for _, run := range runs {
		if _, listedTwice := listed[run.Number]; listedTwice {
			fail("run %d is listed twice", run.Number)
		}
		listed[run.Number] = run
	}
	if len(listed) != len(sweep.Jobs) {
		fail("%d runs are listed, want %d", len(listed), len(sweep.Jobs))
	}
	for i, j := range sweep.Jobs {
		run, ok := listed[i]
		switch {
		case !ok:
			fail("run %d is not listed", i)
		case run.ID != j.ID || string(run.Values) != sweep.Values[i]:
			fail("run %d is listed as %s with values %s, want %s with values %s", i, run.ID, run.Values, j.ID, sweep.Values[i])
		case created[j.ID] > 1:
			fail("run %d was created %d times", i, created[j.ID])
		case created[j.ID] == 1 && ends[j.ID] == "":
			fail("run %d was created and never ended", i)
		case created[j.ID] == 1 && ends[j.ID] != run.State || created[j.ID] == 0 && run.State != jobstate.Cancelled:
			fail("run %d is listed as %s, but its end is %q", i, run.State, ends[j.ID])
		}
	}
	slices.Sort(errs)
	return errs
}

// TestSweeps runs sweeps of 200 runs through crashes, outages and lost answers.
func TestSweeps(t *testing.T) {
	random := func(seed uint64) (faults []fault) {
		rng := rand.New(rand.NewPCG(seed, 3))
		for range 6 {
			f := faultAt(10+rng.Int64N(120), "crash", 0)
			if n := rng.IntN(4); n < 3 {
				f.Hosts = []string{environment.ControllerName(n)}
			}
			faults = append(faults, f)
		}
		return faults
	}
	cases := []struct {
		name   string
		cancel int64
		faults func(seed uint64) []fault
		loss   float64
		tight  bool
	}{
		{name: "no faults"},
		{name: "controllers crash at random", faults: random},
		{name: "cancelled halfway, while controllers crash", cancel: 45 * second, faults: random},
		{name: "answers are lost", loss: 0.08, faults: random},
		{name: "answers are lost, and the sweep is cancelled", loss: 0.08, cancel: 60 * second},
		{name: "limits are lowered", tight: true, faults: func(uint64) []fault {
			return []fault{faultAt(30, "state_limits", 0), faultAt(40, "crash", 0)}
		}},
		{name: "state outage, and all controllers crash", faults: func(uint64) []fault {
			return []fault{faultAt(35, "state_outage", 30), faultAt(50, "crash", 0)}
		}},
		{name: "cancelled before an outage", cancel: 39 * second, faults: func(uint64) []fault {
			return []fault{faultAt(40, "state_outage", 30), faultAt(41, "cut", 60, "node-0")}
		}},
	}
	for i, tc := range cases {
		for seed := range seedCount() {
			t.Run(fmt.Sprintf("%s/%d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				d := newSweepRun(t, uint64(i)*10+seed+501, environment.Sweep{At: 12 * second, Run: 4 * second, Cancel: tc.cancel, Times: 10, Text: sweepText("rain", 100, 40)})
				d.Length = 500 * second
				if tc.tight {
					d.announceLowerLimits()
				}
				if tc.faults != nil {
					d.Faults = tc.faults(seed)
				}
				d.AnswerLoss = tc.loss
				finalState := checkSweep(t, d, nil)
				if tc.cancel == 0 && finalState != wire.Done {
					t.Errorf("the sweep ended as %q, want %q", finalState, wire.Done)
				}
			})
		}
	}
}

// TestLargestSweep runs a sweep of 10,000 runs through three crashes under the tightest limits:
// values of 2 KiB, four changes per transaction, 18 changes per second.
func TestLargestSweep(t *testing.T) {
	t.Parallel()
	pairs, length := 5000, int64(4500)
	if raceEnabled || testing.Short() {
		pairs, length = 300, 700 // the race detector makes the same code many times slower
	}
	d := newSweepRun(t, 11, environment.Sweep{At: 12 * second, Run: 2 * second, Times: 3, Text: sweepText("tight", pairs, 100)})
	d.announceLowerLimits()
	d.setMachines(30)
	d.Length = length * second
	d.Faults = []fault{faultAt(20, "state_limits", 0), faultAt(90, "crash", 0), faultAt(120, "crash", 0, "node-0"), faultAt(150, "crash", 0)}
	if finalState := checkSweep(t, d, nil); finalState != wire.Done {
		t.Errorf("the sweep ended as %q, want %q", finalState, wire.Done)
	}
}

// TestSweepCancelledAtEachWrite repeats the same simulation once for each transaction that changes
// a key of the sweep or its runs. Shortly after that transaction, it cancels the sweep and crashes
// all controllers.
func TestSweepCancelledAtEachWrite(t *testing.T) {
	t.Parallel()
	isSweepChange := func(e history.Event) bool {
		return e.Kind == history.StateChanged && strings.Contains(e.Key, "sweep") // the keys of the sweep and of its runs
	}
	newRun := func() *testRun {
		d := newSweepRun(t, 7, environment.Sweep{At: 8 * second, Run: 3 * second, Text: sweepText("edge", 12, 8)})
		d.Length = 240 * second
		return d
	}
	boundaries := map[int64]bool{}
	for _, e := range newRun().run(t, nil).History {
		if isSweepChange(e) {
			boundaries[e.At] = true
		}
	}
	if len(boundaries) < 10 {
		t.Fatalf("got %d transactions about the sweep, want at least 10", len(boundaries))
	}
	outcomes := map[string]int{}
	for k := 1; k <= len(boundaries); k++ {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			finalState := checkSweep(t, newRun(), func(c *Cluster) {
				n, last := 0, int64(0)
				c.OnEvent = func(e history.Event) {
					if !isSweepChange(e) || e.At == last {
						return
					}
					last = e.At
					if n++; n == k {
						c.After(1, func() { c.Environment.CancelSweep("edge") })
						c.After(int64(k%3)*20_000, func() {
							if err := c.InjectFault(faultAt(0, "crash", 0)); err != nil {
								t.Error(err)
							}
						})
					}
				}
			})
			outcomes[finalState]++
		})
	}
	if outcomes[wire.Cancelled] < len(boundaries)/2 {
		t.Errorf("got outcomes %v, want at least %d cancelled", outcomes, len(boundaries)/2)
	}
}

// TestSweepRunErrors checks that sweepRunErrors detects errors in the list of runs and in the
// history.
func TestSweepRunErrors(t *testing.T) {
	sweep := &environment.Sweep{Jobs: []wire.Job{{ID: "sweep.s.0", Tasks: 1}, {ID: "sweep.s.1", Tasks: 1}}, Values: []string{`{"a":1}`, `{"a":2}`}}
	put := func(key, value string) history.Event {
		return history.Event{Kind: history.StateChanged, Key: core.Prefix + key, Value: value, State: "put"}
	}
	removed := func(key string) history.Event {
		return history.Event{Kind: history.StateChanged, Key: core.Prefix + key, State: "removed"}
	}
	done := `{"o":"done","n":1}`
	valid := []history.Event{put("job/sweep.s.0", "{}"), put("job/sweep.s.1", "{}"), put("end/sweep.s.0", done), removed("job/sweep.s.0"), put("end/sweep.s.1", done), removed("job/sweep.s.1")}
	runs := []core.SweepRun{{Number: 0, ID: "sweep.s.0", State: jobstate.Done, Values: json.RawMessage(sweep.Values[0])}, {Number: 1, ID: "sweep.s.1", State: jobstate.Done, Values: json.RawMessage(sweep.Values[1])}}
	cases := []struct {
		name string
		runs []core.SweepRun
		log  []history.Event
		want string
	}{
		{"no error", runs, valid, ""},
		{"a run is created twice", runs, append(slices.Clone(valid), put("job/sweep.s.0", "{}")), "created 2 times"},
		{"a run is lost", runs, append(slices.Clone(valid[:4]), removed("job/sweep.s.1")), "never ended"},
		{"a run is not listed", runs[:1], valid, "run 1 is not listed"},
		{"a run is listed twice", append(slices.Clone(runs), runs[0]), valid, "run 0 is listed twice"},
		{"a run has the values of another", []core.SweepRun{runs[0], {Number: 1, ID: "sweep.s.1", State: jobstate.Done, Values: json.RawMessage(sweep.Values[0])}}, valid, "run 1 is listed as"},
		{"a run is listed as done but was never created", runs, valid[:0], "its end is"},
		{"a run ends twice", runs, append(slices.Clone(valid), put("end/sweep.s.0", done)), "a second end"},
	}
	for _, tc := range cases {
		got := strings.Join(sweepRunErrors(sweep, tc.runs, tc.log), "; ")
		if tc.want == "" && got != "" || tc.want != "" && !strings.Contains(got, tc.want) {
			t.Errorf("%s: got errors %q, want %q", tc.name, got, tc.want)
		}
	}
}

// BenchmarkSweeps measures the cost of runs submitted as a sweep and as single jobs, in
// simulated time: the changes in the state service, the seconds until all runs are done, and the
// time to acceptance of other jobs submitted at the same time.
func BenchmarkSweeps(b *testing.B) {
	for _, n := range []int{200, 2000, 10_000} {
		for _, submittedAs := range []string{"none", "sweep", "jobs"} {
			b.Run(fmt.Sprint(n, "/", submittedAs), func(b *testing.B) {
				for b.Loop() {
					d := newTestRun(3)
					d.ops.Sweeps = true
					d.Params.State.RPS, d.Params.State.WriteRPS, d.Params.State.TxnOps = 250, 100, 48
					d.setMachines(40)
					d.Jobs = nil
					d.Length = int64(60+n/4) * second
					for k := range 200 {
						spec := wire.Job{ID: fmt.Sprintf("job-%03d", k), Class: "c", Image: "i", Priority: "normal", Team: "blue", Kind: wire.Array, Tasks: 1, CPUs: 0.5, EstimateS: 1}
						d.Jobs = append(d.Jobs, job{At: 20*second + int64(k)*d.Length/260, Run: second, Spec: spec})
					}
					sweep := expandSweep(b, environment.Sweep{At: 15 * second, Run: 2 * second, Text: sweepText("many", n/2, 400)})
					switch submittedAs {
					case "sweep":
						d.Sweeps = []environment.Sweep{sweep}
					case "jobs":
						for i, spec := range sweep.Jobs {
							spec.ID, spec.DependsOn = fmt.Sprintf("run-%05d", i), nil
							d.Jobs = append(d.Jobs, job{At: 15*second + int64(i)*second/40, Run: 2 * second, Spec: spec})
						}
					}
					c := d.run(b, nil)
					changes, lastEnd := 0, int64(0)
					firstSent, acceptTimes := map[string]int64{}, []int64{}
					for _, e := range c.History {
						switch {
						case e.Kind == history.StateChanged:
							changes++
							if strings.HasPrefix(e.Key, core.Prefix+"end/") && !strings.HasPrefix(e.Key, core.Prefix+"end/job-") {
								lastEnd = e.At
							}
						case !strings.HasPrefix(e.Job, "job-") || e.Op != history.Submit:
						case e.Kind == history.RequestSent && firstSent[e.Job] == 0:
							firstSent[e.Job] = e.At
						case e.Kind == history.ResponseReceived && e.Status == 201:
							acceptTimes = append(acceptTimes, e.At-firstSent[e.Job])
						}
					}
					slices.Sort(acceptTimes)
					b.ReportMetric(float64(changes), "changes")
					b.ReportMetric(float64(lastEnd)/1e6-15, "s-until-done")
					b.ReportMetric(float64(acceptTimes[len(acceptTimes)/2])/1e3, "ms-accept-p50")
					b.ReportMetric(float64(acceptTimes[len(acceptTimes)*99/100])/1e3, "ms-accept-p99")
				}
			})
		}
	}
}
