package faketime

import (
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
)

// kindOfWrite is a row of the table of writes in docs/design.md.
type kindOfWrite struct {
	keys string // how they begin, after core.Prefix
	// once: the key is only ever created. Else each write is conditional on the
	// version that it follows, or on that of another key which is written in the
	// same transaction.
	once   bool
	beside string
	leader bool // conditional on the leadership, too
	lease  bool // on the writer's lease
}

// writes are all that controllers write. Longer beginnings come first.
var writes = []kindOfWrite{
	{keys: "job/"}, // created, ended by whoever cancels it, removed by the leader
	{keys: "end/", once: true},
	{keys: "run/", leader: true},
	{keys: "log/", leader: true},
	{keys: "leader", once: true, lease: true},
	{keys: "token"},
	{keys: "types", leader: true},
	{keys: "bounds", leader: true},
	{keys: "hints/", leader: true},
	{keys: "format", leader: true},
	{keys: "features", leader: true},
	{keys: "member/", lease: true},
	{keys: "reach/", lease: true},
	{keys: "gone/"},
	{keys: "sweepat/", leader: true, beside: "sweepat/"},
	{keys: "sweepend/", once: true},
	{keys: "sweep/", once: true, beside: "sweep/"},
}

// TestWrites: a write that gets no answer may be executed seconds later, after
// newer ones of the same controller, or twice with its repeat. What makes that
// harmless is on what each is conditional: so a write of a kind that is not in the
// table, or without the conditions that the table has, fails.
func TestWrites(t *testing.T) {
	t.Parallel()
	met := map[string]int{}
	check := func(e core.CommitTransaction) {
		on := map[string]uint64{}
		for _, c := range e.Conditions {
			on[c.Key] = c.Revision
		}
		for _, x := range e.Writes {
			i := slices.IndexFunc(writes, func(k kindOfWrite) bool { return strings.HasPrefix(x.Key, core.Prefix+k.keys) })
			if i < 0 {
				t.Errorf("%s is not in the table", x.Key)
				continue
			}
			k := writes[i]
			met[k.keys]++
			stamp, own := on[x.Key]
			_, leads := on[core.Prefix+"leader"]
			beside := k.beside != "" && slices.ContainsFunc(e.Writes, func(o core.Write) bool {
				_, ok := on[o.Key]
				return ok && strings.HasPrefix(o.Key, core.Prefix+k.beside) && strings.HasPrefix(x.Key, o.Key)
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
	play := func(d *day) {
		t.Helper()
		if _, err := Run(d.Config, Options{Operators: d.ops, OneMissing: d.missing, OnTransaction: check}); err != nil {
			t.Fatal(err)
		}
	}
	piped := small(41)
	piped.piped(4)
	piped.tighten()
	piped.AnswerLoss = 0.03
	piped.Faults = []fault{at(60, "crash", 0), at(90, "cut", 20, environment.ControllerName(0)), {At: 110 * second, Duration: 60 * second, Kind: "late_writes", Share: 0.2}}
	play(piped)
	first := small(42) // in the first format, as one controller is missing
	first.missing = true
	first.Faults = []fault{at(60, "crash", 0)}
	play(first)
	sweeps := sweeping(t, 43, environment.Sweep{At: 12 * second, Run: 4 * second, Cancel: 60 * second, Times: 2, Text: forecast("rain", 40, 40)})
	play(sweeps)
	for _, k := range writes {
		if k.keys != "gone/" && met[k.keys] == 0 { // operators write it, see TestSetGone
			t.Errorf("%s was not written", k.keys)
		}
	}
}
