package sockets

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/meter"
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

// forward makes a handler that reads a request, sends it to a host of the environment and
// writes the answer; alter may change its body first.
func (d *Driver) forward(known, to string, read func(*http.Request) any, alter func(any) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, from := read(r), known
		if q == nil {
			write(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
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

// endpoint is the address of a machine, which is opened when it is first needed.
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
		slog.Warn("a worker has no address", "machine", name, "error", err)
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

// withAddresses puts the addresses of machines into answers and reports that name them.
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
