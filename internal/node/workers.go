package node

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/httpwire"
)

const (
	// commandTimeout is how long a worker may take to accept commands.
	commandTimeout = 2 * time.Second
	// probeTimeout is how long a machine may take to answer whether it can be reached.
	probeTimeout = time.Second
	// maxWorkerAnswer bounds a worker's answer, in bytes.
	maxWorkerAnswer = 1 << 20
)

// workerPool sends commands to workers' own addresses, a bounded number of calls at
// a time. What does not fit travels with the answer to the next heartbeat anyway.
// That can be too late for a gang's orderly stop, of which all tasks must learn
// within gang_peer_s: the bound has to take several large gangs at once.
type workerPool struct {
	slots chan struct{}
	calls sync.WaitGroup
}

func newWorkerPool(maxCalls int) *workerPool {
	return &workerPool{slots: make(chan struct{}, maxCalls)}
}

// send starts a call that brings a worker commands, unless too many are under way.
func (w *workerPool) send(e core.SendCommands) {
	select {
	case w.slots <- struct{}{}:
	default:
		return
	}
	w.calls.Go(func() {
		defer func() { <-w.slots }()
		client := httpwire.NewClient(e.Addr, 1, maxWorkerAnswer)
		defer client.Close()
		_, err := client.Do(http.MethodPost, "/do", api.EncodeCommands(e), commandTimeout)
		if err != nil {
			slog.Debug("direct command delivery failed", "addr", e.Addr, "error", err)
		}
	})
}

// wait waits for the calls under way. No call may be started any more.
func (w *workerPool) wait() { w.calls.Wait() }

// probeMachine asks a machine for its heartbeat. The core asks for a bounded number
// at a time and has to learn of each how it ended, so probes take no slot.
func (n *Node) probeMachine(e core.ProbeMachine, sentAt int64) {
	heartbeat, ok := probe(e.Addr)
	n.deliver(core.MachineProbed{Machine: e.Machine, SentAt: sentAt, OK: ok, Heartbeat: heartbeat})
}

// probe asks the worker at an address for its heartbeat. That there is an answer
// matters even if the heartbeat can't be read.
func probe(addr string) (heartbeat *core.Heartbeat, ok bool) {
	client := httpwire.NewClient(addr, 1, maxWorkerAnswer)
	defer client.Close()
	m, err := client.Do(http.MethodGet, "/inspect", nil, probeTimeout)
	if err != nil || m.Status != http.StatusOK {
		return nil, false
	}
	decoded, err := api.DecodeHeartbeat(m.Body)
	if err != nil {
		slog.Debug("unreadable heartbeat of a probed machine", "addr", addr, "error", err)
		return nil, true
	}
	return &decoded, true
}
