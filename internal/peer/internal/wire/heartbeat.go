package wire

import (
	"github.com/zinclb/zinclb/internal/core"
)

// NewHeartbeat is a heartbeat as it is relayed. It has no number: each core numbers
// its own.
func NewHeartbeat(in core.Beat) BeatArgs {
	return BeatArgs{From: in.From, Report: newReport(in.Report), Onward: in.Onward}
}

// Core is the heartbeat as a message to the core, not numbered yet.
func (in BeatArgs) Core() core.Beat {
	return core.Beat{From: in.From, Report: in.Report.core(), Onward: in.Onward}
}

func newReport(in core.Report) Report {
	return Report{
		Machine: in.Machine,
		Addr:    in.Addr,
		Type:    in.Type,
		Zone:    in.Zone,
		Spot:    in.Spot,
		Session: in.Session,
		Seq:     in.Seq,
		Token:   in.Token,
		Notice:  in.Notice,
		Tasks:   each(in.Tasks, newTaskReport),
	}
}

func (in Report) core() core.Report {
	return core.Report{
		Machine: in.Machine,
		Addr:    in.Addr,
		Type:    in.Type,
		Zone:    in.Zone,
		Spot:    in.Spot,
		Session: in.Session,
		Seq:     in.Seq,
		Token:   in.Token,
		Notice:  in.Notice,
		Tasks:   each(in.Tasks, TaskReport.core),
	}
}

func newTaskReport(in core.TaskReport) TaskReport {
	return TaskReport{
		Name:    in.Name,
		Attempt: in.Attempt,
		State:   in.State,
		Why:     in.Why,
		Saved:   in.Saved,
	}
}

func (in TaskReport) core() core.TaskReport {
	return core.TaskReport{
		Name:    in.Name,
		Attempt: in.Attempt,
		State:   in.State,
		Why:     in.Why,
		Saved:   in.Saved,
	}
}

func newOrder(in core.Order) Order {
	return Order{
		Op:      in.Op,
		Task:    in.Task,
		Attempt: in.Attempt,
		Grace:   in.Grace,
	}
}

func (in Order) core() core.Order {
	return core.Order{
		Op:      in.Op,
		Task:    in.Task,
		Attempt: in.Attempt,
		Grace:   in.Grace,
	}
}
