package main

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/faultcombos"
)

// faultCombosCommand plays days on which troubles meet.
func faultCombosCommand() *cobra.Command {
	var size, each, first, jobs int
	cmd := &cobra.Command{
		Use:   "troubles",
		Short: "Plays days on which troubles meet in fake time, and lists what falls short",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := checkCaseFlags(size, each, first, jobs); err != nil {
				return err
			}
			short, broken, after, most := 0, 0, 0, 0
			cases := faultcombos.EveryNth(faultcombos.AllCases(size), first, each)
			playAll(cases, jobs, func(c faultcombos.Case) func() {
				r, err := faultcombos.Run(c, config.Defaults(), nil)
				return func() {
					what := r.Shortfall()
					if err != nil {
						what = err.Error()
					}
					if len(r.Violations) > 0 {
						broken++
					}
					after, most = after+r.StartsAfter, max(most, r.StartsAfter)
					if what != "" {
						short++
						fmt.Printf("case %d, %s: %s\n", c.Seed, c, what)
					}
				}
			})
			fmt.Printf("%d played, %d fell short, %d broke a rule; %d tasks entered a machine after their cancellation was confirmed, at most %d on a day\n", len(cases), short, broken, after, most)
			if broken > 0 {
				return fmt.Errorf("%d cases broke a rule", broken)
			}
			return nil
		},
	}
	caseFlags(cmd, &size, &each, &first, &jobs)
	return cmd
}

// caseFlags are those of the commands that play enumerated cases.
func caseFlags(cmd *cobra.Command, size, each, first, jobs *int) {
	f := cmd.Flags()
	f.IntVar(size, "controllers", 3, "how many controllers there are, 2 to 7")
	f.IntVar(each, "each", 1, "play one case in so many")
	f.IntVar(first, "first", 0, "the first one to play")
	f.IntVar(jobs, "jobs", runtime.NumCPU(), "how many to play at once")
}

func checkCaseFlags(size, each, first, jobs int) error {
	switch {
	case size < 2 || size > 7:
		return fmt.Errorf("--controllers: %d is not within 2 and 7", size)
	case each < 1 || first < 0 || jobs < 1:
		return fmt.Errorf("--each and --jobs have to be positive, --first not negative")
	}
	return nil
}
