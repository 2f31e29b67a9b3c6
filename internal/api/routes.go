package api

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/httpwire"
	"github.com/zinclb/zinclb/internal/sweep"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 64 << 10

// Paths of the API. The path of a call about one job, sweep or controller is a prefix,
// followed by the id or name and for some calls by a verb.
const (
	readyPath     = "/ready"
	statusPath    = "/ops/status"
	gonePrefix    = "/ops/gone/"
	heartbeatPath = "/agent/beat"
	jobsPath      = "/work"
	jobPrefix     = "/work/"
	sweepsPath    = "/sweeps"
	sweepPrefix   = "/sweeps/"

	cancelVerb = "withdraw"
	runsVerb   = "runs"

	// MetricsPath is the path of a controller's metrics.
	MetricsPath = "/ops/metrics"
)

// defaultRunsPage is the number of runs in a page of a sweep's runs if the request sets no
// limit.
const defaultRunsPage = 100

// Build returns the message to the core for a request. The core's reply will carry
// requestID.
type Build func(requestID uint64) any

// requestError is the reason for which a request is refused, and the status of the answer.
// If the request has the wrong method, allow is the method to use instead.
type requestError struct {
	status int
	allow  string
	reason string
}

// response returns the answer to the refused request.
func (e *requestError) response() *httpwire.Response {
	return &httpwire.Response{
		Status: e.status,
		Allow:  e.allow,
		Body:   EncodeReply(core.Reply{Status: core.ReplyCode(e.status), Error: e.reason}),
	}
}

func notFound(reason string) *requestError {
	return &requestError{status: http.StatusNotFound, reason: reason}
}

func badRequest(err error) *requestError {
	return &requestError{status: http.StatusBadRequest, reason: err.Error()}
}

// requireMethod returns an error unless the request has the given method.
func requireMethod(m *httpwire.Message, method string) *requestError {
	if m.Method == method {
		return nil
	}
	return &requestError{status: http.StatusMethodNotAllowed, allow: method, reason: "use " + method}
}

// IsSlow reports whether Route may take a long time for a request, because it expands a
// submitted sweep.
func IsSlow(m *httpwire.Message) bool {
	return m.Method == http.MethodPost && m.Target == sweepsPath
}

// Route converts a request into a message for the core, or returns an immediate answer if
// the request is invalid.
func Route(m *httpwire.Message) (build Build, answer *httpwire.Response) {
	build, refusal := route(m)
	if refusal != nil {
		return nil, refusal.response()
	}
	return build, nil
}

func route(m *httpwire.Message) (Build, *requestError) {
	path, query, _ := strings.Cut(m.Target, "?")
	switch path {
	case readyPath:
		return routeReady(m)
	case statusPath, MetricsPath:
		return routeOperatorView(m)
	case heartbeatPath:
		return routeHeartbeat(m)
	case jobsPath:
		return routeSubmission(m)
	case sweepsPath:
		return routeSweepSubmission(m)
	}
	if name, ok := strings.CutPrefix(path, gonePrefix); ok {
		return routeDecommission(m, name)
	}
	if rest, ok := strings.CutPrefix(path, jobPrefix); ok {
		return routeJob(m, rest)
	}
	if rest, ok := strings.CutPrefix(path, sweepPrefix); ok {
		return routeSweep(m, rest, query)
	}
	return nil, notFound("no such path")
}

func routeReady(m *httpwire.Message) (Build, *requestError) {
	if err := requireMethod(m, http.MethodGet); err != nil {
		return nil, err
	}
	return func(requestID uint64) any { return core.CheckReady{RequestID: requestID} }, nil
}

func routeOperatorView(m *httpwire.Message) (Build, *requestError) {
	if err := requireMethod(m, http.MethodGet); err != nil {
		return nil, err
	}
	return func(requestID uint64) any { return core.QueryOperatorView{RequestID: requestID} }, nil
}

func routeHeartbeat(m *httpwire.Message) (Build, *requestError) {
	if err := requireMethod(m, http.MethodPost); err != nil {
		return nil, err
	}
	heartbeat, err := DecodeHeartbeat(m.Body)
	if err != nil {
		return nil, badRequest(err)
	}
	return func(requestID uint64) any {
		return core.HeartbeatReceived{RequestID: requestID, Heartbeat: heartbeat}
	}, nil
}

func routeSubmission(m *httpwire.Message) (Build, *requestError) {
	if err := requireMethod(m, http.MethodPost); err != nil {
		return nil, err
	}
	submission, err := DecodeSubmission(m.Body)
	if err != nil {
		return nil, badRequest(err)
	}
	return func(requestID uint64) any {
		submission.RequestID = requestID
		return submission
	}, nil
}

func routeSweepSubmission(m *httpwire.Message) (Build, *requestError) {
	if err := requireMethod(m, http.MethodPost); err != nil {
		return nil, err
	}
	submission, err := DecodeSweep(m.Body)
	if err != nil {
		return nil, badRequest(err)
	}
	return func(requestID uint64) any {
		submission.RequestID = requestID
		return submission
	}, nil
}

// routeDecommission routes the calls that declare a controller decommissioned (POST) and
// that revoke the declaration (DELETE).
func routeDecommission(m *httpwire.Message, name string) (Build, *requestError) {
	decommissioned := m.Method == http.MethodPost
	if !decommissioned && m.Method != http.MethodDelete {
		return nil, requireMethod(m, http.MethodPost)
	}
	if !ValidID(name) {
		return nil, notFound("no such controller")
	}
	return func(requestID uint64) any {
		return core.SetDecommissioned{RequestID: requestID, Name: name, Decommissioned: decommissioned}
	}, nil
}

// routeJob routes the calls about a job. rest is the path after the prefix: the job's id,
// and a verb if there is one.
func routeJob(m *httpwire.Message, rest string) (Build, *requestError) {
	id, verb, hasVerb := strings.Cut(rest, "/")
	method := http.MethodGet
	switch {
	case verb == cancelVerb:
		method = http.MethodPost
	case hasVerb || id == "":
		return nil, notFound("no such path")
	}
	if err := requireMethod(m, method); err != nil {
		return nil, err
	}
	if !ValidID(id) {
		return nil, notFound("no such job")
	}
	if verb == cancelVerb {
		return func(requestID uint64) any { return core.CancelJob{RequestID: requestID, ID: id} }, nil
	}
	return func(requestID uint64) any { return core.QueryJob{RequestID: requestID, ID: id} }, nil
}

// routeSweep routes the calls about a sweep. rest is the path after the prefix: the sweep's
// id, and a verb if there is one.
func routeSweep(m *httpwire.Message, rest, query string) (Build, *requestError) {
	id, verb, _ := strings.Cut(rest, "/")
	if !sweep.ValidID(id) {
		return nil, notFound("no such sweep")
	}
	switch verb {
	case "":
		build := func(requestID uint64) any { return core.QuerySweep{RequestID: requestID, ID: id} }
		return build, requireMethod(m, http.MethodGet)
	case cancelVerb:
		build := func(requestID uint64) any { return core.CancelSweep{RequestID: requestID, ID: id} }
		return build, requireMethod(m, http.MethodPost)
	case runsVerb:
		after, limit, err := parseRunsQuery(query)
		if err != nil {
			return nil, badRequest(err)
		}
		build := func(requestID uint64) any {
			return core.ListSweepRuns{RequestID: requestID, ID: id, After: after, Limit: limit}
		}
		return build, requireMethod(m, http.MethodGet)
	}
	return nil, notFound("no such path")
}

// parseRunsQuery parses the query parameters that select runs of a sweep: "after", and "most",
// which is the limit. It ignores all other parameters.
func parseRunsQuery(query string) (after, limit int, err error) {
	limit = defaultRunsPage
	for parameter := range strings.SplitSeq(query, "&") {
		key, value, _ := strings.Cut(parameter, "=")
		if key != "after" && key != "most" {
			continue
		}
		number, err := strconv.Atoi(value)
		if err != nil || number < 0 || number > sweep.MaxRuns {
			return 0, 0, fmt.Errorf("%s: %q is no number from 0 to %d", key, value, sweep.MaxRuns)
		}
		if key == "after" {
			after = number
		} else {
			limit = number
		}
	}
	return after, limit, nil
}
