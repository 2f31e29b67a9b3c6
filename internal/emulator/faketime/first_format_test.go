package faketime

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/emulator/history"
)

// The formats of stored values that the version without pipelines reads. They never change.
type (
	oldVec  struct{ C, G, M int64 }
	oldSpec struct {
		ID, Cl, Tm, K, Z, Im string
		Pr, N                int
		V                    oldVec
		Ty                   []string
		Oz, Sp, Bo           bool
		Mb, Es, Ck, Sv, Dl   int64
	}
	oldRecord struct {
		S *oldSpec
		A uint64
		O string
		T int64
	}
	oldEnd struct {
		O string
		N int
	}
	oldChunk struct {
		A uint32
		D string
		P map[string][]uint32
		T bool
	}
	oldLeader struct {
		N, B string
		T, L uint64
	}
	oldToken  struct{ T uint64 }
	oldBounds struct {
		C    []uint32
		H    []string
		T    int64
		K, S uint64
	}
	oldType struct {
		N       string
		V       oldVec
		F, L, B int64
		P, Sp   float64
		Z       []string
	}
	oldHints struct {
		Of int
		I  []struct {
			N string
			B int64
		}
		M map[string]uint64
		S []*oldSpec
	}
)

// TestFirstFormat runs a deployment in which one controller never reports that it runs this
// version. All values that are stored have to be readable by the version without pipelines, and
// jobs that depend on others have to be refused.
func TestFirstFormat(t *testing.T) {
	t.Parallel()
	d := newTestRun(5)
	d.oneMissing = true
	d.addPipelines(2)
	dependentJobs := 0
	for _, j := range d.Jobs {
		if len(j.Spec.DependsOn) > 0 {
			dependentJobs++
		}
	}
	c := d.run(t, nil)
	if violations, unfinished := c.Violations(), c.Environment.Unfinished(); len(violations) > 0 || len(unfinished) != dependentJobs {
		t.Errorf("got %d unfinished jobs %v, want %d, those with dependencies; got violations %v, want none", len(unfinished), unfinished, dependentJobs, violations)
	}
	formats := map[string]func() any{
		"job": func() any { return &oldRecord{} }, "run": func() any { return &oldChunk{} }, "end": func() any { return &oldEnd{} },
		"leader": func() any { return &oldLeader{} }, "token": func() any { return &oldToken{} }, "bounds": func() any { return &oldBounds{} },
		"types": func() any { return &[]oldType{} }, "hints": func() any { return &oldHints{} },
	}
	seen := map[string]int{}
	for _, e := range c.History {
		if e.Kind != history.StateChanged {
			continue
		}
		kind, rest, _ := strings.Cut(strings.TrimPrefix(e.Key, "zinclb/"), "/")
		seen[kind]++
		if kind == "member" || e.State == "removed" {
			continue // the old version ignores keys that it does not know
		}
		newValue := formats[kind]
		if newValue == nil {
			t.Fatalf("key %s was stored, want only kinds that the old version knows", e.Key)
		}
		if strings.Contains(rest, "-") && kind == "run" && strings.Contains(rest[strings.Index(rest, "/"):], "-") {
			t.Errorf("key %s has a chunk number that the old version can't parse", e.Key)
		}
		decoder := json.NewDecoder(strings.NewReader(e.Value))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(newValue()); err != nil {
			t.Errorf("key %s: decode %s as the old version does: got error %v, want none", e.Key, e.Value, err)
		}
	}
	for kind := range formats {
		if seen[kind] == 0 {
			t.Errorf("no key of kind %s was stored, want at least one", kind)
		}
	}
}
