// Command zinclb-experiment runs a matrix of scenarios, seeds and versions, in simulated time or on
// sockets. It writes the results as JSON lines, and a report with plots and the differences between
// the versions.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/experiment"
	"github.com/zinclb/zinclb/internal/jsonlines"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "zinclb-experiment:", err)
		os.Exit(1)
	}
}

// matrix has the flags of the command: the scenarios, seeds and versions to run, and how.
type matrix struct {
	scenarios, versions, plots []string
	seeds                      uint64
	mode, out, operators       string
	parallel, port             int
}

func rootCommand() *cobra.Command {
	var m matrix
	cmd := &cobra.Command{
		Use:           "zinclb-experiment --scenario FILE... [--seeds N] [--version COMMIT...]",
		Short:         "Runs scenarios with several seeds and versions and reports the differences",
		Long:          "Runs scenarios with several seeds and versions and reports the differences.\nThe versions are compared with the first one; head is the working tree.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(*cobra.Command, []string) error { return m.run() },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&m.scenarios, "scenario", nil, "scenario files")
	flags.Uint64Var(&m.seeds, "seeds", 5, "number of seeds, starting at 1")
	flags.StringSliceVar(&m.versions, "version", []string{experiment.Head}, "commits, or head for the working tree")
	flags.StringVar(&m.mode, "mode", "fake", "fake for simulated time, or sockets")
	flags.StringVar(&m.out, "out", "target/experiment", "directory for results.jsonl, report.md and the plots")
	flags.StringVar(&m.operators, "operators", "", "file with operator settings for the controllers of head, in simulated time")
	flags.StringSliceVar(&m.plots, "plot", []string{"accept_p99_s", "tasks_lost"}, "figures to plot besides the objectives")
	flags.IntVar(&m.parallel, "parallel", runtime.NumCPU(), "number of runs in parallel; with sockets they share this machine")
	flags.IntVar(&m.port, "port", 7200, "first port, with sockets")
	cmd.AddCommand(singleRunCommand())
	return cmd
}

func singleRunCommand() *cobra.Command {
	var r experiment.Run
	cmd := &cobra.Command{
		Use:   "one --scenario FILE --seed N",
		Short: "Runs one scenario with one seed in simulated time and prints its result",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return json.NewEncoder(os.Stdout).Encode(experiment.RunInProcess(r, "", config.Defaults()))
		},
	}
	r.Version, r.Mode = experiment.Head, "fake"
	cmd.Flags().StringVar(&r.Scenario, "scenario", "", "scenario file")
	cmd.Flags().Uint64Var(&r.Seed, "seed", 1, "seed")
	return cmd
}

func (m *matrix) run() error {
	if len(m.scenarios) == 0 {
		return fmt.Errorf("--scenario is missing; see scenarios/ for examples")
	}
	if m.mode != "fake" && m.mode != "sockets" {
		return fmt.Errorf("--mode: %q is neither fake nor sockets", m.mode)
	}
	if m.seeds < 1 || m.seeds > 10_000 {
		return fmt.Errorf("--seeds: %d is not within 1 and 10000", m.seeds)
	}
	ops, err := config.LoadOperators(m.operators)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(m.out, 0o755); err != nil {
		return err
	}
	programs := map[string]string{}
	for _, version := range m.versions {
		switch {
		case m.mode == "sockets":
			programs[version], err = experiment.Build(version, "zinclb", m.out)
		case version != experiment.Head:
			programs[version], err = experiment.Build(version, "zinclb-experiment", m.out)
		}
		if err != nil {
			return err
		}
	}
	var cells []experiment.Run
	for _, path := range m.scenarios {
		for seed := uint64(1); seed <= m.seeds; seed++ {
			for _, version := range m.versions {
				i := len(cells)
				cells = append(cells, experiment.Run{Scenario: path, Seed: seed, Version: version, Mode: m.mode, Port: m.port + i*20%10_000, Dir: filepath.Join(m.out, fmt.Sprintf("run-%d", i))})
			}
		}
	}
	results := make([]experiment.Result, len(cells))
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 0
	slots := make(chan struct{}, max(1, m.parallel))
	for i, cell := range cells {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if m.mode == "fake" && cell.Version != experiment.Head {
				results[i] = experiment.RunProgram(cell, programs[cell.Version])
			} else {
				results[i] = experiment.RunInProcess(cell, programs[cell.Version], ops)
			}
			mu.Lock()
			defer mu.Unlock()
			if done++; done%10 == 0 || done == len(cells) {
				fmt.Fprintf(os.Stderr, "%d of %d runs\n", done, len(cells))
			}
		})
	}
	wg.Wait()
	return m.report(results)
}

// report writes the results, the plots and the report. It returns an error if a run failed or
// violated a rule.
func (m *matrix) report(results []experiment.Result) error {
	var text strings.Builder
	problems := 0
	fmt.Fprintf(&text, "# Experiment\n\n%d scenarios, %d seeds, versions %s, %s. Figures are from emulated machines.\n\n", len(m.scenarios), m.seeds, strings.Join(m.versions, ", "), m.mode)
	for _, r := range results {
		for _, problem := range append(r.Violations, r.FailureReason) {
			if problem != "" {
				problems++
				fmt.Fprintf(&text, "- **%s, seed %d, %s: %s**\n", r.Scenario, r.Seed, r.Version, problem)
			}
		}
	}
	if problems == 0 {
		text.WriteString("No rule was broken.\n")
	}
	if len(m.versions) > 1 {
		fmt.Fprintf(&text, "\n## Differences\n\n%s", experiment.Table(experiment.Compare(results, m.versions[0]), m.versions[0]))
	}
	files, err := experiment.Plot(results, m.out, m.plots)
	if err != nil {
		return err
	}
	text.WriteString("\n## Pictures\n\n")
	for _, file := range files {
		fmt.Fprintf(&text, "![%s](%s)\n", strings.TrimSuffix(filepath.Base(file), ".png"), filepath.Base(file))
	}
	if err := jsonlines.WriteFile(filepath.Join(m.out, "results.jsonl"), results); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(m.out, "report.md"), []byte(text.String()), 0o600); err != nil {
		return err
	}
	fmt.Println("wrote", filepath.Join(m.out, "report.md"))
	if problems > 0 {
		return fmt.Errorf("%d failures and rule violations; see the report", problems)
	}
	return nil
}
