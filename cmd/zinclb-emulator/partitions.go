package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/partitions"
)

// partitionsCommand plays cuts that leave some links up, and lists those that the
// service did not get through as well as it could.
func partitionsCommand() *cobra.Command {
	var size, each, first, jobs int
	ops := config.Defaults()
	cmd := &cobra.Command{
		Use:   "cuts",
		Short: "Plays cuts that leave some links up in fake time, and lists what falls short",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := checkCaseFlags(size, each, first, jobs); err != nil {
				return err
			}
			return playPartitions(partitions.EveryNth(partitions.AllCases(size), first, each), ops, jobs)
		},
	}
	caseFlags(cmd, &size, &each, &first, &jobs)
	cmd.Flags().BoolVar(&ops.Reach, "reach", true, "whether leadership follows what controllers reach")
	return cmd
}

func playPartitions(cases []partitions.Case, ops config.Operators, jobs int) error {
	short, could, broken := 0, 0, 0
	playAll(cases, jobs, func(c partitions.Case) func() {
		r, err := partitions.Run(c, ops, nil)
		return func() {
			if r.Serviceable {
				could++
			}
			if len(r.Violations) > 0 {
				broken++
			}
			what := r.Shortfall()
			if err != nil {
				what = err.Error()
			}
			if what != "" {
				short++
				fmt.Printf("case %d, %s: %s\n", c.Seed, c, what)
			}
		}
	})
	fmt.Printf("%d played, in %d of them the service could go on, %d fell short, %d broke a rule\n", len(cases), could, short, broken)
	if broken > 0 {
		return fmt.Errorf("%d cases broke a rule", broken)
	}
	return nil
}

// playAll plays cases, so many at once; what play returns tells how one went, and
// is called for one at a time.
func playAll[C any](cases []C, jobs int, play func(C) (tell func())) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	played, told := 0, time.Now()
	next := make(chan C)
	for range jobs {
		wait.Go(func() {
			for c := range next {
				tell := play(c)
				mu.Lock()
				played++
				tell()
				if time.Since(told) > 10*time.Second {
					told = time.Now()
					fmt.Printf("%d of %d played\n", played, len(cases))
				}
				mu.Unlock()
			}
		})
	}
	for _, c := range cases {
		next <- c
	}
	close(next)
	wait.Wait()
}
