package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/faultcombos"
)

// faultCombosCommand returns the command that runs combinations of faults.
func faultCombosCommand() *cobra.Command {
	startsAfter, maxStartsAfter := 0, 0
	return caseCommand("troubles", "Runs combinations of faults in simulated time, and lists the cases that fall short",
		faultcombos.AllCases,
		func(c faultcombos.Case) (faultcombos.Result, error) {
			return faultcombos.Run(c, config.Defaults(), nil)
		},
		func(r faultcombos.Result) {
			startsAfter += r.StartsAfterCancellation
			maxStartsAfter = max(maxStartsAfter, r.StartsAfterCancellation)
		},
		func(s cases.Summary) {
			fmt.Printf("%d played, %d fell short, %d broke a rule; %d tasks entered a machine after their cancellation was confirmed, at most %d on a day\n",
				s.Run, s.WithShortfall, s.Violating, startsAfter, maxStartsAfter)
		})
}
