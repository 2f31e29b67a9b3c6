package soak

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/faketime"
)

// progressInterval is how often a soak prints how far it is.
const progressInterval = time.Minute

// Result is what came of one run.
type Result struct {
	Seed uint64
	// Violations are the rules that it broke, a line each; Unfinished are the jobs that were
	// accepted and have not ended.
	Violations, Unfinished []string
	// Err says why the run could not be played.
	Err error
}

// Failed says whether anything is wrong with the run.
func (r *Result) Failed() bool {
	return r.Err != nil || len(r.Violations) > 0 || len(r.Unfinished) > 0
}

func (r *Result) String() string {
	return fmt.Sprintf("seed %d: broken %q, not over %v, error %v", r.Seed, r.Violations, r.Unfinished, r.Err)
}

// Play plays the run of a seed.
func Play(seed uint64) Result {
	cluster, err := faketime.Run(Draw(seed), faketime.Options{Operators: config.Defaults()})
	if err != nil {
		return Result{Seed: seed, Err: err}
	}
	return Result{Seed: seed, Violations: cluster.Violations(), Unfinished: cluster.Environment.Unfinished()}
}

// Plan says which seeds a soak plays, and for how long.
type Plan struct {
	First, Seeds uint64
	// AtMost ends the soak early; 0 plays all seeds.
	AtMost time.Duration
	// Parallel is how many runs are played at once.
	Parallel int
}

// Summary is what came of a soak.
type Summary struct {
	Played uint64
	Failed []uint64 // seeds, in order
}

// Run plays a soak. It prints each run that fails when it does, and a line a minute.
func (p Plan) Run(ctx context.Context, out io.Writer) Summary {
	if p.AtMost > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.AtMost)
		defer cancel()
	}
	seeds := make(chan uint64)
	go func() {
		defer close(seeds)
		for i := range p.Seeds {
			select {
			case seeds <- p.First + i:
			case <-ctx.Done():
				return
			}
		}
	}()
	report := progress{out: out, printedAt: time.Now(), total: p.Seeds}
	var workers sync.WaitGroup
	for range p.Parallel {
		workers.Go(func() {
			for seed := range seeds {
				report.add(Play(seed))
			}
		})
	}
	workers.Wait()
	slices.Sort(report.summary.Failed)
	return report.summary
}

// progress counts the runs of a soak and prints how it goes.
type progress struct {
	mu        sync.Mutex
	out       io.Writer
	printedAt time.Time
	total     uint64
	summary   Summary
}

func (p *progress) add(result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.summary.Played++
	if result.Failed() {
		p.summary.Failed = append(p.summary.Failed, result.Seed)
		_, _ = fmt.Fprintln(p.out, &result)
	}
	if time.Since(p.printedAt) >= progressInterval {
		p.printedAt = time.Now()
		_, _ = fmt.Fprintf(p.out, "%d of %d played, %d failed\n", p.summary.Played, p.total, len(p.summary.Failed))
	}
}
