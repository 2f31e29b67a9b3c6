package fleet

// Delivery is what is known of whether answers get to a machine: its reports show only
// that it can send. What shows more are orders that have taken effect
// by its next report, which it sends when it has had its answer or given it up.
type Delivery struct {
	// SentCommands are the orders of the last answer whose effect would show.
	SentCommands []SentCommand
	// missedAnswers counts answers in turn of whose orders nothing took effect.
	missedAnswers int
	// CannotReceive: nothing is given to it, since when and for how long at least.
	CannotReceive      bool
	cannotReceiveSince int64
	retryDelay         int64
	// probedAt is when it was last asked for a report, open says that no answer has
	// come, and session and seq are the highest number that was known then.
	probedAt     int64
	probePending bool
	epoch, seq   uint64
}

// SentCommand is an order to start an attempt, or to forget one.
type SentCommand struct {
	Task    string
	Attempt uint32
	Forget  bool
}

// maxMissedAnswers is how many answers in turn a machine that hears does not miss:
// one is lost now and then.
const maxMissedAnswers = 2

// The pause of a deaf machine doubles each time that it is found deaf again.
const (
	minRetryDelay = 10_000_000
	maxRetryDelay = 60_000_000
)

// RecordHeartbeat judges the last answer's orders by the next report; listed says
// whether that has an attempt. It returns whether the machine is newly deaf.
func (d *Delivery) RecordHeartbeat(listed func(task string, attempt uint32) bool, now int64) (deaf bool) {
	if len(d.SentCommands) == 0 {
		return false
	}
	for _, t := range d.SentCommands {
		if listed(t.Task, t.Attempt) != t.Forget {
			d.RecordReceived()
			d.retryDelay = 0
			return false
		}
	}
	d.missedAnswers++
	return d.updateCannotReceive(now)
}

// RecordMissedAnswer notes that a machine ended its session though it was answered.
func (d *Delivery) RecordMissedAnswer(now int64) (deaf bool) {
	d.missedAnswers++
	return d.updateCannotReceive(now)
}

func (d *Delivery) updateCannotReceive(now int64) bool {
	if d.CannotReceive || d.missedAnswers < maxMissedAnswers {
		return false
	}
	d.CannotReceive, d.cannotReceiveSince = true, now
	d.retryDelay = min(max(2*d.retryDelay, minRetryDelay), maxRetryDelay)
	return true
}

// RecordReceived notes that something got to it.
func (d *Delivery) RecordReceived() { d.missedAnswers, d.CannotReceive = 0, false }

// RetryDue lets a deaf machine be tried once more when its pause is over: whoever
// can't ask it would else never learn that it hears another controller.
func (d *Delivery) RetryDue(now int64) bool {
	if !d.CannotReceive || now-d.cannotReceiveSince < d.retryDelay {
		return false
	}
	d.CannotReceive, d.missedAnswers = false, maxMissedAnswers-1
	return true
}

// probeInterval is how often a machine is asked for a report.
const probeInterval = 2_000_000

// BeginProbe says whether to ask a machine for a report now.
func (m *Machine) BeginProbe(now int64) bool {
	d := &m.Delivery
	if d.probedAt != 0 && now-d.probedAt < probeInterval {
		return false
	}
	d.probedAt, d.probePending = now, true
	if !m.seqRestarted {
		d.epoch, d.seq = m.Epoch, m.Seq
	}
	return true
}

// ApplyProbe takes the answer to a question that was sent at a time. Its report was
// made after the question, so where its number is no higher than what was known
// then, the machine counts anew. From then on only answers to questions prove
// anything, as a report from before looks like the newest: they say what the
// present number is, and whether it has begun once more.
func (m *Machine) ApplyProbe(sent int64, session, seq uint64) (begun bool) {
	d := &m.Delivery
	if !d.probePending || sent < d.probedAt {
		return false
	}
	d.probePending = false // another answer is to be held against newer numbers
	newer := session > d.epoch || session == d.epoch && seq > d.seq
	if newer && !m.seqRestarted {
		return false
	}
	begun = !newer || session != d.epoch
	m.seqRestarted, m.Epoch, m.Seq, d.epoch, d.seq = true, session, seq, session, seq
	return begun
}

// SeqRestarted says that its reports' numbers have begun anew, so that they do not tell a
// report of now from a copy of one from before.
func (m *Machine) SeqRestarted() bool { return m.seqRestarted }

// Reports come at most twice a second, and each answer to a question and each
// order counts one more.
const (
	maxSeqPerSecond = 8
	maxSeqBurst     = 16
)

// Plausible says whether a report can be of the machine as it is: where it counts
// anew its numbers can't have risen as far, and a new session is asked for.
func (m *Machine) Plausible(session, seq uint64, now int64) bool {
	return !m.seqRestarted || session == m.Epoch && seq-m.Seq <= uint64(maxSeqBurst+(now-m.LastHeartbeat)*maxSeqPerSecond/1_000_000)
}
