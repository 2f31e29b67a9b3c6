package core

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
)

const (
	// tickInterval is the time between two ticks of a harness.
	tickInterval = second / 20
	// wallOffsetInTests is the time of day minus the time of the monotonic clock.
	wallOffsetInTests = 1_000_000 * second
	// maxRequestTicks is the number of ticks after which a request counts as unanswered.
	maxRequestTicks = 40
)

// harness is a core with a small in-memory state service that answers at once.
type harness struct {
	t    *testing.T
	core *Core
	now  int64

	// keys is the stored state, revision its newest revision.
	keys     map[string]Change
	revision uint64
	// orders draws the order of the changes in a read.
	orders *rand.Rand

	// replies are the core's replies by request ID.
	replies     map[uint64]Reply
	lastRequest uint64

	// maxValue and maxOps are the limits of the state service, in bytes per value and in
	// writes per transaction; rejected counts the transactions that exceed them.
	maxValue, maxOps int
	rejected         int

	// unavailable makes transactions and reads of keys fail; requests about leases and
	// reads of the state still succeed.
	unavailable bool
	// unreachable are the keys that can't be read.
	unreachable map[string]bool
	// watchLags withholds changes from the core, as a watch that lags does.
	watchLags bool
	// losesAnswers makes the state service execute transactions without answering them.
	losesAnswers bool
	// reads counts the reads of single keys and the transactions without writes. The next
	// readsToRefuse of them are refused: a read of a key fails without an answer, and a
	// transaction is rate limited.
	reads, readsToRefuse int
	// commits counts the transactions that write.
	commits int
	// delaysCommits keeps transactions in delayedCommits until the test commits them.
	delaysCommits  bool
	delayedCommits []CommitTransaction
}

// newHarness starts the only core of a cluster from the given stored state.
func newHarness(t *testing.T, stored map[string]any) *harness {
	t.Helper()
	h := &harness{
		t:           t,
		now:         second,
		keys:        map[string]Change{},
		orders:      rand.New(rand.NewPCG(1, 2)),
		replies:     map[uint64]Reply{},
		maxValue:    8192,
		maxOps:      12,
		unreachable: map[string]bool{},
	}
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		h.store(key, stored[key])
	}
	h.store(typesKey, []fleet.Type{{Name: "c", Cap: jobstate.Resources{CPU: 1000, Mem: 1000}, Zones: []string{"a"}}})
	settings := Settings{Name: "n0", Incarnation: "b", Ops: config.Defaults()}
	settings.Size, settings.Zones, settings.Teams = 1, []string{"a"}, []config.Team{{Name: "t"}}
	settings.Workers.ReportS, settings.Workers.LeaseS, settings.Workers.CancelS = 2, 16, 36
	settings.State.RPS, settings.State.WriteRPS, settings.State.ValueKB, settings.State.TxnOps = 100, 100, 8, 12
	settings.Cloud.RPS = 1
	h.start(settings)
	return h
}

// start starts a new core from the stored state.
func (h *harness) start(settings Settings) {
	h.core = New(settings, h.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	h.listState()
}

// restart replaces the core, as after a crash.
func (h *harness) restart() { h.start(h.core.settings) }

// store stores a value without a transaction.
func (h *harness) store(key string, value any) {
	h.revision++
	h.keys[key] = Change{Key: key, Value: encodeJSON(value), Revision: h.revision}
}

// remove removes a key without a transaction, and sends the core the change.
func (h *harness) remove(key string) {
	h.revision++
	delete(h.keys, key)
	change := Change{Key: key, Revision: h.revision, Removed: true}
	h.step(StateRead{AfterRevision: h.revision - 1, Revision: h.revision, SentAt: h.now, Changes: []Change{change}})
}

// requireKnown fails the test if neither a job's key nor its end is stored: a controller that
// starts then would treat the job as never accepted.
func (h *harness) requireKnown(id string) {
	h.t.Helper()
	_, unfinished := h.keys[jobPrefix+id]
	_, ended := h.keys[endPrefix+id]
	if !unfinished && !ended {
		h.t.Fatalf("job %q: got neither its key nor its end stored, want at least one", id)
	}
}

// listState sends the core the stored state under StartPrefixes. The keys of each prefix are
// sorted, as the state service sorts them: the parts of a value that was too long come after the
// whole value that they replace.
func (h *harness) listState() {
	list := StateListed{Revision: h.revision}
	for _, prefix := range StartPrefixes {
		for _, key := range slices.Sorted(maps.Keys(h.keys)) {
			if strings.HasPrefix(key, prefix) {
				list.Changes = append(list.Changes, h.keys[key])
			}
		}
	}
	h.step(list)
}

// advance advances the time, with a tick every tickInterval.
func (h *harness) advance(duration int64) {
	for end := h.now + duration; h.now < end; {
		h.now += tickInterval
		h.step(Tick{TimeOfDay: h.now + wallOffsetInTests})
	}
}

// step sends the core a message and executes the resulting effects.
func (h *harness) step(message any) {
	for _, effect := range h.core.Step(h.now, message) {
		switch e := effect.(type) {
		case Reply:
			h.replies[e.RequestID] = e
		case GrantLease:
			h.step(LeaseGranted{Lease: 9, SentAt: h.now})
		case RenewLease:
			h.step(LeaseRenewed{Lease: e.Lease, SentAt: h.now})
		case ReadState:
			h.readState(StateRead{AfterRevision: e.AfterRevision, SentAt: h.now, Immediate: true, ForRequests: e.ForRequests})
		case ReadKey:
			h.readKey(e)
		case CommitTransaction:
			h.commit(e)
		}
	}
}

// refusesRead counts a read and reports whether it is refused.
func (h *harness) refusesRead() bool {
	h.reads++
	h.readsToRefuse--
	return h.readsToRefuse >= 0
}

func (h *harness) readKey(read ReadKey) {
	if h.refusesRead() || h.unavailable || h.unreachable[read.Key] {
		h.step(KeyRead{ID: read.ID, Key: read.Key, Err: errors.New("no answer")})
		return
	}
	stored := h.keys[read.Key]
	h.step(KeyRead{ID: read.ID, Key: read.Key, Value: stored.Value, Revision: stored.Revision})
}

// readState answers a watch or a read with all changes after its revision, in a random order.
func (h *harness) readState(read StateRead) {
	read.Revision = h.revision
	for _, change := range h.keys {
		if change.Revision > read.AfterRevision {
			read.Changes = append(read.Changes, change)
		}
	}
	slices.SortFunc(read.Changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	h.orders.Shuffle(len(read.Changes), func(i, j int) { read.Changes[i], read.Changes[j] = read.Changes[j], read.Changes[i] })
	h.step(read)
}

// refresh sends the core all changes that it has not applied yet.
func (h *harness) refresh() {
	h.readState(StateRead{AfterRevision: h.core.cache.appliedRevision, Immediate: true})
}

// commit executes a transaction and answers it.
func (h *harness) commit(transaction CommitTransaction) {
	if h.delaysCommits {
		h.delayedCommits = append(h.delayedCommits, transaction)
		return
	}
	if len(transaction.Writes) > 0 {
		h.commits++
	}
	result := h.check(transaction)
	var changes []Change
	if result.Outcome == kv.Committed {
		changes = h.write(transaction.Writes)
		result.Revision = h.revision
	}
	if !h.losesAnswers {
		h.step(result)
	}
	if changes != nil && !h.watchLags {
		h.step(StateRead{AfterRevision: h.revision - 1, Revision: h.revision, SentAt: h.now, Changes: changes})
	}
}

// check returns the result of a transaction without applying its writes.
func (h *harness) check(transaction CommitTransaction) TransactionResult {
	result := TransactionResult{ID: transaction.ID, Outcome: kv.Committed}
	for _, condition := range transaction.Conditions {
		if h.keys[condition.Key].Revision != condition.Revision {
			result.Failed, result.Outcome = append(result.Failed, condition.Key), kv.Conflict
		}
	}
	for _, write := range transaction.Writes {
		if len(write.Value) > h.maxValue || len(transaction.Writes) > h.maxOps {
			result.Outcome = kv.Malformed
		}
	}
	if result.Outcome == kv.Malformed {
		h.rejected++
	}
	if h.unavailable {
		result.Outcome = kv.Unavailable
	}
	if len(transaction.Writes) == 0 && h.refusesRead() {
		result.Outcome, result.Failed = kv.RateLimited, nil
	}
	return result
}

// write applies the writes of a transaction at one new revision.
func (h *harness) write(writes []Write) []Change {
	h.revision++
	var changes []Change
	for _, write := range writes {
		change := Change{Key: write.Key, Value: write.Value, Revision: h.revision, Removed: write.Value == nil}
		changes = append(changes, change)
		if change.Removed {
			delete(h.keys, write.Key)
		} else {
			h.keys[write.Key] = change
		}
	}
	return changes
}

// request sends a request and returns its answer.
func (h *harness) request(message any) Reply {
	h.t.Helper()
	h.lastRequest++
	switch m := message.(type) {
	case SubmitJob:
		m.RequestID = h.lastRequest
		h.step(m)
	case QueryJob:
		m.RequestID = h.lastRequest
		h.step(m)
	case CancelJob:
		m.RequestID = h.lastRequest
		h.step(m)
	}
	for range maxRequestTicks {
		if reply, ok := h.replies[h.lastRequest]; ok {
			return reply
		}
		h.advance(tickInterval)
	}
	h.t.Fatalf("got no answer to %T within %d ticks, want one", message, maxRequestTicks)
	return Reply{}
}

// jobState returns a job's state as users see it, or the status of the refusal.
func (h *harness) jobState(id string) string {
	h.t.Helper()
	reply := h.request(QueryJob{ID: id})
	if reply.Job == nil {
		return fmt.Sprint(reply.Status)
	}
	return reply.Job.State
}

// job returns the stored record of a job with one task.
func job(id string, dependencies ...string) jobstate.Record {
	return jobstate.Record{
		Spec: &jobstate.Spec{
			ID:           id,
			Class:        "c",
			Team:         "t",
			Kind:         jobstate.Array,
			Tasks:        1,
			Need:         jobstate.Resources{CPU: 1000},
			Estimate:     10 * second,
			Dependencies: dependencies,
		},
		SubmittedWall: 1,
	}
}

// Stored values: a format with the progress log, and the ends of jobs with one task.
var (
	progressLogFormat = formatRecord{Version: 2, Tasks: 64}
	endDone           = jobstate.End{Outcome: jobstate.Done, Tasks: 1}
	endCancelled      = jobstate.End{Outcome: jobstate.Cancelled, Tasks: 1}
)
