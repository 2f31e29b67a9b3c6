package jobstate

// StopReason is why a placed attempt is to be stopped.
type StopReason string

// The reasons to stop an attempt; the empty one is none.
const (
	// StopCancel and StopComplete follow from the outcome of the attempt's job.
	StopCancel   = StopReason(Cancelled)
	StopComplete = StopReason(Done)
	// StopSweep: the job's sweep is cancelled, and its own end is not stored yet.
	StopSweep StopReason = "sweep"
	// StopPreempt makes room for other work.
	StopPreempt StopReason = "preempt"
	// StopDrain: the machine is to go.
	StopDrain StopReason = "drain"
	// StopTrial: the job's trial run is over.
	StopTrial StopReason = "trial"
	// StopGang: another task of the gang's attempt is gone.
	StopGang StopReason = "gang"
	// StopNotReceiving: the start was sent to a machine that does not receive answers.
	StopNotReceiving StopReason = "not_receiving"
)

// IsStopping says that the attempt is to be stopped.
func (t *Task) IsStopping() bool { return t.StopReason != "" }

// OutcomeStopReason is why attempts of a job that is over are stopped.
func (j *Job) OutcomeStopReason() StopReason { return StopReason(j.Outcome()) }
