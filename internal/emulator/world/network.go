package world

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/gaissmai/bart"
)

// Network says how long messages take.
type Network struct {
	// Near and Far are the delays within a zone and between two, Jitter the
	// share by which they vary, Loss the share of messages that are lost once
	// and sent again.
	Near, Far    int64
	Jitter, Loss float64
	// Remote is the delay between two regions, 0 for that between two zones.
	Remote int64
	// Regions has the region of each zone. Without any, all zones are in one.
	Regions map[string]string
	// Home is the region of the state service, the cloud, the users and their
	// balancer, "" for all of them.
	Home string
}

// latency is the delay between two zones without what varies. The zone "" is
// that of the regional services.
func (n *Network) latency(a, b string) int64 {
	region := func(zone string) string {
		if zone == "" {
			return n.Home
		}
		return n.Regions[zone]
	}
	switch x, y := region(a), region(b); {
	case a == b:
		return n.Near
	case n.Remote > 0 && x != "" && y != "" && x != y:
		return n.Remote
	default:
		return n.Far
	}
}

// resend is how long it takes until a lost packet is sent again.
const resend = 200_000

// Hosts have addresses, so that a cut can be between any ranges of them:
// 10.ZONE.KIND.0 and up, zone 0 being that of the regional services.
const (
	services = iota
	users
	controllers
	workers // to the end of the zone's range
)

// network carries messages between hosts.
type network struct {
	w     *World
	addrs map[string]netip.Addr
	zones map[string]string // of each host
	count map[[2]int]int
	cuts  []*cut
	// met are the pairs of hosts that have a connection.
	met map[[2]string]bool
}

// cut separates two sets of hosts while it lasts.
type cut struct {
	a, b *bart.Lite
	how  Cutting
	// held is what is delivered when it ends, in order.
	held []func()
}

func newNetwork(w *World) *network {
	if w.Network.Near == 0 {
		w.Network.Near, w.Network.Far, w.Network.Jitter = 400, 800, 0.25
	}
	return &network{w: w, addrs: map[string]netip.Addr{}, zones: map[string]string{}, count: map[[2]int]int{}, met: map[[2]string]bool{}}
}

func (n *network) zone(name string) int {
	for i, z := range n.w.Params.Zones {
		if z == name {
			return i + 1
		}
	}
	return 0
}

// add gives a host its address.
func (n *network) add(name, zone string, kind int) {
	z := n.zone(zone)
	n.count[[2]int{z, kind}]++
	i := n.count[[2]int{z, kind}]
	n.zones[name] = zone
	n.addrs[name] = netip.AddrFrom4([4]byte{10, byte(z), byte(kind + i>>8), byte(i)})
}

// set reads a set of hosts: names of hosts, "zone:NAME", "region:NAME", "workers:ZONE",
// "controllers", "workers", "services", "users", "all" and prefixes of addresses.
func (n *network) set(list []string) (*bart.Lite, error) {
	s := &bart.Lite{}
	zones := len(n.w.Params.Zones)
	inZone := func(z int) {
		for k := workers; k < 256; k++ {
			s.Insert(netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(k), 0}), 24))
		}
	}
	kinds := map[string]int{"services": services, "users": users, "controllers": controllers}
	for _, h := range list {
		zone, isZone := strings.CutPrefix(h, "zone:")
		region, isRegion := strings.CutPrefix(h, "region:")
		part, isPart := strings.CutPrefix(h, "workers:")
		kind, isKind := kinds[h]
		switch {
		case h == "all":
			s.Insert(netip.MustParsePrefix("10.0.0.0/8"))
		case isZone:
			z := n.zone(zone)
			if z == 0 {
				return nil, fmt.Errorf("unknown zone %q", zone)
			}
			s.Insert(zonePrefix(z))
		case isRegion:
			known := false
			for i, z := range n.w.Params.Zones {
				if n.w.Network.Regions[z] == region {
					s.Insert(zonePrefix(i + 1))
					known = true
				}
			}
			if !known {
				return nil, fmt.Errorf("unknown region %q", region)
			}
		case isPart:
			z := n.zone(part)
			if z == 0 {
				return nil, fmt.Errorf("unknown zone %q", part)
			}
			inZone(z)
		case isKind:
			for z := range zones + 1 {
				s.Insert(netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(kind), 0}), 24))
			}
		case h == "workers":
			for z := 1; z <= zones; z++ {
				inZone(z)
			}
		case n.addrs[h].IsValid():
			s.Insert(netip.PrefixFrom(n.addrs[h], 32))
		default:
			p, err := netip.ParsePrefix(h)
			if err != nil {
				return nil, fmt.Errorf("%q is no host, zone, kind of host or prefix", h)
			}
			s.Insert(p)
		}
	}
	return s, nil
}

// zonePrefix has the addresses of a zone.
func zonePrefix(zone int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(zone), 0, 0}), 16)
}

// Cutting is how a cut treats what is sent across it.
type Cutting struct {
	// Reset: connections break instead of being held. Refuse: new ones break,
	// and those that are there go on.
	Reset, Refuse bool
	// OneWay: only what goes from the first hosts to the others is cut.
	OneWay bool
}

// between is the cut that separates two hosts, nil if there is none.
func (n *network) between(from, to string) *cut {
	if len(n.cuts) == 0 {
		return nil
	}
	f, t := n.addrs[from], n.addrs[to]
	for _, c := range n.cuts {
		if c.a.Contains(f) && c.b.Contains(t) || !c.how.OneWay && c.a.Contains(t) && c.b.Contains(f) {
			return c
		}
	}
	return nil
}

func (n *network) delay(from, to string) int64 {
	c := &n.w.Network
	d := c.Far
	a, known := n.zones[from]
	b, alsoKnown := n.zones[to]
	if known && alsoKnown {
		d = c.latency(a, b)
	}
	d = n.w.spread(d, 1-c.Jitter, 1+c.Jitter)
	if c.Loss > 0 && n.w.rng.Float64() < c.Loss {
		d += resend
	}
	return d
}

// send delivers a message after the network's delay. Across a cut that holds,
// it is delivered when the cut ends, if the two had a connection before;
// otherwise the connection is never made and nothing comes. A cut that resets
// breaks the connection.
func (n *network) send(from, to string, deliver, broken func()) {
	n.w.after(n.delay(from, to), func() {
		pair := [2]string{min(from, to), max(from, to)}
		switch c := n.between(from, to); {
		case c == nil, c.how.Refuse && n.met[pair]:
			n.met[pair] = true
			deliver()
		case c.how.Reset, c.how.Refuse:
			broken()
		case n.met[pair]:
			c.held = append(c.held, deliver)
		}
	})
}

// parted forgets the connections of a host whose process has ended.
func (n *network) parted(host string) {
	for pair := range n.met {
		if pair[0] == host || pair[1] == host {
			delete(n.met, pair)
		}
	}
}

// begin begins a cut, whose end is returned.
func (n *network) begin(a, b *bart.Lite, how Cutting) (end func()) {
	c := &cut{a: a, b: b, how: how}
	n.cuts = append(n.cuts, c)
	return func() {
		for i, o := range n.cuts {
			if o == c {
				n.cuts = append(n.cuts[:i], n.cuts[i+1:]...)
				break
			}
		}
		for i, f := range c.held {
			n.w.after(int64(i), f)
		}
		c.held = nil
	}
}
