package fleet

// Hearing is what is known of whether a machine hears: that its reports come
// says only that it is heard. What shows more are orders that have taken effect
// by its next report, which it sends when it has had its answer or given it up.
type Hearing struct {
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
func (h *Hearing) Reported(listed func(task string, attempt uint32) bool, now int64) (deaf bool) {
	if len(h.Told) == 0 {
		return false
	}
	for _, t := range h.Told {
		if listed(t.Task, t.Attempt) != t.Forget {
			h.Heard()
			h.pause = 0
			return false
		}
	}
	h.missed++
	return h.judge(now)
}

// Unanswered notes that a machine ended its session though it was answered.
func (h *Hearing) Unanswered(now int64) (deaf bool) {
	h.missed++
	return h.judge(now)
}

func (h *Hearing) judge(now int64) bool {
	if h.Deaf || h.missed < missesForDeaf {
		return false
	}
	h.Deaf, h.since = true, now
	h.pause = min(max(2*h.pause, leastPause), mostPause)
	return true
}

// Heard notes that something got to it.
func (h *Hearing) Heard() { h.missed, h.Deaf = 0, false }

// Retry lets a deaf machine be tried once more when its pause is over: whoever
// can't ask it would else never learn that it hears another controller.
func (h *Hearing) Retry(now int64) bool {
	if !h.Deaf || now-h.since < h.pause {
		return false
	}
	h.Deaf, h.missed = false, missesForDeaf-1
	return true
}

// askEvery is how often a machine is asked for a report.
const askEvery = 2_000_000

// Ask says whether to ask a machine for a report now.
func (m *Machine) Ask(now int64) bool {
	h := &m.Hears
	if h.asked != 0 && now-h.asked < askEvery {
		return false
	}
	h.asked, h.open = now, true
	if !m.anew {
		h.session, h.seq = m.Session, m.Seq
	}
	return true
}

// Answer takes the answer to a question that was sent at a time. Its report was
// made after the question, so where its number is no higher than what was known
// then, the machine counts anew. From then on only answers to questions prove
// anything, as a report from before looks like the newest: they say what the
// present number is, and whether it has begun once more.
func (m *Machine) Answer(sent int64, session, seq uint64) (begun bool) {
	h := &m.Hears
	if !h.open || sent < h.asked {
		return false
	}
	h.open = false // another answer is to be held against newer numbers
	newer := session > h.session || session == h.session && seq > h.seq
	if newer && !m.anew {
		return false
	}
	begun = !newer || session != h.session
	m.anew, m.Session, m.Seq, h.session, h.seq = true, session, seq, session, seq
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
