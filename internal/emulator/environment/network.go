package environment

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/gaissmai/bart"
)

// Network describes the delays of messages.
type Network struct {
	// SameZone and CrossZone are the delays within a zone and between two zones, in
	// microseconds. Jitter is the maximum relative deviation of a delay, and Loss the share
	// of messages that are lost once and retransmitted.
	SameZone, CrossZone int64
	Jitter, Loss        float64
	// CrossRegion is the delay between two regions, in microseconds; if it is 0, CrossZone
	// applies.
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
	switch regionA, regionB := region(a), region(b); {
	case a == b:
		return n.SameZone
	case n.CrossRegion > 0 && regionA != "" && regionB != "" && regionA != regionB:
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
	// held has the messages that are delivered when the partition ends, in order.
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
	set := &bart.Lite{}
	zones := len(n.env.Params.Zones)
	addWorkers := func(z int) {
		for k := workerHosts; k < 256; k++ {
			set.Insert(netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(k), 0}), 24))
		}
	}
	kinds := map[string]int{"services": serviceHosts, "users": userHosts, "controllers": controllerHosts}
	for _, host := range list {
		zone, isZone := strings.CutPrefix(host, "zone:")
		region, isRegion := strings.CutPrefix(host, "region:")
		workerZone, isWorkerZone := strings.CutPrefix(host, "workers:")
		kind, isKind := kinds[host]
		switch {
		case host == "all":
			set.Insert(netip.MustParsePrefix("10.0.0.0/8"))
		case isZone:
			z := n.zone(zone)
			if z == 0 {
				return nil, fmt.Errorf("unknown zone %q", zone)
			}
			set.Insert(zonePrefix(z))
		case isRegion:
			known := false
			for i, z := range n.env.Params.Zones {
				if n.env.Network.Regions[z] == region {
					set.Insert(zonePrefix(i + 1))
					known = true
				}
			}
			if !known {
				return nil, fmt.Errorf("unknown region %q", region)
			}
		case isWorkerZone:
			z := n.zone(workerZone)
			if z == 0 {
				return nil, fmt.Errorf("unknown zone %q", workerZone)
			}
			addWorkers(z)
		case isKind:
			for z := range zones + 1 {
				set.Insert(netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(kind), 0}), 24))
			}
		case host == "workers":
			for z := 1; z <= zones; z++ {
				addWorkers(z)
			}
		case n.addrs[host].IsValid():
			set.Insert(netip.PrefixFrom(n.addrs[host], 32))
		default:
			prefix, err := netip.ParsePrefix(host)
			if err != nil {
				return nil, fmt.Errorf("%q is not a host, zone, kind of host or address prefix", host)
			}
			set.Insert(prefix)
		}
	}
	return set, nil
}

// zonePrefix returns the address range of a zone.
func zonePrefix(zone int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(zone), 0, 0}), 16)
}

// PartitionMode says how a partition treats messages between its two sides. By default they are
// held until the partition ends.
type PartitionMode struct {
	// Reset breaks connections instead of holding their messages. Refuse breaks only new
	// connections; existing ones keep working.
	Reset, Refuse bool
	// OneWay affects only messages from the first set of hosts to the second.
	OneWay bool
}

// partitionBetween returns a partition that affects messages from one host to another, nil if
// there is none.
func (n *network) partitionBetween(from, to string) *partition {
	if len(n.partitions) == 0 {
		return nil
	}
	fromAddr, toAddr := n.addrs[from], n.addrs[to]
	for _, p := range n.partitions {
		if p.from.Contains(fromAddr) && p.to.Contains(toAddr) || !p.mode.OneWay && p.from.Contains(toAddr) && p.to.Contains(fromAddr) {
			return p
		}
	}
	return nil
}

// delay returns a random delay for a message between two hosts, with jitter and loss.
func (n *network) delay(from, to string) int64 {
	config := &n.env.Network
	latency := config.CrossZone
	fromZone, fromKnown := n.zones[from]
	toZone, toKnown := n.zones[to]
	if fromKnown && toKnown {
		latency = config.latency(fromZone, toZone)
	}
	latency = n.env.jitter(latency, 1-config.Jitter, 1+config.Jitter)
	if config.Loss > 0 && n.env.rng.Float64() < config.Loss {
		latency += retransmitDelay
	}
	return latency
}

// send delivers a message after the network delay. A partition that holds messages delivers the
// message when the partition ends, provided that the two hosts had a connection before;
// otherwise no connection is established and the message is lost. A partition with Reset breaks
// the connection, and one with Refuse breaks it if it is new: send then calls broken.
func (n *network) send(from, to string, deliver, broken func()) {
	n.env.after(n.delay(from, to), func() {
		pair := [2]string{min(from, to), max(from, to)}
		switch p := n.partitionBetween(from, to); {
		case p == nil, p.mode.Refuse && n.connections[pair]:
			n.connections[pair] = true
			deliver()
		case p.mode.Reset, p.mode.Refuse:
			broken()
		case n.connections[pair]:
			p.held = append(p.held, deliver)
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
func (n *network) beginPartition(from, to *bart.Lite, mode PartitionMode) (end func()) {
	p := &partition{from: from, to: to, mode: mode}
	n.partitions = append(n.partitions, p)
	return func() {
		for i, other := range n.partitions {
			if other == p {
				n.partitions = append(n.partitions[:i], n.partitions[i+1:]...)
				break
			}
		}
		for i, deliver := range p.held {
			n.env.after(int64(i), deliver)
		}
		p.held = nil
	}
}
