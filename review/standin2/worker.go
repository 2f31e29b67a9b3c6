package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxBody is the largest request body, and the longest line of an answer, in bytes.
const maxBody = 64 << 10

// States of a task in a worker's report.
const (
	fetching = "fetching"
	running  = "running"
	ended    = "ended"
)

// handState is a task on a machine.
type handState struct {
	Hand   string `json:"hand"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
}

// order is a command of a controller.
type order struct {
	Verb string `json:"verb"`
	Hand string `json:"hand"`
	Try  uint64 `json:"try"`
}

// worker is a stand-in for the worker of one machine. It runs arrays and gangs of one task
// that save no checkpoints.
type worker struct {
	world *world
	name  string
	addr  string
	kind  machineType
	zone  string

	mu     sync.Mutex
	shift  uint64
	tally  uint64
	baton  uint64
	hands  []*handState
	images map[string]bool
	gone   bool
	// leaseFrom is when the last answered report was sent, or the session began.
	leaseFrom time.Time
	// at is the number of the controller that it reports to.
	at    int
	wake  chan struct{}
	calls *http.Client
}

// isGone reports whether the machine was released.
func (w *worker) isGone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

// remove ends the machine with everything on it.
func (w *worker) remove() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	w.killAll("the machine is gone")
}

// killAll ends and forgets all tasks.
func (w *worker) killAll(why string) {
	for _, h := range w.hands {
		if h.Status != ended {
			w.exit(h, "")
			w.world.record.add(fmt.Sprintf("%s: %s try %d ends, %s", w.name, h.Hand, h.Try, why))
		}
	}
	w.hands = nil
}

// changed lets the worker report soon.
func (w *worker) changed() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// find returns an attempt that the worker knows, or nil.
func (w *worker) find(hand string, try uint64) *handState {
	for _, h := range w.hands {
		if h.Hand == hand && h.Try == try {
			return h
		}
	}
	return nil
}

// execute executes commands in order.
func (w *worker) execute(orders []order) {
	for _, o := range orders {
		known := w.find(o.Hand, o.Try)
		switch {
		case o.Verb == "run" && known == nil:
			w.start(o)
		case o.Verb == "kill" && known != nil && known.Status != ended:
			w.exit(known, "stopped")
		case o.Verb == "forget" && known != nil && known.Status == ended:
			w.hands = slices.DeleteFunc(w.hands, func(h *handState) bool { return h == known })
		}
	}
	if len(orders) > 0 {
		w.changed()
	}
}

// start starts a task or refuses it. A started task comes first in the reports.
func (w *worker) start(o order) {
	h := &handState{Hand: o.Hand, Try: o.Try, Status: fetching}
	w.hands = slices.Insert(w.hands, 0, h)
	job := w.world.jobOf(o.Hand)
	refusal := ""
	switch {
	case job == nil:
		refusal = "no_such"
	case slices.ContainsFunc(w.hands, func(other *handState) bool {
		return other != h && other.Hand == h.Hand && other.Status != ended
	}):
		refusal = "in_use"
	case !w.hasRoom(job):
		refusal = "no_room"
	}
	if refusal != "" {
		h.Status, h.Cause = ended, refusal
		w.world.record.add(fmt.Sprintf("%s: %s try %d refused, %s", w.name, o.Hand, o.Try, refusal))
		return
	}
	w.world.record.add(fmt.Sprintf("%s: %s try %d begins to fetch", w.name, o.Hand, o.Try))
	fetch := time.Duration(0)
	if !w.images[job.Image] {
		fetch = time.Duration(job.PullGB / w.kind.FetchRate * float64(time.Second))
	}
	time.AfterFunc(fetch, func() { w.fetched(h, job) })
}

// hasRoom reports whether the tasks on the machine, the new one included, fit into it.
func (w *worker) hasRoom(job *jobSpec) bool {
	cpus, gpus, mem := job.CPUs, job.GPUs, job.MemGB
	for _, h := range w.hands[1:] {
		if other := w.world.jobOf(h.Hand); h.Status != ended && other != nil {
			cpus, gpus, mem = cpus+other.CPUs, gpus+other.GPUs, mem+other.MemGB
		}
	}
	const rounding = 1e-6
	return cpus <= w.kind.CPUs+rounding && gpus <= w.kind.GPUs+rounding && mem <= w.kind.MemGB+rounding
}

// fetched continues a task whose image has come: it is on the machine from now on.
func (w *worker) fetched(h *handState, job *jobSpec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.Status != fetching || !slices.Contains(w.hands, h) {
		return
	}
	w.images[job.Image] = true
	h.Status = running
	w.world.taskEnters(h, w.name)
	length := job.run(h.Hand)
	if w.world.isDone(h.Hand) {
		length = 0
	}
	time.AfterFunc(length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if h.Status == running && slices.Contains(w.hands, h) {
			w.exit(h, "done")
			w.changed()
		}
	})
	w.changed()
}

// exit ends a task.
func (w *worker) exit(h *handState, cause string) {
	if h.Status == running {
		w.world.taskLeaves(h, w.name, cause)
	}
	h.Status, h.Cause = ended, cause
}

// report returns the worker's report.
func (w *worker) report() []byte {
	w.tally++
	hands := make([]handState, 0, len(w.hands))
	listed := map[string]bool{}
	for _, h := range w.hands {
		hands = append(hands, *h)
		if listed[h.Hand] {
			w.world.record.add(fmt.Sprintf("%s: its report %d lists %s twice", w.name, w.tally, h.Hand))
		}
		listed[h.Hand] = true
	}
	return encode(object{
		"stoker": w.name, "endpoint": w.addr, "breed": w.kind.Label, "paddock": w.zone, "borrowed": false,
		"shift": w.shift, "tally": w.tally, "baton": w.baton, "recall_s": nil, "hands": hands,
	})
}

// run reports until the world ends.
func (w *worker) run() {
	sentAt := time.Time{}
	for !w.world.ended() && !w.isGone() {
		pause := time.Duration((0.75 + rand.Float64()/2) * w.world.settings.Workers.ReportS * float64(time.Second))
		deadline := time.After(time.Until(sentAt.Add(pause)))
		select {
		case <-w.wake:
			time.Sleep(time.Until(sentAt.Add(500 * time.Millisecond)))
		case <-deadline:
		}
		sentAt = time.Now()
		if !w.send(sentAt) {
			time.Sleep(time.Second)
			w.at++
		}
		w.expire()
	}
}

// expire ends the session if the lease is over.
func (w *worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.leaseFrom).Seconds() > w.world.settings.Workers.LeaseS {
		w.world.record.add(w.name + ": its lease is over")
		w.killAll("the lease is over")
		w.shift++
		w.leaseFrom = time.Now()
	}
}

// send sends one report and reports whether the worker stays with a controller that it
// knows of. It follows one redirection after another.
func (w *worker) send(sentAt time.Time) bool {
	for range 3 {
		w.mu.Lock()
		body, shift := w.report(), w.shift
		w.mu.Unlock()
		nodes := w.world.controllers
		node := nodes[w.at%len(nodes)]
		if len(body) > maxBody {
			w.world.record.add(fmt.Sprintf("%s: cannot report, as its report has %d bytes, more than a request may have", w.name, len(body)))
			return false
		}
		response, err := w.calls.Post("http://"+node.front+"/agent/beat", "application/json", bytes.NewReader(body))
		if err != nil {
			return false
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return false
		}
		switch response.StatusCode {
		case http.StatusOK:
			return w.accept(text, sentAt, shift)
		case http.StatusMisdirectedRequest:
			to := w.world.controllerNamed(text)
			if to < 0 || to == w.at%len(nodes) {
				return false
			}
			w.at = to
		default:
			w.world.record.add(fmt.Sprintf("%s: its report of %d bytes gets %d", w.name, len(body), response.StatusCode))
			return false
		}
	}
	return true
}

// accept executes the orders of an answer, unless the worker has to drop it.
func (w *worker) accept(text []byte, sentAt time.Time, shift uint64) bool {
	var reply struct {
		Baton  *uint64 `json:"baton"`
		Orders []order `json:"orders"`
	}
	w.world.checkLine(w.name, text)
	w.mu.Lock()
	defer w.mu.Unlock()
	if json.Unmarshal(text, &reply) != nil || reply.Baton == nil || *reply.Baton < w.baton || shift != w.shift {
		return true
	}
	if len(text) > maxBody && bytes.IndexByte(text, '\n') < 0 {
		return true // a line that long is not read
	}
	if *reply.Baton > w.baton {
		w.baton = *reply.Baton
		w.changed()
	}
	w.leaseFrom = sentAt
	w.execute(reply.Orders)
	return true
}

// direct answers POST /do and GET /inspect.
func (w *worker) direct(rw http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	status := http.StatusOK
	if strings.HasPrefix(r.URL.Path, "/do") {
		var request struct {
			Baton  *uint64 `json:"baton"`
			Shift  *uint64 `json:"shift"`
			Orders []order `json:"orders"`
		}
		decode(body, &request)
		switch {
		case request.Baton == nil || request.Shift == nil:
			status = http.StatusBadRequest
		case *request.Baton < w.baton || *request.Shift != w.shift || w.gone:
			status = http.StatusConflict
		default:
			w.baton = *request.Baton
			w.execute(request.Orders)
		}
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(w.report())
}
