package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/emulator/scale"
	"github.com/zinclb/zinclb/internal/emulator/scenario"
	"github.com/zinclb/zinclb/internal/emulator/workerproc"
)

// workersCommandName is how this program is started as a process with workers.
const workersCommandName = "run-workers"

// workersCommand runs the workers of a scale run; nobody calls it by hand.
func workersCommand() *cobra.Command {
	return &cobra.Command{
		Use:    workersCommandName,
		Short:  "Runs workers for a scale run, as commands on standard input say",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   func(*cobra.Command, []string) error { return workerproc.Serve(os.Stdin, os.Stdout) },
	}
}

// scaleFlags are those of the command that are no part of a plan.
type scaleFlags struct {
	sizes   []int
	figures string
	name    string
	// scenario is run in place of the plan's own load.
	scenario string
}

// scaleCommand plays a large deployment and measures what each role costs.
func scaleCommand() *cobra.Command {
	plan := scale.Default(0)
	o := scale.Options{}
	fl := scaleFlags{}
	cmd := &cobra.Command{
		Use:   "scale --binary target/zinclb",
		Short: "Plays a large deployment with hollow workers, and measures what each role costs",
		Long: "Plays a large deployment on this machine: controllers as processes, hollow workers that share processes,\n" +
			"and some workers in processes of their own. What is not given follows from --workers, as a share of the\n" +
			"operators' plan. What may be lost once:\n" + failureKindsHelp(),
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := scale.CheckPrograms(o.Binaries); err != nil {
				return err
			}
			plans, err := buildPlans(cmd, plan, fl)
			if err != nil {
				return err
			}
			return playScale(plans, o, fl)
		},
	}
	f := cmd.Flags()
	f.IntVar(&plan.Workers, "workers", 400, "workers, one on each machine")
	f.IntSliceVar(&fl.sizes, "sizes", nil, "numbers of workers to play one after the other, in place of --workers")
	f.IntVar(&plan.Accelerators, "accelerators", 0, "accelerators in all")
	f.IntVar(&plan.Controllers, "controllers", plan.Controllers, "controllers")
	f.IntVar(&plan.Zones, "zones", plan.Zones, "zones")
	f.IntVar(&plan.Regions, "regions", plan.Regions, "regions that the zones belong to")
	f.IntVar(&plan.Teams, "teams", plan.Teams, "teams with limits and guarantees")
	f.IntVar(&plan.Running, "running", 0, "tasks that run at once")
	f.IntVar(&plan.Starts, "starts", 0, "starts of tasks a second in the peak minute")
	f.IntVar(&plan.LargestGang, "largest-gang", plan.LargestGang, "the most tasks of a gang")
	f.IntVar(&plan.Dedicated, "alone", plan.Dedicated, "workers with a process of their own")
	f.Float64Var(&plan.FaultSpeedup, "faults-times", 0, "machines die and restart at the plan's rates, this many times as often; 0: not at all")
	f.StringSliceVar(&plan.Failures, "lose", nil, "what is lost once: leader, rack, region, zone")
	f.Float64Var(&plan.StateRPS, "state-rps", plan.StateRPS, "requests a second that the state service takes")
	f.Float64Var(&plan.StateWrites, "state-writes", plan.StateWrites, "changes a second that it takes")
	f.Float64Var(&plan.RemoteMS, "remote-ms", plan.RemoteMS, "delay between two regions in ms, one way")
	f.Uint64Var(&plan.Seed, "seed", plan.Seed, "the seed of load, faults and delays")
	f.DurationVar(&plan.Length, "length", plan.Length, "how long it plays")
	f.StringVar(&o.Dir, "dir", "target/scale", "gets settings and logs of controllers")
	f.IntVar(&o.Port, "port", 7600, "the balancer's port; those of controllers follow it")
	f.StringSliceVar(&o.Binaries, "binary", nil, "controllers' programs, given out in turn")
	f.StringSliceVar(&o.Args, "arg", nil, "arguments of controllers before --config")
	f.StringVar(&fl.figures, "figures", "", "a directory that gets a file of figures for each run")
	f.StringVar(&fl.scenario, "scenario", "", "a scenario to play in place of the operators' plan")
	f.StringVar(&fl.name, "name", "", "the beginning of those files' names")
	return cmd
}

func failureKindsHelp() string {
	var b strings.Builder
	for _, name := range scale.FailureNames() {
		fmt.Fprintf(&b, "  %-8s %s\n", name, scale.FailureKinds[name])
	}
	return b.String()
}

// buildPlans makes a plan for each size. What no flag sets follows from the size.
func buildPlans(cmd *cobra.Command, given scale.Plan, fl scaleFlags) ([]scale.Plan, error) {
	if fl.scenario != "" {
		return planOfScenario(cmd, given, fl.scenario)
	}
	sizes := fl.sizes
	if len(sizes) == 0 {
		sizes = []int{given.Workers}
	}
	var plans []scale.Plan
	for _, n := range sizes {
		p, usual := given, scale.Default(n)
		p.Workers = n
		for flag, v := range map[string]struct{ to, from *int }{
			"accelerators": {&p.Accelerators, &usual.Accelerators}, "running": {&p.Running, &usual.Running}, "starts": {&p.Starts, &usual.Starts},
		} {
			if !cmd.Flags().Changed(flag) {
				*v.to = *v.from
			}
		}
		if err := p.Check(); err != nil {
			return nil, err
		}
		plans = append(plans, p)
	}
	return plans, nil
}

// planOfScenario makes a plan of a scenario; flags of the plan's own load are refused.
func planOfScenario(cmd *cobra.Command, given scale.Plan, path string) ([]scale.Plan, error) {
	for _, flag := range []string{"workers", "sizes", "accelerators", "controllers", "zones", "regions", "teams", "running", "starts", "largest-gang", "faults-times", "lose", "state-rps", "state-writes", "remote-ms"} {
		if cmd.Flags().Changed(flag) {
			return nil, fmt.Errorf("%s: the scenario says that", flag)
		}
	}
	seed := uint64(0)
	if cmd.Flags().Changed("seed") {
		seed = given.Seed
	}
	s, err := scenario.Load(path, seed)
	if err != nil {
		return nil, err
	}
	if cmd.Flags().Changed("length") {
		s.Length = given.Length.Microseconds()
	}
	p, err := scale.FromScenario(path, s.Config, given.Dedicated)
	if err == nil {
		err = p.Check()
	}
	return []scale.Plan{p}, err
}

// playScale plays the plans one after the other. All are checked before the first
// begins.
func playScale(plans []scale.Plan, o scale.Options, fl scaleFlags) error {
	limits, err := scale.MachineLimits()
	if err != nil {
		return err
	}
	for i := range plans {
		n := plans[i].Requirements()
		fmt.Printf("%d workers: %d processes, about %.0f MB (of %d and %.0f MB that may be used)\n", plans[i].Workers, n.Processes, n.MemoryMB, limits.Processes, limits.MemoryMB)
		if err := n.Fits(limits); err != nil {
			return err
		}
	}
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find this program: %w", err)
	}
	o.Workers, o.Sources, o.Out = []string{program, workersCommandName}, commitName(), os.Stdout
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		close(stop)
	}()
	dir := o.Dir
	broken := 0
	for _, p := range plans {
		o.Dir = filepath.Join(dir, fmt.Sprint(p.Workers))
		f, err := scale.Run(p, o, stop)
		if err != nil {
			return err
		}
		if err := f.Write(os.Stdout); err != nil {
			return err
		}
		broken += len(f.Violations)
		if fl.figures != "" {
			path := filepath.Join(fl.figures, fmt.Sprintf("%s%d-workers-%d-controllers-seed-%d.json", fl.name, p.Workers, p.Controllers, p.Seed))
			if err := f.Save(path); err != nil {
				return err
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d breaches of the rules", broken)
	}
	return nil
}

// commitName names the commit of the working tree, "" if it is unknown.
func commitName() string {
	cmd := exec.Command("git", "describe", "--always", "--dirty")
	cmd.Stderr = io.Discard
	b, err := cmd.Output()
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(b))
}
