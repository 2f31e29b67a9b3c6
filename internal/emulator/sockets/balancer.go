package sockets

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/scenario"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// maxForwardedBytes is the maximum size of a response that is forwarded to an external user.
const maxForwardedBytes = 4 << 20

// userRequest is a request of an external user.
type userRequest struct {
	*http.Request
	body []byte
	// op and job are the operation and the job ID that the history records; op is "" if
	// nothing is recorded.
	op, job string
	// jobs are the jobs that the request submits.
	jobs []wire.Job
}

// handleUserRequest is the load balancer for external users: it forwards a request to a
// healthy controller, records the request in the history and makes the descriptions of its jobs
// known to workers. It also accepts faults to inject.
func (d *Driver) handleUserRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		writeJSON(w, http.StatusRequestEntityTooLarge, wire.Error{Error: "body too large"})
		return
	}
	if r.URL.Path == "/emulator/fault" {
		d.handleFaultRequest(w, body)
		return
	}
	request := readUserRequest(r, body)
	registered, ok := askActor(d, func() registration { return d.register(&request) })
	if !ok {
		closeConnection(w)
		return
	}
	status, answer := d.forwardToHealthy(w.Header(), &request, registered.controllers)
	if request.op != "" {
		var jobAnswer wire.JobAnswer
		_ = json.Unmarshal(answer, &jobAnswer) // the body of an error response may not be JSON
		d.onActor(func() { d.env.ExternalAnswer(registered.call, request.op, request.job, status, jobAnswer.State) })
	}
	if status == 0 {
		writeJSON(w, http.StatusServiceUnavailable, wire.Error{Error: "no controller is healthy"})
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(answer) // the client may have disconnected
}

// handleFaultRequest injects the fault in the body of a request.
func (d *Driver) handleFaultRequest(w http.ResponseWriter, body []byte) {
	fault, err := scenario.ParseFault(body)
	if err == nil {
		err = d.InjectFault(fault)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// readUserRequest determines the operation and the jobs of a request from its path and body.
func readUserRequest(r *http.Request, body []byte) userRequest {
	request := userRequest{Request: r, body: body}
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	switch {
	case r.URL.Path == "/work" && r.Method == http.MethodPost:
		var job wire.Job
		if json.Unmarshal(body, &job) == nil && job.ID != "" && job.Tasks > 0 {
			request.op, request.job, request.jobs = history.Submit, job.ID, []wire.Job{job}
		}
	case r.URL.Path == "/sweeps" && r.Method == http.MethodPost:
		if sweep, err := scenario.Expand(environment.Sweep{Text: string(body)}); err == nil {
			request.jobs = sweep.Jobs
		}
	case parts[0] == "work" && len(parts) == 2:
		request.op, request.job = history.Poll, parts[1]
	case parts[0] == "work" && len(parts) == 3:
		request.op, request.job = history.Cancel, parts[1]
	}
	return request
}

// registration holds the controllers to which a registered request may be forwarded, and the number
// of the request in the history.
type registration struct {
	controllers []string
	call        uint64
}

// register makes the jobs of a request known to workers and records the request. It must be called
// by the actor.
func (d *Driver) register(request *userRequest) registration {
	d.addJobs(request.jobs...)
	registered := registration{controllers: d.env.HealthyControllers()}
	if request.op != "" {
		registered.call = d.env.ExternalRequest(request.op, request.job)
	}
	return registered
}

// forwardToHealthy sends a request to the first controller that can be reached and returns
// the response, or status 0 if there is none. It copies the Retry-After and Content-Type
// headers of the response to header.
func (d *Driver) forwardToHealthy(header http.Header, request *userRequest, controllers []string) (status int, answer []byte) {
	for _, name := range controllers {
		req, err := http.NewRequest(request.Method, "http://"+d.controller(name).publicAddr+request.URL.RequestURI(), bytes.NewReader(request.body))
		if err != nil {
			return 0, nil
		}
		resp, err := d.userClient.Do(req)
		if err != nil {
			continue
		}
		answer, err = io.ReadAll(io.LimitReader(resp.Body, maxForwardedBytes))
		_ = resp.Body.Close()
		if err != nil {
			return 0, answer // not retried: the request may have been executed
		}
		for _, name := range []string{"Retry-After", "Content-Type"} {
			if value := resp.Header.Get(name); value != "" {
				header.Set(name, value)
			}
		}
		return resp.StatusCode, answer
	}
	return 0, nil
}
