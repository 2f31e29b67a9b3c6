package core

import (
	"slices"
	"strconv"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// publishInterval is the minimum time between two writes of this controller's advertisement.
const publishInterval = second

// decommissionedRecord is stored for a controller that operators have declared permanently
// gone.
type decommissionedRecord struct {
	At int64 `json:"t"` // time of day of the declaration, microseconds since 1970
}

// membership tracks which controllers exist, what their programs support and which features
// are active. These determine the format in which data is written and the limits that it has
// to fit. membership also advertises in the state service what this controller supports.
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
	// chunkTasks is the maximum number of tasks in a stored chunk of a job's progress.
	chunkTasks int
	// incompatible is the reason why this program must not continue, "" while it may.
	incompatible string

	// decommissionedRevisions are the revisions of the records of decommissioned
	// controllers, by name; 0 or absent for a controller that is not decommissioned.
	decommissionedRevisions map[string]uint64
	// limitsLowered is set once the announced lower limits of the state service are in
	// force.
	limitsLowered bool
	// publishNotBefore is the earliest time at which this controller's advertisement may
	// be written again.
	publishNotBefore int64
}

func newMembership(shared *engine) *membership {
	return &membership{
		engine:                  shared,
		activation:              newActivation(&shared.settings),
		decommissionedRevisions: map[string]uint64{},
		chunkTasks:              jobstate.DefaultChunkSize,
	}
}

// reset discards what was read about members and features, before the state is listed again.
func (m *membership) reset() {
	m.activation.ClearStored()
	m.featuresRevision, m.decommissionedRevisions = 0, map[string]uint64{}
}

// useLowerLimits reports whether written data has to fit the announced limits too. While
// version 1 of the format is in use, it has to fit them only once they are in force, because a
// controller of version 1 could not read a value that is split to fit them.
func (m *membership) useLowerLimits() bool { return m.logEnabled() || m.limitsLowered }

// limits returns the limits of the state service that apply now. The current rates apply
// until there is a sign that the announced ones are in force.
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

// valueLimit returns the maximum size of a value in bytes.
func (m *membership) valueLimit() int { return bytesOfKB(m.limits().ValueKB) }

// bytesOfKB converts a limit in KB to bytes, conservatively with 1000 bytes per KB.
func bytesOfKB(kb float64) int { return int(kb * 1000) }

// handleRateLimited treats a rate-limited transaction as a sign that the announced limits are in
// force. While version 1 of the format is in use, it ignores this sign, and only refused writes
// and the reports of peers show that the limits are in force.
func (m *membership) handleRateLimited(outcome kv.Outcome) {
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

// putOnLease stores an advertisement of this controller under a key that is bound to its lease, so
// that the key exists only while the controller is alive and reaches the state service. It calls
// done with whether the advertisement was stored.
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

// membershipTick stores this controller's advertisement if none or a different one is stored.
func (m *membership) membershipTick() {
	if !m.cache.synced || m.now < m.publishNotBefore || m.health.writesLeft() < 1 {
		return
	}
	advertisement, revision, pending := m.activation.LocalAdvertisement()
	if !pending {
		return
	}
	m.putOnLease(memberPrefix+m.settings.Name, revision, advertisement, func(bool) {})
	if m.elector.hasLease() { // without a lease nothing was written; retry once there is one
		m.publishNotBefore = m.now + publishInterval
	}
}

// isDecommissioned reports whether operators have declared a controller permanently gone.
func (m *membership) isDecommissioned(name string) bool { return m.decommissionedRevisions[name] != 0 }

// onSetDecommissioned stores an operator's declaration that a controller is permanently gone,
// or that it may come back. The activation of features does not wait for a decommissioned
// controller, so a controller that is present can't be declared gone.
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
