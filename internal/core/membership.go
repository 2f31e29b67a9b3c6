package core

import (
	"slices"
	"strconv"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// publishInterval is the least time between two writes of this controller's advertisement.
const publishInterval = second

// decommissionedRecord is stored for a controller that operators have declared gone for
// good, with the time of day at which they did.
type decommissionedRecord struct {
	At int64 `json:"t"`
}

// membership knows which controllers there are, what their programs support, which features
// are active, and by that the form in which data is written and the limits that it has to
// fit. It advertises what this controller supports in the state service.
type membership struct {
	*engine

	cache     *stateCache
	committer *committer
	elector   *elector
	health    *stateHealth

	activation       *upgrade.Activation
	featuresRevision uint64 // of the stored features
	format           formatRecord
	formatRevision   uint64
	// chunkTasks is how many tasks a stored chunk of a job's progress has at most.
	chunkTasks int
	// incompatible is why this program must not go on, "" while it may.
	incompatible string

	// decommissionedRevisions are the revisions of the records of decommissioned
	// controllers, by name; 0 or none for a controller that is not.
	decommissionedRevisions map[string]uint64
	// limitsLowered: the state service's announced lower limits are in force.
	limitsLowered bool
	// publishNotBefore is when this controller's advertisement may next be written.
	publishNotBefore int64
}

func newMembership(run *engine) *membership {
	return &membership{
		engine:                  run,
		activation:              newActivation(&run.settings),
		decommissionedRevisions: map[string]uint64{},
		chunkTasks:              jobstate.DefaultChunkSize,
	}
}

// restart forgets what is stored of members and features, before it is read anew.
func (m *membership) restart() {
	m.activation.Restart()
	m.featuresRevision, m.decommissionedRevisions = 0, map[string]uint64{}
}

// useLowerLimits reports whether what is written has to fit the announced limits as well.
// While version 1 of the format is in use it need not until they are in force: a value that
// has to be split could not be read by a controller of version 1.
func (m *membership) useLowerLimits() bool { return m.logEnabled() || m.limitsLowered }

// limits are the state service's, as far as they are known. The rate is the present one
// until there are signs of the next.
func (m *membership) limits() config.StateLimits {
	limits := m.settings.State.StateLimits
	strictest := m.settings.StrictestStateLimits()
	if m.limitsLowered {
		limits.RPS, limits.WriteRPS = strictest.RPS, strictest.WriteRPS
	}
	if m.useLowerLimits() {
		limits.ValueKB, limits.TxnOps = strictest.ValueKB, strictest.TxnOps
	}
	return limits
}

// valueLimit is how many bytes a value may have.
func (m *membership) valueLimit() int { return bytesOfKB(m.limits().ValueKB) }

// bytesOfKB converts a limit in KB to bytes, at 1000 each to stay on the safe side.
func bytesOfKB(kb float64) int { return int(kb * 1000) }

// noteRateLimited takes a transaction that was refused for its rate as the sign that the
// announced limits are in force. While version 1 of the format is in use they can't be.
func (m *membership) noteRateLimited(outcome kv.Outcome) {
	if outcome == kv.RateLimited && m.logEnabled() {
		m.lowerLimits("request rate limited")
	}
}

func (m *membership) lowerLimits(reason string) {
	if !m.limitsLowered && m.settings.State.Next != nil {
		m.limitsLowered = true
		m.log.Info("state service limits lowered", "reason", reason)
	}
}

// putOnLease stores what this controller advertises under a key on its lease, so that it is
// there only while the controller lives and reaches the state service. done is told whether
// it was stored.
func (m *membership) putOnLease(key string, revision uint64, value any, done func(ok bool)) {
	if !m.elector.hasLease() {
		m.elector.requestLease()
		done(false)
		return
	}
	m.health.spendWrites(1)
	lease := m.elector.lease()
	m.commitTransaction(
		[]Cond{kv.RevisionIs(key, revision)},
		[]Write{{Key: key, Value: encodeJSON(value), Lease: lease}},
		func(r TransactionResult) {
			if r.Outcome == kv.Malformed {
				m.elector.leaseRefused(lease)
			}
			done(r.Outcome == kv.Committed)
		})
}

// membershipTick stores this controller's advertisement whenever another one, or none, is
// stored.
func (m *membership) membershipTick() {
	if !m.cache.synced || m.now < m.publishNotBefore || m.health.writesLeft() < 1 {
		return
	}
	advertisement, revision, pending := m.activation.LocalAdvertisement()
	if !pending {
		return
	}
	m.putOnLease(memberPrefix+m.settings.Name, revision, advertisement, func(bool) {})
	if m.elector.hasLease() { // otherwise it was not written, and is once there is a lease
		m.publishNotBefore = m.now + publishInterval
	}
}

// isDecommissioned reports whether operators have declared a controller gone for good.
func (m *membership) isDecommissioned(name string) bool { return m.decommissionedRevisions[name] != 0 }

// onSetDecommissioned stores that operators declare a controller gone for good, or that it
// may come back. Features need not wait for a decommissioned controller, so one that is
// there can't be declared gone.
func (m *membership) onSetDecommissioned(msg SetDecommissioned) {
	_, present := m.activation.Advertisements()[msg.Name]
	switch {
	case !slices.Contains(m.settings.Peers, msg.Name):
		m.emit(Reply{RequestID: msg.RequestID, Status: ReplyNotFound, Error: "no other controller is called " + strconv.Quote(msg.Name)})
	case !m.cache.synced || m.health.unavailable():
		m.emit(Reply{RequestID: msg.RequestID, Status: ReplyUnavailable, RetryAfter: 1, Error: "the state service does not answer"})
	case msg.Decommissioned && present:
		m.emit(Reply{RequestID: msg.RequestID, Status: ReplyConflict, Error: msg.Name + " is there, and says what it can"})
	case msg.Decommissioned == m.isDecommissioned(msg.Name):
		m.replyDecommissioned(msg)
	default:
		m.writeDecommissioned(msg)
	}
}

func (m *membership) replyDecommissioned(msg SetDecommissioned) {
	state := &DecommissionState{Name: msg.Name, Decommissioned: msg.Decommissioned}
	m.emit(Reply{RequestID: msg.RequestID, Status: ReplyOK, Decommission: state})
}

// writeDecommissioned writes or removes the record of a decommissioned controller, and
// answers the operator.
func (m *membership) writeDecommissioned(msg SetDecommissioned) {
	write := Write{Key: decommissionedPrefix + msg.Name}
	if msg.Decommissioned {
		write.Value = encodeJSON(decommissionedRecord{m.now + m.wallOffset})
	}
	conditions := []Cond{kv.RevisionIs(write.Key, m.decommissionedRevisions[msg.Name])}
	m.commitTransaction(conditions, []Write{write}, func(r TransactionResult) {
		if r.Outcome != kv.Committed {
			m.emit(Reply{RequestID: msg.RequestID, Status: ReplyUnavailable, RetryAfter: 1, Error: "it was not stored"})
			return
		}
		m.replyDecommissioned(msg)
	})
}
