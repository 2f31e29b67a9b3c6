package faketime

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
	"github.com/zinclb/zinclb/internal/jsonlines"
)

// keyKinds are the prefixes of the keys that controllers write.
var keyKinds = []string{"job/", "run/", "end/", "leader", "token", "types", "bounds", "hints", "format", "member/", "log/", "reach/", "features"}

// TestEveryWriteLost loses a write of each kind during a failover: the write itself, only its
// answer, or the answer while the write is executed five seconds or a minute late. The first,
// the second or the fifth write of each kind is lost.
func TestEveryWriteLost(t *testing.T) {
	t.Parallel()
	newRun := func() *testRun {
		d := newTestRun(31)
		d.Length = 300 * second
		d.addPipelines(2)
		d.announceLowerLimits()
		return d
	}
	for _, e := range newRun().run(t, nil).History {
		if e.Kind == history.StateChanged && !slices.ContainsFunc(keyKinds, func(k string) bool { return strings.HasPrefix(e.Key, core.Prefix+k) }) {
			t.Fatalf("write of key %s, whose kind is not in keyKinds", e.Key)
		}
	}
	var mu sync.Mutex
	lostCases := map[string]int{}
	t.Run("each", func(t *testing.T) {
		for _, kind := range keyKinds {
			for _, outcome := range []string{"before", "after", "soon", "late"} {
				for _, skip := range []int{0, 1, 4} {
					t.Run(fmt.Sprintf("%s/%s/%d", strings.Trim(kind, "/"), outcome, skip), func(t *testing.T) {
						t.Parallel()
						d := newRun()
						loss := &environment.TransactionLoss{Prefix: core.Prefix + kind, Skip: skip, Outcome: environment.LossOutcome(outcome)}
						switch outcome {
						case "soon":
							loss.Outcome, loss.Delay = environment.LostLate, 5*second // executed after newer writes of the same leader
						case "late":
							loss.Delay = 60 * second
						}
						crash := faultAt(60, "crash", 0)
						// From 40 s to 100 s, users query all controllers for the affected jobs.
						d.Faults = []fault{{At: 59 * second, Kind: "state_lose", TransactionLoss: loss}, crash, faultAt(40, "close_looks", 60)}
						switch kind {
						case "types", "format", "member/", "features":
							d.Faults[0].At = 0 // these keys are written once, at the start
						case "run/":
							// Progress is stored in these keys until all
							// controllers are known to run this version.
							d.oneMissing, d.Jobs = true, newTestRun(31).Jobs
						}
						d.runAndCheck(t)
						if loss.Matched > skip {
							mu.Lock()
							lostCases[kind]++
							mu.Unlock()
						}
					})
				}
			}
		}
	})
	for _, kind := range keyKinds {
		if lostCases[kind] < 3 {
			t.Errorf("%s: %d cases lost a write, want at least 3", kind, lostCases[kind])
		}
	}
}

// mixedLoadRun returns a run of the shared fault case i. Its load is jobs alone, jobs and
// pipelines, or jobs and a sweep, chosen by i modulo 3.
func mixedLoadRun(tb testing.TB, i int, seed uint64) *testRun {
	tb.Helper()
	d := newTestRun(seed)
	switch i % 3 {
	case 1:
		d.addPipelines(8)
		d.announceLowerLimits()
	case 2:
		d = newSweepRun(tb, seed, environment.Sweep{At: 12 * second, Run: 4 * second, Times: 3, Text: sweepText("rain", 40, 40)})
	}
	d.Length = 500 * second
	d.Faults, d.AnswerLoss = sharedFaultCases[i].faults, sharedFaultCases[i].loss
	d.Spot = environment.Spot{PerHour: 2, SilentShare: 0.3, Notice: 8 * second}
	d.Boot = environment.Boot{Slow: 0.1, Never: 0.05}
	return d
}

// TestDeterministicHistory checks that two runs of the same seed give the same history byte
// for byte, and that another seed gives a different one. It guards against decisions that depend
// on the iteration order of a map, which once made runs differ.
func TestDeterministicHistory(t *testing.T) {
	digest := func(i int, seed uint64) uint64 {
		hash := xxhash.New()
		if err := jsonlines.Write(hash, mixedLoadRun(t, i, seed).run(t, nil).History); err != nil {
			t.Fatal(err)
		}
		return hash.Sum64()
	}
	for i, tc := range sharedFaultCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			seed := uint64(i) + 900
			first := digest(i, seed)
			if digest(i, seed) != first {
				t.Error("two runs of the same seed gave different histories, want the same")
			}
			if i < 3 && digest(i, seed+100) == first {
				t.Error("another seed gave the same history, want a different one")
			}
		})
	}
}

// TestGangInOneZone guards against a gang that has to run in one zone and never starts: machines
// were rented in random zones, and returned before there were enough of them in one zone.
func TestGangInOneZone(t *testing.T) {
	t.Parallel()
	d := mixedLoadRun(t, 2, 20681)
	for i, tc := range sharedFaultCases {
		if tc.name == "controllers reach no worker" {
			d.Faults = sharedFaultCases[i].faults
		}
	}
	d.runAndCheck(t)
	for seed := range uint64(4) { // only such gangs, on machines that often boot slowly or never
		d := newTestRun(40 + seed)
		d.Boot, d.Jobs, d.Machines = environment.Boot{Slow: 0.3, Never: 0.2}, d.Jobs[:4], nil
		for i := range d.Jobs {
			j := &d.Jobs[i]
			j.At, j.Cancel = int64(10+40*i)*second, 0
			j.Spec = wire.Job{ID: j.Spec.ID, Class: "c", Team: "red", Priority: "normal", Kind: wire.Gang, Tasks: 4, CPUs: 10, GPUs: 2, MemGB: 30, Image: "i", ImageGB: 1, OneZone: true, EstimateS: 20}
		}
		d.runAndCheck(t)
	}
}

// TestZoneOutage partitions a zone while gangs start, and checks that no gang runs with only
// part of its tasks. It also checks that the rule detects a gang one of whose tasks was removed
// from the history.
func TestZoneOutage(t *testing.T) {
	t.Parallel()
	d := newTestRun(8)
	for i := range d.Jobs {
		if spec := &d.Jobs[i].Spec; spec.Kind == "gang" {
			spec.Tasks, spec.OneZone = 3, false // so that its tasks are in both zones
		}
	}
	d.Faults = []fault{faultAt(40, "cut", 60, "zone:b"), faultAt(130, "cut", 45, "zone:a")}
	c := d.runAndCheck(t)
	gangTasks := 0
	for _, e := range c.History {
		if e.Kind == history.TaskStarted && c.Expectations().Jobs[e.Job].Kind == "gang" {
			gangTasks++
		}
	}
	if gangTasks < 20 {
		t.Fatalf("%d tasks of gangs were started, want at least 20", gangTasks)
	}
	incomplete := slices.DeleteFunc(slices.Clone(c.History), func(e history.Event) bool {
		return e.Kind == history.TaskStarted && c.Expectations().Jobs[e.Job].Kind == "gang" && e.Task == 1
	})
	if violations := history.CheckRules(incomplete, c.Expectations()); len(violations) == 0 || violations[0].Rule != "part_of_gang" {
		t.Errorf("history with an incomplete gang: got violations %v, want part_of_gang first", violations)
	}
}
