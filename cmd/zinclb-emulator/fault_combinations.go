package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/faultcombos"
)

// faultCombosCommand runs combinations of faults.
func faultCombosCommand() *cobra.Command {
	startsAfter, most := 0, 0
	return caseCommand("troubles", "Plays days on which troubles meet in fake time, and lists what falls short",
		faultcombos.AllCases,
		func(c faultcombos.Case) (faultcombos.Result, error) {
			return faultcombos.Run(c, config.Defaults(), nil)
		},
		func(r faultcombos.Result) {
			startsAfter += r.StartsAfter
			most = max(most, r.StartsAfter)
		},
		func(s cases.Summary) {
			fmt.Printf("%d played, %d fell short, %d broke a rule; %d tasks entered a machine after their cancellation was confirmed, at most %d on a day\n",
				s.Run, s.Short, s.Violating, startsAfter, most)
		})
}
