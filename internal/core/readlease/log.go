package readlease

// cancellation is a known cancellation with the revision at which it was stored, 0 if the
// revision is not known.
type cancellation struct {
	id       string
	revision uint64
}

// cancellationLog holds the cancellations that a controller knows, numbered in the order in
// which it learned of them. Only the newest maxLogEntries are kept.
type cancellationLog struct {
	entries     []cancellation
	firstNumber uint64 // the number of the oldest entry
	numberByID  map[string]uint64
	// droppedRevision is the highest revision of the dropped entries; droppedWithoutRevision is set
	// if the revision of one of them was not known.
	droppedRevision        uint64
	droppedWithoutRevision bool
}

func (l *cancellationLog) lastNumber() uint64 { return l.firstNumber + uint64(len(l.entries)) - 1 }

func (l *cancellationLog) entry(number uint64) *cancellation { return &l.entries[number-l.firstNumber] }

func (l *cancellationLog) record(id string, revision uint64) {
	if number, ok := l.numberByID[id]; ok {
		if entry := l.entry(number); entry.revision == 0 {
			entry.revision = revision
		}
		return
	}
	l.entries = append(l.entries, cancellation{id, revision})
	l.numberByID[id] = l.lastNumber()
	if len(l.entries) > maxLogEntries {
		l.dropOldest()
	}
}

func (l *cancellationLog) dropOldest() {
	oldest := l.entries[0]
	l.entries[0] = cancellation{} // lets the ID string be garbage collected
	l.entries = l.entries[1:]
	l.firstNumber++
	delete(l.numberByID, oldest.id)
	l.droppedRevision = max(l.droppedRevision, oldest.revision)
	l.droppedWithoutRevision = l.droppedWithoutRevision || oldest.revision == 0
}

// mayLackDropped reports whether a controller that knows the stored state up to
// appliedRevision may lack a dropped entry.
func (l *cancellationLog) mayLackDropped(appliedRevision uint64) bool {
	return l.droppedWithoutRevision || l.droppedRevision > appliedRevision
}

// knownTo reports whether a holder is certain to know a cancellation.
func (l *cancellationLog) knownTo(h *holderState, id string) bool {
	number, kept := l.numberByID[id]
	if !kept {
		return !l.droppedWithoutRevision && l.droppedRevision != 0 && h.appliedRevision >= l.droppedRevision
	}
	if h.upTo >= number {
		return true
	}
	revision := l.entry(number).revision
	return revision != 0 && h.appliedRevision >= revision
}
