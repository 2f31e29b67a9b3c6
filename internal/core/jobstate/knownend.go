package jobstate

import "iter"

// EndSource is the source from which a controller knows how a job has ended.
type EndSource uint8

// The sources of an end. Their names, see String, are logged.
const (
	// EndDerived is the source of an end that follows from the stored end of a dependency
	// of the job, or of the sweep that the job is a run of. Any controller that has both
	// derives the same end.
	EndDerived EndSource = iota
	// EndReported is the source of an end that a peer has reported to its users. The peer may
	// have derived it.
	EndReported
	// EndStored is the source of an end that the state service has.
	EndStored
)

func (s EndSource) String() string {
	switch s {
	case EndDerived:
		return "derived"
	case EndReported:
		return "told by a peer"
	}
	return "stored"
}

// KnownEnd is the end of a job and the source from which it is known. An end from any source
// may be reported to users, as all of them are final. A job's keys may be removed only if its
// end is stored.
type KnownEnd struct {
	End
	source EndSource
	// revision is a revision at which the end is stored, 0 for any other source.
	revision uint64
}

// DerivedEnd returns an end that follows from another that is stored.
func DerivedEnd(end End) KnownEnd { return KnownEnd{End: end, source: EndDerived} }

// ReportedEnd returns an end that a peer has reported to its users.
func ReportedEnd(end End) KnownEnd { return KnownEnd{End: end, source: EndReported} }

// EndStoredAt returns an end that the state service has at a revision.
func EndStoredAt(end End, revision uint64) KnownEnd {
	return KnownEnd{End: end, source: EndStored, revision: revision}
}

// Source returns the source from which the end is known.
func (e KnownEnd) Source() EndSource { return e.source }

// Revision returns a revision at which the end is stored, 0 if it is not known to be stored.
func (e KnownEnd) Revision() uint64 { return e.revision }

// IsStored reports whether the state service is known to have the end.
func (e KnownEnd) IsStored() bool { return e.source == EndStored }

// preferStored returns the more informative of two descriptions of the same end: other if only
// other is stored, else e.
func (e KnownEnd) preferStored(other KnownEnd) KnownEnd {
	if !e.IsStored() && other.IsStored() {
		return other
	}
	return e
}

// KnownEnds is a bounded set of the ends of jobs. Beyond the limit the oldest are dropped.
type KnownEnds struct {
	limit int
	byJob map[string]KnownEnd
	order []string // job IDs, oldest end first
}

// NewKnownEnds returns an empty set that keeps at most limit ends.
func NewKnownEnds(limit int) *KnownEnds {
	return &KnownEnds{limit: limit, byJob: map[string]KnownEnd{}}
}

// Get returns the end of a job, if it is kept.
func (k *KnownEnds) Get(job string) (KnownEnd, bool) {
	end, ok := k.byJob[job]
	return end, ok
}

// All iterates over the IDs of jobs and their ends that are kept, oldest first.
func (k *KnownEnds) All() iter.Seq2[string, KnownEnd] {
	return func(yield func(string, KnownEnd) bool) {
		for _, job := range k.order {
			if !yield(job, k.byJob[job]) {
				return
			}
		}
	}
}

// Record records an end. It returns the end as it is known now, and whether it is the first one
// of the job.
func (k *KnownEnds) Record(job string, end KnownEnd) (known KnownEnd, isNew bool) {
	if before, ok := k.byJob[job]; ok {
		known = before.preferStored(end)
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
