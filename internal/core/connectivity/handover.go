package connectivity

import (
	"maps"
	"slices"
)

const (
	// baseHandoverDelay is for how long a better leader has to be seen before a leader
	// steps down. It doubles with each change of leadership within handoverWindow, of
	// which maxHandovers are kept, so that flapping links do not carry leadership along.
	baseHandoverDelay = 1_500_000
	handoverWindow    = 60 * second
	maxHandovers      = 4
	// candidateDelay is how much longer a candidate waits that knows of a better one.
	candidateDelay = 1_200_000
	// writeFailureTimeout is for how long writes have to fail, while reads are answered,
	// until a leader hands over to any other controller.
	writeFailureTimeout = 5 * second
	// readFreshness is how recently a read has to have been answered to count for that.
	readFreshness = 2 * second
)

// Handover is one by which this controller has ended its leadership.
type Handover struct {
	To, Reason string
	At         int64
}

// handoverState is what handing over the leadership goes by.
type handoverState struct {
	changes     []int64 // the times of the newest changes of leadership
	betterSince int64   // since when another controller should lead, 0 for none
	last        Handover
}

// RecordHandover notes that the leadership has changed hands.
func (l *Links) RecordHandover(now int64) {
	h := &l.handover
	h.changes = append(h.changes, now)
	if len(h.changes) > maxHandovers {
		h.changes = h.changes[1:]
	}
}

// LastHandover is the newest one of this controller, with At 0 if there was none.
func (l *Links) LastHandover() Handover { return l.handover.last }

// delay is for how long a better leader has to be seen now.
func (h *handoverState) delay(now int64) int64 {
	delay := int64(baseHandoverDelay)
	for i, at := range h.changes {
		// The change that began this leadership is no sign of unrest.
		if i < len(h.changes)-1 && now-at < handoverWindow {
			delay *= 2
		}
	}
	return delay
}

// HandoverTarget is the controller to which this one should hand over its leadership now, and
// why; "" if it should go on. It is to be called several times a second.
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

// betterLeader is the controller that should lead instead of this one, and why.
func (l *Links) betterLeader(now int64) (to, reason string) {
	if to = l.matrix.BetterLeader(l.self); to != "" {
		return to, "it reaches more workers"
	}
	writesFail := l.Writes.DownFor(now) > writeFailureTimeout && l.Reads.Usable(now, readFreshness)
	if len(l.matrix) < 2 || !writesFail {
		return "", ""
	}
	// No advertisement says who can write, but this controller can't: after so long its
	// reads prove that it is no outage.
	names := slices.Sorted(maps.Keys(l.matrix))
	if names[0] == l.self {
		return names[1], "writes are refused here alone"
	}
	return names[0], "writes are refused here alone"
}

// CandidateDelay is how much longer this candidate waits before it campaigns, since there is
// one that could serve more workers.
func (l *Links) CandidateDelay() int64 {
	if l.matrix.BetterLeader(l.self) != "" {
		return candidateDelay
	}
	return 0
}
