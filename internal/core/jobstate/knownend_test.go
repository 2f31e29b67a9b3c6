package jobstate

import "testing"

// TestRecordEnd checks that the first recorded end of a job is kept, and that only a stored end
// replaces one that is not stored.
func TestRecordEnd(t *testing.T) {
	cancelledEnd := End{Outcome: Cancelled, Tasks: 2}
	derived, reported := DerivedEnd(cancelledEnd), ReportedEnd(End{Outcome: Cancelled})
	stored, again := EndStoredAt(cancelledEnd, 7), EndStoredAt(cancelledEnd, 9)
	cases := []struct {
		name     string
		ends     []KnownEnd
		source   EndSource
		revision uint64
	}{
		{"derived", []KnownEnd{derived}, EndDerived, 0},
		{"reported by a peer", []KnownEnd{reported}, EndReported, 0},
		{"stored", []KnownEnd{stored}, EndStored, 7},
		{"reported, then derived", []KnownEnd{reported, derived}, EndReported, 0},
		{"derived, then reported", []KnownEnd{derived, reported}, EndDerived, 0},
		{"derived, then stored", []KnownEnd{derived, stored}, EndStored, 7},
		{"reported, then stored", []KnownEnd{reported, stored}, EndStored, 7},
		{"stored, then reported", []KnownEnd{stored, reported}, EndStored, 7},
		{"stored, then derived", []KnownEnd{stored, derived}, EndStored, 7},
		{"stored twice", []KnownEnd{stored, again}, EndStored, 7},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			job, ends := NewJob(&Spec{ID: "j", Tasks: 2}), NewKnownEnds(1)
			for i, end := range tc.ends {
				known, isNew := ends.Record("j", end)
				if hasJustEnded := job.RecordEnd(end); isNew != (i == 0) || hasJustEnded != (i == 0) {
					t.Errorf("end %d: got new %v, job just ended %v, want both %v", i, isNew, hasJustEnded, i == 0)
				}
				if known != job.End() {
					t.Errorf("end %d: KnownEnds has %+v, want %+v as in the job", i, known, job.End())
				}
			}
			end := job.End()
			if end.Source() != tc.source || end.Revision() != tc.revision || end.IsStored() != (tc.source == EndStored) {
				t.Errorf("source, revision, stored: got %s, %d, %v, want %s, %d, %v", end.Source(), end.Revision(), end.IsStored(), tc.source, tc.revision, tc.source == EndStored)
			}
			if job.Outcome() != Cancelled {
				t.Errorf("outcome: got %q, want %q", job.Outcome(), Cancelled)
			}
		})
	}
}

// TestKnownEndsLimit checks that beyond the limit the oldest ends are dropped, so that Get no
// longer returns them.
func TestKnownEndsLimit(t *testing.T) {
	ends := NewKnownEnds(2)
	for _, id := range []string{"a", "b", "a", "c"} {
		ends.Record(id, EndStoredAt(End{Outcome: Done}, 1))
	}
	var kept string
	for id := range ends.All() {
		kept += id
	}
	if _, ok := ends.Get("a"); ok || kept != "bc" {
		t.Errorf("kept ends: got %q, want \"bc\"; Get(\"a\") finds an end: got %v, want false", kept, ok)
	}
}
