// Command standin2 plays the cases of the second review: real controllers as processes, and
// stand-ins on loopback for the state service, the cloud, workers and users.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// settings are the settings that all controllers of a deployment share.
type settings struct {
	Size       int      `json:"size"`
	Zones      []string `json:"zones"`
	Teams      []team   `json:"teams"`
	Objectives []object `json:"objectives"`
	Workers    struct {
		ReportS   float64 `json:"report_s"`
		LeaseS    float64 `json:"lease_s"`
		GangWaitS float64 `json:"gang_wait_s"`
		GangPeerS float64 `json:"gang_peer_s"`
		CancelS   float64 `json:"cancel_s"`
	} `json:"workers"`
	State stateLimits `json:"state"`
	Cloud struct {
		RPS      float64 `json:"rps"`
		ListLagS float64 `json:"list_lag_s"`
	} `json:"cloud"`
	Resources struct {
		CoreShare float64 `json:"core_share"`
		MemMB     float64 `json:"mem_mb"`
		Sockets   int     `json:"sockets"`
	} `json:"resources"`
	ClockErrorMS float64 `json:"clock_error_ms"`
}

// team is a team of the settings.
type team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// boilerSettings returns the settings of the deployment mphco-boiler.
func boilerSettings() settings {
	s := settings{Size: 3, Zones: []string{"coventry", "leicester", "derby", "walsall"}, Objectives: []object{}, ClockErrorMS: 250}
	s.Teams = []team{{Name: "radiator", GPUs: 8, GPUsMax: 16}, {Name: "flue", GPUs: 8, GPUsMax: 32}}
	s.Workers.ReportS, s.Workers.LeaseS, s.Workers.GangWaitS, s.Workers.GangPeerS, s.Workers.CancelS = 2.5, 16, 30, 4, 36
	s.State = stateLimits{RPS: 80, WriteRPS: 25, ValueKB: 8, TxnOps: 12}
	s.Cloud.RPS, s.Cloud.ListLagS = 3, 8
	s.Resources.CoreShare, s.Resources.MemMB, s.Resources.Sockets = 0.18, 125, 1500
	return s
}

// fishSettings returns the settings of the deployment akuakultur-maya.
func fishSettings() settings {
	s := settings{Size: 3, Zones: []string{"ipoh", "seremban", "kota-bharu"}, Objectives: []object{}, ClockErrorMS: 25}
	s.Teams = []team{{Name: "ikan"}, {Name: "kolam"}}
	s.Workers.ReportS, s.Workers.LeaseS, s.Workers.GangWaitS, s.Workers.GangPeerS, s.Workers.CancelS = 8, 34, 40, 4, 59
	s.State = stateLimits{RPS: 200, WriteRPS: 50, ValueKB: 16, TxnOps: 20}
	s.Cloud.RPS, s.Cloud.ListLagS = 6, 4
	s.Resources.CoreShare, s.Resources.MemMB, s.Resources.Sockets = 0.48, 342, 2500
	return s
}

// use takes the settings of a deployment.
func (w *world) use(s settings) {
	w.settings, w.state.limits, w.cloud.rps = s, s.State, s.Cloud.RPS
}

// tambak is the machine type of akuakultur-maya.
var tambak = machineType{"jentera-tambak", 48, 4, 192, 200, 1, 11.6, 4.93, 45, []string{"ipoh", "seremban", "kota-bharu"}}

// Machine types of mphco-boiler.
var (
	valve    = machineType{"valve", 8, 0, 16, 70, 0.5, 0.41, 0.14, 35, []string{"coventry", "leicester", "derby", "walsall"}}
	manifold = machineType{"manifold", 16, 0, 64, 80, 1, 0.97, 0.36, 20, []string{"coventry", "leicester", "derby", "walsall"}}
	heatpump = machineType{"heatpump", 12, 2, 48, 120, 0.4, 5.14, 1.69, 50, []string{"coventry", "leicester", "derby", "walsall"}}
)

// cases are the cases by name. Each prepares its world, plays, and reports whether it could.
var cases = map[string]func(w *world, trouble bool) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(cannotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns its exit code.
func play(run func(*world, bool) error, folder string, trouble bool) int {
	dir, err := os.MkdirTemp("", "zinclb-review-")
	if err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return fail(err)
	}
	defer func() { _ = file.Close() }()
	program, err := runCommand()
	if err != nil {
		return fail(err)
	}
	s := boilerSettings()
	w := &world{
		settings: s, program: program, dir: dir, state: newStateService(s.State),
		record: &recorder{file: file, started: time.Now()},
		jobs:   map[string]*jobSpec{}, on: map[string][]string{}, done: map[string]bool{},
	}
	w.cloud = &cloudService{started: time.Now(), rps: s.Cloud.RPS, record: w.record, types: []machineType{valve, manifold, heatpump, tambak}}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() { result <- run(w, trouble) }()
	select {
	case err = <-result:
	case <-signals:
		err = fmt.Errorf("ended by a signal")
	case <-time.After(115 * time.Second):
		err = fmt.Errorf("the case took too long")
	}
	w.end()
	return verdict(w, err)
}

// verdict prints how a case went and returns its exit code.
func verdict(w *world, err error) int {
	violations := w.record.violations()
	switch {
	case len(violations) > 0:
		fmt.Printf("the rule was broken, %d times; first: %s\n", len(violations), violations[0])
		return ruleBroken
	case err != nil:
		return fail(err)
	}
	fmt.Println("the rule held")
	return ruleHeld
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return cannotRun
}

// begin starts the machines' workers and the controllers, and waits until all are healthy.
func (w *world) begin() error {
	if err := w.startControllers(); err != nil {
		return err
	}
	for _, m := range w.cloud.machines {
		go m.run()
	}
	if !w.waitReady(20 * time.Second) {
		return fmt.Errorf("the controllers did not become ready")
	}
	return nil
}
