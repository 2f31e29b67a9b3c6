package core

import (
	"fmt"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestSubmitWithDependencies checks which jobs a submitted job may depend on, and the replies to
// submissions.
func TestSubmitWithDependencies(t *testing.T) {
	service := job("service")
	service.Spec.Kind = jobstate.Service
	keys := map[string]any{formatKey: progressLogFormat, jobPrefix + "open": job("open"), endPrefix + "done": endDone, endPrefix + "cancelled": endCancelled, jobPrefix + "service": service}
	cases := []struct {
		name         string
		dependencies []string
		do           func(h *harness)
		want         ReplyCode
		reason       string
	}{
		{"unfinished job", []string{"open"}, nil, 201, ""},
		{"done job, only its end is stored", []string{"done"}, nil, 201, ""},
		{"cancelled job", []string{"open", "cancelled"}, nil, 201, ""},
		{"job never accepted", []string{"open", "other"}, nil, 422, "other was never accepted"},
		{"the job itself", []string{"new"}, nil, 422, "itself"},
		{"service", []string{"service"}, nil, 422, "service"},
		{"job accepted recently, not yet received by the watch", []string{"recent"}, func(h *harness) { h.store(jobPrefix+"recent", job("recent")) }, 201, ""},
		{"failed read of the end does not mean that it is absent", []string{"done"}, func(h *harness) { h.unreachable[endPrefix+"done"] = true }, 503, ""},
		{"not all controllers have this version", []string{"open"}, func(h *harness) { h.core.membership.activation = newActivation(&h.core.settings) }, 503, "version"},
		{"description exceeds the value limit", strings.Fields(strings.Repeat("open-"+strings.Repeat("x", 90)+" ", 90)), func(h *harness) {
			h.store(jobPrefix+"open-"+strings.Repeat("x", 90), job("open-"+strings.Repeat("x", 90)))
		}, 400, "bytes"},
		{"repeat of a known job with other contents", []string{"other"}, func(h *harness) { h.store(jobPrefix+"new", job("new")) }, 200, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, keys)
			h.advance(200_000)
			if tc.do != nil {
				tc.do(h)
			}
			reply := h.request(SubmitJob{Spec: job("new", tc.dependencies...).Spec})
			if reply.Status != tc.want || !strings.Contains(reply.Error, tc.reason) {
				t.Errorf("got status %d, error %q, want status %d, error with %q", reply.Status, reply.Error, tc.want, tc.reason)
			}
			if _, stored := h.keys[jobPrefix+"new"]; stored != (tc.want < 300) {
				t.Errorf("job stored: got %v, want %v", stored, tc.want < 300)
			}
		})
	}
}

// TestBlockedJobs checks the states of dependent jobs after their dependencies have ended, also
// after a restart.
func TestBlockedJobs(t *testing.T) {
	chain := map[string]any{formatKey: progressLogFormat, jobPrefix + "a": job("a"), jobPrefix + "b": job("b", "a"), jobPrefix + "c": job("c", "b"), jobPrefix + "d": job("d", "b", "c")}
	with := func(key string, v any) map[string]any {
		copied := map[string]any{}
		for k, v := range chain {
			copied[k] = v
		}
		if key == endPrefix+"a" {
			delete(copied, jobPrefix+"a")
		}
		copied[key] = v
		return copied
	}
	cases := []struct {
		name    string
		keys    map[string]any
		do      func(h *harness)
		want    string // states of b, c, d
		blocked string // jobs that are still blocked
	}{
		{"no job has ended", chain, nil, "queued queued queued", "bcd"},
		{"first job done, only its end is stored", with(endPrefix+"a", endDone), nil, "queued queued queued", "cd"},
		{"first job cancelled, only its end is stored", with(endPrefix+"a", endCancelled), nil, "cancelled cancelled cancelled", ""},
		{"first job cancelled by its user", chain, func(h *harness) { h.request(CancelJob{ID: "a"}) }, "cancelled cancelled cancelled", ""},
		{"middle job cancelled by its user", chain, func(h *harness) { h.request(CancelJob{ID: "c"}) }, "queued cancelled cancelled", "b"},
		{"unreadable end of the first job: no dependent is reported as unfinished", with(endPrefix+"a", endCancelled), func(h *harness) { h.unreachable[endPrefix+"a"] = true }, "", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, tc.keys)
			if tc.do != nil {
				tc.do(h)
			}
			if tc.want == "" {
				h.restart()
				if got := h.jobState("d"); got != "503" {
					t.Errorf("state of d: got %s, want 503", got)
				}
				return
			}
			h.advance(2 * second)
			if got := h.jobState("b") + " " + h.jobState("c") + " " + h.jobState("d"); got != tc.want {
				t.Errorf("states of b, c and d: got %s, want %s", got, tc.want)
			}
			blocked := ""
			for _, id := range []string{"b", "c", "d"} {
				if j := h.core.cache.jobs[id]; j != nil && j.IsBlocked() {
					blocked += id
				}
			}
			if blocked != tc.blocked {
				t.Errorf("blocked jobs: got %q, want %q", blocked, tc.blocked)
			}
			// A controller that starts from the stored state has to report the same states.
			h.restart()
			h.advance(second)
			if got := h.jobState("b") + " " + h.jobState("c") + " " + h.jobState("d"); got != tc.want {
				t.Errorf("states of b, c and d after a restart: got %s, want %s", got, tc.want)
			}
		})
	}
}

// TestCascade cancels the first of many dependent jobs, in chains and fans. All of them have to be
// reported as cancelled at once, and their ends have to be stored in time, also after a restart.
func TestCascade(t *testing.T) {
	const n = 1000
	id := func(i int) string { return fmt.Sprintf("j-%04d", i) }
	shapes := map[string]func(i int) []string{
		"deep": func(i int) []string { return []string{id(i - 1)} },
		"wide": func(int) []string { return []string{id(0)} },
		"both": func(i int) []string { return []string{id(i / 2), id(i / 3)} },
	}
	for name, dependencies := range shapes {
		t.Run(name, func(t *testing.T) {
			keys := map[string]any{formatKey: progressLogFormat, jobPrefix + id(0): job(id(0))}
			for i := 1; i < n; i++ {
				keys[jobPrefix+id(i)] = job(id(i), dependencies(i)...)
			}
			h := newHarness(t, keys)
			h.advance(3 * second)
			if !h.core.elector.isLeader() {
				t.Fatal("got a follower after 3 s, want the leader")
			}
			h.request(CancelJob{ID: id(0)})
			for i := range n {
				if got := h.jobState(id(i)); got != jobstate.Cancelled {
					t.Fatalf("state of %s: got %s, want %s", id(i), got, jobstate.Cancelled)
				}
			}
			// A crash before all ends are stored must not change the result.
			h.advance(second)
			delete(h.keys, LeaderKey)
			h.restart()
			h.advance(40 * second)
			for i := range n {
				if _, ok := h.keys[endPrefix+id(i)]; !ok {
					t.Fatalf("job %s: got no stored end, want one", id(i))
				}
				if _, ok := h.keys[jobPrefix+id(i)]; ok {
					t.Fatalf("ended job %s: got its key still stored, want it removed", id(i))
				}
			}
		})
	}
}
