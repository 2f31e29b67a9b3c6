// Package load submits jobs in an open loop: at their intended times, regardless of the state of
// earlier submissions. It measures latencies from the intended time, so that a stall of the
// service shows in all submissions that were due during the stall.
package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// Entry is a submission of a trace. At is its intended time in microseconds since the start of
// the run.
type Entry struct {
	At  int64    `json:"at_us"`
	Job wire.Job `json:"job"`
}

// The timeouts and intervals of users, as the protocol defines them.
const (
	submitTimeout  = 5 * time.Second
	submitDeadline = 60 * time.Second
	pollInterval   = 5 * time.Second
	maxRetryDelay  = 30 * time.Second
)

// maxTrackedMicros is the upper bound of the histograms, in microseconds.
const maxTrackedMicros = 600_000_000

// Options configure a run.
type Options struct {
	Addr string
	// MaxInFlight is the maximum number of submissions in flight. A submission beyond it is
	// not sent, and counted as throttled.
	MaxInFlight int
	// Follow makes the run poll accepted jobs until they have ended, or Duration is over.
	Follow   bool
	Duration time.Duration
	// Progress, if set, is called every ten seconds.
	Progress func(Totals)
}

// Totals are the results of a run.
type Totals struct {
	// Abandoned is the number of submissions that were neither accepted nor refused, and not
	// retried because the next attempt would have come after submitDeadline or the end of the
	// run.
	Sent, Accepted, Refused, Abandoned, Throttled, Done, Cancelled, Retries int
	// Accept and Complete are the latencies until a job was accepted and until it was done,
	// in microseconds from the intended time.
	Accept, Complete *hdrhistogram.Histogram
}

// runner is a run in progress. mu guards totals.
type runner struct {
	Options
	client *http.Client
	start  time.Time
	mu     sync.Mutex
	totals Totals
	stop   chan struct{}
}

// Run submits a trace, which has to be sorted by time, and returns the results.
func Run(trace []Entry, o Options) Totals {
	r := &runner{
		Options: o, start: time.Now(), stop: make(chan struct{}),
		client: &http.Client{Timeout: submitTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	r.totals.Accept, r.totals.Complete = hdrhistogram.New(1, maxTrackedMicros, 3), hdrhistogram.New(1, maxTrackedMicros, 3)
	endTimer := time.AfterFunc(o.Duration, func() { close(r.stop) })
	defer endTimer.Stop()
	if o.Progress != nil {
		tick := time.NewTicker(10 * time.Second)
		defer tick.Stop()
		go func() {
			for {
				select {
				case <-tick.C:
					r.update(func(t *Totals) { o.Progress(*t) })
				case <-r.stop:
					return
				}
			}
		}()
	}
	slots := make(chan struct{}, o.MaxInFlight)
	var wg sync.WaitGroup
	for _, e := range trace {
		if !r.sleep(time.Until(r.start.Add(time.Duration(e.At) * time.Microsecond))) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			r.update(func(t *Totals) { t.Throttled++ })
			continue
		}
		wg.Go(func() {
			accepted := r.submit(e)
			<-slots
			if accepted && o.Follow {
				r.follow(e)
			}
		})
	}
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totals
}

func (r *runner) update(f func(*Totals)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.totals)
}

// sleep waits for d or until the run ends, and reports whether the run is still in progress.
func (r *runner) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.stop:
		return false
	}
}

// latencyOf returns the time since the intended time of an entry, in microseconds, limited to the
// range of the histograms.
func (r *runner) latencyOf(e Entry) int64 {
	return min(max(time.Since(r.start).Microseconds()-e.At, 1), maxTrackedMicros)
}

// submit submits an entry, with retries for up to submitDeadline, and reports whether it was
// accepted.
func (r *runner) submit(e Entry) bool {
	body, err := json.Marshal(&e.Job)
	if err != nil {
		panic(err) // plain structs always encode
	}
	r.update(func(t *Totals) { t.Sent++ })
	for firstAttempt := time.Now(); ; {
		status, wait := r.post(body)
		switch status {
		case 200, 201:
			r.update(func(t *Totals) {
				t.Accepted++
				_ = t.Accept.RecordValue(r.latencyOf(e)) // within the range of the histogram
			})
			return true
		case 400, 422:
			r.update(func(t *Totals) { t.Refused++ })
			return false
		}
		if time.Since(firstAttempt)+wait > submitDeadline || !r.sleep(wait) {
			r.update(func(t *Totals) { t.Abandoned++ })
			return false
		}
		r.update(func(t *Totals) { t.Retries++ })
	}
}

// post sends a submission. It returns the status code (0 if there was no response) and the delay
// before a retry.
func (r *runner) post(body []byte) (int, time.Duration) {
	response, err := r.client.Post("http://"+r.Addr+"/work", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, time.Second
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	retryAfter, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return response.StatusCode, min(max(time.Second, time.Duration(retryAfter)*time.Second), maxRetryDelay)
}

// follow polls a job until it has ended.
func (r *runner) follow(e Entry) {
	for r.sleep(pollInterval) {
		response, err := r.client.Get("http://" + r.Addr + "/work/" + e.Job.ID)
		if err != nil {
			continue
		}
		var answer wire.JobAnswer
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || answer.State != wire.Done && answer.State != wire.Cancelled {
			continue
		}
		r.update(func(t *Totals) {
			if answer.State == wire.Cancelled {
				t.Cancelled++
				return
			}
			t.Done++
			_ = t.Complete.RecordValue(r.latencyOf(e)) // within the range of the histogram
		})
		return
	}
}

// String formats the totals as one line, without the latencies.
func (t Totals) String() string {
	return fmt.Sprintf("%d sent, %d accepted, %d refused, %d given up, %d held up, %d retries, %d done, %d withdrawn", t.Sent, t.Accepted, t.Refused, t.Abandoned, t.Throttled, t.Retries, t.Done, t.Cancelled)
}

// Quantiles formats the quantiles of a histogram of microseconds, in milliseconds.
func Quantiles(h *hdrhistogram.Histogram) string {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms", ms(50), ms(95), ms(99), float64(h.Max())/1000)
}
