package core

import (
	"slices"
	"testing"
)

// TestTerms: a controller that leads again goes by nothing of its earlier term but
// what is certain for good. The failed return of a machine, answered after another
// leader has put work on it, once had it returned all the same; and answers of
// earlier calls gave calls free that were still under way.
func TestTerms(t *testing.T) {
	r := newRig(t)
	s := &r.c.lead.cloud
	s.busy, s.listing = 3, true
	before := r.token - 2
	r.step(Released{Names: []string{"m"}, Token: before})
	r.step(Rented{Rent: Rent{Name: "x", Type: "c", Zone: "a", Count: 1, Token: before}})
	r.step(Machines{List: []Listing{{Name: "y", Type: "c", Zone: "a", Status: "failed"}}, Token: before})
	r.step(Types{Token: before})
	if slices.Contains(s.release, "m") || slices.Contains(s.release, "y") || len(s.retry) > 0 {
		t.Errorf("returns %v, rents again %v", s.release, s.retry)
	}
	if s.busy != 3 || !s.listing {
		t.Errorf("%d calls under way, listing %v", s.busy, s.listing)
	}
	r.step(Released{Names: []string{"m"}, Token: r.token})
	if s.busy != 2 || !slices.Contains(s.release, "m") {
		t.Errorf("of this term: %d calls under way, returns %v", s.busy, s.release)
	}
}
