package faketime

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/emulator/history"
)

// The shapes of stored values that the version without pipelines reads. They
// never change.
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

// TestFirstFormat plays a day on which one controller never says that it has
// this version: whatever is stored all day, the version without pipelines can
// read, and a job that awaits others is put off.
func TestFirstFormat(t *testing.T) {
	t.Parallel()
	d := newTestRun(5)
	d.oneMissing = true
	d.addPipelines(2)
	awaits := 0
	for _, j := range d.Jobs {
		if len(j.Spec.DependsOn) > 0 {
			awaits++
		}
	}
	c := d.run(t, nil)
	if l, left := c.Violations(), c.Environment.Unfinished(); len(l) > 0 || len(left) != awaits {
		t.Errorf("%d that await others, %v unfinished, %v", awaits, left, l)
	}
	shapes := map[string]func() any{
		"job": func() any { return &oldRecord{} }, "run": func() any { return &oldChunk{} }, "end": func() any { return &oldEnd{} },
		"leader": func() any { return &oldLeader{} }, "token": func() any { return &oldToken{} }, "bounds": func() any { return &oldBounds{} },
		"types": func() any { return &[]oldType{} }, "hints": func() any { return &oldHints{} },
	}
	seen := map[string]int{}
	for _, ch := range c.History {
		if ch.Kind != history.StateChanged {
			continue
		}
		kind, rest, _ := strings.Cut(strings.TrimPrefix(ch.Key, "zinclb/"), "/")
		seen[kind]++
		if kind == "member" || ch.State == "removed" {
			continue // the old version passes over keys that it does not know
		}
		shape := shapes[kind]
		if shape == nil {
			t.Fatalf("%s is stored", ch.Key)
		}
		if strings.Contains(rest, "-") && kind == "run" && strings.Contains(rest[strings.Index(rest, "/"):], "-") {
			t.Errorf("%s has a number that can't be read", ch.Key)
		}
		dec := json.NewDecoder(strings.NewReader(ch.Value))
		dec.DisallowUnknownFields()
		if err := dec.Decode(shape()); err != nil {
			t.Errorf("%s: %s: %v", ch.Key, ch.Value, err)
		}
	}
	for kind := range shapes {
		if seen[kind] == 0 {
			t.Errorf("no %s was stored", kind)
		}
	}
}
