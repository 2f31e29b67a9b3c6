package load

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// TestRun submits jobs to a service that accepts some, refuses one, asks for a retry of one, and
// ends the accepted ones as done or cancelled. It checks that each outcome is counted, and that
// the latency of the retried job is measured from its intended time.
func TestRun(t *testing.T) {
	var mu sync.Mutex
	attempts := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var job wire.Job
		_ = json.NewDecoder(r.Body).Decode(&job)
		id := job.ID + strings.TrimPrefix(r.URL.Path, "/work/")
		mu.Lock()
		attempts[r.Method+job.ID]++
		attempt := attempts[r.Method+job.ID]
		mu.Unlock()
		switch {
		case strings.HasPrefix(job.ID, "bad"):
			w.WriteHeader(http.StatusUnprocessableEntity)
		case strings.HasPrefix(job.ID, "again") && attempt == 1:
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.Method == http.MethodPost:
			w.WriteHeader(http.StatusCreated)
		default:
			_ = json.NewEncoder(w).Encode(wire.JobAnswer{ID: id, State: map[bool]string{true: wire.Cancelled, false: wire.Done}[strings.Contains(id, "gone")]})
		}
	}))
	defer server.Close()
	var trace []Entry
	for i, id := range []string{"ok-1", "bad-1", "again-1", "gone-1", "ok-2"} {
		trace = append(trace, Entry{At: int64(i) * 1000, Job: wire.Job{ID: id, Tasks: 1}})
	}
	got := Run(trace, Options{Addr: strings.TrimPrefix(server.URL, "http://"), MaxInFlight: 10, Follow: true, Duration: 30 * time.Second})
	if got.Sent != 5 || got.Accepted != 4 || got.Refused != 1 || got.Retries != 1 || got.Done != 3 || got.Cancelled != 1 || got.Abandoned+got.Throttled != 0 {
		t.Errorf("got %s; want 5 sent, 4 accepted, 1 refused, 1 retry, 3 done, 1 withdrawn, none given up or held up", got)
	}
	if got.Accept.Max() < 1_000_000 || got.Accept.TotalCount() != 4 {
		t.Errorf("got %d latencies with a maximum of %d us; want 4, and at least 1000000 us for the retried submission", got.Accept.TotalCount(), got.Accept.Max())
	}
	got = Run(trace, Options{Addr: strings.TrimPrefix(server.URL, "http://"), MaxInFlight: 0, Duration: 10 * time.Second})
	if got.Throttled != 5 || got.Sent != 0 {
		t.Errorf("with no submissions in flight allowed: got %s; want 0 sent, 5 held up", got)
	}
}
