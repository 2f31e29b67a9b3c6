package sockets

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestWorkersOverSockets checks the worker protocol over sockets. The test itself is the
// controller: a worker reports to it, and it sends commands to the worker's own address and in
// the answers to reports.
func TestWorkersOverSockets(t *testing.T) {
	cfg := idleConfig()
	cfg.Machines = []environment.InitialMachines{{Type: "big", Zone: "a", Count: 1}}
	cfg.Params.Workers.ReportS = 0.6
	var mu sync.Mutex
	var last wire.Report
	orders := []wire.Order{}
	controller := &http.Server{Addr: loopback(17401), ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.URL.Path != "/agent/beat" {
			writeJSON(w, map[string]int{"/ready": 200, "/work": 201}[r.URL.Path], wire.JobAnswer{ID: "req-000001", State: wire.Pending})
			return
		}
		last = wire.Report{}
		if !decode(r, &last) {
			t.Error("got a malformed report, want a valid one")
		}
		writeJSON(w, 200, wire.HeartbeatAnswer{Token: 5, Orders: orders})
		orders = []wire.Order{}
	})}
	go func() { _ = controller.ListenAndServe() }()
	defer func() { _ = controller.Close() }()
	startDriver(t, cfg, Options{Dir: t.TempDir(), Port: 17400})
	waitUntil := func(want string, meets func(wire.Report) bool) wire.Report {
		t.Helper()
		for range 1500 {
			mu.Lock()
			r := last
			mu.Unlock()
			if r.Machine != "" && meets(r) {
				return r
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("got no report that meets the condition, want %s", want)
		return wire.Report{}
	}
	post := func(addr, path, body string) (int, string) {
		t.Helper()
		resp, err := http.Post("http://"+addr+path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		b, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b)
	}
	first := waitUntil("a report with token 5", func(r wire.Report) bool { return r.Token == 5 })
	for range 500 { // until the load balancer has found the controller healthy
		if s, _ := post(loopback(17400), "/work", `{"name_id":"req-000001","shape":"sweep","hands":3,"vcpus":2,"mem_gb":1,"seedstock":"i","pull_gb":0.5,"expect_s":2}`); s == 201 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	hasTask := func(name string, attempt uint64, state, reason string) func(wire.Report) bool {
		return func(r wire.Report) bool {
			for _, task := range r.Tasks {
				if task.Name == name && task.Attempt == attempt && task.State == state && task.Reason == reason {
					return true
				}
			}
			return false
		}
	}
	cases := []struct {
		name, body string
		status     int
		wantBody   string
		wantReport func(wire.Report) bool
	}{
		{"missing baton and shift", `{"orders":[]}`, 400, "missing", nil},
		{"lower token", `{"baton":4,"shift":1,"orders":[{"verb":"run","hand":"req-000001/0","try":1}]}`, 409, `"hands":[]`, nil},
		{"other session", `{"baton":5,"shift":2,"orders":[{"verb":"run","hand":"req-000001/0","try":1}]}`, 409, `"hands":[]`, nil},
		{"run command; the body is the report after it", `{"baton":5,"shift":1,"orders":[{"verb":"run","hand":"req-000001/0","try":1}]}`, 200, `"hand":"req-000001/0","try":1,"status":"fetching"`, hasTask("req-000001/0", 1, "running", "")},
		{"task in use and unknown job", `{"baton":5,"shift":1,"orders":[{"verb":"run","hand":"req-000001/0","try":2},{"verb":"run","hand":"req-000009/0","try":1}]}`, 200, "no_such", hasTask("req-000001/0", 2, "ended", "in_use")},
		{"task done", `{"baton":5,"shift":1,"orders":[]}`, 200, "", hasTask("req-000001/0", 1, "ended", "done")},
		{"forget command", `{"baton":5,"shift":1,"orders":[{"verb":"forget","hand":"req-000001/0","try":1}]}`, 200, "", func(r wire.Report) bool { return !hasTask("req-000001/0", 1, "ended", "done")(r) }},
	}
	for _, tc := range cases {
		s, body := post(first.Addr, "/do", tc.body)
		if s != tc.status || !strings.Contains(body, tc.wantBody) {
			t.Errorf("%s: got status %d with body %s, want status %d with body containing %s", tc.name, s, body, tc.status, tc.wantBody)
		}
		if tc.wantReport != nil {
			waitUntil(tc.name, tc.wantReport)
		}
	}
	mu.Lock()
	orders = []wire.Order{{Op: "run", Task: "req-000001/1", Attempt: 7}}
	mu.Unlock()
	waitUntil("a task started by a command in the answer to a report", hasTask("req-000001/1", 7, "ended", "done"))
	resp, err := http.Get("http://" + first.Addr + "/inspect")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var r wire.Report
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil || r.Seq <= first.Seq || r.Session != 1 || r.Addr != first.Addr {
		t.Errorf("inspect: got report %+v and error %v, want session 1, address %s and a sequence number above %d", r, err, first.Addr, first.Seq)
	}
}
