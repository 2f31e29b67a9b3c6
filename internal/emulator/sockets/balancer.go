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

// maxForwardedBytes bounds the answer to a user from outside.
const maxForwardedBytes = 4 << 20

// userRequest is a request of a user from outside.
type userRequest struct {
	*http.Request
	body []byte
	// op and job are what the history records, "" for nothing.
	op, job string
	// jobs are what it submits.
	jobs []wire.Job
}

// balance serves users from outside: it forwards their requests to a healthy controller,
// records them in the history and has workers know their jobs. It also takes faults.
func (d *Driver) balance(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		write(w, http.StatusRequestEntityTooLarge, wire.Error{Error: "body too large"})
		return
	}
	if r.URL.Path == "/emulator/fault" {
		d.takeFault(w, body)
		return
	}
	request := readUserRequest(r, body)
	registered, ok := askActor(d, func() registration { return d.register(&request) })
	if !ok {
		drop(w)
		return
	}
	status, answer := d.forwardToHealthy(w.Header(), &request, registered.controllers)
	if request.op != "" {
		var a wire.JobAnswer
		_ = json.Unmarshal(answer, &a) // an error's body may be anything
		d.onActor(func() { d.env.ExternalAnswer(registered.call, request.op, request.job, status, a.State) })
	}
	if status == 0 {
		write(w, http.StatusServiceUnavailable, wire.Error{Error: "no controller is healthy"})
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(answer) // the caller may be gone
}

// takeFault injects a fault that somebody sends.
func (d *Driver) takeFault(w http.ResponseWriter, body []byte) {
	fault, err := scenario.ParseFault(body)
	if err == nil {
		err = d.InjectFault(fault)
	}
	if err != nil {
		write(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	write(w, http.StatusOK, struct{}{})
}

// readUserRequest finds out what a request is about.
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

// registration is what the environment knows of a request: the controllers that may get it,
// and its number in the history.
type registration struct {
	controllers []string
	call        uint64
}

// register gives workers the request's jobs and records it; the actor calls it.
func (d *Driver) register(request *userRequest) registration {
	d.addJobs(request.jobs...)
	r := registration{controllers: d.env.HealthyControllers()}
	if request.op != "" {
		r.call = d.env.ExternalRequest(request.op, request.job)
	}
	return r
}

// forwardToHealthy sends a request to the first of the controllers that can be reached, and
// returns its answer, status 0 if there is none. It sets some headers of the answer.
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
			return 0, answer // it may have been executed
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
