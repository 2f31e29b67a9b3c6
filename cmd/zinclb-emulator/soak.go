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

// soakCommand plays drawn runs for as long as is asked for.
func soakCommand() *cobra.Command {
	var plan soak.Plan
	var minutes float64
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Plays drawn runs with pipelines, restarts and refusals in fake time, and lists the seeds that fail",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			switch {
			case plan.Seeds < 1:
				return errors.New("--seeds has to be positive")
			case plan.Parallel < 1:
				return errors.New("--jobs has to be positive")
			case minutes < 0:
				return errors.New("--minutes must not be negative")
			}
			plan.AtMost = time.Duration(minutes * float64(time.Minute))
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			summary := plan.Run(ctx, os.Stdout)
			fmt.Printf("%d played from seed %d on, %d failed: %v\n", summary.Played, plan.First, len(summary.Failed), summary.Failed)
			if len(summary.Failed) > 0 {
				return fmt.Errorf("%d runs failed", len(summary.Failed))
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&plan.First, "first", 1, "the first seed")
	flags.Uint64Var(&plan.Seeds, "seeds", 1000, "how many seeds to play")
	flags.Float64Var(&minutes, "minutes", 0, "stop after so many minutes; 0 plays all seeds")
	flags.IntVar(&plan.Parallel, "jobs", runtime.NumCPU(), "how many to play at once")
	return cmd
}
