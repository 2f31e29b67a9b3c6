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
	var most, first int
	var speed float64
	o := load.Options{}
	cmd := &cobra.Command{
		Use:   "zinclb-load --addr HOST:PORT (--scenario FILE | --trace FILE)",
		Short: "Submits a load in an open loop and reports the latencies",
		Long: "Submits a load in an open loop and reports the latencies.\nLatencies are measured from the intended time of a submission.\n" +
			"If the load goes to the emulator's address for users, its workers learn of the jobs.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			entries, err := readTrace(path, trace, seed, first)
			if err != nil {
				return err
			}
			if speed <= 0 {
				return fmt.Errorf("--speed: %v must be positive", speed)
			}
			if o.MaxInFlight < 1 || most < 1 {
				return fmt.Errorf("--open and --most: must be at least 1")
			}
			entries = entries[:min(len(entries), most)]
			for i := range entries {
				entries[i].At = int64(float64(entries[i].At) / speed)
			}
			if record != "" {
				return jsonlines.WriteFile(record, entries)
			}
			o.Progress = func(t load.Totals) { fmt.Println(t) }
			t := load.Run(entries, o)
			fmt.Println(t)
			fmt.Println("accepted after", load.Quantiles(t.Accept))
			if o.Follow {
				fmt.Println("done after", load.Quantiles(t.Complete))
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Addr, "addr", "127.0.0.1:7100", "address for users of a controller, or of the emulator")
	f.StringVar(&path, "scenario", "", "scenario file whose jobs are submitted")
	f.StringVar(&trace, "trace", "", "file of a recorded trace, as JSON lines")
	f.StringVar(&record, "record", "", "file to write the trace to instead of submitting it")
	f.Uint64Var(&seed, "seed", 0, "seed, in place of the scenario's")
	f.IntVar(&first, "first-id", 500_001, "number in the ID of a scenario's first job")
	f.Float64Var(&speed, "speed", 1, "factor by which submissions are sped up")
	f.IntVar(&most, "most", 10_000, "maximum number of submissions")
	f.IntVar(&o.MaxInFlight, "open", 200, "maximum number of submissions in flight")
	f.BoolVar(&o.Follow, "follow", false, "poll jobs until they have ended")
	f.DurationVar(&o.Duration, "for", 10*time.Minute, "maximum duration of the run")
	return cmd
}

// readTrace builds a trace from the jobs of a scenario, or reads a recorded trace. It returns the
// entries sorted by time.
func readTrace(path, trace string, seed uint64, first int) (entries []load.Entry, err error) {
	switch {
	case (path == "") == (trace == ""):
		return nil, fmt.Errorf("exactly one of --scenario and --trace is required")
	case path != "":
		s, err := scenario.Load(path, seed)
		if err != nil {
			return nil, err
		}
		ids := map[string]string{}
		for i, j := range s.Jobs {
			ids[j.Spec.ID] = fmt.Sprintf("req-%06d", first+i)
		}
		for _, j := range s.Jobs {
			spec := j.Spec
			spec.ID = ids[spec.ID]
			spec.DependsOn = slices.Clone(spec.DependsOn)
			for k, a := range spec.DependsOn {
				spec.DependsOn[k] = ids[a]
			}
			entries = append(entries, load.Entry{At: j.At, Job: spec})
		}
	default:
		b, err := os.ReadFile(trace)
		if err != nil {
			return nil, fmt.Errorf("read trace: %w", err)
		}
		lines := bufio.NewScanner(bytes.NewReader(b))
		lines.Buffer(nil, 1<<20)
		for n := 1; lines.Scan(); n++ {
			var e load.Entry
			if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
				return nil, fmt.Errorf("%s: line %d: not an entry with at_us and job: %w", trace, n, err)
			}
			if e.Job.ID == "" || e.At < 0 {
				return nil, fmt.Errorf("%s: line %d: not an entry with at_us and job", trace, n)
			}
			entries = append(entries, e)
		}
		if err := lines.Err(); err != nil {
			return nil, fmt.Errorf("%s: %w", trace, err)
		}
	}
	slices.SortStableFunc(entries, func(a, b load.Entry) int { return cmp.Compare(a.At, b.At) })
	return entries, nil
}
