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
		t.Error("while a read is in flight: got another read due, want none")
	}
	if got := b.End(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("first read answered %v, want [a]", got)
	}
	if b.Due(120, 50) || !b.Due(150, 50) {
		t.Errorf("next read due with a gap of 50: got %v after 20 and %v after 50, want false, true", b.Due(120, 50), b.Due(150, 50))
	}
	b.Begin(150)
	if got := b.End(); !slices.Equal(got, []string{"b"}) {
		t.Errorf("second read answered %v, want [b]", got)
	}
	b.Add("c")
	if got := b.DropWaiting(); !slices.Equal(got, []string{"c"}) || b.Waiting() != 0 || b.Due(999, 1) {
		t.Errorf("DropWaiting() = %v, then %d waiting and a read due: %v, want [c], 0, false", got, b.Waiting(), b.Due(999, 1))
	}
}

// TestKeyBatch checks that requests for the same key share a lookup, and that keys beyond the
// maximum wait for the next lookup.
func TestKeyBatch(t *testing.T) {
	var b KeyBatch[int]
	for i, key := range []string{"x", "y", "x", "z", "x"} {
		b.Add(key, i)
	}
	if !b.Due(0, 10) {
		t.Fatal("no lookup is due, want one for the waiting requests")
	}
	keys, requests := b.Begin(5, 2)
	if !slices.Equal(keys, []string{"x", "y"}) || !slices.Equal(requests["x"], []int{0, 2, 4}) || b.Waiting() != 1 {
		t.Errorf("lookup of %v for requests %v, %d waiting; want keys [x y], requests [0 2 4] for x, 1 waiting", keys, requests, b.Waiting())
	}
	if b.Due(100, 10) {
		t.Error("while a lookup is in flight: got another lookup due, want none")
	}
	b.End()
	if b.Due(14, 10) || !b.Due(15, 10) {
		t.Errorf("next lookup due with a gap of 10: got %v after 9 and %v after 10, want false, true", b.Due(14, 10), b.Due(15, 10))
	}
	if keys, _ := b.Begin(15, 2); !slices.Equal(keys, []string{"z"}) {
		t.Errorf("second lookup of %v, want [z]", keys)
	}
}
