package readlease

import "slices"

// holderState is what a grantor knows of a controller that may hold its read lease.
type holderState struct {
	grantedAt int64 // when it was last granted, 0 for never
	// cleared: it has said that it holds no lease of an earlier incarnation.
	cleared bool
	// upTo and appliedRevision are what it knows: the cancellations of this incarnation
	// up to a number, and what is stored up to a revision.
	upTo            uint64
	appliedRevision uint64
}

func (h *holderState) noteKnown(upTo, appliedRevision uint64) {
	h.upTo = max(h.upTo, upTo)
	h.appliedRevision = max(h.appliedRevision, appliedRevision)
}

// Grantor is a controller's side as one that tells users of cancellations, and grants read
// leases to a leader.
type Grantor struct {
	incarnation string
	startedAt   int64
	// leaseDuration is for how long a leader may hold a lease after it was granted.
	leaseDuration int64
	cancellations cancellationLog
	holders       map[string]*holderState
}

// NewGrantor makes the grantor of a controller that has just started. leaseDuration is for
// how long a leader goes by a read lease, by its own clock.
func NewGrantor(incarnation string, peers []string, leaseDuration, now int64) *Grantor {
	g := &Grantor{
		incarnation:   incarnation,
		startedAt:     now,
		leaseDuration: leaseDuration + leaseDuration/clockDriftShare + grantMargin,
		holders:       map[string]*holderState{},
		cancellations: cancellationLog{firstNumber: 1, numberByID: map[string]uint64{}},
	}
	for _, peer := range peers {
		g.holders[peer] = &holderState{}
	}
	return g
}

// RecordCancellation notes that something is known to be cancelled, stored at a revision, or
// 0 if that is not known. It has to be called before a user is told.
func (g *Grantor) RecordCancellation(id string, revision uint64) {
	g.cancellations.record(id, revision)
}

// Grant answers a leader's request. mirrored says that this incarnation has read all that was
// stored when it began. The leader may hold the lease from now on.
func (g *Grantor) Grant(from string, request GrantRequest, mirrored bool, now int64) CancellationPage {
	if holder := g.holders[from]; holder != nil {
		holder.grantedAt = now
		holder.noteKnown(g.ownNumber(request.Incarnation, request.UpTo), request.AppliedRevision)
	}
	return g.pageAfter(g.ownNumber(request.Incarnation, request.UpTo), request.AppliedRevision, mirrored)
}

// ownNumber is a cancellation's number if it is one of this incarnation, and 0 otherwise.
func (g *Grantor) ownNumber(incarnation string, number uint64) uint64 {
	if incarnation != g.incarnation {
		return 0
	}
	return number
}

// pageAfter has the cancellations after a number that are not known as stored by a revision.
func (g *Grantor) pageAfter(number, appliedRevision uint64, mirrored bool) CancellationPage {
	log := &g.cancellations
	page := CancellationPage{Incarnation: g.incarnation, After: number, UpTo: number, Complete: mirrored}
	if number+1 < log.firstNumber {
		page.UpTo = log.firstNumber - 1
		if log.droppedUnknownTo(appliedRevision) {
			page.Complete, page.Incarnation = false, "" // what was dropped can't be sent
			return page
		}
	}
	for page.UpTo < log.lastNumber() {
		entry := log.entry(page.UpTo + 1)
		if entry.revision == 0 || entry.revision > appliedRevision {
			if len(page.Cancelled) == maxPageEntries {
				page.More = true
				break
			}
			page.Cancelled = append(page.Cancelled, entry.id)
		}
		page.UpTo++
	}
	return page
}

// HandleAck takes what a controller has answered to a message that was sent to it at a time.
// ack is nil from a program that knows no read leases.
func (g *Grantor) HandleAck(from string, sentAt int64, ack *HolderAck) {
	holder := g.holders[from]
	if holder == nil {
		return
	}
	if ack == nil || !ack.Holds {
		holder.cleared = true
		if holder.grantedAt < sentAt {
			holder.grantedAt = 0 // a later grant may have arrived after the answer
		}
		return
	}
	holder.noteKnown(g.ownNumber(ack.Incarnation, ack.UpTo), ack.AppliedRevision)
}

// mayHold reports whether a controller may hold a read lease of this one, of this
// incarnation or an earlier one.
func (g *Grantor) mayHold(holder *holderState, now int64) bool {
	if holder.grantedAt != 0 && now-holder.grantedAt < g.leaseDuration {
		return true
	}
	return !holder.cleared && now-g.startedAt < g.leaseDuration
}

// Uninformed names the controllers that may hold a read lease and do not know of all of some
// cancellations, in order.
func (g *Grantor) Uninformed(ids []string, now int64) (names []string) {
	for _, id := range ids {
		for name, holder := range g.holders {
			if g.mayHold(holder, now) && !g.cancellations.knownTo(holder, id) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// RecentCancellations are the newest cancellations, for a leader whose program knows no read
// leases.
func (g *Grantor) RecentCancellations() (ids []string) {
	entries := g.cancellations.entries
	for _, entry := range entries[max(0, len(entries)-maxPageEntries):] {
		ids = append(ids, entry.id)
	}
	return ids
}

// PageFor is the next page for a holder that has to be informed. It grants nothing.
func (g *Grantor) PageFor(to string) CancellationPage {
	holder := g.holders[to]
	if holder == nil {
		return CancellationPage{}
	}
	return g.pageAfter(holder.upTo, holder.appliedRevision, false)
}
