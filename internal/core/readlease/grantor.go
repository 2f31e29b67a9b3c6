package readlease

import "slices"

// holderState is the knowledge of a grantor about a controller that may hold its read lease.
type holderState struct {
	grantedAt int64 // time of the last grant, 0 if there was none
	// cleared is set once the holder has answered that it holds no lease of an earlier
	// incarnation of the grantor.
	cleared bool
	// upTo is the number up to which the holder knows the cancellations of this
	// incarnation, appliedRevision the revision up to which the holder knows the stored
	// state.
	upTo            uint64
	appliedRevision uint64
}

func (h *holderState) recordKnown(upTo, appliedRevision uint64) {
	h.upTo = max(h.upTo, upTo)
	h.appliedRevision = max(h.appliedRevision, appliedRevision)
}

// Grantor is the side of a controller that confirms cancellations to users and grants read
// leases to a leader.
type Grantor struct {
	incarnation string
	startedAt   int64
	// leaseDuration is the maximum time for which a leader may hold a lease after the
	// grant, including the margin for clock drift and transit time.
	leaseDuration int64
	cancellations cancellationLog
	holders       map[string]*holderState
}

// NewGrantor returns the grantor of a controller that has just started. leaseDuration is the
// time for which a leader uses a read lease, measured by the leader's own clock.
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

// RecordCancellation records a cancellation and the revision at which it was stored, 0 if
// the revision is not known. It must be called before the cancellation is confirmed to a user.
func (g *Grantor) RecordCancellation(id string, revision uint64) {
	g.cancellations.record(id, revision)
}

// Grant answers a leader's request. synced reports whether this incarnation has read all state
// that was stored when it started. The leader may hold the lease from now on.
func (g *Grantor) Grant(from string, request GrantRequest, synced bool, now int64) CancellationPage {
	if holder := g.holders[from]; holder != nil {
		holder.grantedAt = now
		holder.recordKnown(g.ownNumber(request.Incarnation, request.UpTo), request.AppliedRevision)
	}
	return g.pageAfter(g.ownNumber(request.Incarnation, request.UpTo), request.AppliedRevision, synced)
}

// ownNumber returns the number if it was assigned by this incarnation, and 0 otherwise.
func (g *Grantor) ownNumber(incarnation string, number uint64) uint64 {
	if incarnation != g.incarnation {
		return 0
	}
	return number
}

// pageAfter returns the page of the cancellations after a number, without those that a
// controller with appliedRevision has already read from the stored state.
func (g *Grantor) pageAfter(number, appliedRevision uint64, synced bool) CancellationPage {
	log := &g.cancellations
	page := CancellationPage{Incarnation: g.incarnation, After: number, UpTo: number, Complete: synced}
	if number+1 < log.firstNumber {
		page.UpTo = log.firstNumber - 1
		if log.mayLackDropped(appliedRevision) {
			page.Complete, page.Incarnation = false, "" // dropped entries can't be sent
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

// HandleAck processes a controller's answer to a message that was sent to it at sentAt. ack is
// nil if the controller runs a version without read leases.
func (g *Grantor) HandleAck(from string, sentAt int64, ack *HolderAck) {
	holder := g.holders[from]
	if holder == nil {
		return
	}
	if ack == nil || !ack.Holds {
		holder.cleared = true
		if holder.grantedAt < sentAt {
			holder.grantedAt = 0 // a grant since sentAt may have arrived after the holder answered
		}
		return
	}
	holder.recordKnown(g.ownNumber(ack.Incarnation, ack.UpTo), ack.AppliedRevision)
}

// mayHold reports whether a controller may hold a read lease of this grantor, granted by this
// incarnation or an earlier one.
func (g *Grantor) mayHold(holder *holderState, now int64) bool {
	if holder.grantedAt != 0 && now-holder.grantedAt < g.leaseDuration {
		return true
	}
	return !holder.cleared && now-g.startedAt < g.leaseDuration
}

// Uninformed returns the names, sorted, of the controllers that may hold a read lease and do
// not know all of the given cancellations.
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

// RecentCancellations returns the newest cancellations, at most maxPageEntries, for a leader
// that runs a version without read leases.
func (g *Grantor) RecentCancellations() (ids []string) {
	entries := g.cancellations.entries
	for _, entry := range entries[max(0, len(entries)-maxPageEntries):] {
		ids = append(ids, entry.id)
	}
	return ids
}

// PageFor returns the next page for a holder that has to be informed. It does not grant a
// lease.
func (g *Grantor) PageFor(to string) CancellationPage {
	holder := g.holders[to]
	if holder == nil {
		return CancellationPage{}
	}
	return g.pageAfter(holder.upTo, holder.appliedRevision, false)
}
