package jobstate

import "iter"

// EndSource says from where a controller knows how a job has ended.
type EndSource uint8

// The sources of an end, as they are logged.
const (
	// EndDerived: it follows from the stored end of a job that this one depends on, or of
	// the sweep that it is a run of. Any controller that has both comes to the same.
	EndDerived EndSource = iota
	// EndTold: a peer has told its users so. The peer may have derived it.
	EndTold
	// EndStored: the state service has it.
	EndStored
)

func (s EndSource) String() string {
	switch s {
	case EndDerived:
		return "derived"
	case EndTold:
		return "told by a peer"
	}
	return "stored"
}

// KnownEnd is how a job has ended, and from where that is known. Users may be told of an end
// from any source, as all of them are final; a job's keys may go only with one that is stored.
type KnownEnd struct {
	End
	source EndSource
	// revision is one at which the end is stored, 0 from any other source.
	revision uint64
}

// DerivedEnd is an end that follows from another that is stored.
func DerivedEnd(end End) KnownEnd { return KnownEnd{End: end, source: EndDerived} }

// ToldEnd is an end that a peer has told its users of.
func ToldEnd(end End) KnownEnd { return KnownEnd{End: end, source: EndTold} }

// EndStoredAt is an end that the state service has, at a revision.
func EndStoredAt(end End, revision uint64) KnownEnd {
	return KnownEnd{End: end, source: EndStored, revision: revision}
}

// Source is from where the end is known.
func (e KnownEnd) Source() EndSource { return e.source }

// Revision is one at which the end is stored, 0 where that is not known.
func (e KnownEnd) Revision() uint64 { return e.revision }

// IsStored says whether the state service is known to have the end.
func (e KnownEnd) IsStored() bool { return e.source == EndStored }

// better is the one of two descriptions of an end that says more: the first one, or one that
// is stored.
func (e KnownEnd) better(other KnownEnd) KnownEnd {
	if !e.IsStored() && other.IsStored() {
		return other
	}
	return e
}

// KnownEnds are the ends of jobs that are not long over. Only the newest are kept.
type KnownEnds struct {
	limit int
	byJob map[string]KnownEnd
	order []string // their jobs, the oldest first
}

// NewKnownEnds makes an empty set that keeps so many ends.
func NewKnownEnds(limit int) *KnownEnds {
	return &KnownEnds{limit: limit, byJob: map[string]KnownEnd{}}
}

// Get is the end of a job, if it is kept.
func (k *KnownEnds) Get(job string) (KnownEnd, bool) {
	end, ok := k.byJob[job]
	return end, ok
}

// All are the ends that are kept, by their jobs, the oldest first.
func (k *KnownEnds) All() iter.Seq2[string, KnownEnd] {
	return func(yield func(string, KnownEnd) bool) {
		for _, job := range k.order {
			if !yield(job, k.byJob[job]) {
				return
			}
		}
	}
}

// Record notes an end. It returns what is known of the end by now, and whether it is new.
func (k *KnownEnds) Record(job string, end KnownEnd) (known KnownEnd, isNew bool) {
	if before, ok := k.byJob[job]; ok {
		known = before.better(end)
		k.byJob[job] = known
		return known, false
	}
	k.byJob[job] = end
	k.order = append(k.order, job)
	if len(k.order) > k.limit {
		delete(k.byJob, k.order[0])
		k.order = k.order[1:]
	}
	return end, true
}
