package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/emulator/soak"
)

// soakCommand returns the command that executes randomly generated runs for a given time or number
// of seeds.
func soakCommand() *cobra.Command {
	var plan soak.Plan
	var minutes float64
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Executes random runs with pipelines, restarts and refusals in simulated time, and lists the seeds that fail",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			switch {
			case plan.Seeds < 1:
				return errors.New("--seeds must be positive")
			case plan.Parallel < 1:
				return errors.New("--jobs must be positive")
			case minutes < 0:
				return errors.New("--minutes must not be negative")
			}
			plan.TimeLimit = time.Duration(minutes * float64(time.Minute))
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			summary := plan.Run(ctx, os.Stdout)
			fmt.Printf("%d played from seed %d on, %d failed: %v\n", summary.Completed, plan.First, len(summary.Failed), summary.Failed)
			if len(summary.Failed) > 0 {
				return fmt.Errorf("%d runs failed", len(summary.Failed))
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&plan.First, "first", 1, "first seed")
	flags.Uint64Var(&plan.Seeds, "seeds", 1000, "number of seeds to run")
	flags.Float64Var(&minutes, "minutes", 0, "stop after this many minutes; 0 runs all seeds")
	flags.IntVar(&plan.Parallel, "jobs", runtime.NumCPU(), "number of runs in parallel")
	return cmd
}
