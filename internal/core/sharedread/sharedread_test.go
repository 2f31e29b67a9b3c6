package sharedread

import (
	"slices"
	"testing"
)

// TestBatch checks that a request is answered only by a read that began after it arrived.
func TestBatch(t *testing.T) {
	var b Batch[string]
	b.Add("a")
	if !b.Due(100, 50) {
		t.Fatal("no read is due, want one for the waiting request")
	}
	b.Begin(100)
	b.Add("b")
	if b.Due(1000, 50) {
		t.Error("a read is due while another is in flight")
	}
	if got := b.End(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("first read answered %v, want [a]", got)
	}
	if b.Due(120, 50) || !b.Due(150, 50) {
		t.Error("the next read is due before the gap of 50 has passed, or not after it")
	}
	b.Begin(150)
	if got := b.End(); !slices.Equal(got, []string{"b"}) {
		t.Errorf("second read answered %v, want [b]", got)
	}
	b.Add("c")
	if got := b.DropWaiting(); !slices.Equal(got, []string{"c"}) || b.Waiting() != 0 || b.Due(999, 1) {
		t.Errorf("dropped %v and %d still wait, want [c] dropped and none waiting or due", got, b.Waiting())
	}
}

// TestKeyBatch checks that requests for the same key share a lookup, and that keys beyond the
// maximum wait for the next lookup.
func TestKeyBatch(t *testing.T) {
	var l KeyBatch[int]
	for i, key := range []string{"x", "y", "x", "z", "x"} {
		l.Add(key, i)
	}
	if !l.Due(0, 10) {
		t.Fatal("no lookup is due, want one for the waiting requests")
	}
	keys, requests := l.Begin(5, 2)
	if !slices.Equal(keys, []string{"x", "y"}) || !slices.Equal(requests["x"], []int{0, 2, 4}) || l.Waiting() != 1 {
		t.Errorf("lookup of %v for requests %v, %d waiting; want keys [x y], requests [0 2 4] for x, 1 waiting", keys, requests, l.Waiting())
	}
	if l.Due(100, 10) {
		t.Error("a lookup is due while another is in flight")
	}
	l.End()
	if l.Due(14, 10) || !l.Due(15, 10) {
		t.Error("the next lookup is due before the gap of 10 has passed, or not after it")
	}
	if keys, _ := l.Begin(15, 2); !slices.Equal(keys, []string{"z"}) {
		t.Errorf("second lookup of %v, want [z]", keys)
	}
}
