package fake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/world"
)

// kinds of keys that controllers write.
var kinds = []string{"job/", "run/", "end/", "leader", "token", "types", "bounds", "hints", "format", "member/", "log/"}

// TestEveryWriteLost loses a write of each kind during a take-over: before it is
// executed, its answer alone, and with the write executed a minute late. The
// first, the second and the fifth of each kind are lost.
func TestEveryWriteLost(t *testing.T) {
	day := func() *day {
		d := small(31)
		d.Length = 300 * second
		d.piped(2)
		d.tighten()
		return d
	}
	for _, e := range day().play(t, nil).History {
		if e.Kind == history.Stored && !slices.ContainsFunc(kinds, func(k string) bool { return strings.HasPrefix(e.Key, core.Prefix+k) }) {
			t.Fatalf("a kind of write that is not in the table: %s", e.Key)
		}
	}
	met := map[string]int{}
	for _, kind := range kinds {
		for _, how := range []string{"before", "after", "late"} {
			for _, skip := range []int{0, 1, 4} {
				t.Run(fmt.Sprintf("%s/%s/%d", strings.Trim(kind, "/"), how, skip), func(t *testing.T) {
					d := day()
					l := &world.Lose{Prefix: core.Prefix + kind, Skip: skip, How: how}
					if how == "late" {
						l.Late = 60 * second
					}
					crash := at(60, "crash", 0)
					d.Faults = []fault{{At: 59 * second, Kind: "state_lose", Lose: l}, crash}
					switch kind {
					case "types", "format", "member/":
						d.Faults[0].At = 0 // they are written once, at the start
					case "run/":
						// Progress is stored this way until all controllers
						// are known to have this version.
						d.missing, d.Jobs = true, small(31).Jobs
					}
					d.whole(t)
					if l.Done > skip {
						met[kind]++
					}
				})
			}
		}
	}
	for _, kind := range kinds {
		if met[kind] < 3 {
			t.Errorf("%s: only %d were lost", kind, met[kind])
		}
	}
}

// TestSameAgain: two runs of one seed in fake time give the same bytes, and
// another seed gives others.
func TestSameAgain(t *testing.T) {
	digest := func(seed uint64) uint64 {
		d := small(seed)
		d.piped(4)
		d.Faults, d.Loss = []fault{at(60, "crash", 0), at(100, "cut", 30, "zone:a"), at(90, "machine_hang", 20, "host-000002")}, 0.02
		var b bytes.Buffer
		enc := json.NewEncoder(&b)
		for _, e := range d.play(t, nil).History {
			if err := enc.Encode(e); err != nil {
				t.Fatal(err)
			}
		}
		return xxhash.Sum64(b.Bytes())
	}
	for seed := range uint64(4) {
		first := digest(seed)
		for range 3 {
			if again := digest(seed); again != first {
				t.Fatalf("seed %d gives other bytes", seed)
			}
		}
		if digest(seed+100) == first {
			t.Errorf("seed %d gives the bytes of another", seed+100)
		}
	}
}

// TestZoneOutage: a zone is cut off while gangs start, and no gang runs with only
// part of its tasks. A planted gang of which one task is missing is caught.
func TestZoneOutage(t *testing.T) {
	d := small(8)
	for i := range d.Jobs {
		if s := &d.Jobs[i].Spec; s.Kind == "gang" {
			s.Tasks, s.OneZone = 3, false // so that its tasks are in both zones
		}
	}
	d.Faults = []fault{at(40, "cut", 60, "zone:b"), at(130, "cut", 45, "zone:a")}
	c := d.whole(t)
	gangs := 0
	for _, e := range c.History {
		if e.Kind == history.Started && c.Terms().Jobs[e.Job].Kind == "gang" {
			gangs++
		}
	}
	if gangs < 20 {
		t.Fatalf("only %d starts of gangs' tasks", gangs)
	}
	planted := slices.DeleteFunc(slices.Clone(c.History), func(e history.Event) bool {
		return e.Kind == history.Started && c.Terms().Jobs[e.Job].Kind == "gang" && e.Task == 1
	})
	if b := history.Check(planted, c.Terms()); len(b) == 0 || b[0].Rule != "part_of_gang" {
		t.Errorf("a part of a gang is not caught: %v", b)
	}
}
