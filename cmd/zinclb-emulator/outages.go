package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/outages"
)

// outagesCommand plays days on which the leader is refused, others confirm
// cancellations, and then the state service is down for all.
func outagesCommand() *cobra.Command {
	var size, each, first, jobs int
	cmd := &cobra.Command{
		Use:   "gaps",
		Short: "Plays cancellations between a refused leader and a long outage in fake time, and lists what falls short",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := checkCaseFlags(size, each, first, jobs); err != nil {
				return err
			}
			var cases []outages.Case
			for i, c := range outages.AllCases(size) {
				if i >= first && (i-first)%each == 0 {
					cases = append(cases, c)
				}
			}
			short, broken, killed, told, lost := 0, 0, 0, 0, 0
			playAll(cases, jobs, func(c outages.Case) func() {
				r, err := outages.Run(c, config.Defaults(), nil)
				return func() {
					what := r.Shortfall()
					if err != nil {
						what = err.Error()
					}
					if len(r.Violations) > 0 {
						broken++
					}
					if what != "" {
						short++
						fmt.Printf("case %d, %s: %s\n", c.Number, c, what)
					}
					killed, told, lost = killed+r.Killed, told+r.Confirmed, lost+r.LostWrites
				}
			})
			fmt.Printf("%d played, %d fell short, %d broke a rule; %d cancellations told within, %d writes lost, %d tasks that nobody cancelled ended with their lease\n", len(cases), short, broken, told, lost, killed)
			if broken > 0 {
				return fmt.Errorf("%d cases broke a rule", broken)
			}
			return nil
		},
	}
	caseFlags(cmd, &size, &each, &first, &jobs)
	return cmd
}
