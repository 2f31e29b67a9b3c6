package sockets

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/faketime"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/scenario"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// idleConfig returns an environment without machines, jobs or faults, in which nothing happens
// until a request arrives.
func idleConfig() environment.Config {
	c := environment.Config{
		Seed: 1, Length: 600_000_000, Types: []wire.MachineType{{Name: "big", CPUs: 8, MemGB: 32, FetchRate: 1, CacheGB: 50, BootS: 5, Price: 1, Zones: []string{"a"}}},
		Capacity: []environment.Capacity{{Type: "big", Zone: "a", Count: 3}},
	}
	params := &c.Params
	params.Size, params.Zones, params.Teams = 1, []string{"a"}, []config.Team{{Name: "t"}}
	params.Workers.ReportS, params.Workers.LeaseS, params.Workers.GangWaitS, params.Workers.GangPeerS, params.Workers.CancelS = 2, 16, 30, 4, 36
	params.State.RPS, params.State.WriteRPS, params.State.ValueKB, params.State.TxnOps = 1000, 500, 2, 6
	params.Cloud.RPS, params.Cloud.ListLagS = 100, 0
	params.Limits.CoreShare, params.Limits.MemMB, params.Limits.Sockets = 1, 256, 100
	return c
}

// startDriver starts a driver that serves an environment until the test ends.
func startDriver(t *testing.T, cfg environment.Config, options Options) *Driver {
	t.Helper()
	d, err := New(cfg, options)
	if err != nil {
		t.Fatal(err)
	}
	end, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		if _, err := d.Run(end); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { close(end); <-done })
	return d
}

const (
	// inAnyOrder separates parts of a response whose order the protocol leaves open.
	inAnyOrder = " in any order "
	// sameAsBefore stands for the body of the previous response.
	sameAsBefore = "the same body as before"
)

// protocolCases are requests with the responses that the published protocol requires. They run
// in order: each depends on the state that the previous ones left.
var protocolCases = []struct {
	name, to, method, target, body string
	status                         int
	wantBody                       string
}{
	{"missing key", "state", "GET", "/kv/a/b", "", 404, `"ledger":0`},
	{"condition with stamp 0 on a missing key", "state", "POST", "/multi", `{"when":[{"path":"a/b","stamp":0}],"writes":[{"put":"a/b","data":{"x":1}},{"put":"a/c","data":2}]}`, 200, `"ledger":1`},
	{"same revision for all changes of a transaction", "state", "GET", "/kv?starts=a/", "", 200, `"path":"a/c","data":2,"stamp":1`},
	{"failed condition is named and nothing is written", "state", "POST", "/multi", `{"when":[{"path":"a/b","stamp":0}],"writes":[{"remove":"a/c"}]}`, 409, `"failed":["a/b"]`},
	{"key with unescaped slashes", "state", "GET", "/kv/a/b", "", 200, `"data":{"x":1},"stamp":1`},
	{"transaction without writes", "state", "POST", "/multi", `{"when":[{"path":"a/b","stamp":1}]}`, 200, `"ledger":1`},
	{"list that starts after a key", "state", "GET", "/kv?starts=a/&after=a/b&most=5", "", 200, `"rows":[{"path":"a/c"`},
	{"truncated page", "state", "GET", "/kv?starts=a/&most=1", "", 200, `"truncated":true`},
	{"value too large", "state", "POST", "/multi", `{"writes":[{"put":"big","data":"` + strings.Repeat("x", 3000) + `"}]}`, 400, "value too large"},
	{"too many changes in a transaction", "state", "POST", "/multi", `{"writes":[` + strings.TrimSuffix(strings.Repeat(`{"remove":"q"},`, 7), ",") + `]}`, 400, "too large"},
	{"malformed body", "state", "POST", "/multi", `{"writes":`, 400, ""},
	{"key with a space", "state", "POST", "/multi", `{"writes":[{"put":"a b","data":1}]}`, 400, "spaces"},
	{"lease duration out of bounds", "state", "POST", "/leases", `{"life_ms":50}`, 400, ""},
	{"grant of a lease", "state", "POST", "/leases", `{"life_ms":60000}`, 200, `"tenure":1`},
	{"put with a lease", "state", "POST", "/multi", `{"writes":[{"put":"c/1","data":1,"tenure":1}]}`, 200, `"ledger":2`},
	{"renewal of a lease", "state", "POST", "/leases/1/touch", `{}`, 200, ""},
	{"put with an unknown lease and a failing condition", "state", "POST", "/multi", `{"when":[{"path":"a/b","stamp":99}],"writes":[{"put":"c/2","data":1,"tenure":77}]}`, 400, "no such lease"},
	{"put without a lease detaches the key", "state", "POST", "/multi", `{"writes":[{"put":"c/1","data":2},{"put":"c/3","data":3,"tenure":1}]}`, 200, `"ledger":3`},
	{"revocation ends a lease at once", "state", "DELETE", "/leases/1", "", 200, ""},
	{"key attached to a revoked lease", "state", "GET", "/kv/c/3", "", 404, ""},
	{"key detached from a revoked lease", "state", "GET", "/kv/c/1", "", 200, `"data":2`},
	{"renewal of a revoked lease", "state", "POST", "/leases/1/touch", `{}`, 404, ""},
	{"watch returns all changes after a revision", "state", "GET", "/watch?starts=c/&after=2&wait_ms=1000", "", 200, `{"put":"c/1","data":2,"stamp":3}` + inAnyOrder + `{"put":"c/3","data":3,"stamp":3}` + inAnyOrder + `{"remove":"c/3","stamp":4}`},
	{"watch without waiting", "state", "GET", "/watch?starts=c/&after=4", "", 200, `"news":[]`},
	{"machine types", "cloud", "GET", "/machine_types", "", 200, `"label":"big"`},
	{"rental of at most the requested number", "cloud", "POST", "/rentals", `{"hire":"r-1","breed":"big","paddock":"a","borrowed":false,"number":2}`, 200, `"host-000000"` + inAnyOrder + `"host-000001"`},
	{"repeated rental gives the same answer and rents nothing", "cloud", "POST", "/rentals", `{"hire":"r-1","breed":"big","paddock":"a","borrowed":false,"number":2}`, 200, sameAsBefore},
	{"partly filled rental", "cloud", "POST", "/rentals", `{"hire":"r-2","breed":"big","paddock":"a","borrowed":false,"number":9}`, 200, `{"stokers":["host-000002"]}`},
	{"rental without capacity", "cloud", "POST", "/rentals", `{"hire":"r-3","breed":"big","paddock":"a","borrowed":false,"number":1}`, 503, "no capacity"},
	{"rental of more than 50 machines", "cloud", "POST", "/rentals", `{"hire":"r-4","breed":"big","paddock":"a","borrowed":false,"number":51}`, 400, ""},
	{"rental of an unknown type", "cloud", "POST", "/rentals", `{"hire":"r-5","breed":"small","paddock":"a","borrowed":false,"number":1}`, 400, ""},
	{"release ignores unknown names", "cloud", "POST", "/rentals/release", `{"stokers":["host-000002","host-999999"]}`, 200, ""},
	{"list in order of names", "cloud", "GET", "/rentals?after=host-000000&most=500", "", 200, `"name_id":"host-000001"`},
	{"released capacity rented again under another name", "cloud", "POST", "/rentals", `{"hire":"r-6","breed":"big","paddock":"a","borrowed":false,"number":1}`, 200, `host-000003`},
}

// TestProtocol checks that the environment in fake time and the services over sockets both
// answer as the published protocol requires.
func TestProtocol(t *testing.T) {
	env, err := environment.New(idleConfig(), nil)
	if err != nil {
		t.Fatal(err)
	}
	now := int64(0)
	askModel := func(to string, r *http.Request) (int, string) {
		read := readState
		if to == "cloud" {
			read = readCloud
		}
		request := read(r)
		if request == nil {
			return 400, ""
		}
		effects := env.Step(now, environment.Call{ID: 1, From: "node-0", To: to, Request: request})
		for range 1000 {
			for _, e := range effects {
				if a, ok := e.(environment.Answer); ok {
					b, err := json.Marshal(a.Body)
					if err != nil {
						t.Fatal(err)
					}
					return a.Status, string(b)
				}
			}
			next, _ := env.Next()
			now = max(now, next)
			effects = env.Step(now, nil)
		}
		return 0, "no answer"
	}
	d := startDriver(t, idleConfig(), Options{Dir: t.TempDir()})
	var settings config.Platform
	for range 500 { // until the driver has written the settings
		if b, err := os.ReadFile(d.SettingsPath(0)); err == nil && json.Unmarshal(b, &settings) == nil && settings.Services.State != "" {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	askSocket := func(to string, r *http.Request) (int, string) {
		addr := settings.Services.State
		if to == "cloud" {
			addr = settings.Services.Cloud
		}
		request, err := http.NewRequest(r.Method, "http://"+addr+r.URL.RequestURI(), r.Body)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(b)
	}
	before := map[string]string{}
	for _, tc := range protocolCases {
		for name, ask := range map[string]func(string, *http.Request) (int, string){"model": askModel, "sockets": askSocket} {
			status, body := ask(tc.to, httptest.NewRequest(tc.method, tc.target, strings.NewReader(tc.body)))
			want := strings.Replace(tc.wantBody, sameAsBefore, before[name], 1)
			if status != tc.status || !containsAll(body, strings.Split(want, inAnyOrder)) {
				t.Errorf("%s: %s: got status %d with body %.300s, want status %d with body containing %s", name, tc.name, status, body, tc.status, want)
			}
			before[name] = body
		}
	}
}

// containsAll reports whether a text contains all parts.
func containsAll(text string, parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(text, part) })
}

// buildController builds the controller program and returns a temporary directory for the test and
// the path of the program. It skips the test in short mode, as tests with real controllers take
// half a minute.
func buildController(t *testing.T) (dir, binary string) {
	t.Helper()
	if testing.Short() {
		t.Skip("tests with real controllers take half a minute")
	}
	dir = t.TempDir()
	binary = filepath.Join(dir, "zinclb")
	if output, err := exec.Command("go", "build", "-o", binary, "github.com/zinclb/zinclb/cmd/zinclb").CombinedOutput(); err != nil {
		t.Fatalf("build controller: got error %v, want none; output:\n%s", err, output)
	}
	return dir, binary
}

// TestZoneOutage runs three real controllers on loopback through the outage of a zone. It
// checks only the history, not durations: no rule may be violated, and no gang may start with
// only some of its tasks.
func TestZoneOutage(t *testing.T) {
	t.Parallel()
	dir, binary := buildController(t)
	loaded, err := scenario.Load("../../../scenarios/quiet-day.txtpb", 5)
	if err != nil {
		t.Fatal(err)
	}
	loaded.Length = 30_000_000
	loaded.Faults = []environment.Fault{{At: 9_000_000, Duration: 9_000_000, Kind: "cut", Hosts: []string{"zone:a"}, To: []string{"all"}}}
	d, err := New(loaded.Config, Options{Dir: dir, Port: 17300, Binaries: []string{binary}})
	if err != nil {
		t.Fatal(err)
	}
	events, err := d.Run(nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range history.CheckAll(events, d.Expectations()) {
		if violation.Rule != "nothing_ran" { // may happen if the test machine is too slow
			t.Error(violation)
		}
	}
	t.Logf("%d events, %d of them task starts", len(events), len(slices.DeleteFunc(slices.Clone(events), func(e history.Event) bool { return e.Kind != history.TaskStarted })))
}

// BenchmarkFakeTime measures the simulated seconds per real second in fake time, with three
// controllers and 20, 200 and 2,000 busy machines.
func BenchmarkFakeTime(b *testing.B) {
	for _, machines := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for b.Loop() {
				cfg := idleConfig()
				cfg.Params.Size, cfg.Length = 3, 120_000_000
				cfg.Params.Teams[0].Name = "t"
				cfg.Params.Workers.ReportS = 8
				cfg.Capacity, cfg.Machines = nil, []environment.InitialMachines{{Type: "big", Zone: "a", Count: machines}}
				for i := range machines / 2 {
					cfg.Jobs = append(cfg.Jobs, environment.Job{At: int64(5_000_000 + i*100_000_000/machines*2), Run: 20_000_000, Spec: wire.Job{
						ID: fmt.Sprintf("req-%06d", i), Class: "c", Team: "t", Kind: wire.Array,
						Priority: "normal", Tasks: 16, CPUs: 1, MemGB: 1, Image: "i", ImageGB: 1, EstimateS: 20,
					}})
				}
				start := time.Now()
				cluster, err := faketime.Run(cfg, faketime.Options{Operators: config.Defaults()})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(120/time.Since(start).Seconds(), "simulated-s/s")
				b.ReportMetric(float64(len(cluster.History)), "events")
			}
		})
	}
}
