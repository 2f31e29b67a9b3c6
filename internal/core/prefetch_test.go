package core

import (
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestPrefetchSources checks that the tasks of a completed gang that sets one_zone are prefetch
// sources in one zone at a time, because prefetches have to follow one_zone as any start does, and
// that spread jobs and services provide no sources.
func TestPrefetchSources(t *testing.T) {
	cases := []struct {
		name    string
		kind    jobstate.Kind
		oneZone bool
		spread  bool
		want    string // mayRunIn of each source, alternately in zones a and b, while started prefetches continue
	}{
		{"gang in one zone", jobstate.Gang, true, false, "a:true b:false a:true b:false "},
		{"array", jobstate.Array, false, false, "a:true b:true a:true b:true "},
		{"spread job has no sources", jobstate.Array, false, true, ""},
		{"service has no sources", jobstate.Service, false, false, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarness(t)
			h.core.prefetcher.addPrefetchSources(&jobstate.Spec{ID: "g", Image: "im", Kind: tc.kind, Tasks: 4, OneZone: tc.oneZone, Spread: tc.spread})
			got := ""
			for i, source := range h.core.elector.leadership.prefetch.sources["im"] {
				m := &fleet.Machine{Name: fmt.Sprint("m", i), Zone: string(rune('a' + i%2))}
				may := source.mayRunIn(m.Zone)
				got += fmt.Sprintf("%s:%v ", m.Zone, may)
				if may {
					source.start(m)
					if source.mayRunIn(m.Zone) {
						t.Error("mayRunIn of a running source: got true, want false")
					}
				}
			}
			if got != tc.want {
				t.Errorf("mayRunIn by zone: got %q, want %q", got, tc.want)
			}
			for _, source := range h.core.elector.leadership.prefetch.sources["im"] {
				if source.machine != "" {
					source.end()
				}
			}
			for _, source := range h.core.elector.leadership.prefetch.sources["im"] {
				if !source.mayRunIn("b") {
					t.Error("mayRunIn in zone b after all prefetches have ended: got false, want true")
				}
			}
		})
	}
}

// TestImageHints checks that the image hints for the next leader fit the state service's value
// limit for any size of fleet and tell that leader the images of every machine. A completed job has
// to be inherited once even if two values list it, because otherwise a task could be started on two
// machines.
func TestImageHints(t *testing.T) {
	for _, machines := range []int{3, 400, 2000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			h := newLeaderHarness(t)
			h.core.settings.State.ValueKB = 8
			for k := range 20 {
				h.core.prefetcher.addImageDemand(&jobstate.Spec{Image: fmt.Sprint("im-", k), Tasks: 1})
			}
			for i := range machines {
				m := h.core.workers.getOrAddMachine(fmt.Sprintf("host-%06d", i))
				for k := range 20 {
					if (i+k)%3 == 0 {
						m.RecordImageUse(fmt.Sprint("im-", k), 5000, 1)
					}
				}
			}
			for k := range 20 {
				h.core.prefetcher.addPrefetchSources(&jobstate.Spec{ID: fmt.Sprint("job-", k), Image: fmt.Sprint("im-", k), Kind: jobstate.Array, Tasks: 2})
			}
			images := h.core.prefetcher.mostWantedImages()
			parts := 1 + machines*machineBytes/6000
			next := newLeaderHarness(t)
			for part := range parts {
				value := h.core.prefetcher.encodeImageHints(images, part, parts)
				if len(value) > 8000 {
					t.Fatalf("hints value: got %d bytes, want at most 8000", len(value))
				}
				next.core.cache.imageHints[fmt.Sprint(hintsKey, "/", part)] = value
			}
			// A value that an earlier leader wrote beyond the last part.
			next.core.cache.imageHints[fmt.Sprint(hintsKey, "/", parts)] = next.core.cache.imageHints[hintsKey+"/0"]
			next.core.prefetcher.loadImageHints()
			next.core.prefetcher.loadImageHints()
			for i := range machines {
				m := next.core.workers.getOrAddMachine(fmt.Sprintf("host-%06d", i))
				next.core.prefetcher.restoreKnownImages(m)
				for k := range 20 {
					if _, has := m.Images[fmt.Sprint("im-", k)]; has != ((i+k)%3 == 0) {
						t.Fatalf("%s has im-%d: got %v, want %v", m.Name, k, has, (i+k)%3 == 0)
					}
				}
			}
			if inherited := len(next.core.elector.leadership.hints.inheritedSources); inherited > 20 || machines < 1000 && inherited < 10 {
				t.Errorf("inherited jobs: got %d, want at most 20, and at least 10 in fleets of fewer than 1000 machines", inherited)
			}
		})
	}
}

// TestPrefetchByType checks that half of the idle machines of each type stay free. It guards
// against one limit for all types together, with which the many small machines used up the
// prefetches of the few machines with GPUs.
func TestPrefetchByType(t *testing.T) {
	cases := []struct {
		small, large int
		want         string // number of prefetches of each type
	}{
		{20, 4, "10 2"},
		{2, 4, "1 2"},
		{0, 3, "0 2"},
	}
	for _, tc := range cases {
		h := newLeaderHarness(t)
		core := h.core
		core.cache.machineTypes = []fleet.Type{
			{Name: "c", Cap: jobstate.Resources{CPU: 8000, Mem: 8000}, CacheMB: 50_000, FetchRate: 500, Zones: []string{"a"}},
			{Name: "g", Cap: jobstate.Resources{CPU: 8000, GPU: 2000, Mem: 8000}, CacheMB: 50_000, FetchRate: 500, Zones: []string{"a"}},
		}
		add := func(machines int, typ string) {
			for i := range machines {
				m := fleet.NewMachine(fmt.Sprintf("%s-%02d", typ, i), core.now)
				m.Type, m.Zone, m.HasCurrentToken, m.LastHeartbeat = typ, "a", true, core.now
				m.SetType(core.cache.machineTypes)
				core.elector.leadership.fleet.Add(m)
			}
		}
		add(tc.small, "c")
		add(tc.large, "g")
		for i, need := range []jobstate.Resources{{CPU: 1000}, {CPU: 1000, GPU: 1000}} {
			spec := &jobstate.Spec{ID: fmt.Sprint("done-", i), Team: "t", Image: fmt.Sprint("im-", i), ImageMB: 1000, Kind: jobstate.Array, Tasks: 40, Need: need}
			core.prefetcher.addImageDemand(spec)
			for range 3 {
				core.prefetcher.addPrefetchSources(spec)
			}
		}
		core.elector.leadership.prefetch.lastRoundAt = 0
		core.prefetcher.prefetchTick()
		prefetches := map[string]int{}
		for _, m := range core.elector.leadership.fleet.All() {
			if m.Prefetch != nil {
				prefetches[m.Type]++
			}
		}
		if got := fmt.Sprint(prefetches["c"], prefetches["g"]); got != tc.want {
			t.Errorf("prefetches by type with %d small and %d large idle machines: got %s, want %s", tc.small, tc.large, got, tc.want)
		}
	}
}
