// Command zinclb-load submits the jobs of a scenario, or a recorded trace, to a running zinclb at
// their intended times.
package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/emulator/scenario"
	"github.com/zinclb/zinclb/internal/jsonlines"
	"github.com/zinclb/zinclb/internal/load"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "zinclb-load:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	var path, trace, record string
	var seed uint64
	var maxSubmissions, firstNumber int
	var speed float64
	options := load.Options{}
	cmd := &cobra.Command{
		Use:   "zinclb-load --addr HOST:PORT (--scenario FILE | --trace FILE)",
		Short: "Submits a load in an open loop and reports the latencies",
		Long: "Submits a load in an open loop and reports the latencies.\nLatencies are measured from the intended time of a submission.\n" +
			"If the load goes to the emulator's address for users, its workers learn of the jobs.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			entries, err := readTrace(path, trace, seed, firstNumber)
			if err != nil {
				return err
			}
			if speed <= 0 {
				return fmt.Errorf("--speed: %v must be positive", speed)
			}
			if options.MaxInFlight < 1 || maxSubmissions < 1 {
				return fmt.Errorf("--open and --most: must be at least 1")
			}
			entries = entries[:min(len(entries), maxSubmissions)]
			for i := range entries {
				entries[i].At = int64(float64(entries[i].At) / speed)
			}
			if record != "" {
				return jsonlines.WriteFile(record, entries)
			}
			options.Progress = func(totals load.Totals) { fmt.Println(totals) }
			totals := load.Run(entries, options)
			fmt.Println(totals)
			fmt.Println("accepted after", load.Quantiles(totals.Accept))
			if options.Follow {
				fmt.Println("done after", load.Quantiles(totals.Complete))
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.Addr, "addr", "127.0.0.1:7100", "address for users of a controller, or of the emulator")
	flags.StringVar(&path, "scenario", "", "scenario file whose jobs are submitted")
	flags.StringVar(&trace, "trace", "", "file of a recorded trace, as JSON lines")
	flags.StringVar(&record, "record", "", "file to write the trace to instead of submitting it")
	flags.Uint64Var(&seed, "seed", 0, "seed, in place of the scenario's")
	flags.IntVar(&firstNumber, "first-id", 500_001, "number in the ID of a scenario's first job")
	flags.Float64Var(&speed, "speed", 1, "factor by which submissions are sped up")
	flags.IntVar(&maxSubmissions, "most", 10_000, "maximum number of submissions")
	flags.IntVar(&options.MaxInFlight, "open", 200, "maximum number of submissions in flight")
	flags.BoolVar(&options.Follow, "follow", false, "poll jobs until they have ended")
	flags.DurationVar(&options.Duration, "for", 10*time.Minute, "maximum duration of the run")
	return cmd
}

// readTrace builds a trace from the jobs of a scenario, or reads a recorded trace. It returns the
// entries sorted by time.
func readTrace(path, trace string, seed uint64, firstNumber int) (entries []load.Entry, err error) {
	switch {
	case (path == "") == (trace == ""):
		return nil, fmt.Errorf("exactly one of --scenario and --trace is required")
	case path != "":
		s, err := scenario.Load(path, seed)
		if err != nil {
			return nil, err
		}
		ids := map[string]string{}
		for i, job := range s.Jobs {
			ids[job.Spec.ID] = fmt.Sprintf("req-%06d", firstNumber+i)
		}
		for _, job := range s.Jobs {
			spec := job.Spec
			spec.ID = ids[spec.ID]
			spec.DependsOn = slices.Clone(spec.DependsOn)
			for k, dependency := range spec.DependsOn {
				spec.DependsOn[k] = ids[dependency]
			}
			entries = append(entries, load.Entry{At: job.At, Job: spec})
		}
	default:
		content, err := os.ReadFile(trace)
		if err != nil {
			return nil, fmt.Errorf("read trace: %w", err)
		}
		lines := bufio.NewScanner(bytes.NewReader(content))
		lines.Buffer(nil, 1<<20)
		for number := 1; lines.Scan(); number++ {
			var entry load.Entry
			if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
				return nil, fmt.Errorf("%s: line %d: not an entry with at_us and job: %w", trace, number, err)
			}
			if entry.Job.ID == "" || entry.At < 0 {
				return nil, fmt.Errorf("%s: line %d: not an entry with at_us and job", trace, number)
			}
			entries = append(entries, entry)
		}
		if err := lines.Err(); err != nil {
			return nil, fmt.Errorf("%s: %w", trace, err)
		}
	}
	slices.SortStableFunc(entries, func(a, b load.Entry) int { return cmp.Compare(a.At, b.At) })
	return entries, nil
}
