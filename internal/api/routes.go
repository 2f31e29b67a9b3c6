package api

import (
	"strings"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/httpwire"
)

// MaxBodyBytes is the largest request body.
const MaxBodyBytes = 64 << 10

// MetricsPath is where a controller's metrics are read.
const MetricsPath = "/ops/metrics"

// IsSlow says that Route may take long for a request.
func IsSlow(m *httpwire.Message) bool { return m.Method == "POST" && m.Target == "/sweeps" }

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
	// posted is a call whose body is read into what makes its message.
	posted := func(read func(body []byte) (func(req uint64) any, error)) (func(uint64) any, *httpwire.Response) {
		if r := need("POST"); r != nil {
			return nil, r
		}
		build, err := read(m.Body)
		if err != nil {
			return fail(400, err.Error())
		}
		return build, nil
	}
	switch {
	case path == "/ready":
		if r := need("GET"); r != nil {
			return nil, r
		}
		return func(req uint64) any { return core.CheckReady{RequestID: req} }, nil
	case path == "/ops/status" || path == MetricsPath:
		if r := need("GET"); r != nil {
			return nil, r
		}
		return func(req uint64) any { return core.QueryOperatorView{RequestID: req} }, nil
	case strings.HasPrefix(path, "/ops/gone/"):
		name := path[len("/ops/gone/"):]
		if m.Method != "POST" && m.Method != "DELETE" {
			return nil, need("POST")
		}
		if !ValidID(name) {
			return fail(404, "no such controller")
		}
		return func(req uint64) any {
			return core.SetDecommissioned{RequestID: req, Name: name, Decommissioned: m.Method == "POST"}
		}, nil
	case path == "/agent/beat":
		return posted(func(body []byte) (func(uint64) any, error) {
			r, err := DecodeHeartbeat(body)
			return func(req uint64) any { return core.HeartbeatReceived{RequestID: req, Heartbeat: r} }, err
		})
	case path == "/work":
		return posted(func(body []byte) (func(uint64) any, error) {
			s, err := DecodeSubmission(body)
			return func(req uint64) any { s.RequestID = req; return s }, err
		})
	case strings.HasPrefix(path, "/sweeps/"):
		build, allow, status, err := routeSweeps(path, query)
		if err != nil {
			return fail(status, err.Error())
		}
		if r := need(allow); r != nil {
			return nil, r
		}
		return build, nil
	case path == "/sweeps":
		return posted(func(body []byte) (func(uint64) any, error) {
			s, err := DecodeSweep(body)
			return func(req uint64) any { s.RequestID = req; return s }, err
		})
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
			return func(req uint64) any { return core.CancelJob{RequestID: req, ID: id} }, nil
		}
		return func(req uint64) any { return core.QueryJob{RequestID: req, ID: id} }, nil
	}
	return fail(404, "no such path")
}
