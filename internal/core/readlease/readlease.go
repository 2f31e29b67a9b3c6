// Package vouch is what a leader's right to answer workers rests on while the
// state service does not answer it.
//
// A user who was told that a job is cancelled may count on its tasks to be gone
// within cancel_s. A leader that answers a report keeps what is on the machine
// alive for a lease more, so it may do so only while it knows every cancellation
// that anybody was told of, but for the newest. The state service says so when it
// is read. When it can't be, each other controller has to vouch for what it has
// told: it hands over what it knows to be cancelled, in pages, and its word counts
// for the time at which it was asked, and only when the asker has all of it.
//
// A controller that begins anew has forgotten what it has told. So nobody tells a
// user of a cancellation while a leader lives on its word and does not know of it:
// the leader is told first. What an earlier start of the controller told is then
// known to whoever had its word until just now.
package readlease

import "slices"

// maxPageEntries is how many cancellations a page holds, maxLogEntries how many are kept.
const (
	maxPageEntries = 500
	maxLogEntries  = 20_000
)

// GrantRequest is what a leader asks another controller: to vouch for what it has told.
// Boot is the start of that controller that the leader has heard out up to Upto,
// Applied the revision up to which the leader knows what is stored.
type GrantRequest struct {
	Incarnation     string
	UpTo            uint64
	AppliedRevision uint64
}

// CancellationPage is a part of what a controller knows to be cancelled, of numbers above
// After up to Upto.
type CancellationPage struct {
	Incarnation string
	After, UpTo uint64
	Cancelled   []string
	// More: there are others. Whole: with this page the asker has all that this
	// start of the controller and the earlier ones have told; without it, all
	// that this start has told.
	More, Complete bool
}

// HolderAck is what a controller answers to one that tells it of cancellations. Holds
// says that it lives on the word of some start of the teller.
type HolderAck struct {
	Holds           bool
	Incarnation     string
	UpTo            uint64
	AppliedRevision uint64
}

// cancellation is a cancellation that is known; Rev is the revision that it was stored
// with, 0 if it is not known.
type cancellation struct {
	id       string
	revision uint64
}

// cancellationLog is what a controller knows to be cancelled, in the order it learned of it.
type cancellationLog struct {
	entries     []cancellation
	firstNumber uint64 // the number of the oldest one
	numberByID  map[string]uint64
	// droppedRevision is the newest revision of those that are no longer here, unsure
	// that one of them has none.
	droppedRevision uint64
	droppedUnknown  bool
}

func (l *cancellationLog) lastNumber() uint64 { return l.firstNumber + uint64(len(l.entries)) - 1 }

func (l *cancellationLog) record(id string, rev uint64) {
	if n, ok := l.numberByID[id]; ok {
		if e := &l.entries[n-l.firstNumber]; e.revision == 0 {
			e.revision = rev
		}
		return
	}
	l.entries = append(l.entries, cancellation{id, rev})
	l.numberByID[id] = l.lastNumber()
	if len(l.entries) <= maxLogEntries {
		return
	}
	old := l.entries[0]
	l.entries[0] = cancellation{} // frees the text
	l.entries = l.entries[1:]
	l.firstNumber++
	delete(l.numberByID, old.id)
	l.droppedRevision = max(l.droppedRevision, old.revision)
	l.droppedUnknown = l.droppedUnknown || old.revision == 0
}

// holderState is what a witness knows of a controller that may live on its word.
type holderState struct {
	grantedAt       int64 // when it was last given its word, 0 for never
	cleared         bool  // it has said that it lives on no word of an earlier start
	upTo            uint64
	appliedRevision uint64
}

// Grantor is the side of a controller that vouches for what it tells users.
type Grantor struct {
	incarnation string
	startedAt   int64
	// leaseDuration is for how long a leader may live on a word.
	leaseDuration int64
	cancellations cancellationLog
	holders       map[string]*holderState
}

// NewGrantor makes one. hold is how long a leader goes by a proof; its clock may
// differ from this one's.
func NewGrantor(boot string, peers []string, hold, now int64) *Grantor {
	w := &Grantor{incarnation: boot, startedAt: now, leaseDuration: hold + hold/500 + 500_000, holders: map[string]*holderState{}, cancellations: cancellationLog{firstNumber: 1, numberByID: map[string]uint64{}}}
	for _, p := range peers {
		w.holders[p] = &holderState{}
	}
	return w
}

// RecordCancellation notes that something is known to be cancelled, stored with a revision, or 0
// if that is not known. What users are told has to be noted before.
func (w *Grantor) RecordCancellation(id string, rev uint64) { w.cancellations.record(id, rev) }

// Grant answers a question; synced says that this start has read all that was
// stored when it began. Whoever is answered lives on the word from now on.
func (w *Grantor) Grant(from string, q GrantRequest, synced bool, now int64) CancellationPage {
	if l := w.holders[from]; l != nil {
		l.grantedAt = now
		w.recordProgress(l, q.Incarnation, q.UpTo, q.AppliedRevision)
	}
	return w.pageAfter(q.Incarnation, q.UpTo, q.AppliedRevision, synced)
}

func (w *Grantor) recordProgress(l *holderState, boot string, upto, applied uint64) {
	if boot == w.incarnation {
		l.upTo = max(l.upTo, upto)
	}
	l.appliedRevision = max(l.appliedRevision, applied)
}

// pageAfter is what comes after a number and is not known with a revision.
func (w *Grantor) pageAfter(boot string, upto, applied uint64, synced bool) CancellationPage {
	if boot != w.incarnation {
		upto = 0
	}
	p := CancellationPage{Incarnation: w.incarnation, After: upto, UpTo: upto, Complete: synced}
	if upto+1 < w.cancellations.firstNumber {
		p.UpTo = w.cancellations.firstNumber - 1
		if w.cancellations.droppedUnknown || w.cancellations.droppedRevision > applied {
			p.Complete, p.Incarnation = false, "" // it can't be told all
			return p
		}
	}
	for p.UpTo < w.cancellations.lastNumber() {
		e := w.cancellations.entries[p.UpTo+1-w.cancellations.firstNumber]
		if e.revision == 0 || e.revision > applied {
			if len(p.Cancelled) == maxPageEntries {
				p.More = true
				break
			}
			p.Cancelled = append(p.Cancelled, e.id)
		}
		p.UpTo++
	}
	return p
}

// HandleAck takes what a controller said of itself when it was asked or told of
// cancellations at a time. ack is nil from one that knows no such right.
func (w *Grantor) HandleAck(from string, sent int64, ack *HolderAck) {
	l := w.holders[from]
	if l == nil {
		return
	}
	if ack == nil || !ack.Holds {
		l.cleared = true
		if l.grantedAt < sent {
			l.grantedAt = 0 // what it was given since may have got there later
		}
		return
	}
	w.recordProgress(l, ack.Incarnation, ack.UpTo, ack.AppliedRevision)
}

// uninformedOf are the controllers that have to be told first.
func (w *Grantor) uninformedOf(id string, now int64) (names []string) {
	n, ok := w.cancellations.numberByID[id]
	rev := w.cancellations.droppedRevision
	if ok {
		rev = w.cancellations.entries[n-w.cancellations.firstNumber].revision
	}
	for name, l := range w.holders {
		lives := l.grantedAt != 0 && now-l.grantedAt < w.leaseDuration || !l.cleared && now-w.startedAt < w.leaseDuration
		knows := ok && l.upTo >= n || (ok || !w.cancellations.droppedUnknown) && rev != 0 && l.appliedRevision >= rev
		if lives && !knows {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Uninformed names the controllers that have to be told of any of some cancellations.
func (w *Grantor) Uninformed(ids []string, now int64) (names []string) {
	for _, id := range ids {
		names = append(names, w.uninformedOf(id, now)...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// RecentCancellations are the newest cancellations, for a leader of an older program.
func (w *Grantor) RecentCancellations() (ids []string) {
	for _, e := range w.cancellations.entries[max(0, len(w.cancellations.entries)-maxPageEntries):] {
		ids = append(ids, e.id)
	}
	return ids
}

// PageFor is the next page for a controller that has to be told first.
func (w *Grantor) PageFor(to string) CancellationPage {
	l := w.holders[to]
	if l == nil {
		return CancellationPage{}
	}
	return w.pageAfter(w.incarnation, l.upTo, l.appliedRevision, false)
}

// grant is what a leader has of one controller's word.
type grant struct {
	incarnation string // the start that it has heard out
	upTo        uint64
	grantedAt   int64 // when the newest question was sent whose answer counts
	// requestedAt is when a question was last sent, of which the answer may be on its way.
	requestedAt int64
	// runningIncarnation is the start that is running, as far as it is known.
	runningIncarnation string
}

// Holder are a leader's side: what it has of each other controller's word.
type Holder struct {
	leaseDuration int64
	grants        map[string]*grant
}

// NewHolder makes the words that a leader lives on; it has none yet.
func NewHolder(peers []string, hold int64) *Holder {
	w := &Holder{leaseDuration: hold, grants: map[string]*grant{}}
	for _, p := range peers {
		w.grants[p] = &grant{}
	}
	return w
}

// maxAnswerDelay is how late an answer may come and count. Until then a leader that
// has asked may come to live on the word, and says so.
const maxAnswerDelay = 2_000_000

// NextRequest is what to ask a controller now.
func (w *Holder) NextRequest(peer string, applied uint64, now int64) GrantRequest {
	s := w.grants[peer]
	if s == nil {
		return GrantRequest{}
	}
	s.requestedAt = now
	return GrantRequest{Incarnation: s.incarnation, UpTo: s.upTo, AppliedRevision: applied}
}

// ApplyPage takes a page, and says whether it is one that goes on from what is known.
func (w *Holder) ApplyPage(peer string, p CancellationPage) bool {
	s := w.grants[peer]
	if s == nil || p.Incarnation == "" || s.runningIncarnation != "" && p.Incarnation != s.runningIncarnation {
		return false // of an older program, or of an earlier start
	}
	if p.Incarnation != s.incarnation {
		if p.After != 0 {
			return false
		}
		s.incarnation, s.upTo = p.Incarnation, 0
	}
	if p.After > s.upTo {
		return false // a page is missing
	}
	s.upTo = max(s.upTo, p.UpTo)
	return true
}

// HandleGrant takes the answer, received now, to a question sent at a time. What the
// page has is to be taken note of whether or not it counts.
func (w *Holder) HandleGrant(peer string, sent, now int64, p CancellationPage) {
	if !w.ApplyPage(peer, p) || p.More || now-sent >= maxAnswerDelay {
		return
	}
	s := w.grants[peer]
	// One that has just begun vouches for itself alone. What its earlier start
	// told is known if that one's word has not run out: it told nobody without
	// telling this leader first, for as long as the word could last.
	if p.Complete || s.grantedAt != 0 && now-s.grantedAt < w.leaseDuration {
		s.grantedAt = max(s.grantedAt, sent)
	}
}

// SetIncarnation notes which start of a controller is running. What comes of another was
// on its way for long, and counts no more.
func (w *Holder) SetIncarnation(peer, boot string) {
	if s := w.grants[peer]; s != nil && boot != "" {
		s.runningIncarnation = boot
	}
}

// Ack is what to answer a controller that has told of cancellations.
func (w *Holder) Ack(peer string, applied uint64, now int64) HolderAck {
	s := w.grants[peer]
	if s == nil {
		return HolderAck{}
	}
	if s.grantedAt == 0 || now-s.grantedAt >= w.leaseDuration {
		s.grantedAt = 0 // its word has run out, and it has to be heard out again
		if s.requestedAt == 0 || now-s.requestedAt >= maxAnswerDelay {
			return HolderAck{}
		}
	}
	return HolderAck{Holds: true, Incarnation: s.incarnation, UpTo: s.upTo, AppliedRevision: applied}
}

// StaleGrantors names the controllers that have not vouched for a while, and for how long
// at most, or -1 for one that never has.
func (w *Holder) StaleGrantors(now, longer int64) map[string]int64 {
	out := map[string]int64{}
	for name, s := range w.grants {
		switch {
		case s.grantedAt == 0:
			out[name] = -1
		case now-s.grantedAt > longer:
			out[name] = now - s.grantedAt
		}
	}
	return out
}

// OldestGrant is the time up to which every controller has vouched for what it told, 0
// if one has not.
func (w *Holder) OldestGrant() int64 {
	oldest := int64(-1)
	for _, s := range w.grants {
		if oldest < 0 || s.grantedAt < oldest {
			oldest = s.grantedAt
		}
	}
	return max(oldest, 0)
}
