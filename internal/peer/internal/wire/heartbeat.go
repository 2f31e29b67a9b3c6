package wire

import (
	"github.com/zinclb/zinclb/internal/core"
)

// NewHeartbeat converts a heartbeat for relaying to a peer. The request ID is left out,
// because each core assigns its own.
func NewHeartbeat(in core.HeartbeatReceived) BeatArgs {
	return BeatArgs{From: in.From, Report: newReport(in.Heartbeat), Onward: in.ViaPeer}
}

// Core converts the heartbeat to a message to the core, without a request ID.
func (in BeatArgs) Core() core.HeartbeatReceived {
	return core.HeartbeatReceived{From: in.From, Heartbeat: in.Report.core(), ViaPeer: in.Onward}
}

func newReport(in core.Heartbeat) Report {
	return Report{
		Machine: in.Machine,
		Addr:    in.Addr,
		Type:    in.Type,
		Zone:    in.Zone,
		Spot:    in.Spot,
		Session: in.Epoch,
		Seq:     in.Seq,
		Token:   in.FencingToken,
		Notice:  in.PreemptionNotice,
		Tasks:   convertAll(in.Tasks, newTaskReport),
	}
}

func (in Report) core() core.Heartbeat {
	return core.Heartbeat{
		Machine:          in.Machine,
		Addr:             in.Addr,
		Type:             in.Type,
		Zone:             in.Zone,
		Spot:             in.Spot,
		Epoch:            in.Session,
		Seq:              in.Seq,
		FencingToken:     in.Token,
		PreemptionNotice: in.Notice,
		Tasks:            convertAll(in.Tasks, TaskReport.core),
	}
}

func newTaskReport(in core.TaskStatus) TaskReport {
	return TaskReport{
		Name:    in.Name,
		Attempt: in.Attempt,
		State:   string(in.State),
		Why:     string(in.Reason),
		Saved:   in.Checkpointed,
	}
}

func (in TaskReport) core() core.TaskStatus {
	return core.TaskStatus{
		Name:         in.Name,
		Attempt:      in.Attempt,
		State:        core.TaskState(in.State),
		Reason:       core.ExitReason(in.Why),
		Checkpointed: in.Saved,
	}
}

func newOrder(in core.Command) Order {
	return Order{
		Op:      string(in.Kind),
		Task:    in.Task,
		Attempt: in.Attempt,
		Grace:   in.Grace,
	}
}

func (in Order) core() core.Command {
	return core.Command{
		Kind:    core.CommandKind(in.Op),
		Task:    in.Task,
		Attempt: in.Attempt,
		Grace:   in.Grace,
	}
}
