package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// reply is the answer to a user; status is 0 if there was none.
type reply struct {
	status int
	state  string
	done   int
	text   string
}

// ask sends a user's request to a controller, over a new connection.
func (w *world) ask(c *controller, method, path string, body any, timeout time.Duration) reply {
	var text []byte
	if body != nil {
		text = encode(body)
	}
	return w.askText(c, method, path, text, timeout)
}

// askText is ask with a body that is no JSON.
func (w *world) askText(c *controller, method, path string, text []byte, timeout time.Duration) reply {
	request, err := http.NewRequest(method, "http://"+c.front+path, bytes.NewReader(text))
	if err != nil {
		return reply{}
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{text: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	answered, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{text: err.Error()}
	}
	w.checkLine("a user", answered)
	var state struct {
		Status string `json:"status"`
		Done   int    `json:"done"`
	}
	decode(answered, &state)
	return reply{response.StatusCode, state.Status, state.Done, string(answered)}
}

// isReady reports whether a controller is healthy.
func (w *world) isReady(c *controller) bool {
	return w.ask(c, http.MethodGet, "/ready", nil, time.Second).status == http.StatusOK
}

// waitReady waits until all controllers are healthy.
func (w *world) waitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, c := range w.controllers {
			if w.isReady(c) {
				ready++
			}
		}
		if ready == len(w.controllers) {
			return true
		}
	}
	return false
}

// job returns a job of an array with the fields of PROTOCOL.
func job(id string, class, team string, hands int) *jobSpec {
	return &jobSpec{ID: id, body: object{
		"name_id": id, "herd": class, "steward": team, "shape": "sweep", "urgency": "normal", "hands": hands,
		"vcpus": 2.0, "gpus": 0.0, "mem_gb": 3.2, "seedstock": "img-01", "pull_gb": 0.1, "breeds": nil, "paddock": nil,
		"one_zone": false, "scatter": false, "borrowed": true, "expect_s": 30.0, "bank_s": 0.0, "bank_cost_s": 0.0, "due_s": nil,
	}}
}

// submit submits a job, with the retries of PROTOCOL, to controllers in turn. It reports
// whether it was accepted.
func (w *world) submit(j *jobSpec, first int) bool {
	decode(encode(j.body), j)
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	for i, until := first, time.Now().Add(60*time.Second); time.Now().Before(until) && !w.ended(); i++ {
		c := w.controllers[i%len(w.controllers)]
		r := w.ask(c, http.MethodPost, "/work", j.body, 5*time.Second)
		w.record.add(fmt.Sprintf("user: submits %s to %s: %d %s", j.ID, c.label, r.status, r.text))
		switch r.status {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// poll asks a controller for the state of a job.
func (w *world) poll(id string, c *controller) reply {
	r := w.ask(c, http.MethodGet, "/work/"+id, nil, 2*time.Second)
	w.record.add(fmt.Sprintf("user: polls %s at %s: %d %s", id, c.label, r.status, r.text))
	return r
}

// runsFor returns the same run time for each task.
func runsFor(length time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return length }
}

// cancel cancels a job, with the retries of PROTOCOL, and returns the state that the user was
// told, or "".
func (w *world) cancel(id string, first int) string {
	for i, until := first, time.Now().Add(60*time.Second); time.Now().Before(until) && !w.ended(); i++ {
		c := w.controllers[i%len(w.controllers)]
		r := w.ask(c, http.MethodPost, "/work/"+id+"/withdraw", nil, 5*time.Second)
		w.record.add(fmt.Sprintf("user: cancels %s at %s: %d %s", id, c.label, r.status, r.text))
		if r.status == http.StatusOK {
			return r.state
		}
		time.Sleep(time.Second)
	}
	return ""
}
