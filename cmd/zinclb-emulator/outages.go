package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/outages"
)

// outagesCommand returns the command that runs cases in which the state service refuses the leader,
// other controllers confirm cancellations, and then the state service is down for all controllers.
func outagesCommand() *cobra.Command {
	killed, confirmed, lost := 0, 0, 0
	return caseCommand("gaps", "Runs cancellations between refusals of the leader and a long outage of the state service in simulated time, and lists the cases that fall short",
		outages.AllCases,
		func(c outages.Case) (outages.Result, error) { return outages.Run(c, config.Defaults(), nil) },
		func(r outages.Result) {
			killed += r.Killed
			confirmed += r.Confirmed
			lost += r.LostWrites
		},
		func(s cases.Summary) {
			fmt.Printf("%d played, %d fell short, %d broke a rule; %d cancellations told within, %d writes lost, %d tasks that nobody cancelled ended with their lease\n",
				s.Run, s.WithShortfall, s.Violating, confirmed, lost, killed)
		})
}
