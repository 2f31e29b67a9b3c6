package faketime

import (
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
)

// writeKind is a row of the table of writes in docs/design.md.
type writeKind struct {
	keyPrefix string // how they begin, after core.Prefix
	// once: the key is only ever created. Else each write is conditional on the
	// version that it follows, or on that of another key which is written in the
	// same transaction.
	once        bool
	guardPrefix string
	leader      bool // conditional on the leadership, too
	lease       bool // on the writer's lease
}

// writeKinds are all that controllers write. Longer beginnings come first.
var writeKinds = []writeKind{
	{keyPrefix: "job/"}, // created, ended by whoever cancels it, removed by the leader
	{keyPrefix: "end/", once: true},
	{keyPrefix: "run/", leader: true},
	{keyPrefix: "log/", leader: true},
	{keyPrefix: "leader", once: true, lease: true},
	{keyPrefix: "token"},
	{keyPrefix: "types", leader: true},
	{keyPrefix: "bounds", leader: true},
	{keyPrefix: "hints/", leader: true},
	{keyPrefix: "format", leader: true},
	{keyPrefix: "features", leader: true},
	{keyPrefix: "member/", lease: true},
	{keyPrefix: "reach/", lease: true},
	{keyPrefix: "gone/"},
	{keyPrefix: "sweepat/", leader: true, guardPrefix: "sweepat/"},
	{keyPrefix: "sweepend/", once: true},
	{keyPrefix: "sweep/", once: true, guardPrefix: "sweep/"},
}

// TestWriteConditions: a write that gets no answer may be executed seconds later, after
// newer ones of the same controller, or twice with its repeat. What makes that
// harmless is on what each is conditional: so a write of a kind that is not in the
// table, or without the conditions that the table has, fails.
func TestWriteConditions(t *testing.T) {
	t.Parallel()
	met := map[string]int{}
	check := func(e core.CommitTransaction) {
		on := map[string]uint64{}
		for _, c := range e.Conditions {
			on[c.Key] = c.Revision
		}
		for _, x := range e.Writes {
			i := slices.IndexFunc(writeKinds, func(k writeKind) bool { return strings.HasPrefix(x.Key, core.Prefix+k.keyPrefix) })
			if i < 0 {
				t.Errorf("%s is not in the table", x.Key)
				continue
			}
			k := writeKinds[i]
			met[k.keyPrefix]++
			stamp, own := on[x.Key]
			_, leads := on[core.Prefix+"leader"]
			beside := k.guardPrefix != "" && slices.ContainsFunc(e.Writes, func(o core.Write) bool {
				_, ok := on[o.Key]
				return ok && strings.HasPrefix(o.Key, core.Prefix+k.guardPrefix) && strings.HasPrefix(x.Key, o.Key)
			})
			switch {
			case !own && !beside:
				t.Errorf("%s is not conditional on what it follows: %v", x.Key, e.Conditions)
			case k.once && own && stamp != 0:
				t.Errorf("%s is written over version %d", x.Key, stamp)
			case k.leader && !leads:
				t.Errorf("%s is not conditional on the leadership: %v", x.Key, e.Conditions)
			case k.lease != (x.Lease != 0):
				t.Errorf("%s has lease %d", x.Key, x.Lease)
			}
		}
	}
	play := func(d *testRun) {
		t.Helper()
		if _, err := Run(d.Config, Options{Operators: d.ops, OneMissing: d.oneMissing, OnTransaction: check}); err != nil {
			t.Fatal(err)
		}
	}
	piped := newTestRun(41)
	piped.addPipelines(4)
	piped.announceLowerLimits()
	piped.AnswerLoss = 0.03
	piped.Faults = []fault{faultAt(60, "crash", 0), faultAt(90, "cut", 20, environment.ControllerName(0)), {At: 110 * second, Duration: 60 * second, Kind: "late_writes", Share: 0.2}}
	play(piped)
	first := newTestRun(42) // in the first format, as one controller is missing
	first.oneMissing = true
	first.Faults = []fault{faultAt(60, "crash", 0)}
	play(first)
	sweeps := newSweepRun(t, 43, environment.Sweep{At: 12 * second, Run: 4 * second, Cancel: 60 * second, Times: 2, Text: sweepText("rain", 40, 40)})
	play(sweeps)
	for _, k := range writeKinds {
		if k.keyPrefix != "gone/" && met[k.keyPrefix] == 0 { // operators write it, see TestSetGone
			t.Errorf("%s was not written", k.keyPrefix)
		}
	}
}
