package fleet

// AnswerLifetime is the time, in microseconds, after which the answer to a heartbeat can no longer be
// accepted: the worker stops waiting for it after 4 s.
const AnswerLifetime = 4_200_000

// AttemptRef identifies an attempt of a task by the task's name, as workers report it.
type AttemptRef struct {
	Task    string
	Attempt uint64
}

// sentStart is the start of an attempt: when the answer with it was sent, and the agent epoch of the
// heartbeat that was answered.
type sentStart struct {
	at    int64
	epoch uint64
}

// recentStarts are the starts that were sent to a machine less than AnswerLifetime ago. Until that
// time is over, a late copy of the answer may reach the worker and start an attempt again that the
// worker does not know any more.
type recentStarts struct {
	sent      map[AttemptRef]sentStart
	expiredAt int64 // time at which expired starts were last deleted
}

// RecordStart records that the start of an attempt is sent now, in the answer to the newest heartbeat.
func (m *Machine) RecordStart(task string, attempt uint64, now int64) {
	starts := &m.starts
	if starts.sent == nil {
		starts.sent = map[AttemptRef]sentStart{}
	}
	if now-starts.expiredAt >= AnswerLifetime {
		starts.expire(now)
	}
	starts.sent[AttemptRef{task, attempt}] = sentStart{now, m.Epoch}
}

// StartMayRepeat reports whether a copy of an answer with the start of an attempt may still be
// executed. A worker drops answers to heartbeats of an earlier epoch.
func (m *Machine) StartMayRepeat(task string, attempt uint64, now int64) bool {
	return m.StartExpiresAt(task, attempt) > now
}

// StartExpiresAt returns the time from which on no copy of an answer with the start of an attempt can
// be executed, 0 if that time is long over.
func (m *Machine) StartExpiresAt(task string, attempt uint64) int64 {
	start, ok := m.starts.sent[AttemptRef{task, attempt}]
	if !ok || start.epoch != m.Epoch {
		return 0
	}
	return start.at + AnswerLifetime
}

func (s *recentStarts) expire(now int64) {
	s.expiredAt = now
	for name, start := range s.sent {
		if now-start.at >= AnswerLifetime {
			delete(s.sent, name)
		}
	}
}
