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

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 64 << 10

// newClient returns an HTTP client that does not follow redirects. If freshConnections is true,
// it opens a new connection for each request, as users do.
func newClient(freshConnections bool) *http.Client {
	return &http.Client{
		Timeout:       6 * time.Second,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport:     &http.Transport{DisableKeepAlives: freshConnections, MaxIdleConnsPerHost: 4096, IdleConnTimeout: 30 * time.Second},
	}
}

// endpoint is an address on which the driver serves requests.
type endpoint struct {
	addr  string
	close func()
}

// serve serves a handler on a loopback address. by is the key of the remote host, under which the
// bytes of its connections are counted, or the zero Key if several hosts use the address.
func (d *Driver) serve(addr string, handler http.HandlerFunc, by meter.Key) (endpoint, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return endpoint{}, fmt.Errorf("listen on %s: %w", addr, err)
	}
	listener = d.Meter.Listener(listener, by)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	d.stopped.Add(1)
	go func() {
		defer d.stopped.Done()
		_ = server.Serve(listener) // returns when the server is closed
	}()
	return endpoint{listener.Addr().String(), func() { _ = server.Close() }}, nil
}

// decode decodes the JSON body of a request into v. It returns false if the body is malformed or
// too large, which the callers answer with status 400.
func decode(r *http.Request, v any) bool {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	return err == nil && len(b) <= maxBodyBytes && json.Unmarshal(b, v) == nil
}

// writeJSON answers a request with v as JSON and returns the length of the body.
func writeJSON(w http.ResponseWriter, status int, v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // structs of plain fields can always be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b) // the client may have disconnected
	return len(b)
}

// closeConnection closes the connection without an answer.
func closeConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

// forward returns a handler that parses a request with read, passes it to a host in the environment,
// whose name is to, and writes the answer. sender is the controller that sends the requests, or ""
// if the handler has to find the sender by the connection. If alter is not nil, it is applied to
// the body of the answer first.
func (d *Driver) forward(sender, to string, read func(*http.Request) any, alter func(any) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, from := read(r), sender
		if request == nil {
			writeJSON(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		// The server notices that the client has disconnected only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		if from == "" {
			from = d.connectionOwner(r.RemoteAddr)
		}
		status, body, err := d.call(from, to, request, r.Context().Done())
		if err != nil || status == 0 {
			closeConnection(w)
			return
		}
		if release, ok := request.(wire.Release); ok && status == 200 && d.Workers != nil {
			d.Workers.WaitEnded(release.Machines)
		}
		if alter != nil {
			body = alter(body)
		}
		length := writeJSON(w, status, body)
		if from != "" && to != "" {
			d.Meter.Add(meter.Key{Host: from, Kind: kindOf(request)}, requestCount(request, status, r.ContentLength, length))
		}
	}
}

// requestCount returns the counts of one request to a service; out is the length of the body of
// the request, and in that of the answer.
func requestCount(request any, status int, out int64, in int) meter.Count {
	count := meter.Count{Messages: 1, BytesOut: max(out, 0), BytesIn: int64(in)}
	if status == http.StatusTooManyRequests {
		count.Refused = 1
	}
	if transaction, ok := request.(wire.Transaction); ok && status == 200 {
		count.Changes = int64(len(transaction.Writes))
	}
	return count
}

// kindOf returns the kind under which a request is counted.
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

// endpoint returns the address of a machine and opens it on first use.
func (d *Driver) endpoint(name string) string {
	if d.Workers != nil {
		return d.Workers.Address(name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if opened, ok := d.endpoints[name]; ok {
		return opened.addr
	}
	opened, err := d.serve("127.0.0.1:0", d.forward("", name, readWorker, d.withAddresses), meter.Key{})
	if err != nil {
		slog.Warn("cannot open worker address", "machine", name, "error", err)
		return "127.0.0.1:9"
	}
	d.endpoints[name] = opened
	return opened.addr
}

// updateMachine opens or closes a machine's address, or passes the change to Workers if set.
func (d *Driver) updateMachine(m environment.Machine) {
	if d.Workers != nil {
		d.Workers.UpdateMachine(m)
		return
	}
	if m.Up {
		d.endpoint(m.Name)
		return
	}
	if client := d.reportClients[m.Name]; client != nil {
		client.CloseIdleConnections()
		delete(d.reportClients, m.Name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.endpoints[m.Name]; ok {
		e.close()
		delete(d.endpoints, m.Name)
	}
}

// withAddresses sets the addresses of the machines in a list of machines or a report.
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
