// Package reach is what one controller knows of its links to all that it deals
// with, what the others say of theirs, and who could serve more by it. It does
// no input or output and has one owner, the controller's core.
package connectivity

// Failure is how a request over a link failed.
type Failure uint8

// The ways in which requests fail. They prove different things: a refusal that
// the other side is there, silence nothing at all.
const (
	// NoResponse: no answer came in time, or no connection.
	NoResponse Failure = iota + 1
	// Refused: the other side answered that it will not.
	Refused
)

// LinkState is what a link is taken to be.
type LinkState uint8

// The conditions of a link. Up, Slow and Flapping can be used; Unknown says
// that nothing was tried of late.
const (
	Unknown LinkState = iota
	Up
	Slow
	Flapping
	Refusing
	Lost
)

func (c LinkState) String() string {
	return [...]string{"unknown", "up", "slow", "flapping", "refusing", "lost"}[c]
}

const (
	second = int64(1_000_000)
	// slowThreshold is from which smoothed time of an answer on a link is slow.
	slowThreshold = 700_000
	// flapThreshold flips within flapWindow make a link one that comes and goes. Two
	// are one cut with its end.
	flapThreshold = 4
	flapWindow    = 30 * second
)

// Link is the evidence on one link in one direction.
type Link struct {
	// successSentAt and bad are when the newest request that was answered, and the newest
	// one that failed, were sent; okAt and failedAt when that was known.
	successSentAt, failureSentAt int64
	succeededAt, failedAt        int64
	smoothedRTT                  int64
	failure                      Failure
	flapTimes                    [flapThreshold]int64
	flapCount                    int
}

// RecordSuccess notes an answer to a request of then.
func (l *Link) RecordSuccess(sent, now int64) {
	if l.down() && sent > l.failureSentAt {
		l.flapTimes[l.flapCount%flapThreshold] = now
		l.flapCount++
	}
	// One that was sent before a failure proves less than the failure.
	l.successSentAt, l.succeededAt = max(l.successSentAt, sent), now
	l.smoothedRTT += (now - sent - l.smoothedRTT) / 4
}

// RecordFailure notes that a request of then was not answered as it should be.
func (l *Link) RecordFailure(sent, now int64, how Failure) {
	if !l.down() && l.succeededAt != 0 && sent > l.successSentAt {
		l.flapTimes[l.flapCount%flapThreshold] = now
		l.flapCount++
	}
	if sent >= l.failureSentAt {
		l.failureSentAt, l.failedAt, l.failure = sent, now, how
	}
}

func (l *Link) down() bool { return l.failureSentAt > l.successSentAt }

// Usable says whether the newest evidence speaks for the link, and is no older
// than patience.
func (l *Link) Usable(now, patience int64) bool {
	return l.succeededAt != 0 && !l.down() && now-l.succeededAt < patience
}

// DownFor is for how long the link is known not to work.
func (l *Link) DownFor(now int64) int64 {
	if !l.down() {
		return 0
	}
	return now - l.succeededAt
}

// IsFlapping says whether it comes and goes.
func (l *Link) IsFlapping(now int64) bool {
	return l.flapCount >= flapThreshold && now-l.flapTimes[l.flapCount%flapThreshold] < flapWindow
}

// State is what the link is taken to be, by evidence of at most patience.
func (l *Link) State(now, patience int64) LinkState {
	switch {
	case max(l.succeededAt, l.failedAt) == 0 || now-max(l.succeededAt, l.failedAt) >= patience:
		return Unknown
	case l.IsFlapping(now):
		return Flapping
	case l.down() && l.failure == Refused:
		return Refusing
	case l.down():
		return Lost
	case l.smoothedRTT >= slowThreshold:
		return Slow
	}
	return Up
}
