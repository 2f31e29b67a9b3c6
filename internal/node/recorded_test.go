package node

import (
	"fmt"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/golden"
	"github.com/zinclb/zinclb/internal/httpwire"
)

// TestRecordedAnswers compares complete HTTP responses, including headers, with the
// recorded ones. The case names are part of the recording.
func TestRecordedAnswers(t *testing.T) {
	var b strings.Builder
	answerTo := func(n *Node, name, method, target string) {
		answers := make(chan httpwire.Response, 1)
		n.handle(&httpwire.Message{Method: method, Target: target}, func(r httpwire.Response) { answers <- r })
		fmt.Fprintf(&b, "%s: %q\n", name, httpwire.AppendResponse(nil, <-answers))
	}
	for _, tc := range []struct {
		name, target string
		reply        core.Reply
	}{
		{"job", "/work/job-1", core.Reply{Status: 200, Job: &core.JobState{ID: "job-1", State: core.Running, Done: 1, Running: 2}}},
		{"accepted", "/work/job-1", core.Reply{Status: 201, Job: &core.JobState{ID: "job-1", State: core.Queued}}},
		{"bad", "/work/job-1", core.Reply{Status: 400, Error: "why"}},
		{"unknown", "/work/job-1", core.Reply{Status: 404, Error: "no such job"}},
		{"in conflict", "/work/job-1", core.Reply{Status: 409, Error: "why"}},
		{"misdirected", "/work/job-1", core.Reply{Status: 421, Leader: "node-1"}},
		{"not to be run", "/work/job-1", core.Reply{Status: 422, Error: "why"}},
		{"too many", "/work/job-1", core.Reply{Status: 429, RetryAfter: 3, Error: "why"}},
		{"unavailable", "/work/job-1", core.Reply{Status: 503, RetryAfter: 2, Error: "why"}},
		{"unavailable, no time named", "/work/job-1", core.Reply{Status: 503, Error: "why"}},
		{"metrics", "/ops/metrics?x=1", core.Reply{Status: 200, Ops: &core.OperatorView{}}},
		{"operators", "/ops/status", core.Reply{Status: 200, Ops: &core.OperatorView{}}},
	} {
		n := &Node{inbox: make(chan envelope, 1)}
		go func() { (<-n.inbox).reply(tc.reply) }()
		answerTo(n, tc.name, "GET", tc.target)
	}
	answerTo(&Node{inbox: make(chan envelope)}, "overloaded", "GET", "/work/job-1")
	answerTo(&Node{sweepSlots: make(chan struct{})}, "other sweeps are expanded", "POST", "/sweeps")
	answerTo(&Node{}, "no such path", "GET", "/")
	answerTo(&Node{}, "another method", "POST", "/ready")
	golden.Compare(t, "testdata/answers.txt", b.String())
}

// TestRecordedCommands compares a complete request that sends commands directly to a
// worker with the recorded one.
func TestRecordedCommands(t *testing.T) {
	service := golden.NewFakeServer(t)
	service.SetAnswers(httpwire.Response{Status: 200, Body: []byte("{}")})
	workers := newWorkerPool(1)
	workers.send(core.SendCommands{Addr: service.Addr, FencingToken: 7, Epoch: 4, Commands: []core.Command{
		{Kind: "start", Task: "job-1/0", Attempt: 2}, {Kind: "stop", Task: "job-1/1", Attempt: 3, Grace: 2_500_000}, {Kind: "forget", Task: "job-1/2", Attempt: 4},
	}})
	workers.wait()
	golden.Compare(t, "testdata/direct.txt", service.Requests())
}
