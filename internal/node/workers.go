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
	// commandTimeout is the timeout of a call that delivers commands to a worker.
	commandTimeout = 2 * time.Second
	// probeTimeout is the timeout of a probe of a machine.
	probeTimeout = time.Second
	// maxWorkerAnswer is the maximum size of a worker's answer, in bytes.
	maxWorkerAnswer = 1 << 20
)

// workerPool sends commands directly to workers' addresses, with a bounded number of
// concurrent calls. Commands beyond the bound are delivered with the response to the
// worker's next heartbeat. That can be too late for a gang: it can save its state when it
// is stopped only if all its tasks receive the stop command within gang_peer_s of the
// first one. The bound has to allow for several large gangs at once.
type workerPool struct {
	slots chan struct{}
	calls sync.WaitGroup
}

func newWorkerPool(maxCalls int) *workerPool {
	return &workerPool{slots: make(chan struct{}, maxCalls)}
}

// send starts a call that delivers commands to a worker. It does nothing if the
// maximum number of calls is already in progress.
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

// wait waits for the calls in progress. No call may be started after it.
func (w *workerPool) wait() { w.calls.Wait() }

// probeMachine requests a heartbeat from a machine and delivers the result to the
// core. Probes are not limited by the pool's slots, because the core bounds the number
// of concurrent probes itself and needs the result of each.
func (n *Node) probeMachine(e core.ProbeMachine, sentAt int64) {
	heartbeat, ok := probe(e.Addr)
	n.deliver(core.MachineProbed{Machine: e.Machine, SentAt: sentAt, OK: ok, Heartbeat: heartbeat})
}

// probe requests a heartbeat from the worker at addr. It reports ok if the worker
// answered with status 200, even if the heartbeat can't be decoded.
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
