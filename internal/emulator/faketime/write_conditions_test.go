package faketime

import (
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
)

// writeKind is a row of the table of writes in docs/design.md. It describes the writes to the
// keys with a prefix.
type writeKind struct {
	keyPrefix string // prefix of the keys, after core.Prefix
	// Each write is conditional on the revision of its key that it follows. If the key is
	// only ever created, once is set and this revision is 0. If guardPrefix is set, the
	// condition may instead be on another key that begins with guardPrefix, is a prefix of
	// the written key and is written in the same transaction.
	once        bool
	guardPrefix string
	leader      bool // the write is also conditional on the leadership
	lease       bool // the key is attached to the writer's lease
}

// writeKinds are all kinds of writes of controllers. Longer prefixes come first.
var writeKinds = []writeKind{
	{keyPrefix: "job/"}, // created, ended by the controller that cancels the job, removed by the leader
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

// TestWriteConditions checks that each write is of a kind in writeKinds and has the conditions
// given there. A write that gets no answer may be executed seconds later, after newer writes of
// the same controller, or twice because of a retry. Its conditions make that harmless.
func TestWriteConditions(t *testing.T) {
	t.Parallel()
	written := map[string]int{}
	check := func(e core.CommitTransaction) {
		conditions := map[string]uint64{}
		for _, condition := range e.Conditions {
			conditions[condition.Key] = condition.Revision
		}
		for _, write := range e.Writes {
			i := slices.IndexFunc(writeKinds, func(k writeKind) bool { return strings.HasPrefix(write.Key, core.Prefix+k.keyPrefix) })
			if i < 0 {
				t.Errorf("key %s was written, but its kind is not in writeKinds", write.Key)
				continue
			}
			kind := writeKinds[i]
			written[kind.keyPrefix]++
			revision, hasOwn := conditions[write.Key]
			_, hasLeader := conditions[core.Prefix+"leader"]
			hasGuard := kind.guardPrefix != "" && slices.ContainsFunc(e.Writes, func(other core.Write) bool {
				_, ok := conditions[other.Key]
				return ok && strings.HasPrefix(other.Key, core.Prefix+kind.guardPrefix) && strings.HasPrefix(write.Key, other.Key)
			})
			switch {
			case !hasOwn && !hasGuard:
				t.Errorf("write of %s has conditions %v, want one on the revision that it follows", write.Key, e.Conditions)
			case kind.once && hasOwn && revision != 0:
				t.Errorf("write of %s is conditional on revision %d, want 0, as the key is only ever created", write.Key, revision)
			case kind.leader && !hasLeader:
				t.Errorf("write of %s has conditions %v, want one on the leadership", write.Key, e.Conditions)
			case kind.lease != (write.Lease != 0):
				t.Errorf("write of %s has lease %d, want a lease: %v", write.Key, write.Lease, kind.lease)
			}
		}
	}
	runChecked := func(d *testRun) {
		t.Helper()
		if _, err := Run(d.Config, Options{Operators: d.ops, OneMissing: d.oneMissing, OnTransaction: check}); err != nil {
			t.Fatal(err)
		}
	}
	pipelines := newTestRun(41)
	pipelines.addPipelines(4)
	pipelines.announceLowerLimits()
	pipelines.AnswerLoss = 0.03
	pipelines.Faults = []fault{faultAt(60, "crash", 0), faultAt(90, "cut", 20, environment.ControllerName(0)), {At: 110 * second, Duration: 60 * second, Kind: "late_writes", Share: 0.2}}
	runChecked(pipelines)
	firstFormat := newTestRun(42) // in the first storage format, as one controller is missing
	firstFormat.oneMissing = true
	firstFormat.Faults = []fault{faultAt(60, "crash", 0)}
	runChecked(firstFormat)
	sweeps := newSweepRun(t, 43, environment.Sweep{At: 12 * second, Run: 4 * second, Cancel: 60 * second, Times: 2, Text: sweepText("rain", 40, 40)})
	runChecked(sweeps)
	for _, k := range writeKinds {
		if k.keyPrefix != "gone/" && written[k.keyPrefix] == 0 { // operators write it, see TestSetDecommissioned
			t.Errorf("no key with the prefix %s was written, want at least one", k.keyPrefix)
		}
	}
}
