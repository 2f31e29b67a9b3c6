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

// TestCutLeader runs three real controllers on loopback while the leader keeps
// the state service alone, and then while it keeps the workers alone. Another
// leads, however long that takes, and no rule is broken.
func TestCutLeader(t *testing.T) {
	t.Parallel()
	dir, binary := built(t)
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
	end, over := make(chan struct{}), make(chan error, 1)
	go func() {
		var err error
		h, err = d.Run(end)
		over <- err
	}()
	// views are what the controllers say; one that does not answer is not there.
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
	until := func(what string, f func([]core.OperatorView) bool) {
		t.Helper()
		for range 1000 {
			if f(views()) {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
		b, _ := os.ReadFile(filepath.Join(dir, "node-0.log"))
		t.Fatalf("never: %s; %+v\n%s", what, views(), b)
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
		until("all know what all reach", func(l []core.OperatorView) bool {
			for _, v := range l {
				whole := 0
				for _, row := range v.Reach.Matrix {
					if len(row.Workers) == 2 && row.Workers["a"] == 8 && row.Workers["b"] == 8 && len(row.Peers) == 2 {
						whole++
					}
				}
				if whole != 3 {
					return false
				}
			}
			name, _ := leading(l)
			return len(l) == 3 && name != ""
		})
		was, token := leading(views())
		if err := d.InjectFault(environment.Fault{Kind: "cut", Hosts: []string{was}, To: to, Duration: 40_000_000}); err != nil {
			t.Fatal(err)
		}
		until("another leads", func(l []core.OperatorView) bool {
			name, now := leading(l)
			return now > token && name != was
		})
	}
	close(end)
	if err := <-over; err != nil {
		t.Fatal(err)
	}
	for _, b := range history.CheckAll(h, d.Expectations()) {
		if b.Rule != "nothing_ran" { // on a machine that is too slow
			t.Error(b)
		}
	}
}
