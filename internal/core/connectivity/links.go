package connectivity

import (
	"maps"
	"slices"
)

const (
	// pingFreshness is the time for which the answer to a ping proves that a peer can be
	// reached, in microseconds. Pings are sent once per second.
	pingFreshness = 2_500_000
	// inboundFreshness is the time for which a peer's request proves that the peer reaches
	// this controller, in microseconds.
	inboundFreshness = 3_500_000
	// isolationTimeout is the time without an answer from the state service after which a
	// controller counts as isolated, in microseconds.
	isolationTimeout = 1_500_000
	// minAdvertiseInterval is the minimum time between two stored advertisements. The interval
	// doubles up to maxAdvertiseInterval while the advertisement keeps changing.
	minAdvertiseInterval = second
	maxAdvertiseInterval = 16 * second
)

// Links holds the links of one controller, and the advertisements of the others.
type Links struct {
	self, incarnation string

	// Reads, Writes, Lease and Watch are the kinds of requests to the state service, which
	// may fail separately.
	Reads, Writes, Lease, Watch Link
	Cloud, Users                Link
	Workers                     Sample
	outbound, inbound           map[string]*Link // links to and from each peer

	// stored are the controllers' advertisements in the state service, received those from
	// the answers to pings.
	stored   map[string]Advertisement
	received map[string]receivedAdvertisement
	matrix   Matrix

	advertised        Advertisement // the last one that this controller stored
	advertisedAt      int64
	advertiseInterval int64

	handover   handoverState
	cloudProxy cloudProxyState
}

type receivedAdvertisement struct {
	Advertisement
	at int64
}

// NewLinks returns the links of a controller, without any evidence yet. Machines send one
// heartbeat per heartbeatInterval.
func NewLinks(self, incarnation string, peers []string, heartbeatInterval int64) *Links {
	l := &Links{
		self:              self,
		incarnation:       incarnation,
		Workers:           NewSample(heartbeatInterval),
		outbound:          map[string]*Link{},
		inbound:           map[string]*Link{},
		stored:            map[string]Advertisement{},
		received:          map[string]receivedAdvertisement{},
		advertiseInterval: minAdvertiseInterval,
		cloudProxy:        cloudProxyState{failedAt: map[string]int64{}},
	}
	for _, peer := range peers {
		l.outbound[peer], l.inbound[peer] = &Link{}, &Link{}
	}
	return l
}

// RecordPing records the result of a ping to a peer, and the peer's advertisement, nil if the
// answer had none.
func (l *Links) RecordPing(peer string, sentAt, now int64, ok bool, advertisement *Advertisement) {
	link := l.outbound[peer]
	switch {
	case link == nil:
	case !ok:
		link.RecordFailure(sentAt, now, NoResponse)
	default:
		link.RecordSuccess(sentAt, now)
		if advertisement != nil {
			l.received[peer] = receivedAdvertisement{*advertisement, now}
		}
	}
}

// RecordInbound records that a request from a peer has arrived.
func (l *Links) RecordInbound(peer string, now int64) {
	if link := l.inbound[peer]; link != nil {
		link.RecordSuccess(now, now)
	}
}

// PeerUp reports whether a peer has answered a recent ping.
func (l *Links) PeerUp(peer string, now int64) bool {
	link := l.outbound[peer]
	return link != nil && link.succeededAt != 0 && now-link.successSentAt < pingFreshness
}

// peers returns the names of the other controllers, sorted.
func (l *Links) peers() []string { return slices.Sorted(maps.Keys(l.outbound)) }

// SetStored records a controller's advertisement in the state service. nil means that it
// disappeared with its lease.
func (l *Links) SetStored(name string, advertisement *Advertisement) {
	if advertisement == nil {
		delete(l.stored, name)
		return
	}
	l.stored[name] = *advertisement
}

// ClearStored discards the stored advertisements, before they are read again.
func (l *Links) ClearStored() { clear(l.stored) }

// StateListed records that SetStored was called for all stored advertisements. If this
// controller's own is not among them, it disappeared with its lease before the listing, so no
// event will report its removal.
func (l *Links) StateListed() {
	if _, stored := l.stored[l.self]; !stored {
		l.ClearAdvertised()
	}
}

// LocalAdvertisement returns this controller's advertisement.
func (l *Links) LocalAdvertisement(now int64) Advertisement {
	local := Advertisement{
		Incarnation: l.incarnation,
		Cloud:       l.Cloud.succeededAt != 0 && !l.Cloud.down(),
		Flapping:    l.Lease.IsFlapping(now) || l.Workers.IsFlapping(now),
	}
	for _, zone := range l.Workers.Zones() {
		if eighths, known := l.Workers.ReachableEighths(zone); known {
			if local.ReachableEighths == nil {
				local.ReachableEighths = map[string]int{}
			}
			local.ReachableEighths[zone] = eighths
		}
	}
	for _, peer := range l.peers() {
		// A flapping link must not make a controller the better leader.
		if l.PeerUp(peer, now) && !l.outbound[peer].IsFlapping(now) {
			local.Peers = append(local.Peers, peer)
		}
	}
	return local
}

// Refresh recomputes the matrix from this controller and those whose advertisement is on a lease
// that has not expired. The answer to a recent ping takes precedence over the stored
// advertisement, which is older.
func (l *Links) Refresh(now int64) {
	matrix := Matrix{l.self: l.LocalAdvertisement(now)}
	for name, advertisement := range l.stored {
		inbound := l.inbound[name]
		if inbound == nil {
			continue
		}
		if received, ok := l.received[name]; ok && now-received.at < pingFreshness {
			advertisement = received.Advertisement
		}
		// The advertisement may be as old as its last change. The other controller counts as
		// reaching this one only if a recent request from it confirms that.
		if inbound.succeededAt == 0 || now-inbound.succeededAt >= inboundFreshness {
			advertisement.Peers = slices.DeleteFunc(slices.Clone(advertisement.Peers), func(peer string) bool { return peer == l.self })
		}
		matrix[name] = advertisement
	}
	l.matrix = matrix
}

// Matrix returns the matrix as of the last [Links.Refresh].
func (l *Links) Matrix() Matrix { return l.matrix }

// PendingAdvertisement returns this controller's advertisement; pending reports whether it has to
// be stored now, since it differs from the last stored one. The rate of these writes is limited, and
// the limit decreases while links keep changing.
func (l *Links) PendingAdvertisement(now int64) (local Advertisement, pending bool) {
	local = l.matrix[l.self]
	due := l.advertisedAt == 0 || now-l.advertisedAt >= l.advertiseInterval
	return local, due && local.Differs(&l.advertised)
}

// MarkAdvertised records that an advertisement is being stored.
func (l *Links) MarkAdvertised(advertisement Advertisement, now int64) {
	if l.advertisedAt != 0 && now-l.advertisedAt < 4*l.advertiseInterval {
		l.advertiseInterval = min(2*l.advertiseInterval, maxAdvertiseInterval)
	} else {
		l.advertiseInterval = minAdvertiseInterval
	}
	l.advertised, l.advertisedAt = advertisement, now
}

// ClearAdvertised causes the advertisement to be stored again, after its lease has expired or the
// write has failed.
func (l *Links) ClearAdvertised() { l.advertised = Advertisement{} }

// Isolated reports whether neither the state service nor any other controller answers. An isolated
// controller can neither answer users nor forward their requests. If the state service refuses
// requests, it may be down for all controllers, and they must not all reject users, so a
// controller that is refused does not count as isolated.
func (l *Links) Isolated(now int64) bool {
	newest, succeededAt := &l.Reads, int64(0)
	for _, link := range []*Link{&l.Reads, &l.Writes, &l.Lease} {
		if link.failedAt > newest.failedAt {
			newest = link
		}
		succeededAt = max(succeededAt, link.succeededAt)
	}
	if newest.failedAt <= succeededAt || now-succeededAt < isolationTimeout || newest.failure != NoResponse {
		return false
	}
	for peer := range l.outbound {
		if l.PeerUp(peer, now) {
			return false
		}
	}
	return len(l.outbound) > 0
}

// RelayTo returns a controller that answers this one and advertises that it reaches the
// controller to, "" if there is none.
func (l *Links) RelayTo(to string) string { return l.matrix.RelayTo(l.matrix[l.self].Peers, to) }

// ReachesZone reports whether a controller advertises that it reaches more than half of a zone.
func (l *Links) ReachesZone(name, zone string) bool {
	return l.matrix[name].ReachableEighths[zone] > wholeZone/2
}

// CannotReachZone reports whether a controller advertises that it reaches less than half of a
// zone while another reaches more than half: then the controller's link has failed, not the zone.
func (l *Links) CannotReachZone(name, zone string) bool {
	eighths, known := l.matrix[name].ReachableEighths[zone]
	if !known || eighths >= wholeZone/2 {
		return false
	}
	for other := range l.matrix {
		if l.ReachesZone(other, zone) {
			return true
		}
	}
	return false
}

// CannotReachMostZones reports whether a controller can't reach half or more of the zones that it
// knows.
func (l *Links) CannotReachMostZones(name string) bool {
	zones := l.matrix[name].ReachableEighths
	unreachable := 0
	for zone := range zones {
		if l.CannotReachZone(name, zone) {
			unreachable++
		}
	}
	return unreachable > 0 && 2*unreachable >= len(zones)
}

// LinkView describes one link for operators.
type LinkView struct {
	Link, State string
	// Age is the time since the last success, or -1 if there was none.
	Age int64
}

// LinkViews returns all links, in a fixed order.
func (l *Links) LinkViews(now int64) []LinkView {
	views := []LinkView{
		l.Reads.view("state reads", now, 10*second),
		l.Writes.view("state writes", now, 60*second),
		l.Lease.view("state lease", now, 10*second),
		l.Watch.view("state watch", now, 30*second),
		l.Cloud.view("cloud", now, 60*second),
		l.Users.view("users", now, 10*second),
	}
	for _, peer := range l.peers() {
		views = append(views,
			l.outbound[peer].view("to "+peer, now, 10*second),
			l.inbound[peer].view("from "+peer, now, inboundFreshness))
	}
	return views
}

func (l *Link) view(name string, now, maxAge int64) LinkView {
	view := LinkView{Link: name, State: l.State(now, maxAge).String(), Age: -1}
	if l.succeededAt != 0 {
		view.Age = now - l.succeededAt
	}
	return view
}
