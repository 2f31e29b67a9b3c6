package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/sweep"
	"github.com/zinclb/zinclb/internal/sweep/sweeppb"
)

// Output formats of sweeps and runs.
const (
	tableOutput = "table"
	jsonOutput  = "json"
)

// Layout of tables.
const (
	tableTabWidth  = 8
	tableColumnGap = 2
)

const (
	// pollInterval is the time between two status requests while waiting for a sweep.
	pollInterval = 5 * time.Second
	// runsPageSize is the number of runs per request.
	runsPageSize = 200
)

// sweepCommands returns the command sweep and its subcommands; see docs/sweeps.md.
func sweepCommands() *cobra.Command {
	cmd := &cobra.Command{Use: "sweep", Short: "Runs one job with many sets of values: check, expand, submit and follow"}
	output := cmd.PersistentFlags().String("output", tableOutput, "output format: table or json")
	cmd.PersistentPreRunE = func(*cobra.Command, []string) error {
		if *output != tableOutput && *output != jsonOutput {
			return fmt.Errorf("--output: %q is neither table nor json", *output)
		}
		return nil
	}
	cmd.AddCommand(sweepCheck(), sweepExpand(output), sweepSubmit(output), sweepStatus(output), sweepRuns(output), sweepCancel(output))
	return cmd
}

// readSweep reads and expands a sweep file. The files that the sweep file names must be in its
// directory or below.
func readSweep(path string) (*sweeppb.Sweep, *core.SweepPlan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	parsed, err := sweep.Parse(text)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	err = sweep.Resolve(parsed, func(name string) ([]byte, error) {
		if !filepath.IsLocal(name) {
			return nil, errors.New("not in the directory of the sweep file")
		}
		return os.ReadFile(filepath.Join(filepath.Dir(path), name))
	})
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	plan, err := api.ExpandSweep(parsed)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return parsed, plan, nil
}

func sweepCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Checks a sweep file, and prints how many runs it has", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			parsed, plan, err := readSweep(args[0])
			if err != nil {
				return err
			}
			stored, err := api.PackSweep(parsed)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: %d runs, %d at once, %d bytes to be stored, digest %s\n",
				plan.ID, len(plan.Specs), plan.MaxUnfinished, len(stored), plan.Digest)
			return err
		},
	}
}

// printRuns prints runs. If header is set, a table begins with a line of column names.
func printRuns(w io.Writer, output string, runs []api.RunResponse, header bool) error {
	if output == jsonOutput {
		encoder := json.NewEncoder(w)
		for _, run := range runs {
			if err := encoder.Encode(run); err != nil {
				return err
			}
		}
		return nil
	}
	var table strings.Builder
	if header {
		table.WriteString("RUN\tSTATUS\tJOB\tVALUES\n")
	}
	for _, run := range runs {
		merged := ""
		if len(run.Sets) > 1 {
			merged = fmt.Sprint(" sets ", run.Sets)
		}
		fmt.Fprintf(&table, "%d\t%s\t%s\t%s%s\n", run.Run, run.Status, run.ID, run.Values, merged)
	}
	aligned := tabwriter.NewWriter(w, 0, tableTabWidth, tableColumnGap, ' ', 0)
	if _, err := io.WriteString(aligned, table.String()); err != nil {
		return err
	}
	return aligned.Flush()
}

func sweepExpand(output *string) *cobra.Command {
	return &cobra.Command{
		Use: "expand FILE", Short: "Prints the runs of a sweep file without submitting them", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, plan, err := readSweep(args[0])
			if err != nil {
				return err
			}
			runs := make([]api.RunResponse, len(plan.Specs))
			for i, spec := range plan.Specs {
				runs[i] = api.NewRunResponse(core.SweepRun{
					Number: i,
					ID:     spec.ID,
					State:  core.RunStatePlanned,
					Values: plan.Values[i],
					Sets:   plan.Sets[i],
				})
			}
			return printRuns(cmd.OutOrStdout(), *output, runs, true)
		},
	}
}

// printSweep prints the state and the progress of a sweep.
func printSweep(w io.Writer, output string, state api.SweepResponse) error {
	if output == jsonOutput {
		return json.NewEncoder(w).Encode(state)
	}
	_, err := fmt.Fprintf(w, "%s: %s, %d of %d runs created, %d done, %d withdrawn\n", state.ID, state.Status, state.Created, state.Runs, state.Done, state.Withdrawn)
	return err
}

// errSweepCancelled is the error of a command that waited for a sweep which was cancelled.
var errSweepCancelled = errors.New("the sweep was withdrawn")

func sweepSubmit(output *string) *cobra.Command {
	cmd := &cobra.Command{Use: "submit FILE", Short: "Submits a sweep; submitting the same file again refers to the same sweep", Args: cobra.ExactArgs(1)}
	addr := addrFlag(cmd)
	wait := cmd.Flags().Bool("wait", false, "wait until the sweep has ended, and show its progress")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		parsed, _, err := readSweep(args[0])
		if err != nil {
			return err
		}
		body := sweep.Encode(parsed)
		if len(body) > api.MaxBodyBytes {
			return fmt.Errorf("%s: %d bytes with its values, at most %d can be sent", args[0], len(body), api.MaxBodyBytes)
		}
		var state api.SweepResponse
		if err := callForSweep(*addr, http.MethodPost, "/sweeps", body, &state); err != nil {
			return err
		}
		for *wait && state.Status != api.StatusDone && state.Status != api.StatusCancelled {
			if err := printSweep(cmd.ErrOrStderr(), tableOutput, state); err != nil {
				return err
			}
			time.Sleep(pollInterval)
			if err := callForSweep(*addr, http.MethodGet, "/sweeps/"+state.ID, nil, &state); err != nil {
				return err
			}
		}
		if err := printSweep(cmd.OutOrStdout(), *output, state); err != nil {
			return err
		}
		if *wait && state.Status == api.StatusCancelled {
			return errSweepCancelled
		}
		return nil
	}
	return cmd
}

// sweepStateCommand returns a command that sends a request about a sweep, to the sweep's path with
// pathSuffix, and prints the sweep's state.
func sweepStateCommand(output *string, use, short, method, pathSuffix string) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1)}
	addr := addrFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if !sweep.ValidID(args[0]) {
			return fmt.Errorf("%q is not a valid sweep id", args[0])
		}
		var state api.SweepResponse
		var body []byte
		if method == http.MethodPost {
			body = []byte(emptyBody)
		}
		if err := callForSweep(*addr, method, "/sweeps/"+args[0]+pathSuffix, body, &state); err != nil {
			return err
		}
		return printSweep(cmd.OutOrStdout(), *output, state)
	}
	return cmd
}

func sweepStatus(output *string) *cobra.Command {
	return sweepStateCommand(output, "status ID", "Shows the state and progress of a sweep", http.MethodGet, "")
}

func sweepCancel(output *string) *cobra.Command {
	return sweepStateCommand(output, "cancel ID", "Cancels a sweep: its unfinished runs will not be completed", http.MethodPost, "/withdraw")
}

func sweepRuns(output *string) *cobra.Command {
	cmd := &cobra.Command{Use: "runs ID", Short: "Lists a sweep's runs with their values and jobs", Args: cobra.ExactArgs(1)}
	addr := addrFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if !sweep.ValidID(args[0]) {
			return fmt.Errorf("%q is not a valid sweep id", args[0])
		}
		after := 0
		for first := true; ; first = false {
			var page api.RunPageResponse
			path := fmt.Sprintf("/sweeps/%s/runs?after=%d&most=%d", args[0], after, runsPageSize)
			if err := callForSweep(*addr, http.MethodGet, path, nil, &page); err != nil {
				return err
			}
			if err := printRuns(cmd.OutOrStdout(), *output, page.Runs, first); err != nil {
				return err
			}
			if page.Next <= after {
				return nil
			}
			after = page.Next
		}
	}
	return cmd
}
