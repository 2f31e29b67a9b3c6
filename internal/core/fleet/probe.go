package fleet

// probe is the newest request to a machine for a heartbeat.
type probe struct {
	sentAt  int64
	pending bool // no answer yet
	// epoch and seq are the highest numbers that were known when the probe was sent or, once
	// the sequence numbers have restarted, those in the last answer to a probe.
	epoch, seq uint64
}

// probeInterval is the minimum time between two probes of a machine, in microseconds.
const probeInterval = 2 * second

// Bounds on how fast the sequence number of a machine's heartbeats rises. Heartbeats come at
// most twice a second, and each answer to a probe and each command adds one.
const (
	maxSeqPerSecond = 8
	maxSeqBurst     = 16
)

// BeginProbe reports whether to request a heartbeat from the machine now, and if so records
// the request.
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

// ApplyProbe applies the answer to a probe sent at sentAt, and reports whether it shows that
// the machine has restarted its heartbeat sequence numbers. The heartbeat in the answer was made
// after the probe was sent. If its number is no higher than the highest number known at that
// time, the sequence has restarted. From then on a heartbeat from before the restart looks
// like the newest, so only answers to probes are proof: they give the current number and show
// whether the sequence has restarted again.
func (m *Machine) ApplyProbe(sentAt int64, epoch, seq uint64) (restarted bool) {
	p := &m.Delivery.probe
	if !p.pending || sentAt < p.sentAt {
		return false
	}
	p.pending = false // a copy of this answer could look like another restart
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

// SeqRestarted reports whether the machine has restarted its heartbeat sequence numbers, so that
// they do not distinguish a current heartbeat from a copy of one from before the restart.
func (m *Machine) SeqRestarted() bool { return m.seqRestarted }

// IsPlausible reports whether a heartbeat can be a current one of the machine. After a restart
// of the sequence, the number can have risen only by a bounded amount since the last
// heartbeat, and a new epoch needs confirmation by a probe.
func (m *Machine) IsPlausible(epoch, seq uint64, now int64) bool {
	if !m.seqRestarted {
		return true
	}
	maxAdvance := uint64(maxSeqBurst + (now-m.LastHeartbeat)*maxSeqPerSecond/second)
	return epoch == m.Epoch && seq-m.Seq <= maxAdvance
}
