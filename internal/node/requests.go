package node

import (
	"log/slog"
	"net/http"
	"strings"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/httpwire"
	"github.com/zinclb/zinclb/internal/metrics"
)

// maxWaitingSweeps is the maximum number of sweep submissions in progress, of which one
// is expanded and the others wait.
const maxWaitingSweeps = 4

// sweepRetryAfter is the number of seconds after which a sweep that was refused because
// too many were waiting may be submitted again.
const sweepRetryAfter = 2

// handle answers a request from a user or a worker. It runs in the server's event loop,
// so a slow request is handled in its own goroutine.
func (n *Node) handle(m *httpwire.Message, reply func(httpwire.Response)) {
	if !api.IsSlow(m) {
		n.route(m, reply)
		return
	}
	select {
	case n.sweepSlots <- struct{}{}:
		n.goroutines.Go(func() {
			defer func() { <-n.sweepSlots }()
			n.expanding.Lock()
			defer n.expanding.Unlock()
			n.route(m, reply)
		})
	default:
		reply(httpResponse(core.Reply{
			Status:     http.StatusServiceUnavailable,
			RetryAfter: sweepRetryAfter,
			Error:      "other sweeps are being expanded",
		}))
	}
}

// route converts an HTTP request to a message for the core, and the core's reply to the
// HTTP response.
func (n *Node) route(m *httpwire.Message, reply func(httpwire.Response)) {
	build, answer := api.Route(m)
	if answer != nil {
		reply(*answer)
		return
	}
	n.request(build, func(r core.Reply) {
		if r.Ops != nil && targetPath(m) == api.MetricsPath {
			reply(metricsResponse(r.Ops))
			return
		}
		reply(httpResponse(r))
	})
}

// targetPath returns the path of a request without its query.
func targetPath(m *httpwire.Message) string {
	path, _, _ := strings.Cut(m.Target, "?")
	return path
}

// httpResponse converts a reply of the core to an HTTP response.
func httpResponse(r core.Reply) httpwire.Response {
	return httpwire.Response{
		Status:     int(r.Status),
		Body:       api.EncodeReply(r),
		RetryAfter: r.RetryAfter,
	}
}

// metricsResponse returns the response to a metrics scrape.
func metricsResponse(view *core.OperatorView) httpwire.Response {
	body, err := metrics.Encode(view)
	if err != nil {
		slog.Error("metrics encoding failed", "error", err)
		return httpResponse(core.Reply{Status: http.StatusInternalServerError, Error: err.Error()})
	}
	return httpwire.Response{Status: http.StatusOK, Body: body, ContentType: metrics.ContentType}
}

// expandSweep expands a sweep that was read from the state service.
func (n *Node) expandSweep(e core.ExpandSweep) {
	plan, err := n.unpackSweep(e.Stored)
	n.deliver(core.SweepExpanded{ID: e.ID, Plan: plan, Err: err})
}
