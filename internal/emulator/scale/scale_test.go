package scale

import (
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/meter"
	"github.com/zinclb/zinclb/internal/emulator/wire"
	"github.com/zinclb/zinclb/internal/emulator/workerproc"
)

// runWorkersEnv is the environment variable that makes the test binary run as a worker process.
const runWorkersEnv = "ZINCLB_TEST_RUN_WORKERS"

func TestMain(m *testing.M) {
	if os.Getenv(runWorkersEnv) != "" {
		if err := workerproc.Serve(os.Stdin, os.Stdout); err != nil {
			panic(err)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// TestCheck checks that the error for an invalid field names the flag of the field.
func TestCheck(t *testing.T) {
	cases := []struct {
		change func(*Plan)
		wants  string // part of the error, "" for no error
	}{
		{func(*Plan) {}, ""},
		{func(p *Plan) { p.Workers = 0 }, "workers: 0"},
		{func(p *Plan) { p.Controllers = 99 }, "controllers: 99"},
		{func(p *Plan) { p.Regions = 40 }, "regions: 40"},
		{func(p *Plan) { p.Starts = -1 }, "starts: -1"},
		{func(p *Plan) { p.Length = time.Second }, "length: 1"},
		{func(p *Plan) { p.Failures = []string{"moon"} }, `lose: "moon"`},
		{func(p *Plan) { p.StateRPS, p.Teams = 0, 0 }, "teams: 0"},
	}
	for _, tc := range cases {
		p := Default(400)
		tc.change(&p)
		err := p.Check()
		if tc.wants == "" && err != nil || tc.wants != "" && (err == nil || !strings.Contains(err.Error(), tc.wants)) {
			t.Errorf("Check: got error %v, want one with %q (\"\": none)", err, tc.wants)
		}
	}
}

// TestRequirements checks that plans that exceed the limits of the machine are refused.
func TestRequirements(t *testing.T) {
	limits := Limits{Processes: maxProcesses, MemoryMB: 12_000}
	cases := []struct {
		workers, dedicated int
		wants              string
	}{
		{3200, 3, ""},
		{10_000, 3, ""},
		{100_000, 3, "workers: the run needs about"},
		{400, 290, "alone: the run needs 318 processes"},
	}
	for _, tc := range cases {
		p := Default(tc.workers)
		p.Dedicated = tc.dedicated
		err := p.Requirements().Fits(limits)
		if tc.wants == "" && err != nil || tc.wants != "" && (err == nil || !strings.Contains(err.Error(), tc.wants)) {
			t.Errorf("%d workers: Fits: got error %v, want one with %q (\"\": none)", tc.workers, err, tc.wants)
		}
	}
}

// TestDefaultPlan checks that the environment of the default plan has the sizes of the operators'
// plan, and that it is valid.
func TestDefaultPlan(t *testing.T) {
	p := Default(planWorkers)
	p.FaultSpeedup, p.Failures = 500, []string{"leader", "rack", "region", "zone"}
	c := p.Config()
	gpus, machines, starts, largest := 0.0, 0, 0, 0
	for _, m := range c.Machines {
		machines += m.Count
		if m.Type == gpuType {
			gpus += float64(m.Count * gpusPerMachine)
		}
	}
	for _, j := range c.Jobs {
		if j.At >= peakStart && j.At < peakEnd {
			starts += j.Spec.Tasks
		}
		if j.Spec.Kind == wire.Gang {
			largest = max(largest, j.Spec.Tasks)
		}
	}
	if machines != 3200 || gpus != 4900 || largest != 64 || len(c.Params.Teams) != 380 || len(c.Params.Zones) != 15 || len(c.Network.Regions) != 15 {
		t.Errorf("got %d machines, %.0f accelerators, largest gang %d, %d teams, %d zones, %d zones with a region; want 3200, 4900, 64, 380, 15, 15", machines, gpus, largest, len(c.Params.Teams), len(c.Params.Zones), len(c.Network.Regions))
	}
	if starts < 40_000 || starts > 50_000 {
		t.Errorf("got %d task starts in the peak minute, want 40000 to 50000", starts)
	}
	if _, err := environment.New(c, nil); err != nil {
		t.Error(err)
	}
	for _, name := range p.dedicatedMachines(&c) {
		if name != environment.MachineName(0) && name != environment.MachineName(1) && name != environment.MachineName(2) {
			t.Errorf("dedicatedMachines: got %s, want only the first three machines", name)
		}
	}
}

// TestFromScenario checks that a scenario is refused if it has a feature that workers in separate
// processes do not support.
func TestFromScenario(t *testing.T) {
	p := Default(30)
	valid := p.Config()
	cases := []struct {
		change func(*environment.Config)
		wants  string
	}{
		{func(*environment.Config) {}, ""},
		{func(c *environment.Config) { c.Faults = []environment.Fault{{Kind: "machine_deaf"}} }, "fault[0].kind: scale runs do not support machine_deaf"},
		{func(c *environment.Config) {
			c.Jobs = []environment.Job{{Spec: wire.Job{Class: "wide", Kind: wire.Gang, Tasks: 2}}}
		}, "load: class wide"},
		{func(c *environment.Config) { c.Sweeps = make([]environment.Sweep, 1) }, "sweep: "},
	}
	for _, tc := range cases {
		c := valid
		tc.change(&c)
		plan, err := FromScenario("x", c, 2)
		if tc.wants == "" && (err != nil || plan.Workers != 30) || tc.wants != "" && (err == nil || !strings.Contains(err.Error(), tc.wants)) {
			t.Errorf("FromScenario: got %d workers and error %v, want 30 workers and no error, or an error with %q", plan.Workers, err, tc.wants)
		}
	}
}

// TestFigures checks the figures that are computed from a small history.
func TestFigures(t *testing.T) {
	job := &wire.Job{ID: "req-000001", Class: classUrgent, Tasks: 2}
	expectations := history.Expectations{Jobs: map[string]*wire.Job{job.ID: job}}
	events := []history.Event{
		{At: 1_000_000, Kind: history.RequestSent, Op: history.Submit, Call: 1, Job: job.ID},
		{At: 1_040_000, Kind: history.ResponseReceived, Op: history.Submit, Call: 1, Job: job.ID, Status: 201},
		{At: 1_500_000, Kind: history.TaskEntered, Job: job.ID, Task: 0},
		{At: 1_500_000, Kind: history.TaskStarted, Job: job.ID, Task: 0},
		{At: 1_900_000, Kind: history.TaskEntered, Job: job.ID, Task: 1},
		{At: 1_900_000, Kind: history.TaskStarted, Job: job.ID, Task: 1},
		{At: 9_000_000, Kind: history.TaskLeft, Job: job.ID, Task: 1},
	}
	if s := startWaits(events, expectations, classUrgent, 1.2); s.Count != 1 || s.Share != 1 || s.Median != 0.9 {
		t.Errorf("startWaits within 1.2 s: got %+v, want count 1, share 1, median 0.9 s", s)
	}
	if s := startWaits(events, expectations, classUrgent, 0.5); s.Share != 0 {
		t.Errorf("startWaits within 0.5 s: got %+v, want share 0", s)
	}
	if l := requestLatencies(events, history.Submit); l.Median != 40 || l.Count != 1 {
		t.Errorf("requestLatencies: got %+v, want count 1, median 40 ms", l)
	}
	if starts, running := startRate(events, 1_000_000, 2_000_000); starts != 2 || running != 2 {
		t.Errorf("startRate: got %v starts per second, %d tasks running; want 2, 2", starts, running)
	}
	tokenTimes := map[uint64][]int64{4: {1_000_000}, 5: {7_000_000, 9_000_000}, 6: {20_000_000}}
	if got := failoverOf(tokenTimes, 5_000_000); got.Workers != 2 || got.Worst != 4 {
		t.Errorf("failoverOf: got %+v, want 2 workers, worst 4 s", got)
	}
	key := meter.Key{Host: "node-0", Kind: "state read"}
	from := measurement{at: 0, usage: map[string]usage{"node-0": {cpu: 1}}, counts: map[meter.Key]meter.Count{key: {Messages: 10}}}
	to := measurement{at: 10_000_000, leader: "node-0", usage: map[string]usage{"node-0": {cpu: 3, memory: 20}}, counts: map[meter.Key]meter.Count{key: {Messages: 30, Refused: 10}}}
	w := window(from, to, []string{"node-0"}, nil)
	if r := w.Roles[RoleLeader]; r.CPU != 0.2 || r.Memory != 20 || r.Kinds["state read"].Messages != 2 || w.Roles[RoleState].Total("state ").Refused != 1 {
		t.Errorf("window: got %+v, want a leader with 0.2 cores, 20 MB and 2 state reads per second, and 1 refusal per second at the state service", w)
	}
}

// TestScale runs 150 workers for 35 s, with real controllers, workers in separate processes and
// machine faults. It checks that no rule is violated. It does not check latencies or rates.
func TestScale(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	dir := t.TempDir()
	binary := filepath.Join(dir, "zinclb")
	if output, err := exec.Command("go", "build", "-o", binary, "github.com/zinclb/zinclb/cmd/zinclb").CombinedOutput(); err != nil {
		t.Fatalf("build zinclb: %v: %s", err, output)
	}
	t.Setenv(runWorkersEnv, "1")
	p := Default(150)
	p.Controllers, p.Zones, p.Regions, p.Teams, p.Dedicated, p.Length, p.FaultSpeedup = 4, 4, 2, 20, 2, 35*time.Second, 2000
	f, err := Run(p, Options{Dir: dir, Port: 17700, Binaries: []string{binary}, Workers: []string{os.Args[0]}, Out: io.Discard}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range f.Violations {
		if !strings.Contains(violation, "nothing_ran") { // happens on a machine that is too slow
			t.Error(violation)
		}
	}
	path := filepath.Join(dir, "figures.json")
	if err := f.Save(path); err != nil {
		t.Fatal(err)
	}
	if loaded, err := Load(path); err != nil || loaded.Events != f.Events || loaded.Events == 0 {
		t.Errorf("Load after Save: got %+v, error %v; want %d events, more than 0", loaded, err, f.Events)
	}
	if err := f.Write(io.Discard); err != nil {
		t.Error(err)
	}
	stop := make(chan struct{})
	close(stop)
	if _, err := Run(p, Options{Dir: dir, Port: 17700, Binaries: []string{binary}, Workers: []string{os.Args[0]}, Out: io.Discard}, stop); !errors.Is(err, ErrStopped) {
		t.Errorf("interrupted run: got error %v, want %v", err, ErrStopped)
	}
}
