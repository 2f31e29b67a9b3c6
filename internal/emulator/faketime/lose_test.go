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

// keyKinds of keys that controllers write.
var keyKinds = []string{"job/", "run/", "end/", "leader", "token", "types", "bounds", "hints", "format", "member/", "log/", "reach/", "features"}

// TestEveryWriteLost loses a write of each kind during a take-over: before it is
// executed, its answer alone, and with the write executed five seconds or a minute late. The
// first, the second and the fifth of each kind are lost.
func TestEveryWriteLost(t *testing.T) {
	t.Parallel()
	day := func() *testRun {
		d := newTestRun(31)
		d.Length = 300 * second
		d.addPipelines(2)
		d.announceLowerLimits()
		return d
	}
	for _, e := range day().run(t, nil).History {
		if e.Kind == history.StateChanged && !slices.ContainsFunc(keyKinds, func(k string) bool { return strings.HasPrefix(e.Key, core.Prefix+k) }) {
			t.Fatalf("a kind of write that is not in the table: %s", e.Key)
		}
	}
	var mu sync.Mutex
	met := map[string]int{}
	t.Run("each", func(t *testing.T) {
		for _, kind := range keyKinds {
			for _, how := range []string{"before", "after", "soon", "late"} {
				for _, skip := range []int{0, 1, 4} {
					t.Run(fmt.Sprintf("%s/%s/%d", strings.Trim(kind, "/"), how, skip), func(t *testing.T) {
						t.Parallel()
						d := day()
						l := &environment.TransactionLoss{Prefix: core.Prefix + kind, Skip: skip, Outcome: environment.LossOutcome(how)}
						switch how {
						case "soon":
							l.Outcome, l.Delay = environment.LostLate, 5*second // after newer ones of the same leader
						case "late":
							l.Delay = 60 * second
						}
						crash := faultAt(60, "crash", 0)
						// Users ask everywhere what others read of it meanwhile.
						d.Faults = []fault{{At: 59 * second, Kind: "state_lose", TransactionLoss: l}, crash, faultAt(40, "close_looks", 60)}
						switch kind {
						case "types", "format", "member/", "features":
							d.Faults[0].At = 0 // they are written once, at the start
						case "run/":
							// Progress is stored this way until all controllers
							// are known to have this version.
							d.oneMissing, d.Jobs = true, newTestRun(31).Jobs
						}
						d.runAndCheck(t)
						if l.Matched > skip {
							mu.Lock()
							met[kind]++
							mu.Unlock()
						}
					})
				}
			}
		}
	})
	for _, kind := range keyKinds {
		if met[kind] < 3 {
			t.Errorf("%s: only %d were lost", kind, met[kind])
		}
	}
}

// mixedLoadRun is a day with a third of the kinds of load, by its number.
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
	d.Spot = environment.Spot{PerHour: 2, Silent: 0.3, Notice: 8 * second}
	d.Boot = environment.Boot{Slow: 0.1, Never: 0.05}
	return d
}

// TestDeterministicHistory: two runs of one seed in fake time give the same bytes, and
// another seed gives others. Decisions that followed the order of a map once
// made days differ.
func TestDeterministicHistory(t *testing.T) {
	digest := func(i int, seed uint64) uint64 {
		h := xxhash.New()
		if err := jsonlines.Write(h, mixedLoadRun(t, i, seed).run(t, nil).History); err != nil {
			t.Fatal(err)
		}
		return h.Sum64()
	}
	for i, tc := range sharedFaultCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			seed := uint64(i) + 900
			first := digest(i, seed)
			if digest(i, seed) != first {
				t.Error("other bytes")
			}
			if i < 3 && digest(i, seed+100) == first {
				t.Error("the bytes of another seed")
			}
		})
	}
}

// TestGangInOneZone: on these days a gang waited to the end for machines that were
// rented in zones at random and returned before there were enough in one.
func TestGangInOneZone(t *testing.T) {
	t.Parallel()
	d := mixedLoadRun(t, 2, 20681)
	for i, tc := range sharedFaultCases {
		if tc.name == "the leader hears no worker" {
			d.Faults = sharedFaultCases[i].faults
		}
	}
	d.runAndCheck(t)
	for seed := range uint64(4) { // and with nothing but such gangs and bad boots
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

// TestZoneOutage: a zone is partitioned while gangs start, and no gang runs with only
// part of its tasks. A planted gang of which one task is missing is caught.
func TestZoneOutage(t *testing.T) {
	t.Parallel()
	d := newTestRun(8)
	for i := range d.Jobs {
		if s := &d.Jobs[i].Spec; s.Kind == "gang" {
			s.Tasks, s.OneZone = 3, false // so that its tasks are in both zones
		}
	}
	d.Faults = []fault{faultAt(40, "cut", 60, "zone:b"), faultAt(130, "cut", 45, "zone:a")}
	c := d.runAndCheck(t)
	gangs := 0
	for _, e := range c.History {
		if e.Kind == history.TaskStarted && c.Expectations().Jobs[e.Job].Kind == "gang" {
			gangs++
		}
	}
	if gangs < 20 {
		t.Fatalf("only %d starts of gangs' tasks", gangs)
	}
	planted := slices.DeleteFunc(slices.Clone(c.History), func(e history.Event) bool {
		return e.Kind == history.TaskStarted && c.Expectations().Jobs[e.Job].Kind == "gang" && e.Task == 1
	})
	if b := history.CheckRules(planted, c.Expectations()); len(b) == 0 || b[0].Rule != "part_of_gang" {
		t.Errorf("a part of a gang is not caught: %v", b)
	}
}
