package jobstate

// StopReason is the reason for which a placed attempt is to be stopped.
type StopReason string

// The reasons to stop an attempt. The empty reason means that it is not to be stopped.
const (
	// StopCancel and StopComplete stop the attempts of a job that has ended, by its outcome.
	StopCancel   = StopReason(Cancelled)
	StopComplete = StopReason(Done)
	// StopSweep stops attempts of a job whose sweep is cancelled and whose own end is not
	// stored yet.
	StopSweep StopReason = "sweep"
	// StopPreempt frees resources for other work.
	StopPreempt StopReason = "preempt"
	// StopDrain empties a machine that is to be removed.
	StopDrain StopReason = "drain"
	// StopTrial ends the job's trial run.
	StopTrial StopReason = "trial"
	// StopGang stops the rest of a gang after another task of its attempt is gone.
	StopGang StopReason = "gang"
	// StopNotReceiving stops an attempt whose start was sent to a machine that does not
	// receive answers.
	StopNotReceiving StopReason = "not_receiving"
)

// IsStopping reports whether the attempt is to be stopped.
func (t *Task) IsStopping() bool { return t.StopReason != "" }

// OutcomeStopReason returns the reason for which attempts of an ended job are stopped.
func (j *Job) OutcomeStopReason() StopReason { return StopReason(j.Outcome()) }
