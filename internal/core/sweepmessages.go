package core

import (
	"encoding/json"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// SweepPlan is the expansion of a sweep's description.
type SweepPlan struct {
	ID, Digest string
	// MaxUnfinished is the maximum number of runs that are unfinished at the same time.
	MaxUnfinished int
	Specs         []*jobstate.Spec
	// Values are the parameter values of the runs as JSON, in the order of Specs.
	Values []json.RawMessage
	// Sets has, in the same order, the numbers of the sets of values that each run stands
	// for: several if identical sets were merged.
	Sets [][]int
	// Longest is the size of the longest stored job in bytes.
	Longest int
}

// Messages about sweeps.
type (
	// SubmitSweep is a submitted sweep with its expansion.
	SubmitSweep struct {
		RequestID uint64
		Plan      *SweepPlan
		// Stored is the description as it is stored, without characters that JSON
		// escapes.
		Stored string
		// Invalid is the reason why the sweep is malformed, or "". If it is set, the plan
		// has only an id.
		Invalid string
		// Forwarded is set if a peer has forwarded the request, here and in the other
		// messages.
		Forwarded bool
	}
	// QuerySweep asks for a sweep's state.
	QuerySweep struct {
		RequestID uint64
		ID        string
		Forwarded bool
	}
	// ListSweepRuns asks for at most Limit runs, beginning with number After.
	ListSweepRuns struct {
		RequestID    uint64
		ID           string
		After, Limit int
		Forwarded    bool
	}
	// CancelSweep asks to cancel a sweep.
	CancelSweep struct {
		RequestID uint64
		ID        string
		Forwarded bool
	}
	// SweepExpanded answers ExpandSweep.
	SweepExpanded struct {
		ID   string
		Plan *SweepPlan
		Err  error
	}
)

// Effects about sweeps.
type (
	// ExpandSweep asks for the plan of a stored description.
	ExpandSweep struct{ ID, Stored string }
	// ForwardedSweep is a submitted sweep that is forwarded to a peer. The peer expands
	// the description again, because the runs are much longer than the description.
	ForwardedSweep struct{ ID, Stored, Invalid string }
)

// Replies about sweeps.
type (
	// SweepState is the state of a sweep, with counts of its runs.
	SweepState struct {
		ID, State                      string
		Runs, Created, Done, Cancelled int
	}
	// SweepRun is one run of a sweep.
	SweepRun struct {
		Number    int
		ID, State string
		Values    json.RawMessage
		Sets      []int
	}
	// SweepPage is a page of runs; Next is the number of the next run to list, 0 at the
	// end.
	SweepPage struct {
		Runs []SweepRun
		Next int
	}
)

// The states of runs in addition to the states of jobs.
const (
	RunStatePlanned = "planned" // the run is not created yet
	RunStateEnded   = "ended"   // the run has ended, and this controller does not know yet how
)
