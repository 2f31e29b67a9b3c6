package readlease

// grant is the knowledge of a leader about its read lease of one grantor.
type grant struct {
	// incarnation is the grantor's incarnation whose cancellations the leader knows up to
	// the number upTo.
	incarnation string
	upTo        uint64
	// grantedAt is the send time of the newest request whose answer granted the lease, 0 if
	// there is none.
	grantedAt int64
	// requestedAt is the send time of the last request; its answer may be in transit.
	requestedAt int64
	// runningIncarnation is the present incarnation of the grantor, "" if not known.
	runningIncarnation string
}

// valid reports whether the lease is held.
func (g *grant) valid(now, leaseDuration int64) bool {
	return g.grantedAt != 0 && now-g.grantedAt < leaseDuration
}

// Holder is the leader's side: its read lease of each other controller.
type Holder struct {
	leaseDuration int64
	grants        map[string]*grant
}

// NewHolder returns the holder of a leader that has no read leases yet.
func NewHolder(peers []string, leaseDuration int64) *Holder {
	h := &Holder{leaseDuration: leaseDuration, grants: map[string]*grant{}}
	for _, peer := range peers {
		h.grants[peer] = &grant{}
	}
	return h
}

// NextRequest returns the request to send to a controller now.
func (h *Holder) NextRequest(peer string, appliedRevision uint64, now int64) GrantRequest {
	grant := h.grants[peer]
	if grant == nil {
		return GrantRequest{}
	}
	grant.requestedAt = now
	return GrantRequest{Incarnation: grant.incarnation, UpTo: grant.upTo, AppliedRevision: appliedRevision}
}

// ApplyPage records a page of cancellations. It reports whether there is no gap between the page
// and the cancellations that the leader already knows from the grantor.
func (h *Holder) ApplyPage(peer string, page CancellationPage) bool {
	grant := h.grants[peer]
	if grant == nil || page.Incarnation == "" {
		return false // the grantor can't send all, or runs a version without read leases
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

// HandleGrant processes the answer, received now, to a request that was sent at sentAt. The
// caller has to record the cancellations in the page whether or not the lease is granted.
func (h *Holder) HandleGrant(peer string, sentAt, now int64, page CancellationPage) {
	if !h.ApplyPage(peer, page) || page.More || now-sentAt >= maxAnswerDelay {
		return
	}
	grant := h.grants[peer]
	// A grantor that has just restarted knows only the cancellations that its present
	// incarnation has confirmed. If the leader's lease of the earlier incarnation is still
	// valid, the leader knows the earlier ones too: while a leader may hold the lease, the
	// grantor confirms no cancellation of which it has not informed that leader.
	if page.Complete || grant.valid(now, h.leaseDuration) {
		grant.grantedAt = max(grant.grantedAt, sentAt)
	}
}

// SetIncarnation records the present incarnation of a controller. Answers of another incarnation
// were delayed in transit and are ignored.
func (h *Holder) SetIncarnation(peer, incarnation string) {
	if grant := h.grants[peer]; grant != nil && incarnation != "" {
		grant.runningIncarnation = incarnation
	}
}

// Ack returns the answer to a controller that has sent cancellations. It discards an expired
// lease, so after an answer that the lease is not held, the lease has to be granted again.
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

// NeverGranted is the age of the read lease of a controller that has not granted one.
const NeverGranted = -1

// StaleGrantors returns the controllers whose read leases are older than maxAge, with the age
// of the lease or [NeverGranted].
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

// OldestGrant returns the time up to which all other controllers have confirmed that the
// leader knows their cancellations, 0 if one of them has not.
func (h *Holder) OldestGrant() int64 {
	oldest := int64(-1)
	for _, grant := range h.grants {
		if oldest < 0 || grant.grantedAt < oldest {
			oldest = grant.grantedAt
		}
	}
	return max(oldest, 0)
}
