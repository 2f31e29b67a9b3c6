package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/outages"
)

// outagesCommand runs cases in which the leader is refused, others confirm cancellations,
// and then the state service is down for all.
func outagesCommand() *cobra.Command {
	killed, confirmed, lost := 0, 0, 0
	return caseCommand("gaps", "Plays cancellations between a refused leader and a long outage in fake time, and lists what falls short",
		outages.AllCases,
		func(c outages.Case) (outages.Result, error) { return outages.Run(c, config.Defaults(), nil) },
		func(r outages.Result) {
			killed += r.Killed
			confirmed += r.Confirmed
			lost += r.LostWrites
		},
		func(s cases.Summary) {
			fmt.Printf("%d played, %d fell short, %d broke a rule; %d cancellations told within, %d writes lost, %d tasks that nobody cancelled ended with their lease\n",
				s.Run, s.Short, s.Violating, confirmed, lost, killed)
		})
}
