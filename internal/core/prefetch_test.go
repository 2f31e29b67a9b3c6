package core

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestPrefetchSources: the tasks of a finished gang that sets one_zone carry their
// image in one zone at a time, as its rule holds for them as for any start.
func TestPrefetchSources(t *testing.T) {
	cases := []struct {
		name    string
		kind    jobstate.Kind
		oneZone bool
		spread  bool
		want    string // for each of the zones in turn, with none ending
	}{
		{"a gang of one zone", jobstate.Gang, true, false, "a:true b:false a:true b:false "},
		{"an array", jobstate.Array, false, false, "a:true b:true a:true b:true "},
		{"a job that is to be spread carries nothing", jobstate.Array, false, true, ""},
		{"nor does a service", jobstate.Service, false, false, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newLeaderHarness(t)
			r.c.prefetcher.addPrefetchSources(&jobstate.Spec{ID: "g", Image: "im", Kind: tc.kind, Tasks: 4, OneZone: tc.oneZone, Spread: tc.spread})
			got := ""
			for i, s := range r.c.elector.leadership.prefetch.sources["im"] {
				m := &fleet.Machine{Name: fmt.Sprint("m", i), Zone: string(rune('a' + i%2))}
				may := s.mayRunIn(m.Zone)
				got += fmt.Sprintf("%s:%v ", m.Zone, may)
				if may {
					s.start(m)
					if s.mayRunIn(m.Zone) {
						t.Error("one task on two machines")
					}
				}
			}
			if got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
			for _, s := range r.c.elector.leadership.prefetch.sources["im"] {
				if s.machine != "" {
					s.end()
				}
			}
			for _, s := range r.c.elector.leadership.prefetch.sources["im"] {
				if !s.mayRunIn("b") {
					t.Error("all have ended, and may go anywhere")
				}
			}
		})
	}
}

// TestImageHints: what one leader leaves to the next fits the state service's
// values at any size, and a finished job is one source even if two values
// name it, as two would start a task on two machines.
func TestImageHints(t *testing.T) {
	for _, machines := range []int{3, 400, 2000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			r := newLeaderHarness(t)
			r.c.settings.State.ValueKB = 8
			for k := range 20 {
				r.c.prefetcher.noteImageDemand(&jobstate.Spec{Image: fmt.Sprint("im-", k), Tasks: 1})
			}
			for i := range machines {
				m := r.c.workers.getOrAddMachine(fmt.Sprintf("host-%06d", i))
				for k := range 20 {
					if (i+k)%3 == 0 {
						m.RecordImageUse(fmt.Sprint("im-", k), 5000, 1)
					}
				}
			}
			for k := range 20 {
				r.c.prefetcher.addPrefetchSources(&jobstate.Spec{ID: fmt.Sprint("job-", k), Image: fmt.Sprint("im-", k), Kind: jobstate.Array, Tasks: 2})
			}
			images := r.c.prefetcher.mostWantedImages()
			parts := 1 + machines*machineBytes/6000
			next := newLeaderHarness(t)
			for part := range parts {
				v := r.c.prefetcher.encodeImageHints(images, part, parts)
				if len(v) > 8000 {
					t.Fatalf("value of %d bytes", len(v))
				}
				next.c.cache.imageHints[fmt.Sprint(hintsKey, "/", part)] = v
			}
			// A value that an earlier leader left beyond the last.
			next.c.cache.imageHints[fmt.Sprint(hintsKey, "/", parts)] = next.c.cache.imageHints[hintsKey+"/0"]
			next.c.prefetcher.loadImageHints()
			next.c.prefetcher.loadImageHints()
			for i := range machines {
				m := next.c.workers.getOrAddMachine(fmt.Sprintf("host-%06d", i))
				next.c.prefetcher.restoreKnownImages(m)
				for k := range 20 {
					if _, has := m.Images[fmt.Sprint("im-", k)]; has != ((i+k)%3 == 0) {
						t.Fatalf("%s has im-%d: %v", m.Name, k, has)
					}
				}
			}
			if n := len(next.c.elector.leadership.hints.inheritedSources); n > 20 || machines < 1000 && n < 10 {
				t.Errorf("%d jobs inherited", n)
			}
		})
	}
}

// TestPrefetchByType: each type of machine has its own half that stays idle. The
// many small machines took the turns of the few with GPUs before.
func TestPrefetchByType(t *testing.T) {
	cases := []struct {
		small, large int
		want         string // prefetches of each type
	}{
		{20, 4, "10 2"},
		{2, 4, "1 2"},
		{0, 3, "0 2"},
	}
	for _, tc := range cases {
		r := newLeaderHarness(t)
		c := r.c
		c.cache.machineTypes = []fleet.Type{
			{Name: "c", Cap: jobstate.Resources{CPU: 8000, Mem: 8000}, CacheMB: 50_000, FetchRate: 500, Zones: []string{"a"}},
			{Name: "g", Cap: jobstate.Resources{CPU: 8000, GPU: 2000, Mem: 8000}, CacheMB: 50_000, FetchRate: 500, Zones: []string{"a"}},
		}
		add := func(n int, typ string) {
			for i := range n {
				m := fleet.NewMachine(fmt.Sprintf("%s-%02d", typ, i), c.now)
				m.Type, m.Zone, m.HasCurrentToken, m.LastHeartbeat = typ, "a", true, c.now
				m.SetType(c.cache.machineTypes)
				c.elector.leadership.fleet.Add(m)
			}
		}
		add(tc.small, "c")
		add(tc.large, "g")
		for i, need := range []jobstate.Resources{{CPU: 1000}, {CPU: 1000, GPU: 1000}} {
			s := &jobstate.Spec{ID: fmt.Sprint("done-", i), Team: "t", Image: fmt.Sprint("im-", i), ImageMB: 1000, Kind: jobstate.Array, Tasks: 40, Need: need}
			c.prefetcher.noteImageDemand(s)
			for range 3 {
				c.prefetcher.addPrefetchSources(s)
			}
		}
		c.elector.leadership.prefetch.at = 0
		c.prefetcher.prefetchTick()
		n := map[string]int{}
		for _, m := range c.elector.leadership.fleet.All() {
			if m.Prefetch != nil {
				n[m.Type]++
			}
		}
		if got := fmt.Sprint(n["c"], n["g"]); got != tc.want {
			t.Errorf("%d and %d idle: %s fetch, want %s", tc.small, tc.large, got, tc.want)
		}
	}
}
