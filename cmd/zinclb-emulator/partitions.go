package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/partitions"
)

// partitionsCommand runs partial network partitions, and lists those that the service did
// not get through as well as it could.
func partitionsCommand() *cobra.Command {
	ops := config.Defaults()
	serviceable := 0
	cmd := caseCommand("cuts", "Plays cuts that leave some links up in fake time, and lists what falls short",
		partitions.AllCases,
		func(c partitions.Case) (partitions.Result, error) { return partitions.Run(c, ops, nil) },
		func(r partitions.Result) {
			if r.Serviceable {
				serviceable++
			}
		},
		func(s cases.Summary) {
			fmt.Printf("%d played, in %d of them the service could go on, %d fell short, %d broke a rule\n", s.Run, serviceable, s.Short, s.Violating)
		})
	cmd.Flags().BoolVar(&ops.Reach, "reach", true, "whether leadership follows what controllers reach")
	return cmd
}
