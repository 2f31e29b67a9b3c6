package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/httpwire"
	"github.com/zinclb/zinclb/internal/sweep"
	"github.com/zinclb/zinclb/internal/sweep/sweeppb"
)

// sweepCommands are those of docs/sweeps.md.
func sweepCommands() *cobra.Command {
	cmd := &cobra.Command{Use: "sweep", Short: "One job for many sets of values: check, expand, submit and follow"}
	output := cmd.PersistentFlags().String("output", "table", "table for people, json for programs")
	cmd.PersistentPreRunE = func(*cobra.Command, []string) error {
		if *output != "table" && *output != "json" {
			return fmt.Errorf("--output: %q is neither table nor json", *output)
		}
		return nil
	}
	cmd.AddCommand(sweepCheck(), sweepExpand(output), sweepSubmit(output), sweepStatus(output), sweepRuns(output), sweepCancel(output))
	return cmd
}

// readSweep reads a sweep file, and the files that it names from beside it.
func readSweep(path string) (*sweeppb.Sweep, *core.SweepPlan, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	s, err := sweep.Parse(b)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	err = sweep.Resolve(s, func(name string) ([]byte, error) {
		if !filepath.IsLocal(name) {
			return nil, errors.New("not a file beside the sweep's")
		}
		return os.ReadFile(filepath.Join(filepath.Dir(path), name))
	})
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	plan, err := api.ExpandSweep(s)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, plan, nil
}

func sweepCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Says whether a sweep file is good, and how many runs it has", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, plan, err := readSweep(args[0])
			if err != nil {
				return err
			}
			stored, err := api.PackSweep(s)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d runs, %d at once, %d bytes to be stored, digest %s\n", plan.ID, len(plan.Specs), plan.MaxUnfinished, len(stored), plan.Digest)
			return nil
		},
	}
}

func printRuns(w io.Writer, output string, runs []api.RunResponse, head bool) error {
	if output == "json" {
		for _, r := range runs {
			b, err := json.Marshal(r)
			if err != nil {
				return err
			}
			fmt.Fprintf(w, "%s\n", b)
		}
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if head {
		fmt.Fprintln(t, "RUN\tSTATUS\tJOB\tVALUES")
	}
	for _, r := range runs {
		merged := ""
		if len(r.Sets) > 1 {
			merged = fmt.Sprint(" sets ", r.Sets)
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%s%s\n", r.Run, r.Status, r.ID, r.Values, merged)
	}
	return t.Flush()
}

func sweepExpand(output *string) *cobra.Command {
	return &cobra.Command{
		Use: "expand FILE", Short: "Prints the runs of a sweep file, and submits nothing", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, plan, err := readSweep(args[0])
			if err != nil {
				return err
			}
			runs := make([]api.RunResponse, len(plan.Specs))
			for i, s := range plan.Specs {
				runs[i] = api.NewRunResponse(core.SweepRun{Number: i, ID: s.ID, State: core.RunStatePlanned, Values: plan.Values[i], Sets: plan.Sets[i]})
			}
			return printRuns(cmd.OutOrStdout(), *output, runs, true)
		},
	}
}

// permanentError is an answer that is not to be tried again as it is.
type permanentError struct{ error }

// request asks a controller; a refusal by status 503 or 429, or no answer, may be
// tried again after the time it gives.
func request(addr, method, path string, body []byte, to any) (again time.Duration, err error) {
	m, err := httpwire.NewClient(addr, 1, 4<<20).Do(method, path, body, 30*time.Second)
	if err != nil {
		return time.Second, err
	}
	if m.Status >= 300 {
		var e struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(m.Body, &e) != nil || e.Error == "" {
			e.Error = "no reason given"
		}
		err := fmt.Errorf("%s answered %d: %s", addr, m.Status, e.Error)
		if m.Status == 503 || m.Status == 429 || m.Status == 504 {
			after, _ := strconv.Atoi(m.Get("retry-after"))
			return time.Duration(max(after, 1)) * time.Second, err
		}
		return 0, permanentError{err}
	}
	if err := json.Unmarshal(m.Body, to); err != nil {
		return 0, fmt.Errorf("%s: answer can't be read: %w", addr, err)
	}
	return 0, nil
}

// retry asks again until there is an answer, for as long as patience says.
func retry(patience time.Duration, ask func() (time.Duration, error)) error {
	until := time.Now().Add(patience)
	for {
		again, err := ask()
		var final permanentError
		if err == nil || errors.As(err, &final) || time.Now().Add(again).After(until) {
			return err
		}
		time.Sleep(again)
	}
}

// retryTimeout is how long a command goes on asking a service that does not answer.
const retryTimeout = 60 * time.Second

func printSweep(w io.Writer, output string, s api.SweepResponse) error {
	if output == "json" {
		b, err := json.Marshal(s)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "%s\n", b)
		return err
	}
	_, err := fmt.Fprintf(w, "%s: %s, %d of %d runs created, %d done, %d withdrawn\n", s.ID, s.Status, s.Created, s.Runs, s.Done, s.Withdrawn)
	return err
}

// errSweepCancelled ends a command that waited for a sweep that was withdrawn.
var errSweepCancelled = errors.New("the sweep was withdrawn")

func sweepSubmit(output *string) *cobra.Command {
	cmd := &cobra.Command{Use: "submit FILE", Short: "Submits a sweep; submitted again it is the same one", Args: cobra.ExactArgs(1)}
	addr := addrFlag(cmd)
	wait := cmd.Flags().Bool("wait", false, "wait until it is over, and show how far it has come")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		s, _, err := readSweep(args[0])
		if err != nil {
			return err
		}
		body := sweep.Encode(s)
		if len(body) > api.MaxBodyBytes {
			return fmt.Errorf("%s: %d bytes with its values, and %d can be sent", args[0], len(body), api.MaxBodyBytes)
		}
		var st api.SweepResponse
		if err := retry(retryTimeout, func() (time.Duration, error) { return request(*addr, "POST", "/sweeps", body, &st) }); err != nil {
			return err
		}
		for *wait && st.Status != "done" && st.Status != "withdrawn" {
			if err := printSweep(cmd.ErrOrStderr(), "table", st); err != nil {
				return err
			}
			time.Sleep(5 * time.Second)
			if err := retry(retryTimeout, func() (time.Duration, error) { return request(*addr, "GET", "/sweeps/"+st.ID, nil, &st) }); err != nil {
				return err
			}
		}
		if err := printSweep(cmd.OutOrStdout(), *output, st); err != nil {
			return err
		}
		if *wait && st.Status == "withdrawn" {
			return errSweepCancelled
		}
		return nil
	}
	return cmd
}

// sweepStateCommand is a command that asks about a sweep and prints its state.
func sweepStateCommand(output *string, use, short, method, verb string) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1)}
	addr := addrFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if !sweep.ValidID(args[0]) {
			return fmt.Errorf("%q is no id of a sweep", args[0])
		}
		var st api.SweepResponse
		var body []byte
		if method == "POST" {
			body = []byte("{}")
		}
		if err := retry(retryTimeout, func() (time.Duration, error) { return request(*addr, method, "/sweeps/"+args[0]+verb, body, &st) }); err != nil {
			return err
		}
		return printSweep(cmd.OutOrStdout(), *output, st)
	}
	return cmd
}

func sweepStatus(output *string) *cobra.Command {
	return sweepStateCommand(output, "status ID", "Shows how far a sweep has come", "GET", "")
}

func sweepCancel(output *string) *cobra.Command {
	return sweepStateCommand(output, "cancel ID", "Withdraws a sweep: what is not done never will be", "POST", "/withdraw")
}

func sweepRuns(output *string) *cobra.Command {
	cmd := &cobra.Command{Use: "runs ID", Short: "Lists a sweep's runs with their values and jobs", Args: cobra.ExactArgs(1)}
	addr := addrFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if !sweep.ValidID(args[0]) {
			return fmt.Errorf("%q is no id of a sweep", args[0])
		}
		after := 0
		for first := true; ; first = false {
			var page api.RunPageResponse
			path := fmt.Sprintf("/sweeps/%s/runs?after=%d&most=200", args[0], after)
			if err := retry(retryTimeout, func() (time.Duration, error) { return request(*addr, "GET", path, nil, &page) }); err != nil {
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
