package api

import (
	"encoding/json"
	"net/http"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// jobResponse is a job's state on the wire.
type jobResponse struct {
	ID      string `json:"name_id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// decommissionResponse reports whether a controller is decommissioned.
type decommissionResponse struct {
	Name string `json:"controller"`
	Gone bool   `json:"gone"`
}

// misdirectedResponse is the answer to a heartbeat that was sent to the wrong controller. It
// has the name of the controller that the worker should use, if that is known.
type misdirectedResponse struct {
	Leader string `json:"foreman,omitempty"`
}

// errorResponse gives the reason why a request was refused.
type errorResponse struct {
	Error string `json:"error"`
}

// The states of a job or a sweep on the wire.
const (
	StatusQueued    = "pending"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "withdrawn"
)

// JobStateName returns the wire name of the state of a job or sweep, or "" if the state
// has none.
func JobStateName(state string) string {
	switch state {
	case core.Queued:
		return StatusQueued
	case core.Running:
		return StatusRunning
	case jobstate.Done:
		return StatusDone
	case jobstate.Cancelled:
		return StatusCancelled
	default:
		return ""
	}
}

// EncodeReply encodes a reply as the body of the answer.
func EncodeReply(r core.Reply) []byte {
	switch {
	case r.Job != nil:
		return encode(jobResponse{
			ID:      r.Job.ID,
			Status:  JobStateName(r.Job.State),
			Done:    r.Job.Done,
			Running: r.Job.Running,
		})
	case r.Sweep != nil:
		return encode(newSweepResponse(r.Sweep))
	case r.Runs != nil:
		return encode(newRunPageResponse(r.Runs))
	case r.Ops != nil:
		return encode(r.Ops)
	case r.Decommission != nil:
		return encode(decommissionResponse{
			Name: r.Decommission.Name,
			Gone: r.Decommission.Decommissioned,
		})
	case r.Status == http.StatusMisdirectedRequest:
		return encode(misdirectedResponse{Leader: r.Leader})
	case r.Status == http.StatusOK && r.FencingToken != 0:
		return encode(heartbeatResponse{
			FencingToken: r.FencingToken,
			Commands:     newCommands(r.Commands),
		})
	case r.Error != "":
		return encode(errorResponse{Error: r.Error})
	default:
		return []byte("{}")
	}
}

// encode encodes a plain struct as JSON. Encoding one cannot fail; encode panics if it does.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
