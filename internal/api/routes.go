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

// MaxBodyBytes is the largest request body.
const MaxBodyBytes = 64 << 10

// Paths of the calls. A call about one thing has a prefix, followed by the thing's
// name and for some calls by a verb.
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

	// MetricsPath is where a controller's metrics are read.
	MetricsPath = "/ops/metrics"
)

// defaultRunsPage is how many runs of a sweep are listed if the request does not say.
const defaultRunsPage = 100

// Build makes the message to the core of a request, under the number that the reply
// will carry.
type Build func(requestID uint64) any

// requestError is why a request makes no message, and the status that it is answered
// with. allow is the method to use instead, if that is what is wrong.
type requestError struct {
	status int
	allow  string
	reason string
}

// response is the answer to the request.
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

// requireMethod is an error unless a request has a method.
func requireMethod(m *httpwire.Message, method string) *requestError {
	if m.Method == method {
		return nil
	}
	return &requestError{status: http.StatusMethodNotAllowed, allow: method, reason: "use " + method}
}

// IsSlow says that Route may take long for a request.
func IsSlow(m *httpwire.Message) bool {
	return m.Method == http.MethodPost && m.Target == sweepsPath
}

// Route turns a request into a message for the core, or into an answer at once where
// the request is bad.
func Route(m *httpwire.Message) (build Build, answer *httpwire.Response) {
	build, bad := route(m)
	if bad != nil {
		return nil, bad.response()
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

// routeDecommission is for the calls that declare a controller decommissioned, and
// take that back.
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

// routeJob is for the calls about a job: rest is its id and a verb.
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

// routeSweep is for the calls about a sweep: rest is its id and a verb.
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

// parseRunsQuery reads which runs of a sweep are asked for. Other parameters are
// passed over.
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
