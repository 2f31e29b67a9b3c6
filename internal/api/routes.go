package api

import (
	"strings"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/httpwire"
)

// MaxBody is the largest request body.
const MaxBody = 64 << 10

// MetricsPath is where a controller's metrics are read.
const MetricsPath = "/ops/metrics"

// Slow says that Route may take long for a request.
func Slow(m *httpwire.Message) bool { return m.Method == "POST" && m.Target == "/sweeps" }

// Route turns a request into a message for the core, made once the number
// that the reply will carry is known, or into an answer at once where the
// request is bad.
func Route(m *httpwire.Message) (build func(req uint64) any, answer *httpwire.Response) {
	path, query, _ := strings.Cut(m.Target, "?")
	fail := func(status int, why string) (func(uint64) any, *httpwire.Response) {
		return nil, &httpwire.Response{Status: status, Body: EncodeReply(core.Reply{Status: status, Error: why})}
	}
	need := func(method string) *httpwire.Response {
		if m.Method == method {
			return nil
		}
		return &httpwire.Response{Status: 405, Allow: method, Body: EncodeReply(core.Reply{Status: 405, Error: "use " + method})}
	}
	switch {
	case path == "/ready":
		if r := need("GET"); r != nil {
			return nil, r
		}
		return func(req uint64) any { return core.Ready{Req: req} }, nil
	case path == "/ops/status" || path == MetricsPath:
		if r := need("GET"); r != nil {
			return nil, r
		}
		return func(req uint64) any { return core.Ops{Req: req} }, nil
	case path == "/agent/beat":
		if r := need("POST"); r != nil {
			return nil, r
		}
		rep, err := DecodeReport(m.Body)
		if err != nil {
			return fail(400, err.Error())
		}
		return func(req uint64) any { return core.Beat{Req: req, Report: rep} }, nil
	case path == "/work":
		if r := need("POST"); r != nil {
			return nil, r
		}
		s, err := DecodeSubmission(m.Body)
		if err != nil {
			return fail(400, err.Error())
		}
		return func(req uint64) any {
			s.Req = req
			return s
		}, nil
	case strings.HasPrefix(path, "/sweeps/"):
		build, allow, err := routeSweeps(path, query, m.Method)
		switch {
		case err != nil && strings.HasPrefix(err.Error(), "no such"):
			return fail(404, err.Error())
		case err != nil:
			return fail(400, err.Error())
		}
		if r := need(allow); r != nil {
			return nil, r
		}
		return build, nil
	case path == "/sweeps":
		if r := need("POST"); r != nil {
			return nil, r
		}
		s, err := DecodeSweep(m.Body)
		if err != nil {
			return fail(400, err.Error())
		}
		return func(req uint64) any {
			s.Req = req
			return s
		}, nil
	case strings.HasPrefix(path, "/work/"):
		id, verb, _ := strings.Cut(path[len("/work/"):], "/")
		switch {
		case verb == "withdraw":
			if r := need("POST"); r != nil {
				return nil, r
			}
		case verb == "" && !strings.HasSuffix(path, "/"):
			if r := need("GET"); r != nil {
				return nil, r
			}
		default:
			return fail(404, "no such path")
		}
		if !ValidID(id) {
			return fail(404, "no such job")
		}
		if verb == "withdraw" {
			return func(req uint64) any { return core.Cancel{Req: req, ID: id} }, nil
		}
		return func(req uint64) any { return core.Status{Req: req, ID: id} }, nil
	}
	return fail(404, "no such path")
}
