package environment

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/gaissmai/bart"
)

// Network describes the delays of messages.
type Network struct {
	// SameZone and CrossZone are the delays within a zone and between two zones, Jitter is
	// the maximum relative deviation of a delay, and Loss the share of messages that are
	// lost once and retransmitted.
	SameZone, CrossZone int64
	Jitter, Loss        float64
	// CrossRegion is the delay between two regions; if it is 0, CrossZone applies.
	CrossRegion int64
	// Regions has the region of each zone. If it is empty, all zones are in one region.
	Regions map[string]string
	// HomeRegion is the region of the state service, the cloud, the users and their load
	// balancer. If it is "", messages to and from them never have the cross-region delay.
	HomeRegion string
}

// latency returns the delay between two zones without jitter. The zone "" is that of the
// regional services.
func (n *Network) latency(a, b string) int64 {
	region := func(zone string) string {
		if zone == "" {
			return n.HomeRegion
		}
		return n.Regions[zone]
	}
	switch x, y := region(a), region(b); {
	case a == b:
		return n.SameZone
	case n.CrossRegion > 0 && x != "" && y != "" && x != y:
		return n.CrossRegion
	default:
		return n.CrossZone
	}
}

// retransmitDelay is the additional delay of a message that is lost once, in microseconds.
const retransmitDelay = 200_000

// The kinds of hosts. Each host has an address from 10.ZONE.KIND.0 on, so that any address
// range can be partitioned. Zone 0 is that of the regional services.
const (
	serviceHosts = iota
	userHosts
	controllerHosts
	workerHosts // up to the end of the zone's range
)

// network carries messages between hosts.
type network struct {
	env        *Environment
	addrs      map[string]netip.Addr
	zones      map[string]string // by host
	hostCount  map[[2]int]int    // by zone and kind
	partitions []*partition
	// connections are the pairs of hosts that have a connection.
	connections map[[2]string]bool
}

// partition separates two sets of hosts while it lasts.
type partition struct {
	from, to *bart.Lite
	mode     PartitionMode
	// held are the messages that are delivered when the partition ends, in order.
	held []func()
}

func newNetwork(env *Environment) *network {
	if env.Network.SameZone == 0 {
		env.Network.SameZone, env.Network.CrossZone, env.Network.Jitter = 400, 800, 0.25
	}
	return &network{env: env, addrs: map[string]netip.Addr{}, zones: map[string]string{}, hostCount: map[[2]int]int{}, connections: map[[2]string]bool{}}
}

// zone returns the number of a zone in addresses, counted from 1, or 0 if it is unknown.
func (n *network) zone(name string) int {
	for i, z := range n.env.Params.Zones {
		if z == name {
			return i + 1
		}
	}
	return 0
}

// addHost assigns an address to a host.
func (n *network) addHost(name, zone string, kind int) {
	z := n.zone(zone)
	n.hostCount[[2]int{z, kind}]++
	i := n.hostCount[[2]int{z, kind}]
	n.zones[name] = zone
	n.addrs[name] = netip.AddrFrom4([4]byte{10, byte(z), byte(kind + i>>8), byte(i)})
}

// hostSet parses a list of hosts into a set of addresses. An entry is the name of a host,
// "zone:NAME", "region:NAME", "workers:ZONE", "controllers", "workers", "services", "users",
// "all" or an address prefix.
func (n *network) hostSet(list []string) (*bart.Lite, error) {
	s := &bart.Lite{}
	zones := len(n.env.Params.Zones)
	inZone := func(z int) {
		for k := workerHosts; k < 256; k++ {
			s.Insert(netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(k), 0}), 24))
		}
	}
	kinds := map[string]int{"services": serviceHosts, "users": userHosts, "controllers": controllerHosts}
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
			for i, z := range n.env.Params.Zones {
				if n.env.Network.Regions[z] == region {
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
				return nil, fmt.Errorf("%q is not a host, zone, kind of host or address prefix", h)
			}
			s.Insert(p)
		}
	}
	return s, nil
}

// zonePrefix returns the address range of a zone.
func zonePrefix(zone int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(zone), 0, 0}), 16)
}

// PartitionMode says how a partition treats messages across it. By default they are held until
// it ends.
type PartitionMode struct {
	// Reset breaks connections instead of holding their messages. Refuse breaks only new
	// connections; existing ones keep working.
	Reset, Refuse bool
	// OneWay affects only messages from the first set of hosts to the second.
	OneWay bool
}

// partitionBetween returns the partition that separates two hosts, nil if there is none.
func (n *network) partitionBetween(from, to string) *partition {
	if len(n.partitions) == 0 {
		return nil
	}
	f, t := n.addrs[from], n.addrs[to]
	for _, c := range n.partitions {
		if c.from.Contains(f) && c.to.Contains(t) || !c.mode.OneWay && c.from.Contains(t) && c.to.Contains(f) {
			return c
		}
	}
	return nil
}

// delay returns a random delay for a message between two hosts, with jitter and loss.
func (n *network) delay(from, to string) int64 {
	c := &n.env.Network
	d := c.CrossZone
	a, known := n.zones[from]
	b, alsoKnown := n.zones[to]
	if known && alsoKnown {
		d = c.latency(a, b)
	}
	d = n.env.jitter(d, 1-c.Jitter, 1+c.Jitter)
	if c.Loss > 0 && n.env.rng.Float64() < c.Loss {
		d += retransmitDelay
	}
	return d
}

// send delivers a message after the network delay. A partition that holds messages delivers it
// when it ends, provided that the two hosts had a connection before; otherwise no connection is
// established and the message is lost. A partition with Reset breaks the connection, and one
// with Refuse breaks it if it is new: send then calls broken.
func (n *network) send(from, to string, deliver, broken func()) {
	n.env.after(n.delay(from, to), func() {
		pair := [2]string{min(from, to), max(from, to)}
		switch c := n.partitionBetween(from, to); {
		case c == nil, c.mode.Refuse && n.connections[pair]:
			n.connections[pair] = true
			deliver()
		case c.mode.Reset, c.mode.Refuse:
			broken()
		case n.connections[pair]:
			c.held = append(c.held, deliver)
		}
	})
}

// forgetConnections forgets the connections of a host whose process has ended.
func (n *network) forgetConnections(host string) {
	for pair := range n.connections {
		if pair[0] == host || pair[1] == host {
			delete(n.connections, pair)
		}
	}
}

// beginPartition begins a partition and returns the function that ends it.
func (n *network) beginPartition(a, b *bart.Lite, mode PartitionMode) (end func()) {
	c := &partition{from: a, to: b, mode: mode}
	n.partitions = append(n.partitions, c)
	return func() {
		for i, o := range n.partitions {
			if o == c {
				n.partitions = append(n.partitions[:i], n.partitions[i+1:]...)
				break
			}
		}
		for i, f := range c.held {
			n.env.after(int64(i), f)
		}
		c.held = nil
	}
}
