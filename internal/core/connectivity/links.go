package connectivity

import (
	"maps"
	"slices"
)

// How old evidence may be.
const (
	// pingFreshness is for how long a ping proves a peer, which is pinged once a second.
	pingFreshness = 2_500_000
	// inboundFreshness is for how long a peer's own call proves that it reaches us.
	inboundFreshness = 3_500_000
	// baseHandoverDelay is for how long a better leader has to be seen before this one
	// gives way, on an undisturbed day. It doubles with each move of leadership
	// within calm, so that links that come and go do not carry it along.
	baseHandoverDelay = 1_500_000
	handoverWindow    = 60 * second
	maxHandovers      = 4
	// candidateDelay is how much longer a candidate waits that somebody is better than.
	candidateDelay = 1_200_000
	// writeFailureTimeout is for how long writes have to fail, while reads are answered,
	// until the leader gives way to any controller that is there.
	writeFailureTimeout = 5 * second
	// minAdvertiseInterval is the least time between two stored values, maxAdvertiseInterval what it grows
	// to while they keep changing.
	minAdvertiseInterval = second
	maxAdvertiseInterval = 16 * second
)

// Links are one controller's.
type Links struct {
	self, incarnation string
	zones             []string
	// Reads, Writes, Lease and Watch are the state service's sides.
	Reads, Writes, Lease, Watch Link
	Cloud, Users                Link
	Workers                     Sample
	outbound, inbound           map[string]*Link
	// stored are the others' words in the state service, told those of pings.
	stored   map[string]Advertisement
	received map[string]receivedAdvertisement

	matrix Matrix
	// cloudProxy makes the calls of the cloud until cloudProxyUntil; cloudProxyFailedAt is when
	// a peer last could not.
	cloudProxy         string
	cloudProxyUntil    int64
	cloudProxyFailedAt map[string]int64
	advertised         Advertisement // the last one that was written
	advertisedAt       int64
	advertiseInterval  int64
	handovers          []int64
	betterSince        int64 // since when somebody else should lead
	lastHandover       Handover
}

type receivedAdvertisement struct {
	Advertisement
	at int64
}

// NewLinks makes a controller's links, of which nothing is known.
func NewLinks(self, boot string, peers, zones []string, report int64) *Links {
	l := &Links{self: self, incarnation: boot, zones: zones, Workers: NewSample(report), outbound: map[string]*Link{}, inbound: map[string]*Link{}, stored: map[string]Advertisement{}, received: map[string]receivedAdvertisement{}, advertiseInterval: minAdvertiseInterval, cloudProxyFailedAt: map[string]int64{}}
	for _, p := range peers {
		l.outbound[p], l.inbound[p] = &Link{}, &Link{}
	}
	return l
}

// RecordPing notes how a ping to a peer ended, and what it said.
func (l *Links) RecordPing(peer string, sent, now int64, ok bool, v *Advertisement) {
	link := l.outbound[peer]
	switch {
	case link == nil:
	case !ok:
		link.RecordFailure(sent, now, NoResponse)
	default:
		link.RecordSuccess(sent, now)
		if v != nil {
			l.received[peer] = receivedAdvertisement{*v, now}
		}
	}
}

// RecordInbound notes a call of a peer.
func (l *Links) RecordInbound(peer string, now int64) {
	if link := l.inbound[peer]; link != nil {
		link.RecordSuccess(now, now)
	}
}

// PeerUp says whether a peer has answered of late.
func (l *Links) PeerUp(peer string, now int64) bool {
	link := l.outbound[peer]
	return link != nil && link.succeededAt != 0 && now-link.successSentAt < pingFreshness
}

// SetStored notes another controller's word in the state service, nil that it is
// gone with its lease.
func (l *Links) SetStored(name string, v *Advertisement) {
	if v == nil {
		delete(l.stored, name)
		return
	}
	l.stored[name] = *v
}

// Restart forgets the words that were stored, as before they are read anew.
func (l *Links) Restart() { clear(l.stored) }

// LocalAdvertisement is what this controller says of itself.
func (l *Links) LocalAdvertisement(now int64) Advertisement {
	v := Advertisement{Incarnation: l.incarnation, Cloud: l.Cloud.succeededAt != 0 && !l.Cloud.down()}
	for _, z := range l.Workers.Zones() {
		if n, ok := l.Workers.ReachableEighths(z); ok {
			if v.ReachableEighths == nil {
				v.ReachableEighths = map[string]int{}
			}
			v.ReachableEighths[z] = n
		}
	}
	for _, p := range slices.Sorted(maps.Keys(l.outbound)) {
		// One that comes and goes is no way to lead by.
		if l.PeerUp(p, now) && !l.outbound[p].IsFlapping(now) {
			v.Peers = append(v.Peers, p)
		}
	}
	v.Flapping = l.Lease.IsFlapping(now) || l.Workers.IsFlapping(now)
	return v
}

// Refresh makes the matrix anew that the answers below go by: this controller, and
// those whose word is on a living lease. A ping's is newer where there is one.
func (l *Links) Refresh(now int64) {
	m := Matrix{l.self: l.LocalAdvertisement(now)}
	for name, v := range l.stored {
		if l.outbound[name] == nil {
			continue
		}
		if t, ok := l.received[name]; ok && now-t.at < pingFreshness {
			v = t.Advertisement
		}
		// Its word that it reaches us may be as old as its last change: what
		// it has not said by a call of late does not hold.
		if in := l.inbound[name]; in.succeededAt == 0 || now-in.succeededAt >= inboundFreshness {
			v.Peers = slices.DeleteFunc(slices.Clone(v.Peers), func(p string) bool { return p == l.self })
		}
		m[name] = v
	}
	l.matrix = m
}

// Matrix is who reaches what, as of the last look.
func (l *Links) Matrix() Matrix { return l.matrix }

// PendingAdvertisement is the value to store now, if there is something new to say. It keeps to
// a rate of its own, which falls while links come and go.
func (l *Links) PendingAdvertisement(now int64) (Advertisement, bool) {
	v := l.matrix[l.self]
	if !v.Differs(&l.advertised) || l.advertisedAt != 0 && now-l.advertisedAt < l.advertiseInterval {
		return v, false
	}
	return v, true
}

// MarkAdvertised notes that a value is being stored.
func (l *Links) MarkAdvertised(v Advertisement, now int64) {
	if l.advertisedAt != 0 && now-l.advertisedAt < 4*l.advertiseInterval {
		l.advertiseInterval = min(2*l.advertiseInterval, maxAdvertiseInterval)
	} else {
		l.advertiseInterval = minAdvertiseInterval
	}
	l.advertised, l.advertisedAt = v, now
}

// ClearAdvertised makes the value be stored again, as its lease has ended or the write
// failed.
func (l *Links) ClearAdvertised() { l.advertised = Advertisement{} }

// RecordHandover notes that leadership has changed hands.
func (l *Links) RecordHandover(now int64) {
	l.handovers = append(l.handovers, now)
	if len(l.handovers) > maxHandovers {
		l.handovers = l.handovers[1:]
	}
}

// handoverDelay is for how long somebody better has to be seen now.
func (l *Links) handoverDelay(now int64) int64 {
	p := int64(baseHandoverDelay)
	for i, at := range l.handovers {
		// The one that began this leadership is no sign of unrest.
		if i < len(l.handovers)-1 && now-at < handoverWindow {
			p *= 2
		}
	}
	return p
}

// HandoverTarget says to whom, and why, this controller should leave the leadership
// that it has; "" if it should keep it. It is asked several times a second.
func (l *Links) HandoverTarget(now int64) (to, why string) {
	m := l.matrix
	to = m.BetterLeader(l.self)
	why = "it reaches more workers"
	if to == "" && len(m) > 1 && l.Writes.DownFor(now) > writeFailureTimeout && l.Reads.Usable(now, 2*second) {
		// Nobody's word says who can write, but this one can't: by then its
		// reads prove that it is no outage.
		to, why = slices.Sorted(maps.Keys(m))[0], "writes are refused here alone"
		if to == l.self {
			to = slices.Sorted(maps.Keys(m))[1]
		}
	}
	switch {
	case to == "":
		l.betterSince = 0
		return "", ""
	case l.betterSince == 0:
		l.betterSince = now
	}
	if now-l.betterSince < l.handoverDelay(now) {
		return "", ""
	}
	l.betterSince = 0
	l.lastHandover = Handover{to, why, now}
	return to, why
}

// CandidateDelay is how much longer this candidate waits before it tries to lead,
// since another that is there would serve more.
func (l *Links) CandidateDelay() int64 {
	if l.matrix.BetterLeader(l.self) != "" {
		return candidateDelay
	}
	return 0
}

// Isolated says that neither the state service nor any other controller answers:
// whoever asks here can be told nothing, and nothing can be handed on. Where
// the state service refuses, it may be down for all, and all must not go.
func (l *Links) Isolated(now int64) bool {
	newest, okAt := &l.Reads, int64(0)
	for _, x := range []*Link{&l.Reads, &l.Writes, &l.Lease} {
		if x.failedAt > newest.failedAt {
			newest = x
		}
		okAt = max(okAt, x.succeededAt)
	}
	if len(l.outbound) == 0 || newest.failedAt <= okAt || now-okAt < baseHandoverDelay || newest.failure != NoResponse {
		return false
	}
	for p := range l.outbound {
		if l.PeerUp(p, now) {
			return false
		}
	}
	return true
}

// RelayTo is a controller that answers this one and says that it reaches another.
func (l *Links) RelayTo(to string) string { return l.matrix.RelayTo(l.matrix[l.self].Peers, to) }

// ReachesZone says whether a controller has said that it reaches most of a zone.
func (l *Links) ReachesZone(name, zone string) bool {
	return l.matrix[name].ReachableEighths[zone] > wholeZone/2
}

// CannotReachZone says that a controller has said of a zone that it reaches less than
// half of it, and another that it reaches more: it is not the zone.
func (l *Links) CannotReachZone(name, zone string) bool {
	n, ok := l.matrix[name].ReachableEighths[zone]
	if !ok || n >= wholeZone/2 {
		return false
	}
	for o := range l.matrix {
		if l.ReachesZone(o, zone) {
			return true
		}
	}
	return false
}

// cloudProxyDuration is for how long a peer makes the calls of the cloud before they are
// tried from here again, cloudFailureTimeout how long they have to fail before.
const (
	cloudProxyDuration  = 30 * second
	cloudFailureTimeout = 3 * second
)

// CloudProxy is the peer that is to make a leader's calls of the cloud, "" for the
// leader itself: where it has no answer from here of late, and one that answers
// us says that it has, or was not seen to fail.
func (l *Links) CloudProxy(now int64) string {
	if l.cloudProxy != "" && now < l.cloudProxyUntil && l.PeerUp(l.cloudProxy, now) {
		return l.cloudProxy
	}
	l.cloudProxy = ""
	// A refusal is the cloud's own, and no better elsewhere.
	if l.Cloud.DownFor(now) < cloudFailureTimeout || l.Cloud.failure != NoResponse || now-l.Cloud.failedAt > cloudProxyDuration {
		return ""
	}
	for _, p := range slices.Sorted(maps.Keys(l.outbound)) {
		if failed := l.cloudProxyFailedAt[p]; l.PeerUp(p, now) && (failed == 0 || now-failed > cloudProxyDuration) && (l.cloudProxy == "" || l.matrix[p].Cloud && !l.matrix[l.cloudProxy].Cloud) {
			l.cloudProxy, l.cloudProxyUntil = p, now+cloudProxyDuration
		}
	}
	return l.cloudProxy
}

// RecordCloudProxy notes how a call by way of a peer ended.
func (l *Links) RecordCloudProxy(peer string, ok bool, now int64) {
	if !ok {
		l.cloudProxyFailedAt[peer] = now
		if l.cloudProxy == peer {
			l.cloudProxy = ""
		}
	}
}

// CannotReachMostZones says that a controller is blind to most of the zones.
func (l *Links) CannotReachMostZones(name string) bool {
	blind := 0
	for z := range l.matrix[name].ReachableEighths {
		if l.CannotReachZone(name, z) {
			blind++
		}
	}
	return blind > 0 && 2*blind >= len(l.matrix[name].ReachableEighths)
}

// Handover is a time at which this controller gave way.
type Handover struct {
	To, Reason string
	At         int64
}

// LastHandover is the newest of them, of which At is 0 if there was none.
func (l *Links) LastHandover() Handover { return l.lastHandover }

// LinkView is one link for operators.
type LinkView struct {
	Link, State string
	// Age is how long ago it was last proven, -1 if never.
	Age int64
}

// LinkViews are all links, in a fixed order.
func (l *Links) LinkViews(now int64) (out []LinkView) {
	add := func(name string, x *Link, patience int64) {
		v := LinkView{name, x.State(now, patience).String(), -1}
		if x.succeededAt != 0 {
			v.Age = now - x.succeededAt
		}
		out = append(out, v)
	}
	add("state reads", &l.Reads, 10*second)
	add("state writes", &l.Writes, 60*second)
	add("state lease", &l.Lease, 10*second)
	add("state watch", &l.Watch, 30*second)
	add("cloud", &l.Cloud, 60*second)
	add("users", &l.Users, 10*second)
	for _, p := range slices.Sorted(maps.Keys(l.outbound)) {
		add("to "+p, l.outbound[p], 10*second)
		add("from "+p, l.inbound[p], inboundFreshness)
	}
	return out
}
