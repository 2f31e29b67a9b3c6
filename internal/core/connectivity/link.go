// Package connectivity evaluates the links of one controller: to the state service, the cloud,
// the other controllers and the workers. It does no I/O.
//
// A [Link] collects the evidence for one direction: which requests were answered, and which
// failed and how. A [Sample] represents the workers by a few machines of each zone, which are
// probed when they send no heartbeats to this controller. [Links] summarizes both in an
// [Advertisement], which is sent to the other controllers with the answers to pings and, for
// those that pings do not reach, stored in the state service on the controller's lease. The
// advertisements of all controllers form the [Matrix]. It is used to hand leadership over to a
// controller that could serve clearly more workers, and to route messages around a broken link.
package connectivity

// Failure is the way in which a request over a link failed.
type Failure uint8

// The ways in which requests fail. A refusal proves that the other side is reachable; a missing
// response proves nothing.
const (
	// NoResponse means that there was no connection, or no answer in time.
	NoResponse Failure = iota + 1
	// Refused means that the other side answered with a refusal.
	Refused
)

// LinkState is the estimated state of a link.
type LinkState uint8

// The states of a link. A link that is Up, Slow or Flapping can be used. Unknown means that there
// is no recent evidence.
const (
	Unknown LinkState = iota
	Up
	Slow
	Flapping
	Refusing
	Lost
)

func (s LinkState) String() string {
	return [...]string{"unknown", "up", "slow", "flapping", "refusing", "lost"}[s]
}

const (
	second = int64(1_000_000)
	// slowThreshold is the smoothed round-trip time from which a link counts as slow, in
	// microseconds.
	slowThreshold = 700_000
	// rttSmoothing is the inverse of the weight of the newest round-trip time in the smoothed
	// one.
	rttSmoothing = 4
	// flapThreshold is the number of changes between up and down within flapWindow from which
	// a link counts as flapping. Two changes are a single failure and its recovery.
	flapThreshold = 4
	flapWindow    = 30 * second
)

// Link holds the evidence about one link in one direction.
type Link struct {
	// successSentAt and failureSentAt are the send times of the newest request that was
	// answered and of the newest that failed; succeededAt and failedAt are the times at which
	// the results were known.
	successSentAt, failureSentAt int64
	succeededAt, failedAt        int64
	answeredAt                   int64   // time of the last answer, including refusals
	failure                      Failure // how the newest failed request failed
	smoothedRTT                  int64
	flapTimes                    [flapThreshold]int64 // ring buffer with its oldest entry at flapCount%flapThreshold
	flapCount                    int
}

// RecordSuccess records the answer to a request that was sent at sentAt.
func (l *Link) RecordSuccess(sentAt, now int64) {
	if l.down() && sentAt > l.failureSentAt {
		l.recordFlap(now)
	}
	// If the request was sent before a failed one, the failure is the newer evidence.
	l.successSentAt, l.succeededAt = max(l.successSentAt, sentAt), now
	l.answeredAt = now
	l.smoothedRTT += (now - sentAt - l.smoothedRTT) / rttSmoothing
}

// RecordFailure records the failure of a request that was sent at sentAt.
func (l *Link) RecordFailure(sentAt, now int64, failure Failure) {
	if failure == Refused {
		l.answeredAt = now
	}
	if !l.down() && l.succeededAt != 0 && sentAt > l.successSentAt {
		l.recordFlap(now)
	}
	if sentAt >= l.failureSentAt {
		l.failureSentAt, l.failedAt, l.failure = sentAt, now, failure
	}
}

func (l *Link) recordFlap(now int64) {
	l.flapTimes[l.flapCount%flapThreshold] = now
	l.flapCount++
}

// AnsweredAt returns the time of the last answer of the other side, including refusals, 0 if there
// was none.
func (l *Link) AnsweredAt() int64 { return l.answeredAt }

func (l *Link) down() bool { return l.failureSentAt > l.successSentAt }

// tried reports whether any request has been answered or has failed.
func (l *Link) tried() bool { return max(l.succeededAt, l.failedAt) != 0 }

// Usable reports whether the newest evidence is a success and more recent than maxAge.
func (l *Link) Usable(now, maxAge int64) bool {
	return l.succeededAt != 0 && !l.down() && now-l.succeededAt < maxAge
}

// DownFor returns the time since the last success of a link that is down, 0 if it is not down.
func (l *Link) DownFor(now int64) int64 {
	if !l.down() {
		return 0
	}
	return now - l.succeededAt
}

// IsFlapping reports whether the link changed between up and down at least flapThreshold times
// within flapWindow.
func (l *Link) IsFlapping(now int64) bool {
	return l.flapCount >= flapThreshold && now-l.flapTimes[l.flapCount%flapThreshold] < flapWindow
}

// State returns the estimated state of the link, Unknown if no evidence is more recent than maxAge.
func (l *Link) State(now, maxAge int64) LinkState {
	switch {
	case !l.tried() || now-max(l.succeededAt, l.failedAt) >= maxAge:
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
