package fleet

// Delivery is what is known of whether answers get to a machine: its reports show only
// that it can send. What shows more are orders that have taken effect
// by its next report, which it sends when it has had its answer or given it up.
type Delivery struct {
	// Told are the orders of the last answer whose effect would show.
	Told []Told
	// missed counts answers in turn of whose orders nothing took effect.
	missed int
	// Deaf: nothing is given to it, since when and for how long at least.
	Deaf  bool
	since int64
	pause int64
	// asked is when it was last asked for a report, open says that no answer has
	// come, and session and seq are the highest number that was known then.
	asked        int64
	open         bool
	session, seq uint64
}

// Told is an order to start an attempt, or to forget one.
type Told struct {
	Task    string
	Attempt uint32
	Forget  bool
}

// missesForDeaf is how many answers in turn a machine that hears does not miss:
// one is lost now and then.
const missesForDeaf = 2

// The pause of a deaf machine doubles each time that it is found deaf again.
const (
	leastPause = 10_000_000
	mostPause  = 60_000_000
)

// Reported judges the last answer's orders by the next report; listed says
// whether that has an attempt. It returns whether the machine is newly deaf.
func (d *Delivery) Reported(listed func(task string, attempt uint32) bool, now int64) (deaf bool) {
	if len(d.Told) == 0 {
		return false
	}
	for _, t := range d.Told {
		if listed(t.Task, t.Attempt) != t.Forget {
			d.Heard()
			d.pause = 0
			return false
		}
	}
	d.missed++
	return d.judge(now)
}

// Unanswered notes that a machine ended its session though it was answered.
func (d *Delivery) Unanswered(now int64) (deaf bool) {
	d.missed++
	return d.judge(now)
}

func (d *Delivery) judge(now int64) bool {
	if d.Deaf || d.missed < missesForDeaf {
		return false
	}
	d.Deaf, d.since = true, now
	d.pause = min(max(2*d.pause, leastPause), mostPause)
	return true
}

// Heard notes that something got to it.
func (d *Delivery) Heard() { d.missed, d.Deaf = 0, false }

// Retry lets a deaf machine be tried once more when its pause is over: whoever
// can't ask it would else never learn that it hears another controller.
func (d *Delivery) Retry(now int64) bool {
	if !d.Deaf || now-d.since < d.pause {
		return false
	}
	d.Deaf, d.missed = false, missesForDeaf-1
	return true
}

// askEvery is how often a machine is asked for a report.
const askEvery = 2_000_000

// Ask says whether to ask a machine for a report now.
func (m *Machine) Ask(now int64) bool {
	d := &m.Delivery
	if d.asked != 0 && now-d.asked < askEvery {
		return false
	}
	d.asked, d.open = now, true
	if !m.anew {
		d.session, d.seq = m.Session, m.Seq
	}
	return true
}

// Answer takes the answer to a question that was sent at a time. Its report was
// made after the question, so where its number is no higher than what was known
// then, the machine counts anew. From then on only answers to questions prove
// anything, as a report from before looks like the newest: they say what the
// present number is, and whether it has begun once more.
func (m *Machine) Answer(sent int64, session, seq uint64) (begun bool) {
	d := &m.Delivery
	if !d.open || sent < d.asked {
		return false
	}
	d.open = false // another answer is to be held against newer numbers
	newer := session > d.session || session == d.session && seq > d.seq
	if newer && !m.anew {
		return false
	}
	begun = !newer || session != d.session
	m.anew, m.Session, m.Seq, d.session, d.seq = true, session, seq, session, seq
	return begun
}

// Anew says that its reports' numbers have begun anew, so that they do not tell a
// report of now from a copy of one from before.
func (m *Machine) Anew() bool { return m.anew }

// Reports come at most twice a second, and each answer to a question and each
// order counts one more.
const (
	numbersASecond = 8
	numbersAtOnce  = 16
)

// Plausible says whether a report can be of the machine as it is: where it counts
// anew its numbers can't have risen as far, and a new session is asked for.
func (m *Machine) Plausible(session, seq uint64, now int64) bool {
	return !m.anew || session == m.Session && seq-m.Seq <= uint64(numbersAtOnce+(now-m.Heard)*numbersASecond/1_000_000)
}
