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

// TestWorkersOverSockets is a controller in the test itself, to which a worker
// reports and which sends orders to the worker's own address.
func TestWorkersOverSockets(t *testing.T) {
	c := bare()
	c.Machines = []environment.Machines{{Type: "big", Zone: "a", Count: 1}}
	c.Params.Workers.ReportS = 0.6
	var mu sync.Mutex
	var last wire.Report
	orders := []wire.Order{}
	front := &http.Server{Addr: loopback(17401), ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.URL.Path != "/agent/beat" {
			write(w, map[string]int{"/ready": 200, "/work": 201}[r.URL.Path], wire.JobAnswer{ID: "req-000001", State: wire.Pending})
			return
		}
		last = wire.Report{}
		if !decode(r, &last) {
			t.Error("a report that can't be read")
		}
		write(w, 200, wire.HeartbeatAnswer{Token: 5, Orders: orders})
		orders = []wire.Order{}
	})}
	go func() { _ = front.ListenAndServe() }()
	defer func() { _ = front.Close() }()
	running(t, c, Options{Dir: t.TempDir(), Port: 17400})
	until := func(what string, f func(wire.Report) bool) wire.Report {
		t.Helper()
		for range 1500 {
			mu.Lock()
			r := last
			mu.Unlock()
			if r.Machine != "" && f(r) {
				return r
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("never: %s", what)
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
	first := until("a report with the token", func(r wire.Report) bool { return r.Token == 5 })
	for range 500 { // until the balancer has found the controller healthy
		if s, _ := post(loopback(17400), "/work", `{"name_id":"req-000001","shape":"sweep","hands":3,"vcpus":2,"mem_gb":1,"seedstock":"i","pull_gb":0.5,"expect_s":2}`); s == 201 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	has := func(name string, try uint64, state, why string) func(wire.Report) bool {
		return func(r wire.Report) bool {
			for _, k := range r.Tasks {
				if k.Name == name && k.Attempt == try && k.State == state && k.Reason == why {
					return true
				}
			}
			return false
		}
	}
	cases := []struct {
		says, body string
		status     int
		has        string
		then       func(wire.Report) bool
	}{
		{"baton or shift is missing", `{"orders":[]}`, 400, "missing", nil},
		{"a lower token", `{"baton":4,"shift":1,"orders":[{"verb":"run","hand":"req-000001/0","try":1}]}`, 409, `"hands":[]`, nil},
		{"another session", `{"baton":5,"shift":2,"orders":[{"verb":"run","hand":"req-000001/0","try":1}]}`, 409, `"hands":[]`, nil},
		{"executed; the body is the report after the commands", `{"baton":5,"shift":1,"orders":[{"verb":"run","hand":"req-000001/0","try":1}]}`, 200, `"hand":"req-000001/0","try":1,"status":"fetching"`, has("req-000001/0", 1, "running", "")},
		{"in_use, no_such", `{"baton":5,"shift":1,"orders":[{"verb":"run","hand":"req-000001/0","try":2},{"verb":"run","hand":"req-000009/0","try":1}]}`, 200, "no_such", has("req-000001/0", 2, "ended", "in_use")},
		{"it is done", `{"baton":5,"shift":1,"orders":[]}`, 200, "", has("req-000001/0", 1, "ended", "done")},
		{"forget", `{"baton":5,"shift":1,"orders":[{"verb":"forget","hand":"req-000001/0","try":1}]}`, 200, "", func(r wire.Report) bool { return !has("req-000001/0", 1, "ended", "done")(r) }},
	}
	for _, tc := range cases {
		s, body := post(first.Addr, "/do", tc.body)
		if s != tc.status || !strings.Contains(body, tc.has) {
			t.Errorf("%s: %d %s", tc.says, s, body)
		}
		if tc.then != nil {
			until(tc.says, tc.then)
		}
	}
	mu.Lock()
	orders = []wire.Order{{Op: "run", Task: "req-000001/1", Attempt: 7}}
	mu.Unlock()
	until("an order in the answer to a report", has("req-000001/1", 7, "ended", "done"))
	resp, err := http.Get("http://" + first.Addr + "/inspect")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var r wire.Report
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil || r.Seq <= first.Seq || r.Session != 1 || r.Addr != first.Addr {
		t.Errorf("inspect: %+v, %v", r, err)
	}
}
