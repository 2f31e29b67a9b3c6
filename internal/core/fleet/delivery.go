package fleet

// Delivery is what is known of whether answers get to a machine: its heartbeats show only
// that it can send. What shows more are commands that have taken effect by its next
// heartbeat, which it sends when it has received the answer or given it up.
type Delivery struct {
	// SentCommands are the commands of the last answer whose effect would show.
	SentCommands []SentCommand
	// missedAnswers counts answers in turn of whose commands none took effect.
	missedAnswers int
	// CannotReceive: the machine gets no tasks as it does not receive answers, as in a
	// one-way partition; since when, and for how long at least.
	CannotReceive      bool
	cannotReceiveSince int64
	retryDelay         int64
	probe              probe
}

// SentCommand is a command to start an attempt, or to forget one.
type SentCommand struct {
	Task    string
	Attempt uint32
	Forget  bool
}

// maxMissedAnswers is how many answers in turn a machine that receives them does not miss:
// one is lost now and then.
const maxMissedAnswers = 2

// The retry delay doubles each time that a machine is found not to receive answers again.
const (
	minRetryDelay = 10 * second
	maxRetryDelay = 60 * second
)

// RecordHeartbeat judges the last answer's commands by the next heartbeat; listed says
// whether that lists an attempt. It returns whether the machine is found not to receive
// answers by now.
func (d *Delivery) RecordHeartbeat(listed func(task string, attempt uint32) bool, now int64) (lost bool) {
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

// RecordMissedAnswer notes that a machine has not received an answer. It returns whether
// the machine is found not to receive answers by now.
func (d *Delivery) RecordMissedAnswer(now int64) (lost bool) {
	d.missedAnswers++
	if d.CannotReceive || d.missedAnswers < maxMissedAnswers {
		return false
	}
	d.CannotReceive, d.cannotReceiveSince = true, now
	d.retryDelay = min(max(2*d.retryDelay, minRetryDelay), maxRetryDelay)
	return true
}

// RecordReceived notes that the machine has received something.
func (d *Delivery) RecordReceived() { d.missedAnswers, d.CannotReceive = 0, false }

// RetryDue says whether a machine that did not receive answers is to be tried once more, as
// its retry delay is over, and lets it be used: a controller that can't probe it would else
// never learn that it receives another's answers.
func (d *Delivery) RetryDue(now int64) bool {
	if !d.CannotReceive || now-d.cannotReceiveSince < d.retryDelay {
		return false
	}
	d.CannotReceive, d.missedAnswers = false, maxMissedAnswers-1
	return true
}
