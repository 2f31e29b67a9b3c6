package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/emulator/cases"
)

// caseFlags are the flags of the commands that run enumerated cases.
type caseFlags struct{ size, each, first, jobs int }

// register adds the flags to a command.
func (f *caseFlags) register(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.IntVar(&f.size, "controllers", 3, "number of controllers, 2 to 7")
	flags.IntVar(&f.each, "each", 1, "run every n-th case only")
	flags.IntVar(&f.first, "first", 0, "index of the first case to run")
	flags.IntVar(&f.jobs, "jobs", runtime.NumCPU(), "number of cases to run in parallel")
}

// check returns an error that names a flag with an invalid value.
func (f *caseFlags) check() error {
	switch {
	case f.size < 2 || f.size > 7:
		return fmt.Errorf("--controllers: %d is not within 2 and 7", f.size)
	case f.each < 1 || f.first < 0 || f.jobs < 1:
		return errors.New("--each and --jobs have to be positive, --first not negative")
	}
	return nil
}

// caseCommand returns a command that runs enumerated cases and prints those that fall short of
// their requirements. It calls onResult with each result, one at a time, and report with the
// summary at the end.
func caseCommand[C cases.Case, R cases.Result](
	use, short string, all func(size int) []C, run func(C) (R, error), onResult func(R), report func(cases.Summary),
) *cobra.Command {
	var flags caseFlags
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			selected := cases.EveryNth(all(flags.size), flags.first, flags.each)
			summary := cases.RunAll(selected, flags.jobs, os.Stdout, run, onResult)
			report(summary)
			if summary.Violating > 0 {
				return fmt.Errorf("%d cases violated a rule", summary.Violating)
			}
			return nil
		},
	}
	flags.register(cmd)
	return cmd
}
