package sockets

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// maxAnswerBytes is the maximum size of a response of a controller.
const maxAnswerBytes = 1 << 20

// controllerRequest is an HTTP request to a controller.
type controllerRequest struct {
	client       *http.Client
	method, path string
	body         []byte
	isHeartbeat  bool // the response is a HeartbeatAnswer
}

// controllerRequest returns the HTTP request for a request of the environment to a controller.
func (d *Driver) controllerRequest(request any) controllerRequest {
	get := func(path string) controllerRequest {
		return controllerRequest{client: d.userClient, method: http.MethodGet, path: path}
	}
	post := func(path string, body []byte) controllerRequest {
		return controllerRequest{client: d.userClient, method: http.MethodPost, path: path, body: body}
	}
	switch q := request.(type) {
	case *wire.Report:
		d.withAddresses(q)
		r := post("/agent/beat", encode(q))
		r.client, r.isHeartbeat = d.reportClient(q.Machine), true
		return r
	case *wire.Job:
		return post("/work", encode(q))
	case wire.RawSubmission:
		return post("/work", q.Body)
	case wire.Poll:
		return get("/work/" + q.ID)
	case wire.Cancel:
		return post("/work/"+q.ID+"/withdraw", encode(struct{}{}))
	case wire.Sweep:
		return post("/sweeps", []byte(q.Text))
	case wire.SweepPoll:
		return get("/sweeps/" + q.ID)
	case wire.SweepCancel:
		return post("/sweeps/"+q.ID+"/withdraw", encode(struct{}{}))
	case wire.ReadyProbe:
		return get("/ready")
	}
	return get("")
}

// encode returns a value as JSON.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // structs of plain fields can always be encoded
	}
	return b
}

// decodeAnswer decodes the body of a controller's response.
func (r *controllerRequest) decodeAnswer(body []byte) any {
	if r.isHeartbeat {
		var answer wire.HeartbeatAnswer
		_ = json.Unmarshal(body, &answer) // the body of an error response may not be JSON
		return answer
	}
	var answer wire.JobAnswer
	_ = json.Unmarshal(body, &answer) // the body of an error response may not be JSON
	return answer
}

// sendToController sends a request of the environment to a controller in the background and
// passes the answer to the environment.
func (d *Driver) sendToController(to *controllerProcess, ask environment.Ask) {
	request := d.controllerRequest(ask.Request)
	d.stopped.Add(1)
	go func() {
		defer d.stopped.Done()
		answer := d.exchange(to, ask, &request)
		d.onActor(func() {
			d.recordWorkerToken(ask.Request, answer)
			d.step(answer)
		})
	}()
}

// exchange sends a request and returns the answer, with status 0 if no response was received.
func (d *Driver) exchange(to *controllerProcess, ask environment.Ask, request *controllerRequest) environment.AskAnswer {
	none := environment.AskAnswer{ID: ask.ID}
	req, err := http.NewRequest(request.method, "http://"+to.publicAddr+request.path, bytes.NewReader(request.body))
	if err != nil {
		return none
	}
	resp, err := request.client.Do(req)
	if err != nil {
		return none
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	_ = resp.Body.Close()
	if err != nil {
		return none
	}
	d.countRequest(to.name, ask, resp.StatusCode)
	answer := environment.AskAnswer{ID: ask.ID, Status: resp.StatusCode, Body: request.decodeAnswer(body)}
	answer.RetryAfter, _ = strconv.Atoi(resp.Header.Get("Retry-After"))
	return answer
}
