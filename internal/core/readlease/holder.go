package readlease

// grant is what a leader has of one grantor.
type grant struct {
	// incarnation and upTo say up to which cancellation it knows those of the grantor.
	incarnation string
	upTo        uint64
	// grantedAt is when the newest request was sent whose answer counts, 0 for none.
	grantedAt int64
	// requestedAt is when a request was last sent; its answer may be on the way.
	requestedAt int64
	// runningIncarnation is the grantor's incarnation that runs, as far as it is known.
	runningIncarnation string
}

// valid reports whether the lease is held.
func (g *grant) valid(now, leaseDuration int64) bool {
	return g.grantedAt != 0 && now-g.grantedAt < leaseDuration
}

// Holder is a leader's side: the read leases that it holds of each other controller.
type Holder struct {
	leaseDuration int64
	grants        map[string]*grant
}

// NewHolder makes the holder of a leader that has no read leases yet.
func NewHolder(peers []string, leaseDuration int64) *Holder {
	h := &Holder{leaseDuration: leaseDuration, grants: map[string]*grant{}}
	for _, peer := range peers {
		h.grants[peer] = &grant{}
	}
	return h
}

// NextRequest is the request to send to a controller now.
func (h *Holder) NextRequest(peer string, appliedRevision uint64, now int64) GrantRequest {
	grant := h.grants[peer]
	if grant == nil {
		return GrantRequest{}
	}
	grant.requestedAt = now
	return GrantRequest{Incarnation: grant.incarnation, UpTo: grant.upTo, AppliedRevision: appliedRevision}
}

// ApplyPage takes a page, and reports whether it continues what is known of its grantor.
func (h *Holder) ApplyPage(peer string, page CancellationPage) bool {
	grant := h.grants[peer]
	if grant == nil || page.Incarnation == "" {
		return false // the grantor can't send all, or its program knows no read leases
	}
	if grant.runningIncarnation != "" && page.Incarnation != grant.runningIncarnation {
		return false
	}
	if page.Incarnation != grant.incarnation {
		if page.After != 0 {
			return false
		}
		grant.incarnation, grant.upTo = page.Incarnation, 0
	}
	if page.After > grant.upTo {
		return false // a page is missing
	}
	grant.upTo = max(grant.upTo, page.UpTo)
	return true
}

// HandleGrant takes the answer, received now, to a request that was sent at a time. The
// cancellations in the page have to be noted whether or not the answer counts.
func (h *Holder) HandleGrant(peer string, sentAt, now int64, page CancellationPage) {
	if !h.ApplyPage(peer, page) || page.More || now-sentAt >= maxAnswerDelay {
		return
	}
	grant := h.grants[peer]
	// A grantor that has just restarted speaks for its present incarnation alone. What the
	// earlier one has confirmed is known while that one's lease is valid: for as long as
	// the lease could be held, it confirmed nothing that this leader was not informed of.
	if page.Complete || grant.valid(now, h.leaseDuration) {
		grant.grantedAt = max(grant.grantedAt, sentAt)
	}
}

// SetIncarnation notes which incarnation of a controller runs. Answers of another one were
// delayed on the way and do not count.
func (h *Holder) SetIncarnation(peer, incarnation string) {
	if grant := h.grants[peer]; grant != nil && incarnation != "" {
		grant.runningIncarnation = incarnation
	}
}

// Ack is what to answer a controller that has sent cancellations. A lease that is said not to
// be held has expired for good: it has to be granted anew.
func (h *Holder) Ack(peer string, appliedRevision uint64, now int64) HolderAck {
	grant := h.grants[peer]
	if grant == nil {
		return HolderAck{}
	}
	if !grant.valid(now, h.leaseDuration) {
		grant.grantedAt = 0
		if grant.requestedAt == 0 || now-grant.requestedAt >= maxAnswerDelay {
			return HolderAck{}
		}
	}
	return HolderAck{Holds: true, Incarnation: grant.incarnation, UpTo: grant.upTo, AppliedRevision: appliedRevision}
}

// NeverGranted is the age of the lease of a controller that has granted none.
const NeverGranted = -1

// StaleGrantors has the controllers whose read leases are older than maxAge, with the age or
// [NeverGranted].
func (h *Holder) StaleGrantors(now, maxAge int64) map[string]int64 {
	ages := map[string]int64{}
	for name, grant := range h.grants {
		switch {
		case grant.grantedAt == 0:
			ages[name] = NeverGranted
		case now-grant.grantedAt > maxAge:
			ages[name] = now - grant.grantedAt
		}
	}
	return ages
}

// OldestGrant is the time up to which all other controllers have confirmed that the leader
// knows their cancellations, 0 if one of them has not.
func (h *Holder) OldestGrant() int64 {
	oldest := int64(-1)
	for _, grant := range h.grants {
		if oldest < 0 || grant.grantedAt < oldest {
			oldest = grant.grantedAt
		}
	}
	return max(oldest, 0)
}
