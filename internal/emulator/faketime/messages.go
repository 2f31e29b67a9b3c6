package faketime

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/wire"
	"github.com/zinclb/zinclb/internal/peer"
)

// errNoAnswer is the error of a request that got no response.
var errNoAnswer = errors.New("no answer")

// refusedError is the status of a response that rejects the request.
type refusedError int

func (r refusedError) Error() string { return "refused" }

// Refused returns true: a server that rejects a request can be reached.
func (r refusedError) Refused() bool { return true }

// statusError returns the error for the status of a response, nil for 200.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case 0:
		return errNoAnswer
	}
	return refusedError(status)
}

// pingRequest is a ping from one controller to another.
type pingRequest struct {
	from string
	core.PingPeer
}

// coreMessage builds a message to a core; its reply will have the given request ID.
type coreMessage func(requestID uint64) any

// toCoreMessage converts a request to a controller into a message to its core, or into an
// immediate reply if the request is rejected.
func toCoreMessage(request any) (coreMessage, *core.Reply) {
	switch q := request.(type) {
	case *wire.Report:
		heartbeat := coreHeartbeat(q)
		return func(id uint64) any { return core.HeartbeatReceived{RequestID: id, Heartbeat: heartbeat} }, nil
	case *wire.Job:
		body, err := json.Marshal(q)
		if err != nil {
			panic(err) // plain structs always encode
		}
		return submissionMessage(body)
	case wire.RawSubmission:
		return submissionMessage(q.Body)
	case wire.Sweep:
		sweep, err := api.DecodeSweep([]byte(q.Text))
		if err != nil {
			return nil, &core.Reply{Status: http.StatusBadRequest}
		}
		return func(id uint64) any { sweep.RequestID = id; return sweep }, nil
	case wire.Poll:
		return func(id uint64) any { return core.QueryJob{RequestID: id, ID: q.ID} }, nil
	case wire.Cancel:
		return func(id uint64) any { return core.CancelJob{RequestID: id, ID: q.ID} }, nil
	case wire.SweepPoll:
		return func(id uint64) any { return core.QuerySweep{RequestID: id, ID: q.ID} }, nil
	case wire.SweepCancel:
		return func(id uint64) any { return core.CancelSweep{RequestID: id, ID: q.ID} }, nil
	case wire.ReadyProbe:
		return func(id uint64) any { return core.CheckReady{RequestID: id} }, nil
	}
	return peerMessage(request)
}

// submissionMessage is toCoreMessage for the JSON body of a job submission.
func submissionMessage(body []byte) (coreMessage, *core.Reply) {
	submission, err := api.DecodeSubmission(body)
	if err != nil {
		return nil, &core.Reply{Status: http.StatusBadRequest}
	}
	return func(id uint64) any { submission.RequestID = id; return submission }, nil
}

// peerMessage is toCoreMessage for requests from other controllers.
func peerMessage(request any) (coreMessage, *core.Reply) {
	switch q := request.(type) {
	case pingRequest:
		return func(id uint64) any {
			return core.PingReceived{
				RequestID: id, From: q.from, NeedMachines: q.NeedMachines, Incarnation: q.Incarnation,
				ReadLeaseRequest: q.ReadLeaseRequest, Cancellations: q.Cancellations,
			}
		}, nil
	case core.HeartbeatReceived:
		return func(id uint64) any { q.RequestID = id; return q }, nil
	case core.ForwardedSweep:
		return forwardedSweepMessage(q)
	}
	if peer.WithRequestID(request, 0) == nil {
		return nil, &core.Reply{Status: http.StatusNotFound}
	}
	return func(id uint64) any { return peer.WithRequestID(request, id) }, nil
}

// forwardedSweepMessage is toCoreMessage for a sweep that another controller forwards.
func forwardedSweepMessage(q core.ForwardedSweep) (coreMessage, *core.Reply) {
	submission := core.SubmitSweep{Plan: &core.SweepPlan{ID: q.ID}, Stored: q.Stored, Invalid: q.Invalid, Forwarded: true}
	if q.Invalid == "" {
		plan, err := api.UnpackSweep(q.Stored)
		if err != nil {
			return nil, &core.Reply{Status: http.StatusServiceUnavailable}
		}
		submission.Plan = plan
	}
	return func(id uint64) any { submission.RequestID = id; return submission }, nil
}

// responseBody converts the core's reply to a request into the body of the response.
func responseBody(request any, reply core.Reply) any {
	switch request.(type) {
	case *wire.Report:
		answer := wire.HeartbeatAnswer{Token: reply.FencingToken, Leader: reply.Leader}
		for _, command := range reply.Commands {
			answer.Orders = append(answer.Orders, wireOrder(command))
		}
		return answer
	case *wire.Job, wire.RawSubmission, wire.Poll, wire.Cancel, wire.Sweep, wire.SweepPoll, wire.SweepCancel:
		switch {
		case reply.Job != nil:
			return wire.JobAnswer{ID: reply.Job.ID, State: api.JobStateName(reply.Job.State), Done: reply.Job.Done, Running: reply.Job.Running}
		case reply.Sweep != nil:
			return wire.JobAnswer{State: api.JobStateName(reply.Sweep.State)}
		}
		return wire.JobAnswer{}
	}
	return reply // the request came from another controller
}

func wireOrder(command core.Command) wire.Order {
	return wire.Order{Op: api.CommandVerb(command), Task: command.Task, Attempt: uint64(command.Attempt), GraceS: float64(command.Grace) / 1e6}
}

func coreHeartbeat(report *wire.Report) core.Heartbeat {
	heartbeat := core.Heartbeat{
		Machine: report.Machine, Addr: report.Addr, Type: report.Type, Zone: report.Zone, Spot: report.Spot, Epoch: report.Session, Seq: report.Seq, FencingToken: report.Token, PreemptionNotice: -1,
		Tasks: make([]core.TaskStatus, len(report.Tasks)),
	}
	if report.NoticeS != nil {
		heartbeat.PreemptionNotice = int64(*report.NoticeS * 1e6)
	}
	for i, task := range report.Tasks {
		heartbeat.Tasks[i] = api.NewTaskStatus(task.Name, task.Attempt, task.State, task.Reason, task.Saved)
	}
	return heartbeat
}

// controllerReply returns the reply of another controller, or errNoAnswer if there is none.
func controllerReply(body any) (core.Reply, error) {
	if reply, ok := body.(core.Reply); ok {
		return reply, nil
	}
	return core.Reply{}, errNoAnswer
}

func wireTransaction(commit core.CommitTransaction) wire.Transaction {
	var transaction wire.Transaction
	for _, condition := range commit.Conditions {
		transaction.Conditions = append(transaction.Conditions, wire.Condition(condition))
	}
	for _, write := range commit.Writes {
		if write.Value == nil {
			transaction.Writes = append(transaction.Writes, wire.Write{Remove: write.Key})
		} else {
			transaction.Writes = append(transaction.Writes, wire.Write{Put: write.Key, Value: write.Value, Lease: write.Lease})
		}
	}
	return transaction
}
