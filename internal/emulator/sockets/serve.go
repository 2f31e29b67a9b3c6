package sockets

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/meter"
	"github.com/zinclb/zinclb/internal/emulator/scenario"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// maxBodyBytes is the largest request.
const maxBodyBytes = 64 << 10

// client never follows a redirect; a user makes a new connection each time.
func client(fresh bool) *http.Client {
	return &http.Client{
		Timeout:       6 * time.Second,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport:     &http.Transport{DisableKeepAlives: fresh, MaxIdleConnsPerHost: 4096, IdleConnTimeout: 30 * time.Second},
	}
}

// endpoint is an address that is served.
type endpoint struct {
	addr  string
	close func()
}

// serve serves a handler on an address of loopback; by is the host whose messages
// come there, the zero Key for many.
func (d *Driver) serve(addr string, h http.HandlerFunc, by meter.Key) (endpoint, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return endpoint{}, fmt.Errorf("listen on %s: %w", addr, err)
	}
	l = d.Meter.Listener(l, by)
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	d.stopped.Add(1)
	go func() {
		defer d.stopped.Done()
		_ = s.Serve(l) // it ends with Close
	}()
	return endpoint{l.Addr().String(), func() { _ = s.Close() }}, nil
}

// decode reads a body, strictly enough for a 400.
func decode(r *http.Request, v any) bool {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	return err == nil && len(b) <= maxBodyBytes && json.Unmarshal(b, v) == nil
}

// write answers a request and returns the length of the body.
func write(w http.ResponseWriter, status int, v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain structs always encode
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b) // the caller may be gone
	return len(b)
}

// drop breaks the connection.
func drop(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

// forward makes a handler that reads a request, brings it to a host and writes the
// answer; alter may change its body first.
func (d *Driver) forward(known, to string, read func(*http.Request) any, alter func(any) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, from := read(r), known
		if q == nil {
			write(w, 400, wire.Error{Error: "malformed"})
			return
		}
		// A server only sees that a client has gone once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		if from == "" {
			from = d.connectionOwner(r.RemoteAddr)
		}
		status, body, err := d.call(from, to, q, r.Context().Done())
		if err != nil || status == 0 {
			drop(w)
			return
		}
		if r, ok := q.(wire.Release); ok && status == 200 && d.Workers != nil {
			d.Workers.WaitEnded(r.Machines)
		}
		if alter != nil {
			body = alter(body)
		}
		length := write(w, status, body)
		if from != "" && to != "" {
			d.Meter.Add(meter.Key{Host: from, Kind: kindOf(q)}, requestCount(q, status, r.ContentLength, length))
		}
	}
}

// requestCount is what one request to a service counts for.
func requestCount(request any, status int, out int64, in int) meter.Count {
	c := meter.Count{Messages: 1, BytesOut: max(out, 0), BytesIn: int64(in)}
	if status == http.StatusTooManyRequests {
		c.Refused = 1
	}
	if m, ok := request.(wire.Transaction); ok && status == 200 {
		c.Changes = int64(len(m.Writes))
	}
	return c
}

// kindOf names the kind of a request to a service.
func kindOf(request any) string {
	switch q := request.(type) {
	case wire.Get:
		return "state get"
	case wire.List:
		return "state list"
	case wire.Transaction:
		if len(q.Writes) == 0 {
			return "state compare"
		}
		return "state write"
	case wire.Watch:
		if q.WaitMS == 0 {
			return "state read"
		}
		return "state watch"
	case wire.NewLease:
		return "state lease"
	case wire.RenewLease:
		return "state renewal"
	case wire.RevokeLease:
		return "state drop"
	case wire.Types, wire.Machines, wire.Rent, wire.Release:
		return "cloud"
	case wire.WorkerOrders, wire.Inspect:
		return "order"
	}
	return "other"
}

// readState reads a request to the state service, nil if it is malformed.
func readState(r *http.Request) any {
	v := r.URL.Query()
	path := r.URL.Path
	num := func(name string, or uint64) (uint64, bool) {
		if v.Get(name) == "" {
			return or, true
		}
		n, err := strconv.ParseUint(v.Get(name), 10, 63)
		return n, err == nil
	}
	lease := func(s string) (uint64, bool) {
		n, err := strconv.ParseUint(s, 10, 64)
		return n, err == nil
	}
	switch {
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/kv/"):
		return wire.Get{Key: path[len("/kv/"):]}
	case r.Method == http.MethodGet && path == "/kv":
		if n, ok := num("most", 1000); ok {
			return wire.List{Prefix: v.Get("starts"), After: v.Get("after"), Limit: int(n)}
		}
	case r.Method == http.MethodGet && path == "/watch":
		after, ok := num("after", 0)
		wait, ok2 := num("wait_ms", 0)
		if ok && ok2 {
			return wire.Watch{Prefix: v.Get("starts"), After: after, WaitMS: int64(wait)}
		}
	case r.Method == http.MethodPost && path == "/multi":
		var m wire.Transaction
		if decode(r, &m) {
			return m
		}
	case r.Method == http.MethodPost && path == "/leases":
		var m wire.NewLease
		if decode(r, &m) {
			return m
		}
	case r.Method == http.MethodPost && strings.HasSuffix(path, "/touch"):
		if n, ok := lease(strings.TrimSuffix(strings.TrimPrefix(path, "/leases/"), "/touch")); ok {
			return wire.RenewLease{Lease: n}
		}
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/leases/"):
		if n, ok := lease(strings.TrimPrefix(path, "/leases/")); ok {
			return wire.RevokeLease{Lease: n}
		}
	}
	return nil
}

// readCloud reads a request to the cloud.
func readCloud(r *http.Request) any {
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		return wire.Types{}
	case "GET /rentals":
		most, err := strconv.Atoi(r.URL.Query().Get("most"))
		if err != nil {
			most = 500
		}
		return wire.Machines{After: r.URL.Query().Get("after"), Limit: most}
	case "POST /rentals":
		var m wire.Rent
		if decode(r, &m) {
			return m
		}
	case "POST /rentals/release":
		var m wire.MachineNames
		if decode(r, &m) {
			return wire.Release{MachineNames: m}
		}
	}
	return nil
}

// readWorker reads a request to a worker.
func readWorker(r *http.Request) any {
	switch r.Method + " " + r.URL.Path {
	case "POST /do":
		var m wire.WorkerOrders
		if decode(r, &m) {
			return m
		}
	case "GET /inspect":
		return wire.Inspect{}
	}
	return nil
}

// endpoint gives a machine its address, when it is first spoken of.
func (d *Driver) endpoint(name string) string {
	if d.Workers != nil {
		return d.Workers.Address(name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.endpoints[name]; ok {
		return e.addr
	}
	e, err := d.serve("127.0.0.1:0", d.forward("", name, readWorker, d.withAddresses), meter.Key{})
	if err != nil {
		d.log("a worker has no address", err)
		return "127.0.0.1:9"
	}
	d.endpoints[name] = e
	return e.addr
}

// machine opens and closes a machine's address.
func (d *Driver) machine(m environment.Machine) {
	if d.Workers != nil {
		d.Workers.Machine(m)
		return
	}
	if m.Up {
		d.endpoint(m.Name)
		return
	}
	if c := d.reportClients[m.Name]; c != nil {
		c.CloseIdleConnections()
		delete(d.reportClients, m.Name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.endpoints[m.Name]; ok {
		e.close()
		delete(d.endpoints, m.Name)
	}
}

// withAddresses puts the addresses of machines into what tells of them.
func (d *Driver) withAddresses(body any) any {
	switch b := body.(type) {
	case wire.MachinesAnswer:
		for i := range b.Machines {
			b.Machines[i].Addr = d.endpoint(b.Machines[i].Name)
		}
	case *wire.Report:
		b.Addr = d.endpoint(b.Machine)
	}
	return body
}

// sendToController brings a request of the world to a controller.
func (d *Driver) sendToController(n *controllerProcess, a environment.Ask) {
	method, path, body := "GET", "", []byte(nil)
	encode := func(v any) {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err) // plain structs always encode
		}
		method, body = "POST", b
	}
	c, answer := d.userClient, any(&wire.JobAnswer{})
	switch q := a.Request.(type) {
	case *wire.Report:
		d.withAddresses(q)
		encode(q)
		path, c, answer = "/agent/beat", d.reportClient(q.Machine), &wire.HeartbeatAnswer{}
	case *wire.Job:
		encode(q)
		path = "/work"
	case wire.RawSubmission:
		method, body, path = "POST", q.Body, "/work"
	case wire.Poll:
		path = "/work/" + q.ID
	case wire.Cancel:
		encode(struct{}{})
		path = "/work/" + q.ID + "/withdraw"
	case wire.Sweep:
		method, body, path = "POST", []byte(q.Text), "/sweeps"
	case wire.SweepPoll:
		path = "/sweeps/" + q.ID
	case wire.SweepCancel:
		encode(struct{}{})
		path = "/sweeps/" + q.ID + "/withdraw"
	case wire.ReadyProbe:
		path = "/ready"
	}
	d.stopped.Add(1)
	go func() {
		defer d.stopped.Done()
		t := environment.AskAnswer{ID: a.ID}
		req, err := http.NewRequest(method, "http://"+n.publicAddr+path, bytes.NewReader(body))
		if err == nil {
			var resp *http.Response
			if resp, err = c.Do(req); err == nil {
				b, readErr := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
				_ = resp.Body.Close()
				if readErr == nil {
					t.Status = resp.StatusCode
					d.countRequest(n.name, a, resp.StatusCode)
					t.RetryAfter, _ = strconv.Atoi(resp.Header.Get("Retry-After"))
					_ = json.Unmarshal(b, answer) // an error's body may be anything
					switch v := answer.(type) {
					case *wire.HeartbeatAnswer:
						t.Body = *v
					case *wire.JobAnswer:
						t.Body = *v
					}
				}
			}
		}
		d.onActor(func() {
			d.noteToken(a.Request, t)
			d.step(t)
		})
	}()
}

// balance is the address for users from outside: it brings their requests to a
// healthy controller, keeps their history and has workers know their jobs. It
// also takes faults.
func (d *Driver) balance(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		write(w, 413, wire.Error{Error: "body too large"})
		return
	}
	if r.URL.Path == "/emulator/fault" {
		f, err := scenario.ParseFault(body)
		if err == nil {
			err = d.InjectFault(f)
		}
		if err != nil {
			write(w, 400, wire.Error{Error: err.Error()})
			return
		}
		write(w, 200, struct{}{})
		return
	}
	op, job := "", ""
	var jobs []wire.Job
	switch parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/"); {
	case r.URL.Path == "/work" && r.Method == http.MethodPost:
		var j wire.Job
		if json.Unmarshal(body, &j) == nil && j.ID != "" && j.Tasks > 0 {
			op, job, jobs = history.Submit, j.ID, []wire.Job{j}
		}
	case r.URL.Path == "/sweeps" && r.Method == http.MethodPost:
		if s, err := scenario.Expand(environment.Sweep{Text: string(body)}); err == nil {
			jobs = s.Jobs
		}
	case parts[0] == "work" && len(parts) == 2:
		op, job = history.Poll, parts[1]
	case parts[0] == "work" && len(parts) == 3:
		op, job = history.Cancel, parts[1]
	}
	var nodes []string
	var call uint64
	ready := make(chan struct{})
	if !d.onActor(func() {
		d.addJobs(jobs...)
		nodes = d.env.HealthyControllers()
		if op != "" {
			call = d.env.ExternalRequest(op, job)
		}
		close(ready)
	}) {
		drop(w)
		return
	}
	select {
	case <-ready:
	case <-d.stop:
		drop(w)
		return
	}
	status, answer := 0, []byte(nil)
	for _, name := range nodes {
		req, err := http.NewRequest(r.Method, "http://"+d.controller(name).publicAddr+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			break
		}
		resp, err := d.userClient.Do(req)
		if err != nil {
			continue
		}
		answer, err = io.ReadAll(io.LimitReader(resp.Body, 4<<20))
		_ = resp.Body.Close()
		if err != nil {
			break // it may have been carried out
		}
		status = resp.StatusCode
		for _, h := range []string{"Retry-After", "Content-Type"} {
			if v := resp.Header.Get(h); v != "" {
				w.Header().Set(h, v)
			}
		}
		break
	}
	if op != "" {
		var a wire.JobAnswer
		_ = json.Unmarshal(answer, &a) // an error's body may be anything
		d.onActor(func() { d.env.ExternalAnswer(call, op, job, status, a.State) })
	}
	if status == 0 {
		write(w, 503, wire.Error{Error: "no controller is healthy"})
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(answer) // the caller may be gone
}
