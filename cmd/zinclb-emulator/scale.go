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

// workersCommandName is the command that runs this program as a worker process.
const workersCommandName = "run-workers"

// workersCommand returns the command that runs the workers of a scale run. It is for internal use:
// the scale command starts it.
func workersCommand() *cobra.Command {
	return &cobra.Command{
		Use:    workersCommandName,
		Short:  "Runs workers for a scale run, controlled by commands on standard input",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   func(*cobra.Command, []string) error { return workerproc.Serve(os.Stdin, os.Stdout) },
	}
}

// scaleFlags are the flags of the scale command that are not part of a plan.
type scaleFlags struct {
	sizes   []int
	figures string
	name    string
	// scenario is the file of a scenario that replaces the plan's own environment and load.
	scenario string
}

// scaleCommand returns the command that runs a large deployment and measures the cost of each role.
func scaleCommand() *cobra.Command {
	plan := scale.Default(0)
	options := scale.Options{}
	runFlags := scaleFlags{}
	cmd := &cobra.Command{
		Use:   "scale --binary target/zinclb",
		Short: "Runs a large deployment with simulated workers, and measures the cost of each role",
		Long: "Runs a large deployment on this machine: controllers as processes, simulated workers that share processes,\n" +
			"and some workers in processes of their own. Values that are not given are scaled by --workers from the\n" +
			"operators' plan. Kinds of failure for --lose, each of which happens once:\n" + failureKindsHelp(),
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := scale.CheckPrograms(options.Binaries); err != nil {
				return err
			}
			plans, err := buildPlans(cmd, plan, runFlags)
			if err != nil {
				return err
			}
			return runPlans(plans, options, runFlags)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&plan.Workers, "workers", 400, "number of workers, one on each machine")
	flags.IntSliceVar(&runFlags.sizes, "sizes", nil, "numbers of workers to run one after the other, in place of --workers")
	flags.IntVar(&plan.Accelerators, "accelerators", 0, "total number of accelerators")
	flags.IntVar(&plan.Controllers, "controllers", plan.Controllers, "number of controllers")
	flags.IntVar(&plan.Zones, "zones", plan.Zones, "number of zones")
	flags.IntVar(&plan.Regions, "regions", plan.Regions, "number of regions that the zones belong to")
	flags.IntVar(&plan.Teams, "teams", plan.Teams, "number of teams with limits and guarantees")
	flags.IntVar(&plan.Running, "running", 0, "number of tasks that run at the same time")
	flags.IntVar(&plan.Starts, "starts", 0, "task starts per second in the peak minute")
	flags.IntVar(&plan.LargestGang, "largest-gang", plan.LargestGang, "maximum number of tasks of a gang")
	flags.IntVar(&plan.Dedicated, "alone", plan.Dedicated, "number of workers with a process of their own")
	flags.Float64Var(&plan.FaultSpeedup, "faults-times", 0, "factor on the plan's rates of machine deaths and restarts; 0 disables them")
	flags.StringSliceVar(&plan.Failures, "lose", nil, "failures that happen once: leader, rack, region, zone")
	flags.Float64Var(&plan.StateRPS, "state-rps", plan.StateRPS, "requests per second that the state service accepts")
	flags.Float64Var(&plan.StateWrites, "state-writes", plan.StateWrites, "changes per second that the state service accepts")
	flags.Float64Var(&plan.RemoteMS, "remote-ms", plan.RemoteMS, "one-way delay between two regions in ms")
	flags.Uint64Var(&plan.Seed, "seed", plan.Seed, "seed of load, faults and delays")
	flags.DurationVar(&plan.Length, "length", plan.Length, "length of the run")
	flags.StringVar(&options.Dir, "dir", "target/scale", "directory for the settings and logs of controllers")
	flags.IntVar(&options.Port, "port", 7600, "port of the load balancer; the controllers use the ports after it")
	flags.StringSliceVar(&options.Binaries, "binary", nil, "controller programs, assigned in rotation")
	flags.StringSliceVar(&options.Args, "arg", nil, "arguments of the controller programs before --config")
	flags.StringVar(&runFlags.figures, "figures", "", "directory to write a file of figures to for each run")
	flags.StringVar(&runFlags.scenario, "scenario", "", "scenario file to run in place of the operators' plan")
	flags.StringVar(&runFlags.name, "name", "", "prefix of the names of the files of figures")
	return cmd
}

// failureKindsHelp lists the kinds of failure with their descriptions, one per line.
func failureKindsHelp() string {
	var b strings.Builder
	for _, name := range scale.FailureNames() {
		fmt.Fprintf(&b, "  %-8s %s\n", name, scale.FailureKinds[name])
	}
	return b.String()
}

// buildPlans returns a plan for each size. The numbers of accelerators, running tasks and starts that
// no flag sets are those of the operators' plan scaled to the size.
func buildPlans(cmd *cobra.Command, given scale.Plan, runFlags scaleFlags) ([]scale.Plan, error) {
	if runFlags.scenario != "" {
		return planFromScenario(cmd, given, runFlags.scenario)
	}
	sizes := runFlags.sizes
	if len(sizes) == 0 {
		sizes = []int{given.Workers}
	}
	var plans []scale.Plan
	for _, workers := range sizes {
		p, defaults := given, scale.Default(workers)
		p.Workers = workers
		for flag, values := range map[string]struct{ to, from *int }{
			"accelerators": {&p.Accelerators, &defaults.Accelerators}, "running": {&p.Running, &defaults.Running}, "starts": {&p.Starts, &defaults.Starts},
		} {
			if !cmd.Flags().Changed(flag) {
				*values.to = *values.from
			}
		}
		if err := p.Check(); err != nil {
			return nil, err
		}
		plans = append(plans, p)
	}
	return plans, nil
}

// planFromScenario returns the plan that runs a scenario. It refuses flags that set what the scenario
// defines.
func planFromScenario(cmd *cobra.Command, given scale.Plan, path string) ([]scale.Plan, error) {
	for _, flag := range []string{"workers", "sizes", "accelerators", "controllers", "zones", "regions", "teams", "running", "starts", "largest-gang", "faults-times", "lose", "state-rps", "state-writes", "remote-ms"} {
		if cmd.Flags().Changed(flag) {
			return nil, fmt.Errorf("%s: defined by the scenario", flag)
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

// runPlans runs the plans one after the other. It checks the requirements of all plans before it
// starts the first. It returns an error if a rule was violated.
func runPlans(plans []scale.Plan, options scale.Options, runFlags scaleFlags) error {
	limits, err := scale.MachineLimits()
	if err != nil {
		return err
	}
	for i := range plans {
		needed := plans[i].Requirements()
		fmt.Printf("%d workers: %d processes, about %.0f MB (of %d and %.0f MB that may be used)\n", plans[i].Workers, needed.Processes, needed.MemoryMB, limits.Processes, limits.MemoryMB)
		if err := needed.Fits(limits); err != nil {
			return err
		}
	}
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of this program: %w", err)
	}
	options.Workers, options.Sources, options.Out = []string{program, workersCommandName}, commitName(), os.Stdout
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		close(stop)
	}()
	dir := options.Dir
	violations := 0
	for _, p := range plans {
		options.Dir = filepath.Join(dir, fmt.Sprint(p.Workers))
		measured, err := scale.Run(p, options, stop)
		if err != nil {
			return err
		}
		if err := measured.Write(os.Stdout); err != nil {
			return err
		}
		violations += len(measured.Violations)
		if runFlags.figures != "" {
			path := filepath.Join(runFlags.figures, fmt.Sprintf("%s%d-workers-%d-controllers-seed-%d.json", runFlags.name, p.Workers, p.Controllers, p.Seed))
			if err := measured.Save(path); err != nil {
				return err
			}
		}
	}
	if violations > 0 {
		return fmt.Errorf("%d breaches of the rules", violations)
	}
	return nil
}

// commitName returns the name of the commit of the working tree, or "" if it is unknown.
func commitName() string {
	cmd := exec.Command("git", "describe", "--always", "--dirty")
	cmd.Stderr = io.Discard
	output, err := cmd.Output()
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(output))
}
