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

// progressInterval is the minimum time between two progress lines.
const progressInterval = time.Minute

// Result is the result of one run.
type Result struct {
	Seed uint64
	// Violations are the rule violations, one per line. Unfinished are the jobs that were
	// accepted and have not ended.
	Violations, Unfinished []string
	// Err is the error if the run could not be executed.
	Err error
}

// Failed reports whether the run had an error, a violation or an unfinished job.
func (r *Result) Failed() bool {
	return r.Err != nil || len(r.Violations) > 0 || len(r.Unfinished) > 0
}

func (r *Result) String() string {
	return fmt.Sprintf("seed %d: rules violated %q, unfinished jobs %v, error %v", r.Seed, r.Violations, r.Unfinished, r.Err)
}

// RunSeed runs the configuration of a seed.
func RunSeed(seed uint64) Result {
	cluster, err := faketime.Run(RandomConfig(seed), faketime.Options{Operators: config.Defaults()})
	if err != nil {
		return Result{Seed: seed, Err: err}
	}
	return Result{Seed: seed, Violations: cluster.Violations(), Unfinished: cluster.Environment.Unfinished()}
}

// Plan contains the seeds of a soak and its time limit.
type Plan struct {
	First, Seeds uint64
	// TimeLimit is the time after which no further run is started; 0 means no limit.
	TimeLimit time.Duration
	// Parallel is the number of concurrent runs.
	Parallel int
}

// Summary is the result of a soak.
type Summary struct {
	Completed uint64
	Failed    []uint64 // seeds of the failed runs, in ascending order
}

// Run runs a soak. It prints each failed run when it ends, and a progress line at most once
// a minute.
func (p Plan) Run(ctx context.Context, out io.Writer) Summary {
	if p.TimeLimit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.TimeLimit)
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
	var runners sync.WaitGroup
	for range p.Parallel {
		runners.Go(func() {
			for seed := range seeds {
				report.add(RunSeed(seed))
			}
		})
	}
	runners.Wait()
	slices.Sort(report.summary.Failed)
	return report.summary
}

// progress collects the results of a soak and prints its progress.
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
	p.summary.Completed++
	if result.Failed() {
		p.summary.Failed = append(p.summary.Failed, result.Seed)
		_, _ = fmt.Fprintln(p.out, &result)
	}
	if time.Since(p.printedAt) >= progressInterval {
		p.printedAt = time.Now()
		_, _ = fmt.Fprintf(p.out, "%d of %d runs completed, %d failed\n", p.summary.Completed, p.total, len(p.summary.Failed))
	}
}
