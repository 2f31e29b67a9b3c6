package environment

import (
	"fmt"
	"math"
	"slices"

	"github.com/benbjohnson/immutable"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// Limits and timing of the cloud API.
const (
	maxRentCount    = 50
	maxReleaseCount = 100
	maxListPage     = 500
	// minBilledTime is the minimum time that a machine is billed for, in microseconds.
	minBilledTime = 60 * second
	// deadListedFor is the time for which a dead machine is still listed as running, in microseconds.
	deadListedFor = 30 * second
)

// cloud rents out machines. Its machine list is some seconds old: each change creates a new
// version of an immutable map, and readers get an earlier version.
type cloud struct {
	env           *Environment
	machines      map[string]*machine
	order         []*machine          // by name, which is the order of creation
	rentRequests  map[string][]string // machine names by request ID
	used          map[Capacity]int    // rented machines by key, see capacityKey
	versions      []listVersion
	down          bool
	refusing      bool
	capacityShare float64 // available share of the configured capacity
	bootFactor    float64 // multiplier of boot times
	calls         bucket
}

type listVersion struct {
	at   int64
	list *immutable.SortedMap[string, listedMachine]
}

type listedMachine struct {
	machine *machine
	status  string
}

func newCloud(env *Environment) *cloud {
	return &cloud{
		env: env, machines: map[string]*machine{}, rentRequests: map[string][]string{}, used: map[Capacity]int{}, capacityShare: 1, bootFactor: 1,
		calls: bucket{level: 2 * env.Params.Cloud.RPS}, versions: []listVersion{{math.MinInt64 / 2, immutable.NewSortedMap[string, listedMachine](nil)}},
	}
}

func (c *cloud) machineType(name string) *wire.MachineType {
	if i := slices.IndexFunc(c.env.Types, func(t wire.MachineType) bool { return t.Name == name }); i >= 0 {
		return &c.env.Types[i]
	}
	return nil
}

func (c *cloud) machine(name string) *machine { return c.machines[name] }

// capacityKey returns the key under which cloud.used counts the machines of a type, zone and
// billing model. Its Spot is 1 for spot machines; the key has no Count.
func capacityKey(typ, zone string, spot bool) Capacity {
	key := Capacity{Type: typ, Zone: zone}
	if spot {
		key.Spot = 1
	}
	return key
}

// setStatus sets the listed status of a machine in a new version of the list; an empty
// status removes the machine. It drops versions that are too old to be read.
func (c *cloud) setStatus(m *machine, status string) {
	list := c.versions[len(c.versions)-1].list
	if status == "" {
		list = list.Delete(m.name)
	} else {
		list = list.Set(m.name, listedMachine{m, status})
	}
	c.versions = append(c.versions, listVersion{c.env.now, list})
	oldest := c.env.now - c.listLag()*2 - second
	for len(c.versions) > 1 && c.versions[1].at < oldest {
		c.versions = c.versions[1:]
	}
}

func (c *cloud) listLag() int64 { return int64(c.env.Params.Cloud.ListLagS * 1e6) }

// call executes a request after a random delay and passes the response to answer. If the cloud is
// down or the rate limit is exceeded, it does not execute the request. Some responses are lost, and
// some of their requests are executed late.
func (c *cloud) call(req any, answer func(int, any)) {
	c.env.after(c.env.jitter(c.env.CloudDelay, 0.5, 1.5), func() {
		if c.down {
			answer(503, wire.Error{Error: "trouble"})
			return
		}
		if !c.calls.take(c.env.now, c.env.Params.Cloud.RPS, 2, 1) {
			answer(429, wire.Error{Error: "too many requests"})
			return
		}
		lost, late := c.env.loseAnswer()
		execute := func() {
			status, body := c.execute(req)
			if !lost {
				answer(status, body)
			}
		}
		if late > 0 {
			c.env.after(late, execute)
			return
		}
		execute()
	})
}

func (c *cloud) execute(req any) (int, any) {
	switch q := req.(type) {
	case wire.Types:
		types := inAnyOrder(c.env, c.env.Types)
		for i := range types {
			types[i].SpotPrice = c.price(&types[i], true)
		}
		return 200, wire.TypesAnswer{Types: types}
	case wire.Machines:
		return 200, c.list(q)
	case wire.Rent:
		return c.rent(q)
	case wire.Release:
		if len(q.Machines) > maxReleaseCount {
			return 400, wire.Error{Error: "stokers: more than 100"}
		}
		for _, name := range q.Machines {
			if m := c.machines[name]; m != nil && !m.deleted {
				m.deleted = true
				m.terminate("released")
				c.setStatus(m, "")
			}
		}
		return 200, struct{}{}
	}
	return 400, wire.Error{Error: "unknown request"}
}

// price returns the current price of a machine per hour. The spot price varies by up to a
// third around the nominal one, with a period of a quarter of an hour.
func (c *cloud) price(t *wire.MachineType, spot bool) float64 {
	if !spot {
		return t.Price
	}
	return t.SpotPrice * (1 + math.Sin(2*math.Pi*float64(c.env.now)/float64(900*second)+float64(len(t.Name)))/3)
}

// list returns a page of the machine list, as it was some time ago.
func (c *cloud) list(request wire.Machines) wire.MachinesAnswer {
	// The list shows the state of up to twice the lag ago, so it can be older than the
	// previous response.
	at := c.env.now - c.listLag()
	if c.env.rng.IntN(5) == 0 {
		at -= int64(c.env.rng.Float64() * float64(c.listLag()))
	}
	i, _ := slices.BinarySearchFunc(c.versions, at+1, func(v listVersion, t int64) int {
		if v.at < t {
			return -1
		}
		return 1
	})
	answer := wire.MachinesAnswer{Machines: []wire.ListedMachine{}}
	iterator := c.versions[max(i-1, 0)].list.Iterator()
	iterator.Seek(request.After)
	for !iterator.Done() {
		name, listed, _ := iterator.Next()
		if name <= request.After {
			continue
		}
		if len(answer.Machines) == min(max(request.Limit, 1), maxListPage) {
			answer.More = true
			break
		}
		m := listed.machine
		answer.Machines = append(answer.Machines, wire.ListedMachine{
			Name: name, Addr: name, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot, Status: listed.status,
			AgeS: float64(max(at-m.createdAt, 0)) / 1e6,
		})
	}
	return answer
}

// rent creates up to the requested number of machines. A repeated request ID returns the machines
// of the first request.
func (c *cloud) rent(request wire.Rent) (int, any) {
	machineType := c.machineType(request.Type)
	if machineType == nil || request.Request == "" || request.Count < 1 || request.Count > maxRentCount || !slices.Contains(machineType.Zones, request.Zone) {
		return 400, wire.Error{Error: "malformed"}
	}
	if names, ok := c.rentRequests[request.Request]; ok {
		return 200, wire.MachineNames{Machines: names}
	}
	count := min(c.available(request.Type, request.Zone, request.Spot), request.Count)
	if count <= 0 || c.refusing {
		return 503, wire.Error{Error: "no capacity"}
	}
	names := make([]string, count)
	for i := range names {
		boot := c.env.jitter(int64(machineType.BootS*1e6*c.bootFactor), 0.6, 1.5)
		switch chance := c.env.rng.Float64(); {
		case chance < c.env.Boot.Never:
			boot = -1
		case chance < c.env.Boot.Never+c.env.Boot.Slow:
			boot *= 5
		}
		names[i] = c.createMachine(machineType, request.Zone, request.Spot, boot).name
	}
	names = inAnyOrder(c.env, names)
	c.rentRequests[request.Request] = names
	return 200, wire.MachineNames{Machines: names}
}

// available returns the number of machines of a type that can still be rented in a zone. If no
// capacity is configured, there is no limit.
func (c *cloud) available(typ, zone string, spot bool) int {
	if len(c.env.Capacity) == 0 {
		return maxRentCount
	}
	for _, k := range c.env.Capacity {
		if k.Type == typ && k.Zone == zone {
			count := k.Count
			if spot {
				count = k.Spot
			}
			return int(float64(count)*c.capacityShare) - c.used[capacityKey(typ, zone, spot)]
		}
	}
	return 0
}

// MachineName returns the name of the machine that was rented after i others.
func MachineName(i int) string { return fmt.Sprintf("host-%06d", i) }

// createMachine adds a machine that is up after boot microseconds, or never if boot is
// negative.
func (c *cloud) createMachine(t *wire.MachineType, zone string, spot bool, boot int64) *machine {
	m := newMachine(c.env, MachineName(len(c.order)), t, zone, spot)
	c.order = append(c.order, m)
	c.machines[m.name] = m
	c.used[capacityKey(t.Name, zone, spot)]++
	c.env.network.addHost(m.name, zone, workerHosts)
	c.setStatus(m, "booting")
	if boot > 0 && boot < 2*second {
		c.env.recordOccurrence(history.OccurQuickBoot)
	}
	if boot >= 0 {
		c.env.after(boot, m.onBooted)
	}
	if s := c.env.Spot; spot && s.PerHour > 0 {
		// Reclaims follow a Poisson process.
		c.env.after(int64(c.env.rng.ExpFloat64()/s.PerHour*3600e6), func() { c.reclaim(m) })
	}
	return m
}

// reclaim reclaims a spot machine, after a notice unless the deployment gives none or this
// reclaim is one of the configured share without notice.
func (c *cloud) reclaim(m *machine) {
	s := c.env.Spot
	if m.gone || m.reclaimAt != 0 {
		return
	}
	if s.Notice == 0 || c.env.rng.Float64() < s.SilentShare {
		c.finishReclaim(m)
		return
	}
	m.reclaimAt = c.env.now + s.Notice
	m.reportSoon()
	c.env.after(c.env.jitter(s.Notice, 0.5, 1.5), func() { c.finishReclaim(m) })
}

// finishReclaim ends a reclaimed machine and removes it from the list.
func (c *cloud) finishReclaim(m *machine) {
	if !m.gone {
		m.terminate("taken")
		c.setStatus(m, "")
	}
}

// fail stops a machine that fails by itself. It is still listed as running for
// deadListedFor, and then as failed until it is deleted.
func (c *cloud) fail(m *machine) {
	m.terminate("died")
	c.env.after(deadListedFor, func() {
		if !m.deleted {
			c.setStatus(m, "failed")
		}
	})
}

// recordCost records the total cost of a machine.
func (c *cloud) recordCost(m *machine) {
	hours := float64(max(c.env.now-m.createdAt, minBilledTime)) / 3600e6
	c.env.record(history.Event{Kind: history.CostRecorded, Machine: m.name, Type: m.machineType.Name, Spot: m.spot, Cost: hours * c.price(m.machineType, m.spot)})
}

// Close records the cost of the machines that are still rented.
func (env *Environment) Close() {
	for _, m := range env.cloud.order {
		if !m.gone {
			env.cloud.recordCost(m)
		}
	}
}
