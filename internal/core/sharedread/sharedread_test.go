package sharedread

import (
	"slices"
	"testing"
)

// TestBatch: a request is answered by a read that began after it came.
func TestBatch(t *testing.T) {
	var b Batch[string]
	b.Add("a")
	if !b.Due(100, 50) {
		t.Fatal("nothing may begin")
	}
	b.Begin(100)
	b.Add("b")
	if b.Due(1000, 50) {
		t.Error("two reads at once")
	}
	if got := b.End(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("answered %v by the first", got)
	}
	if b.Due(120, 50) || !b.Due(150, 50) {
		t.Error("the gap is not kept")
	}
	b.Begin(150)
	if got := b.End(); !slices.Equal(got, []string{"b"}) {
		t.Errorf("answered %v by the second", got)
	}
	b.Add("c")
	if got := b.DropWaiting(); !slices.Equal(got, []string{"c"}) || b.Waiting() != 0 || b.Due(999, 1) {
		t.Errorf("dropped %v", got)
	}
}

// TestLookup: requests about one key share a question, and many keys are asked about
// in several.
func TestLookup(t *testing.T) {
	var l KeyBatch[int]
	for i, key := range []string{"x", "y", "x", "z", "x"} {
		l.Add(key, i)
	}
	if !l.Due(0, 10) {
		t.Fatal("nothing may begin")
	}
	keys, requests := l.Begin(5, 2)
	if !slices.Equal(keys, []string{"x", "y"}) || !slices.Equal(requests["x"], []int{0, 2, 4}) || l.Waiting() != 1 {
		t.Errorf("asked about %v for %v, %d wait", keys, requests, l.Waiting())
	}
	if l.Due(100, 10) {
		t.Error("two questions at once")
	}
	l.End()
	if l.Due(14, 10) || !l.Due(15, 10) {
		t.Error("the gap is not kept")
	}
	if keys, _ := l.Begin(15, 2); !slices.Equal(keys, []string{"z"}) {
		t.Errorf("asked about %v", keys)
	}
}
