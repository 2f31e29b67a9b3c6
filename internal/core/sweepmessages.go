package core

import (
	"encoding/json"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// SweepPlan is what a description expands to.
type SweepPlan struct {
	ID, Digest string
	// MaxUnfinished is how many runs may be unfinished at once.
	MaxUnfinished int
	Specs         []*jobstate.Spec
	// Values are the runs' values as JSON, in the order of Specs.
	Values []json.RawMessage
	// Sets has, in the same order, which sets of values each run stands for: several
	// where identical ones were merged.
	Sets [][]int
	// Longest is how many bytes the longest stored job takes.
	Longest int
}

// Messages about sweeps.
type (
	// SubmitSweep is a submitted sweep, expanded.
	SubmitSweep struct {
		RequestID uint64
		Plan      *SweepPlan
		// Stored is its description as it is to be stored, without characters that
		// JSON escapes.
		Stored string
		// Invalid says what is wrong with it; then the plan has only an id.
		Invalid string
		// Forwarded: a peer has forwarded the request, as with the others.
		Forwarded bool
	}
	// QuerySweep asks for a sweep's state.
	QuerySweep struct {
		RequestID uint64
		ID        string
		Forwarded bool
	}
	// ListSweepRuns asks for at most Limit runs from number After on.
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

// Effects of sweeps.
type (
	// ExpandSweep asks for the plan of a stored description.
	ExpandSweep struct{ ID, Stored string }
	// ForwardedSweep is a submitted sweep that is forwarded to a peer, which expands
	// it again, as the runs are much longer than the description.
	ForwardedSweep struct{ ID, Stored, Invalid string }
)

// Replies about sweeps.
type (
	// SweepState is the state of a sweep, with counts of its runs.
	SweepState struct {
		ID, State                      string
		Runs, Created, Done, Cancelled int
	}
	// SweepRun is one run.
	SweepRun struct {
		Number    int
		ID, State string
		Values    json.RawMessage
		Sets      []int
	}
	// SweepPage is some runs; Next is where to go on, 0 at the end.
	SweepPage struct {
		Runs []SweepRun
		Next int
	}
)

// The states of runs that are not jobs' states.
const (
	RunStatePlanned = "planned" // it is not created yet
	RunStateEnded   = "ended"   // it has ended, and this controller is about to learn how
)
