package testbed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/ledger"
)

// forecast is the text of a sweep of a times b sets; each fit awaits its clean-up.
func forecast(id string, a, b, pending int) string {
	return fmt.Sprintf(`id: %q pending: %d
		job { herd: "s" steward: "red" shape: "sweep" urgency: "normal" vcpus: 1 mem_gb: 1 seedstock: "im-s" pull_gb: 0.5 }
		set { field: "hands" is: "1 + a %% 3" }
		set { field: "expect_s" is: "4 + b" }
		set { field: "awaits" is: "[run(b=0)] if b == 1 else []" }
		parameter { name: "a" range { from: 1 to: %d } } parameter { name: "b" range { from: 0 to: %d } }`, id, pending, a, b-1)
}

// sweeping is a small day with a sweep and some other work.
func sweeping(seed uint64, s Sweep) Day {
	d := small(seed)
	d.Settings.Ops.Sweeps = true
	d.Jobs = d.Jobs[:6]
	d.Sweeps = []Sweep{s}
	return d
}

// accountFor plays a day to its end and checks that each run of its sweeps came to
// one end, told the same by every controller.
func accountFor(t *testing.T, d Day, begin func(*Cluster)) *Cluster {
	t.Helper()
	var listed [][]core.SweepRun
	c := play(d, func(c *Cluster) {
		if begin != nil {
			begin(c)
		}
		c.at(d.Length-max(20*second, d.Length/10), func() {
			for _, n := range c.nodes {
				for _, u := range c.sweeps {
					n.pages(u.sub.Plan.ID, func(r []core.SweepRun) { listed = append(listed, r) })
				}
			}
		})
	})
	c.Check.Finish()
	wrong := c.Check.Broken
	if len(listed) != len(c.nodes)*len(c.sweeps) {
		wrong = append(wrong, fmt.Sprintf("%d controllers have listed the runs", len(listed)))
	}
	for i, r := range listed {
		wrong = append(wrong, Account(c.sweeps[i%len(c.sweeps)].sub.Plan, r, c.state.log)...)
	}
	for _, u := range c.sweeps {
		if u.over == "" {
			wrong = append(wrong, "sweep "+u.sub.Plan.ID+" is not over")
		}
	}
	if len(wrong) > 0 {
		t.Errorf("%s", strings.Join(wrong[:min(len(wrong), 12)], "\n"))
	}
	return c
}

// TestSweeps plays sweeps of 200 runs through crashes, outages and lost answers.
func TestSweeps(t *testing.T) {
	random := func(seed uint64) (l []Fault) {
		r := rand.New(rand.NewPCG(seed, 3))
		for range 6 {
			l = append(l, Fault{At: 10*second + r.Int64N(120*second), Kind: "crash", Who: r.IntN(4) - 1})
		}
		return l
	}
	cases := []struct {
		name   string
		cancel int64
		faults func(seed uint64) []Fault
		loss   float64
		tight  bool
	}{
		{name: "quiet"},
		{name: "controllers crash at random", faults: random},
		{name: "cancelled halfway, while controllers crash", cancel: 45 * second, faults: random},
		{name: "answers are lost", loss: 0.08, faults: random},
		{name: "answers are lost, and it is cancelled", loss: 0.08, cancel: 60 * second},
		{name: "limits fall", tight: true, faults: func(uint64) []Fault {
			return []Fault{{At: 30 * second, Kind: "limits"}, {At: 40 * second, Kind: "crash", Who: -1}}
		}},
		{name: "the state service goes, and all crash", faults: func(uint64) []Fault {
			return []Fault{{At: 35 * second, For: 30 * second, Kind: "state"}, {At: 50 * second, Kind: "crash", Who: -1}}
		}},
		{name: "cancelled before an outage", cancel: 39 * second, faults: func(uint64) []Fault {
			return []Fault{{At: 40 * second, For: 30 * second, Kind: "state"}, {At: 41 * second, For: 60 * second, Kind: "cut", Who: 0}}
		}},
	}
	for i, tc := range cases {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", tc.name, seed), func(t *testing.T) {
				d := sweeping(uint64(i)*10+seed+501, Sweep{At: 12 * second, Run: 4 * second, Cancel: tc.cancel, Times: 10, Text: forecast("rain", 100, 2, 40)})
				d.Length = 500 * second
				if tc.tight {
					tighten(&d)
				}
				if tc.faults != nil {
					d.Faults = tc.faults(seed)
				}
				d.Loss = tc.loss
				c := accountFor(t, d, nil)
				if want := ledger.Done; tc.cancel == 0 && c.sweeps[0].over != want {
					t.Errorf("it is %q", c.sweeps[0].over)
				}
			})
		}
	}
}

// TestSweepLargest plays 10,000 runs under the tightest limits, through three
// crashes: values of 2 KiB, four changes a transaction, 18 a second.
func TestSweepLargest(t *testing.T) {
	pairs, length := 5000, int64(4500)
	if raceEnabled || testing.Short() {
		pairs, length = 300, 700 // it is the same code, many times as slow
	}
	d := sweeping(11, Sweep{At: 12 * second, Run: 2 * second, Times: 3, Text: forecast("tight", pairs, 2, 100)})
	tighten(&d)
	d.Machines, d.Length = 30, length*second
	d.Faults = []Fault{{At: 20 * second, Kind: "limits"}, {At: 90 * second, Kind: "crash", Who: -1}, {At: 120 * second, Kind: "crash", Who: 0}, {At: 150 * second, Kind: "crash", Who: -1}}
	c := accountFor(t, d, nil)
	if c.sweeps[0].over != ledger.Done || c.state.Malformed > 3 {
		t.Errorf("it is %q, and %d transactions went beyond the limits", c.sweeps[0].over, c.state.Malformed)
	}
}

// TestSweepBoundaries cancels a sweep, and ends all controllers, after each
// transaction that has to do with it.
func TestSweepBoundaries(t *testing.T) {
	boundaries := 0
	about := func(w core.Write) bool {
		return strings.Contains(w.Key, "sweep") // its keys, and those of its runs
	}
	day := func() Day {
		d := sweeping(7, Sweep{At: 8 * second, Run: 3 * second, Text: forecast("edge", 12, 2, 8)})
		d.Length = 240 * second
		return d
	}
	play(day(), func(c *Cluster) {
		c.state.written = func(w []core.Write) {
			if slices.ContainsFunc(w, about) {
				boundaries++
			}
		}
	})
	if boundaries < 10 {
		t.Fatalf("only %d transactions", boundaries)
	}
	outcomes := map[string]int{}
	for k := 1; k <= boundaries; k++ {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			c := accountFor(t, day(), func(c *Cluster) {
				n := 0
				c.state.written = func(w []core.Write) {
					if slices.ContainsFunc(w, about) {
						if n++; n == k {
							c.after(1, c.sweeps[0].withdraw)
							c.after(int64(k%3)*20_000, func() {
								for _, n := range c.nodes {
									n.crash()
								}
							})
						}
					}
				}
			})
			outcomes[c.sweeps[0].over]++
		})
	}
	if outcomes[ledger.Cancelled] < boundaries/2 {
		t.Errorf("outcomes %v", outcomes)
	}
}

// TestAccountCatches plants faults of accounting.
func TestAccountCatches(t *testing.T) {
	spec := func(id string) *ledger.Spec { return &ledger.Spec{ID: id, Tasks: 1} }
	plan := &core.SweepPlan{Specs: []*ledger.Spec{spec("sweep.s.0"), spec("sweep.s.1")}, Values: []json.RawMessage{json.RawMessage(`{"a":1}`), json.RawMessage(`{"a":2}`)}}
	put := func(key, value string) core.Change { return core.Change{Key: core.Prefix + key, Value: []byte(value)} }
	gone := func(key string) core.Change { return core.Change{Key: core.Prefix + key, Removed: true} }
	done := `{"o":"done","n":1}`
	good := []core.Change{put("job/sweep.s.0", "{}"), put("job/sweep.s.1", "{}"), put("end/sweep.s.0", done), gone("job/sweep.s.0"), put("end/sweep.s.1", done), gone("job/sweep.s.1")}
	runs := []core.SweepRun{{Number: 0, ID: "sweep.s.0", State: ledger.Done, Values: plan.Values[0]}, {Number: 1, ID: "sweep.s.1", State: ledger.Done, Values: plan.Values[1]}}
	cases := []struct {
		name  string
		runs  []core.SweepRun
		log   []core.Change
		wants string
	}{
		{"all is well", runs, good, ""},
		{"a run is created twice", runs, append(slices.Clone(good), put("job/sweep.s.0", "{}")), "created 2 times"},
		{"a run is lost", runs, append(slices.Clone(good[:4]), gone("job/sweep.s.1")), "never ended"},
		{"a run is not listed", runs[:1], good, "run 1 is not listed"},
		{"a run is listed twice", append(slices.Clone(runs), runs[0]), good, "run 0 is listed twice"},
		{"a run has another's values", []core.SweepRun{runs[0], {Number: 1, ID: "sweep.s.1", State: ledger.Done, Values: plan.Values[0]}}, good, "run 1 is listed as"},
		{"a run is called done and was never created", runs, good[:0], "its end is"},
		{"a run ends twice", runs, append(slices.Clone(good), put("end/sweep.s.0", done)), "a second end"},
	}
	for _, tc := range cases {
		got := strings.Join(Account(plan, tc.runs, tc.log), "; ")
		if tc.wants == "" && got != "" || tc.wants != "" && !strings.Contains(got, tc.wants) {
			t.Errorf("%s: %q", tc.name, got)
		}
	}
}

// BenchmarkSweeps is what runs cost as a sweep and as jobs submitted singly, in
// fake time: changes of the state service and seconds until all are done, and how
// long ordinary submissions take meanwhile.
func BenchmarkSweeps(b *testing.B) {
	for _, n := range []int{200, 2000, 10_000} {
		for _, as := range []string{"none", "sweep", "jobs"} {
			b.Run(fmt.Sprint(n, "/", as), func(b *testing.B) {
				for b.Loop() {
					d := small(3)
					d.Settings.Ops.Sweeps = true
					d.Settings.State.RPS, d.Settings.State.WriteRPS, d.Settings.State.TxnOps = 250, 100, 48
					d.Machines, d.Jobs = 40, nil
					d.Length = int64(60+n/4) * second
					for k := range 200 {
						spec := ledger.Spec{ID: fmt.Sprintf("job-%03d", k), Team: "blue", Kind: ledger.Array, Tasks: 1, Need: ledger.Vec{CPU: 500}, Estimate: second}
						d.Jobs = append(d.Jobs, Job{At: 20*second + int64(k)*d.Length/260, Run: second, Spec: spec})
					}
					text := forecast("many", n/2, 2, 400)
					sub, err := api.DecodeSweep([]byte(text))
					if err != nil {
						b.Fatal(err)
					}
					switch as {
					case "sweep":
						d.Sweeps = []Sweep{{At: 15 * second, Run: 2 * second, Text: text}}
					case "jobs":
						for i, s := range sub.Plan.Specs {
							spec := *s
							spec.ID, spec.Sweep, spec.Awaits = fmt.Sprintf("run-%05d", i), "", nil
							d.Jobs = append(d.Jobs, Job{At: 15*second + int64(i)*second/40, Run: 2 * second, Spec: spec})
						}
					}
					c := Play(d)
					var took []int64
					last := int64(0)
					for _, ch := range c.state.log {
						if strings.HasPrefix(ch.Key, core.Prefix+"end/") && !strings.HasPrefix(ch.Key, core.Prefix+"end/job-") {
							last = int64(ch.Stamp)
						}
					}
					for id, u := range c.users {
						if strings.HasPrefix(id, "job-") && u.accepted {
							took = append(took, u.took)
						}
					}
					slices.Sort(took)
					b.ReportMetric(float64(len(c.state.log)), "changes")
					b.ReportMetric(float64(c.state.when(uint64(last)))/1e6-15, "s-until-done")
					b.ReportMetric(float64(took[len(took)/2])/1e3, "ms-accept-p50")
					b.ReportMetric(float64(took[len(took)*99/100])/1e3, "ms-accept-p99")
				}
			})
		}
	}
}
