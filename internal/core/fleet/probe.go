package fleet

// probe is the newest question to a machine for a heartbeat.
type probe struct {
	sentAt  int64
	pending bool // no answer has come
	// epoch and seq are the highest numbers that were known when it was sent.
	epoch, seq uint64
}

// probeInterval is the least time between two probes of a machine.
const probeInterval = 2 * second

// Heartbeats come at most twice a second, and each answer to a probe and each command
// counts one more.
const (
	maxSeqPerSecond = 8
	maxSeqBurst     = 16
)

// BeginProbe says whether to ask a machine for a heartbeat now, and notes that it is asked.
func (m *Machine) BeginProbe(now int64) bool {
	p := &m.Delivery.probe
	if p.sentAt != 0 && now-p.sentAt < probeInterval {
		return false
	}
	p.sentAt, p.pending = now, true
	if !m.seqRestarted {
		p.epoch, p.seq = m.Epoch, m.Seq
	}
	return true
}

// ApplyProbe takes the answer to a probe that was sent at a time, and returns whether it
// shows that the machine has begun to number its heartbeats anew. The heartbeat of the
// answer was made after the probe, so where its number is no higher than what was known
// then, the machine has. From then on only answers to probes prove anything, as a heartbeat
// from before looks like the newest: they say what the present number is, and whether it
// has begun once more.
func (m *Machine) ApplyProbe(sentAt int64, epoch, seq uint64) (restarted bool) {
	p := &m.Delivery.probe
	if !p.pending || sentAt < p.sentAt {
		return false
	}
	p.pending = false // another answer is to be compared with newer numbers
	isNewer := epoch > p.epoch || epoch == p.epoch && seq > p.seq
	if isNewer && !m.seqRestarted {
		return false
	}
	restarted = !isNewer || epoch != p.epoch
	m.seqRestarted = true
	m.Epoch, m.Seq = epoch, seq
	p.epoch, p.seq = epoch, seq
	return restarted
}

// SeqRestarted says that the machine numbers its heartbeats anew, so that their numbers do
// not tell a heartbeat of now from a copy of one from before.
func (m *Machine) SeqRestarted() bool { return m.seqRestarted }

// IsPlausible says whether a heartbeat can be of the machine as it is: where it numbers
// them anew the numbers can't have risen as far, and a new epoch needs a probe.
func (m *Machine) IsPlausible(epoch, seq uint64, now int64) bool {
	if !m.seqRestarted {
		return true
	}
	mostSince := uint64(maxSeqBurst + (now-m.LastHeartbeat)*maxSeqPerSecond/second)
	return epoch == m.Epoch && seq-m.Seq <= mostSince
}
