package sockets

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/scenario"
)

// TestCutLeader runs three real controllers on loopback. The leader is first partitioned from
// the workers and the other controllers, so that it reaches only the state service, and then
// from the state service and the other controllers, so that it reaches only the workers. Each
// time another controller must become leader, and the history must not violate any rule. How long
// the change of leader takes is not checked beyond the limit of waitUntil.
func TestCutLeader(t *testing.T) {
	t.Parallel()
	dir, binary := buildController(t)
	s, err := scenario.Load("../../../scenarios/quiet-day.txtpb", 6)
	if err != nil {
		t.Fatal(err)
	}
	s.Length, s.Faults = 240_000_000, nil
	const port = 17500
	d, err := New(s.Config, Options{Dir: dir, Port: port, Binaries: []string{binary}})
	if err != nil {
		t.Fatal(err)
	}
	var h []history.Event
	end, done := make(chan struct{}), make(chan error, 1)
	go func() {
		var err error
		h, err = d.Run(end)
		done <- err
	}()
	// views returns the operator views of the controllers that answer.
	views := func() (l []core.OperatorView) {
		for i := range s.Params.Size {
			var v core.OperatorView
			resp, err := http.Get("http://" + loopback(port+1+i) + "/ops/status")
			if err != nil {
				continue
			}
			b, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err == nil && json.Unmarshal(b, &v) == nil {
				l = append(l, v)
			}
		}
		return l
	}
	waitUntil := func(what string, f func([]core.OperatorView) bool) {
		t.Helper()
		for range 1000 {
			if f(views()) {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
		b, _ := os.ReadFile(filepath.Join(dir, "node-0.log"))
		t.Fatalf("condition not met: want %s; got operator views %+v; log of node-0:\n%s", what, views(), b)
	}
	leading := func(l []core.OperatorView) (name string, token uint64) {
		for _, v := range l {
			if v.Leading && v.FencingToken > token {
				name, token = v.Controller, v.FencingToken
			}
		}
		return name, token
	}
	for _, to := range [][]string{{"workers", "controllers"}, {environment.StateHost, "controllers"}} {
		waitUntil("three controllers, one of them leading, each with a complete reachability matrix", func(l []core.OperatorView) bool {
			for _, v := range l {
				complete := 0
				for _, row := range v.Reach.Matrix {
					if len(row.Workers) == 2 && row.Workers["a"] == 8 && row.Workers["b"] == 8 && len(row.Peers) == 2 {
						complete++
					}
				}
				if complete != 3 {
					return false
				}
			}
			name, _ := leading(l)
			return len(l) == 3 && name != ""
		})
		previousLeader, token := leading(views())
		if err := d.InjectFault(environment.Fault{Kind: "cut", Hosts: []string{previousLeader}, To: to, Duration: 40_000_000}); err != nil {
			t.Fatal(err)
		}
		waitUntil("another controller leading with a higher token", func(l []core.OperatorView) bool {
			name, newToken := leading(l)
			return newToken > token && name != previousLeader
		})
	}
	close(end)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	for _, b := range history.CheckAll(h, d.Expectations()) {
		if b.Rule != "nothing_ran" { // may happen if the test machine is too slow
			t.Error(b)
		}
	}
}
