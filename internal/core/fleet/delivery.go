package fleet

// Delivery tracks whether a machine receives the answers to its heartbeats. A heartbeat
// shows only that the machine can send. The machine also receives if the commands of an
// answer have taken effect by its next heartbeat, which it sends after the answer has
// arrived or the wait for the answer has timed out.
type Delivery struct {
	// SentCommands are the commands of the last answer whose effect is visible in the
	// next heartbeat.
	SentCommands []SentCommand
	// missedAnswers is the number of consecutive answers of which no command took effect.
	missedAnswers int
	// CannotReceive reports whether the machine gets no tasks because it does not receive
	// answers, as in a one-way partition. It was set at the time cannotReceiveSince, and stays
	// set until an answer is received or retryDelay microseconds have passed since that time.
	CannotReceive      bool
	cannotReceiveSince int64
	retryDelay         int64
	probe              probe
}

// SentCommand is a command to start an attempt or, with Forget, to forget one.
type SentCommand struct {
	Task    string
	Attempt uint32
	Forget  bool
}

// maxMissedAnswers is the number of consecutive missed answers after which a machine is
// considered not to receive any. It is above 1, as a single answer is occasionally lost.
const maxMissedAnswers = 2

// Bounds of the retry delay, in microseconds. The delay doubles each time the machine is
// again found not to receive answers.
const (
	minRetryDelay = 10 * second
	maxRetryDelay = 60 * second
)

// RecordHeartbeat checks whether the commands of the last answer have taken effect in the
// heartbeat that follows it. listed reports whether that heartbeat lists an attempt. The
// result is true if this shows for the first time that the machine does not receive answers.
func (d *Delivery) RecordHeartbeat(listed func(task string, attempt uint32) bool, now int64) (stoppedReceiving bool) {
	if len(d.SentCommands) == 0 {
		return false
	}
	for _, command := range d.SentCommands {
		if listed(command.Task, command.Attempt) != command.Forget {
			d.RecordReceived()
			d.retryDelay = 0
			return false
		}
	}
	return d.RecordMissedAnswer(now)
}

// RecordMissedAnswer records that the machine has not received an answer. The result is
// true if this shows for the first time that the machine does not receive answers.
func (d *Delivery) RecordMissedAnswer(now int64) (stoppedReceiving bool) {
	d.missedAnswers++
	if d.CannotReceive || d.missedAnswers < maxMissedAnswers {
		return false
	}
	d.CannotReceive, d.cannotReceiveSince = true, now
	d.retryDelay = min(max(2*d.retryDelay, minRetryDelay), maxRetryDelay)
	return true
}

// RecordReceived records that the machine has received an answer.
func (d *Delivery) RecordReceived() { d.missedAnswers, d.CannotReceive = 0, false }

// RetryDue reports whether the retry delay of a machine that did not receive answers is
// over, and if so makes the machine usable again until the next missed answer. Without the
// retry, a controller that cannot probe the machine would never learn that the machine
// receives the answers of another controller.
func (d *Delivery) RetryDue(now int64) bool {
	if !d.CannotReceive || now-d.cannotReceiveSince < d.retryDelay {
		return false
	}
	d.CannotReceive, d.missedAnswers = false, maxMissedAnswers-1
	return true
}
