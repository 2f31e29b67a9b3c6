package sockets

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// Default page sizes of lists, in entries.
const (
	defaultListLimit     = 1000
	defaultMachinesLimit = 500
)

// readState parses a request to the state service. It returns nil if the request is malformed.
func readState(r *http.Request) any {
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/kv/"):
		return wire.Get{Key: path[len("/kv/"):]}
	case r.Method == http.MethodGet && path == "/kv":
		return readList(r.URL.Query())
	case r.Method == http.MethodGet && path == "/watch":
		return readWatch(r.URL.Query())
	case r.Method == http.MethodPost && path == "/multi":
		return readBody[wire.Transaction](r)
	case path == "/leases" || strings.HasPrefix(path, "/leases/"):
		return readLease(r)
	}
	return nil
}

// readBody decodes a request body as a T. It returns nil if the body is malformed.
func readBody[T any](r *http.Request) any {
	var body T
	if !decode(r, &body) {
		return nil
	}
	return body
}

// readNumber parses a number in a query. It returns the default value if the number is missing,
// and false if it is malformed.
func readNumber(query url.Values, name string, defaultValue uint64) (uint64, bool) {
	if query.Get(name) == "" {
		return defaultValue, true
	}
	n, err := strconv.ParseUint(query.Get(name), 10, 63)
	return n, err == nil
}

func readList(query url.Values) any {
	limit, ok := readNumber(query, "most", defaultListLimit)
	if !ok {
		return nil
	}
	return wire.List{Prefix: query.Get("starts"), After: query.Get("after"), Limit: int(limit)}
}

func readWatch(query url.Values) any {
	after, afterOK := readNumber(query, "after", 0)
	wait, waitOK := readNumber(query, "wait_ms", 0)
	if !afterOK || !waitOK {
		return nil
	}
	return wire.Watch{Prefix: query.Get("starts"), After: after, WaitMS: int64(wait)}
}

// readLease parses a request that grants, renews or revokes a lease.
func readLease(r *http.Request) any {
	path := r.URL.Path
	if r.Method == http.MethodPost && path == "/leases" {
		return readBody[wire.NewLease](r)
	}
	id, isRenewal := strings.CutSuffix(strings.TrimPrefix(path, "/leases/"), "/touch")
	lease, err := strconv.ParseUint(id, 10, 64)
	switch {
	case err != nil:
		return nil
	case r.Method == http.MethodPost && isRenewal:
		return wire.RenewLease{Lease: lease}
	case r.Method == http.MethodDelete && !isRenewal:
		return wire.RevokeLease{Lease: lease}
	}
	return nil
}

// readCloud parses a request to the cloud. It returns nil if the request is malformed.
func readCloud(r *http.Request) any {
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		return wire.Types{}
	case "GET /rentals":
		limit, err := strconv.Atoi(r.URL.Query().Get("most"))
		if err != nil {
			limit = defaultMachinesLimit
		}
		return wire.Machines{After: r.URL.Query().Get("after"), Limit: limit}
	case "POST /rentals":
		return readBody[wire.Rent](r)
	case "POST /rentals/release":
		var names wire.MachineNames
		if decode(r, &names) {
			return wire.Release{MachineNames: names}
		}
	}
	return nil
}

// readWorker parses a request to a worker. It returns nil if the request is malformed.
func readWorker(r *http.Request) any {
	switch r.Method + " " + r.URL.Path {
	case "POST /do":
		return readBody[wire.WorkerOrders](r)
	case "GET /inspect":
		return wire.Inspect{}
	}
	return nil
}
