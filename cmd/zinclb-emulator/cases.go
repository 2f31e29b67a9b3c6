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
	flags.IntVar(&f.size, "controllers", 3, "how many controllers there are, 2 to 7")
	flags.IntVar(&f.each, "each", 1, "play one case in so many")
	flags.IntVar(&f.first, "first", 0, "the first one to play")
	flags.IntVar(&f.jobs, "jobs", runtime.NumCPU(), "how many to play at once")
}

func (f *caseFlags) check() error {
	switch {
	case f.size < 2 || f.size > 7:
		return fmt.Errorf("--controllers: %d is not within 2 and 7", f.size)
	case f.each < 1 || f.first < 0 || f.jobs < 1:
		return errors.New("--each and --jobs have to be positive, --first not negative")
	}
	return nil
}

// caseCommand makes a command that runs enumerated cases and lists those that fall short.
// note is called with each result, report prints what there is to say at the end.
func caseCommand[C cases.Case, R cases.Result](
	use, short string, all func(size int) []C, run func(C) (R, error), note func(R), report func(cases.Summary),
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
			summary := cases.RunAll(selected, flags.jobs, os.Stdout, run, note)
			report(summary)
			if summary.Violating > 0 {
				return fmt.Errorf("%d cases broke a rule", summary.Violating)
			}
			return nil
		},
	}
	flags.register(cmd)
	return cmd
}
