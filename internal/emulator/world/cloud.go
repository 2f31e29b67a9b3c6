package world

import (
	"fmt"
	"math"
	"slices"

	"github.com/benbjohnson/immutable"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// What the cloud takes and shows.
const (
	mostRented   = 50
	mostReleased = 100
	mostListed   = 500
	// leastPaid is what a machine costs at least, in microseconds.
	leastPaid = 60 * second
	// deadListed is how long a dead machine is still listed as running.
	deadListed = 30 * second
)

// cloud rents machines. What its list shows is some seconds old: each change
// makes a new version of an immutable map, and readers get an old one.
type cloud struct {
	w        *World
	machines map[string]*machine
	order    []*machine // by name, which is the order of creation
	hires    map[string][]string
	used     map[Capacity]int // Count is 1 for spot, see slot
	versions []version
	down     bool
	refusing bool
	share    float64 // of the capacity that is there
	slow     float64 // times that boots take
	calls    bucket
}

type version struct {
	at   int64
	list *immutable.SortedMap[string, listed]
}

type listed struct {
	m      *machine
	status string
}

func newCloud(w *World) *cloud {
	return &cloud{w: w, machines: map[string]*machine{}, hires: map[string][]string{}, used: map[Capacity]int{}, share: 1, slow: 1,
		calls: bucket{level: 2 * w.Params.Cloud.RPS}, versions: []version{{math.MinInt64 / 2, immutable.NewSortedMap[string, listed](nil)}}}
}

func (c *cloud) typ(name string) *wire.MachineType {
	if i := slices.IndexFunc(c.w.Types, func(t wire.MachineType) bool { return t.Name == name }); i >= 0 {
		return &c.w.Types[i]
	}
	return nil
}

func (c *cloud) machine(name string) *machine { return c.machines[name] }

// slot is the key of what is used of a capacity.
func slot(typ, zone string, spot bool) Capacity {
	s := Capacity{Type: typ, Zone: zone}
	if spot {
		s.Spot = 1
	}
	return s
}

// change makes a new version of the list.
func (c *cloud) change(m *machine, status string) {
	list := c.versions[len(c.versions)-1].list
	if status == "" {
		list = list.Delete(m.name)
	} else {
		list = list.Set(m.name, listed{m, status})
	}
	c.versions = append(c.versions, version{c.w.now, list})
	old := c.w.now - c.lag()*2 - second
	for len(c.versions) > 1 && c.versions[1].at < old {
		c.versions = c.versions[1:]
	}
}

func (c *cloud) lag() int64 { return int64(c.w.Params.Cloud.ListLagS * 1e6) }

func (c *cloud) call(req any, answer func(int, any)) {
	c.w.after(c.w.spread(c.w.CloudDelay, 0.5, 1.5), func() {
		if c.down {
			answer(503, wire.Error{Error: "trouble"})
			return
		}
		if !c.calls.take(c.w.now, c.w.Params.Cloud.RPS, 2, 1) {
			answer(429, wire.Error{Error: "too many requests"})
			return
		}
		lost, late := c.w.lost()
		execute := func() {
			status, body := c.execute(req)
			if !lost {
				answer(status, body)
			}
		}
		if late > 0 {
			c.w.after(late, execute)
			return
		}
		execute()
	})
}

func (c *cloud) execute(req any) (int, any) {
	switch q := req.(type) {
	case wire.Types:
		types := slices.Clone(c.w.Types)
		for i := range types {
			types[i].SpotPrice = c.price(&types[i], true)
		}
		return 200, wire.TypesAnswer{Types: types}
	case wire.Machines:
		return 200, c.list(q)
	case wire.Rent:
		return c.rent(q)
	case wire.Release:
		if len(q.Machines) > mostReleased {
			return 400, wire.Error{Error: "stokers: more than 100"}
		}
		for _, name := range q.Machines {
			if m := c.machines[name]; m != nil && !m.deleted {
				m.deleted = true
				m.end("released")
				c.change(m, "")
			}
		}
		return 200, struct{}{}
	}
	return 400, wire.Error{Error: "unknown request"}
}

// price is what a machine costs an hour now: that of spot ones moves by up to a
// third round the nominal one, over a quarter of an hour.
func (c *cloud) price(t *wire.MachineType, spot bool) float64 {
	if !spot {
		return t.Price
	}
	return t.SpotPrice * (1 + math.Sin(2*math.Pi*float64(c.w.now)/float64(900*second)+float64(len(t.Name)))/3)
}

func (c *cloud) list(q wire.Machines) wire.MachinesAnswer {
	// It describes a moment up to twice the lag ago, sometimes one before
	// that of the last list.
	at := c.w.now - c.lag()
	if c.w.rng.IntN(5) == 0 {
		at -= int64(c.w.rng.Float64() * float64(c.lag()))
	}
	i, _ := slices.BinarySearchFunc(c.versions, at+1, func(v version, t int64) int {
		if v.at < t {
			return -1
		}
		return 1
	})
	out := wire.MachinesAnswer{Machines: []wire.Listing{}}
	it := c.versions[max(i-1, 0)].list.Iterator()
	it.Seek(q.After)
	for !it.Done() {
		name, l, _ := it.Next()
		if name <= q.After {
			continue
		}
		if len(out.Machines) == min(max(q.Most, 1), mostListed) {
			out.More = true
			break
		}
		m := l.m
		out.Machines = append(out.Machines, wire.Listing{Name: name, Addr: name, Type: m.typ.Name, Zone: m.zone, Spot: m.spot, Status: l.status,
			AgeS: float64(max(at-m.made, 0)) / 1e6})
	}
	return out
}

func (c *cloud) rent(q wire.Rent) (int, any) {
	t := c.typ(q.Type)
	if t == nil || q.Request == "" || q.Count < 1 || q.Count > mostRented || !slices.Contains(t.Zones, q.Zone) {
		return 400, wire.Error{Error: "malformed"}
	}
	if names, ok := c.hires[q.Request]; ok {
		return 200, wire.Names{Machines: names}
	}
	n := min(c.room(q.Type, q.Zone, q.Spot), q.Count)
	if n <= 0 || c.refusing {
		return 503, wire.Error{Error: "no capacity"}
	}
	names := make([]string, n)
	for i := range names {
		boot := c.w.spread(int64(t.BootS*1e6*c.slow), 0.6, 1.5)
		switch r := c.w.rng.Float64(); {
		case r < c.w.Boot.Never:
			boot = -1
		case r < c.w.Boot.Never+c.w.Boot.Slow:
			boot *= 5
		}
		names[i] = c.make(t, q.Zone, q.Spot, boot).name
	}
	c.hires[q.Request] = names
	return 200, wire.Names{Machines: names}
}

// room is how many more machines of a kind there are. Without a capacity given,
// there is no limit.
func (c *cloud) room(typ, zone string, spot bool) int {
	if len(c.w.Capacity) == 0 {
		return mostRented
	}
	for _, k := range c.w.Capacity {
		if k.Type == typ && k.Zone == zone {
			n := k.Count
			if spot {
				n = k.Spot
			}
			return int(float64(n)*c.share) - c.used[slot(typ, zone, spot)]
		}
	}
	return 0
}

// MachineName is that of the machine that was rented after so many others.
func MachineName(i int) string { return fmt.Sprintf("host-%06d", i) }

// make makes a machine that is up after boot, or never if that is negative.
func (c *cloud) make(t *wire.MachineType, zone string, spot bool, boot int64) *machine {
	m := newMachine(c.w, MachineName(len(c.order)), t, zone, spot)
	c.order = append(c.order, m)
	c.machines[m.name] = m
	c.used[slot(t.Name, zone, spot)]++
	c.w.net.add(m.name, zone, workers)
	c.change(m, "booting")
	if boot > 0 && boot < 2*second {
		c.w.met(history.MetQuick)
	}
	if boot >= 0 {
		c.w.after(boot, m.begin)
	}
	if s := c.w.Spot; spot && s.PerHour > 0 {
		// Taken at a moment of a Poisson process.
		c.w.after(int64(c.w.rng.ExpFloat64()/s.PerHour*3600e6), func() { c.take(m) })
	}
	return m
}

// take takes a spot machine back, mostly with a notice.
func (c *cloud) take(m *machine) {
	s := c.w.Spot
	if m.gone || m.recall != 0 {
		return
	}
	if s.Notice == 0 || c.w.rng.Float64() < s.Silent {
		c.taken(m)
		return
	}
	m.recall = c.w.now + s.Notice
	m.changed()
	c.w.after(c.w.spread(s.Notice, 0.5, 1.5), func() { c.taken(m) })
}

func (c *cloud) taken(m *machine) {
	if !m.gone {
		m.end("taken")
		c.change(m, "")
	}
}

// died is a machine that stops on its own: it is listed as running for a while,
// and as failed until it is deleted.
func (c *cloud) died(m *machine) {
	m.end("died")
	c.w.after(deadListed, func() {
		if !m.deleted {
			c.change(m, "failed")
		}
	})
}

// paid records what a machine has cost.
func (c *cloud) paid(m *machine) {
	t := float64(max(c.w.now-m.made, leastPaid)) / 3600e6
	c.w.record(history.Event{Kind: history.Paid, Machine: m.name, Type: m.typ.Name, Spot: m.spot, Cost: t * c.price(m.typ, m.spot)})
}

// Close records what the machines that are still there have cost.
func (w *World) Close() {
	for _, m := range w.cloud.order {
		if !m.gone {
			w.cloud.paid(m)
		}
	}
}
