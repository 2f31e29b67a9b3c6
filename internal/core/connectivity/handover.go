package connectivity

import (
	"maps"
	"slices"
)

const (
	// baseHandoverDelay is the time for which a better leader has to be known before a leader
	// steps down, in microseconds. The delay doubles with each change of leadership within
	// handoverWindow, up to maxHandovers recorded changes, so that flapping links do not
	// cause repeated handovers.
	baseHandoverDelay = 1_500_000
	handoverWindow    = 60 * second
	maxHandovers      = 4
	// candidateDelay is the additional time for which a candidate waits if it knows a better
	// one, in microseconds.
	candidateDelay = 1_200_000
	// writeFailureTimeout is the time for which writes have to fail, while reads are
	// answered, before a leader hands over to any other controller.
	writeFailureTimeout = 5 * second
	// readFreshness is the maximum age of an answered read that still counts as evidence that
	// reads are answered.
	readFreshness = 2 * second
)

// Handover is a handover by which this controller ended its leadership.
type Handover struct {
	To, Reason string
	At         int64
}

// handoverState is the state on which handovers are decided.
type handoverState struct {
	changes     []int64 // times of the newest changes of leadership
	betterSince int64   // time since which another controller should lead, 0 if none should
	last        Handover
}

// RecordHandover records a change of leadership.
func (l *Links) RecordHandover(now int64) {
	h := &l.handover
	h.changes = append(h.changes, now)
	if len(h.changes) > maxHandovers {
		h.changes = h.changes[1:]
	}
}

// LastHandover returns the last handover by this controller, with At 0 if there was none.
func (l *Links) LastHandover() Handover { return l.handover.last }

// delay returns the time for which a better leader has to be known for a handover at the time
// now.
func (h *handoverState) delay(now int64) int64 {
	delay := int64(baseHandoverDelay)
	for i, at := range h.changes {
		// The newest change, which began this leadership, does not count as instability.
		if i < len(h.changes)-1 && now-at < handoverWindow {
			delay *= 2
		}
	}
	return delay
}

// HandoverTarget returns the controller to which this one should hand over its leadership now,
// and the reason; "" if it should keep leading. It has to be called several times per second.
func (l *Links) HandoverTarget(now int64) (to, reason string) {
	to, reason = l.betterLeader(now)
	h := &l.handover
	switch {
	case to == "":
		h.betterSince = 0
		return "", ""
	case h.betterSince == 0:
		h.betterSince = now
	}
	if now-h.betterSince < h.delay(now) {
		return "", ""
	}
	h.betterSince = 0
	h.last = Handover{To: to, Reason: reason, At: now}
	return to, reason
}

// betterLeader returns the controller that should lead instead of this one, and the reason.
func (l *Links) betterLeader(now int64) (to, reason string) {
	if to = l.matrix.BetterLeader(l.self); to != "" {
		return to, "it reaches more workers"
	}
	writesFail := l.Writes.DownFor(now) > writeFailureTimeout && l.Reads.Usable(now, readFreshness)
	if len(l.matrix) < 2 || !writesFail {
		return "", ""
	}
	// Advertisements do not say which controllers can write, so the first other one by name is
	// taken. The state service is not down: it still answers this controller's reads after this
	// controller's writes have failed for writeFailureTimeout.
	names := slices.Sorted(maps.Keys(l.matrix))
	if names[0] == l.self {
		return names[1], "writes are refused here alone"
	}
	return names[0], "writes are refused here alone"
}

// CandidateDelay returns the additional time for which this candidate waits before it campaigns:
// candidateDelay if another controller could serve more workers, otherwise 0.
func (l *Links) CandidateDelay() int64 {
	if l.matrix.BetterLeader(l.self) != "" {
		return candidateDelay
	}
	return 0
}
