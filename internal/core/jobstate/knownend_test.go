package jobstate

import "testing"

// TestRecordEnd: the first end of a job stands, and only one that is stored takes the place of
// one that is not.
func TestRecordEnd(t *testing.T) {
	cancelledEnd := End{Outcome: Cancelled, Tasks: 2}
	derived, told := DerivedEnd(cancelledEnd), ToldEnd(End{Outcome: Cancelled})
	stored, again := EndStoredAt(cancelledEnd, 7), EndStoredAt(cancelledEnd, 9)
	cases := []struct {
		name     string
		ends     []KnownEnd
		source   EndSource
		revision uint64
	}{
		{"derived", []KnownEnd{derived}, EndDerived, 0},
		{"told by a peer", []KnownEnd{told}, EndTold, 0},
		{"stored", []KnownEnd{stored}, EndStored, 7},
		{"told, then derived", []KnownEnd{told, derived}, EndTold, 0},
		{"derived, then told", []KnownEnd{derived, told}, EndDerived, 0},
		{"derived, then stored", []KnownEnd{derived, stored}, EndStored, 7},
		{"told, then stored", []KnownEnd{told, stored}, EndStored, 7},
		{"stored, then told", []KnownEnd{stored, told}, EndStored, 7},
		{"stored, then derived", []KnownEnd{stored, derived}, EndStored, 7},
		{"stored twice", []KnownEnd{stored, again}, EndStored, 7},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			job, ends := NewJob(&Spec{ID: "j", Tasks: 2}), NewKnownEnds(1)
			for i, end := range tc.ends {
				known, isNew := ends.Record("j", end)
				if hasJustEnded := job.RecordEnd(end); isNew != (i == 0) || hasJustEnded != (i == 0) {
					t.Errorf("end %d: new %v, the job has just ended %v", i, isNew, hasJustEnded)
				}
				if known != job.End() {
					t.Errorf("end %d: %+v is known, and %+v of the job", i, known, job.End())
				}
			}
			end := job.End()
			if end.Source() != tc.source || end.Revision() != tc.revision || end.IsStored() != (tc.source == EndStored) {
				t.Errorf("known as %s at revision %d", end.Source(), end.Revision())
			}
			if job.Outcome() != Cancelled {
				t.Errorf("the outcome is %q", job.Outcome())
			}
		})
	}
}

// TestKnownEndsLimit: beyond the limit the oldest ends go, and with them what is known of them.
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
		t.Errorf("kept %q", kept)
	}
}
