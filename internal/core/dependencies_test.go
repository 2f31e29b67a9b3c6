package core

import (
	"fmt"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestSubmitWithDependencies has what a submission may depend on, and the replies.
func TestSubmitWithDependencies(t *testing.T) {
	service := job("service")
	service.Spec.Kind = jobstate.Service
	keys := map[string]any{formatKey: joined, jobPrefix + "open": job("open"), endPrefix + "done": endDone, endPrefix + "cancelled": cancelled, jobPrefix + "service": service}
	cases := []struct {
		name   string
		awaits []string
		do     func(h *harness)
		want   ReplyCode
		reason string
	}{
		{"an unfinished job", []string{"open"}, nil, 201, ""},
		{"one that is done and of which only the end is stored", []string{"done"}, nil, 201, ""},
		{"a cancelled one", []string{"open", "cancelled"}, nil, 201, ""},
		{"one never accepted", []string{"open", "other"}, nil, 422, "other was never accepted"},
		{"itself", []string{"new"}, nil, 422, "itself"},
		{"a service", []string{"service"}, nil, 422, "service"},
		{"one accepted a moment ago, which the watch has yet to bring", []string{"recent"}, func(h *harness) { h.store(jobPrefix+"recent", job("recent")) }, 201, ""},
		{"an end that can't be read is not one that isn't there", []string{"done"}, func(h *harness) { h.unreachable[endPrefix+"done"] = true }, 503, ""},
		{"before all controllers have this version", []string{"open"}, func(h *harness) { h.core.membership.activation = newActivation(&h.core.settings) }, 503, "version"},
		{"more than can ever be stored", strings.Fields(strings.Repeat("open-"+strings.Repeat("x", 90)+" ", 90)), func(h *harness) {
			h.store(jobPrefix+"open-"+strings.Repeat("x", 90), job("open-"+strings.Repeat("x", 90)))
		}, 400, "bytes"},
		{"a repeat of a known job with other contents", []string{"other"}, func(h *harness) { h.store(jobPrefix+"new", job("new")) }, 200, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, keys)
			h.advance(200_000)
			if tc.do != nil {
				tc.do(h)
			}
			r := h.request(SubmitJob{Spec: job("new", tc.awaits...).Spec})
			if r.Status != tc.want || !strings.Contains(r.Error, tc.reason) {
				t.Errorf("%d %q, want %d %q", r.Status, r.Error, tc.want, tc.reason)
			}
			if _, stored := h.keys[jobPrefix+"new"]; stored != (tc.want < 300) {
				t.Errorf("stored: %v", stored)
			}
		})
	}
}

// TestBlockedJobs follows jobs through the ends of those that they depend on.
func TestBlockedJobs(t *testing.T) {
	chain := map[string]any{formatKey: joined, jobPrefix + "a": job("a"), jobPrefix + "b": job("b", "a"), jobPrefix + "c": job("c", "b"), jobPrefix + "d": job("d", "b", "c")}
	with := func(key string, v any) map[string]any {
		m := map[string]any{}
		for k, v := range chain {
			m[k] = v
		}
		if key == endPrefix+"a" {
			delete(m, jobPrefix+"a")
		}
		m[key] = v
		return m
	}
	cases := []struct {
		name    string
		keys    map[string]any
		do      func(h *harness)
		want    string // states of b, c, d
		waiting string // those that wait still
	}{
		{"nothing ends", chain, nil, "queued queued queued", "bcd"},
		{"the first is done, only its end is left", with(endPrefix+"a", endDone), nil, "queued queued queued", "cd"},
		{"the first is cancelled, only its end is left", with(endPrefix+"a", cancelled), nil, "cancelled cancelled cancelled", ""},
		{"the first is cancelled by its user", chain, func(h *harness) { h.request(CancelJob{ID: "a"}) }, "cancelled cancelled cancelled", ""},
		{"one between is", chain, func(h *harness) { h.request(CancelJob{ID: "c"}) }, "queued cancelled cancelled", "b"},
		{"the end of the first can't be read: no job may be called unfinished", with(endPrefix+"a", cancelled), func(h *harness) { h.unreachable[endPrefix+"a"] = true }, "", ""},
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
					t.Errorf("the state is %s", got)
				}
				return
			}
			h.advance(2 * second)
			if got := h.jobState("b") + " " + h.jobState("c") + " " + h.jobState("d"); got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
			waiting := ""
			for _, id := range []string{"b", "c", "d"} {
				if j := h.core.cache.jobs[id]; j != nil && j.IsBlocked() {
					waiting += id
				}
			}
			if waiting != tc.waiting {
				t.Errorf("%q wait, want %q", waiting, tc.waiting)
			}
			// A controller that starts from what is stored comes to the same.
			h.restart()
			h.advance(second)
			if got := h.jobState("b") + " " + h.jobState("c") + " " + h.jobState("d"); got != tc.want {
				t.Errorf("after a start: %s, want %s", got, tc.want)
			}
		})
	}
}

// TestCascade cancels the first of many jobs: all users see it at once, and
// the ends are stored in time, in chains and in fans.
func TestCascade(t *testing.T) {
	const n = 1000
	id := func(i int) string { return fmt.Sprintf("j-%04d", i) }
	shapes := map[string]func(i int) []string{
		"deep": func(i int) []string { return []string{id(i - 1)} },
		"wide": func(int) []string { return []string{id(0)} },
		"both": func(i int) []string { return []string{id(i / 2), id(i / 3)} },
	}
	for name, awaits := range shapes {
		t.Run(name, func(t *testing.T) {
			keys := map[string]any{formatKey: joined, jobPrefix + id(0): job(id(0))}
			for i := 1; i < n; i++ {
				keys[jobPrefix+id(i)] = job(id(i), awaits(i)...)
			}
			h := newHarness(t, keys)
			h.advance(3 * second)
			if !h.core.elector.isLeader() {
				t.Fatal("does not lead")
			}
			h.request(CancelJob{ID: id(0)})
			for i := range n {
				if got := h.jobState(id(i)); got != jobstate.Cancelled {
					t.Fatalf("%s is %s", id(i), got)
				}
			}
			// A crash halfway changes nothing.
			h.advance(second)
			delete(h.keys, LeaderKey)
			h.restart()
			h.advance(40 * second)
			for i := range n {
				if _, ok := h.keys[endPrefix+id(i)]; !ok {
					t.Fatalf("the end of %s is not stored", id(i))
				}
				if _, ok := h.keys[jobPrefix+id(i)]; ok {
					t.Fatalf("%s is not removed", id(i))
				}
			}
		})
	}
}
