package core

import "github.com/zinclb/zinclb/internal/core/jobstate"

// SubmitJob is a user's submission of a job. The reply to a repeated submission is the job's
// state.
type SubmitJob struct {
	RequestID uint64
	// Forwarded is set if a peer has forwarded the request, here and in the other messages.
	Forwarded bool
	Spec      *jobstate.Spec
	// Invalid is the reason why the submission is malformed, or "". If it is set, Spec has
	// only an id.
	Invalid string
}

// QueryJob asks for a job's state.
type QueryJob struct {
	RequestID uint64
	Forwarded bool
	ID        string
}

// CancelJob asks to cancel a job.
type CancelJob struct {
	RequestID uint64
	Forwarded bool
	ID        string
}

// JobState is a job's state as users see it.
type JobState struct {
	ID string
	// State is Queued, Running or an outcome of package jobstate.
	State   string
	Done    int
	Running int
}

// The states of an unfinished job.
const (
	Queued  = "queued"
	Running = "running"
)

// CheckReady asks whether this controller can serve requests; load balancers send it.
type CheckReady struct{ RequestID uint64 }

// SetDecommissioned declares that a controller will not return, or that it may return again;
// operators send it.
type SetDecommissioned struct {
	RequestID      uint64
	Name           string
	Decommissioned bool
}

// DecommissionState reports whether operators have decommissioned a controller.
type DecommissionState struct {
	Name           string
	Decommissioned bool
}
