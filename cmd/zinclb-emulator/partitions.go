package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/partitions"
)

// partitionsCommand returns the command that runs the cases of partial network partitions, and lists
// those that fall short of their requirements.
func partitionsCommand() *cobra.Command {
	ops := config.Defaults()
	serviceable := 0
	cmd := caseCommand("cuts", "Runs partial network partitions in simulated time, and lists the cases that fall short",
		partitions.AllCases,
		func(c partitions.Case) (partitions.Result, error) { return partitions.Run(c, ops, nil) },
		func(r partitions.Result) {
			if r.Serviceable {
				serviceable++
			}
		},
		func(s cases.Summary) {
			fmt.Printf("%d played, in %d of them the service could go on, %d fell short, %d broke a rule\n", s.Run, serviceable, s.WithShortfall, s.Violating)
		})
	cmd.Flags().BoolVar(&ops.Reach, "reach", true, "hand leadership over to the controller that reaches more")
	return cmd
}
