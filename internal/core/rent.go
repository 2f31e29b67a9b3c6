package core

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// cloudState is the leader's dealings with the cloud.
type cloudState struct {
	level    float64 // budget of calls
	at       int64
	busy     int // calls under way
	typesAt  int64
	listAt   int64
	listing  bool
	renting  map[market]bool
	refused  map[market]int64 // until when
	back     map[market]int64 // the length of the last pause
	retry    []Rent           // requests without an answer, under their names
	serial   int
	booting  map[string]booting
	release  []string
	peaks    map[pool]peak
	failed   int64            // when the last list failed
	listed   int64            // when the last list came
	returned map[string]int64 // machines whose release was answered
	listings listings
	idle     int // ordinary machines that are, when last counted
}

type booting struct {
	market
	since int64
	up    bool // listed as running
}

// market is where machines are rented.
type market struct {
	typ, zone string
	spot      bool
}

func newCloudState(now int64) cloudState {
	return cloudState{at: now, renting: map[market]bool{}, refused: map[market]int64{}, back: map[market]int64{}, booting: map[string]booting{}, peaks: map[pool]peak{}, returned: map[string]int64{}}
}

func (c *Core) cloudTick() {
	s := &c.lead.cloud
	rate := c.set.Cloud.RPS * 0.85
	s.level = min(s.level+float64(c.now-s.at)/1e6*rate, 2*rate)
	s.at = c.now
	call := func() bool {
		if s.level < 1 || s.busy >= 4 {
			return false
		}
		s.level--
		s.busy++
		return true
	}
	if (len(c.types) == 0 || s.typesAt == 0) && c.now-s.typesAt >= 2*second || c.now-s.typesAt >= 120*second {
		if call() {
			s.typesAt = c.now
			c.callCloud(CloudCall{Types: true})
		}
	}
	gathers := c.gathers()
	c.releaseTick(call, gathers)
	// A list takes a call for each page, which have to be paced as well:
	// large fleets are listed less often, so that most calls stay for renting.
	pages := int64(1 + c.lead.fleet.Len()/ListPage)
	every := min(pages*5*second, max(5*second, int64(float64(pages)/(rate*listShare)*1e6)))
	if !s.listing && c.now-s.listAt >= every && call() {
		s.listing, s.listAt = true, c.now
		s.level -= float64(pages - 1)
		c.callCloud(CloudCall{List: true, Gap: int64(1e6 / rate)})
	}
	c.rentTick(call, gathers)
}

func (c *Core) onTypes(m Types) {
	c.cloudEnded(m.By, m.Err)
	if !c.lead.ours(m.Token) {
		return
	}
	c.lead.cloud.busy--
	if m.Err != nil || len(m.Types) == 0 {
		c.lead.cloud.typesAt = c.now - 118*second
		return
	}
	old := encode(c.types)
	c.types = m.Types
	if b := encode(m.Types); c.typesAt == 0 || string(old) != string(b) {
		c.writeTypes(b)
	}
	for _, fm := range c.lead.fleet.All() {
		fm.SetType(c.types)
	}
	c.lead.planWanted = true
}

// writeTypes stores the machine types, those that do not fit one value one by
// one.
func (c *Core) writeTypes(all []byte) {
	writes := []Write{{Key: typesKey, Value: all}}
	if len(all) > c.valueLimit() {
		writes = writes[:0]
		for i, t := range c.types {
			writes = append(writes, Write{Key: typesKey + "/" + strconv.Itoa(i), Value: encode([]fleet.Type{t})})
		}
	}
	for _, w := range writes {
		c.leaderPuts(w.Key, w.Value, func(r Committed) {
			if r.Status == 200 {
				c.typesAt = r.Revision
			} else {
				c.typesAt = 0
			}
		})
	}
}

func (c *Core) onMachines(m Machines) {
	c.cloudEnded(m.By, m.Err)
	if !c.lead.ours(m.Token) {
		return
	}
	s := &c.lead.cloud
	s.listing = false
	s.busy--
	if m.Err != nil {
		s.failed = c.now
		return
	}
	listed := make(map[string]bool, len(m.List))
	for i := range m.List {
		x := &m.List[i]
		listed[x.Name] = true
		fm := c.lead.fleet.Get(x.Name)
		if fm != nil && fm.Addr == "" {
			fm.Addr = x.Addr // nothing of it has come, and it may have to be told
		}
		mk := market{x.Type, x.Zone, x.Spot}
		switch {
		case x.Status == "failed":
			delete(s.booting, x.Name)
			c.wantRelease(x.Name)
		case s.returned[x.Name] != 0:
			// The list lags; the release was answered.
		case fm != nil && fm.LastHeartbeat != 0:
			delete(s.booting, x.Name)
		default:
			b, ok := s.booting[x.Name]
			if !ok {
				b = booting{market: mk, since: c.now - x.Age}
			}
			b.up = b.up || x.Status == "running"
			s.booting[x.Name] = b
		}
	}
	s.listed = c.now
	c.unlisted(s.listings.read(s.listAt-2*config.MicrosOf(c.set.Cloud.ListLagS)-second, c.now, m.List))
	for name, at := range s.returned {
		if c.now-at > 120*second {
			delete(s.returned, name)
		}
	}
	for _, fm := range c.lead.fleet.All() {
		fm.InCloudList = listed[fm.Name]
	}
	for name, b := range s.booting {
		if !listed[name] && c.now-b.since > 60*second+4*config.MicrosOf(c.set.Cloud.ListLagS) {
			delete(s.booting, name)
		}
	}
	for _, fm := range slices.Clone(c.lead.fleet.All()) {
		// Long silent and no longer listed: only its name is left.
		if !fm.InCloudList && len(fm.Placed) == 0 && c.now-max(fm.LastHeartbeat, c.lead.since) > 90*second {
			c.forgetMachine(fm)
		}
	}
}

// releaseTick returns machines: silent ones, whose tasks a release ends for
// certain, faulty and never-booting ones, and those idle for long.
func (c *Core) releaseTick(call func() bool, gathers []gather) {
	s := &c.lead.cloud
	if !c.sure() {
		// It may have been replaced, and its successor may use the machines: a
		// leader that was cut off once gave up machines that had come up for the
		// next one. What was decided before waits here as well.
		return
	}
	report := config.MicrosOf(c.set.Workers.ReportS)
	heard, hush, silent := 0, 0, []*fleet.Machine{}
	idle := map[pool][]*fleet.Machine{}
	for _, m := range c.lead.fleet.All() {
		quiet := c.now - max(m.LastHeartbeat, c.lead.since)
		// One that has not been heard under this leader counts too, if it is
		// known to have work: else a leader that begins while a zone is cut
		// off takes all of the zone's machines for a few dead ones.
		if quiet > 2*report && (len(m.Placed) > 0 || m.LastHeartbeat != 0 && quiet < 60*second) {
			hush++
		}
		switch {
		case m.Releasing:
		case quiet < 2*report+second && m.LastHeartbeat != 0:
			heard++
			if m.Draining && len(m.Placed) == 0 {
				c.wantRelease(m.Name)
			}
			if m.IdleSince != 0 && len(m.Placed) == 0 && c.now-m.IdleSince > c.idleFor() && c.now-c.lead.since > c.set.Ops.IdleReturn && !gathered(gathers, m) {
				p := c.poolOf(m.Type, m.Spot)
				idle[p] = append(idle[p], m)
			}
		case len(m.Placed) > 0 && (quiet > 4*report+2*second || m.ReclaimAt != 0 && c.now > m.ReclaimAt && quiet > 2*report):
			silent = append(silent, m)
		}
	}
	// Of long idle machines those stay that are kept ready as spare ones.
	pools := slices.SortedFunc(maps.Keys(idle), pool.compare)
	for _, p := range pools {
		l := idle[p]
		slices.SortFunc(l, func(a, b *fleet.Machine) int {
			return cmp.Or(cmp.Compare(a.IdleSince, b.IdleSince), cmp.Compare(a.Name, b.Name))
		})
		for _, m := range l[:max(0, len(l)-c.spare(p))] {
			c.log.Info("returning an idle machine", "machine", m.Name)
			c.wantRelease(m.Name)
		}
	}
	// When many machines are silent the fault is more likely on the way to
	// them, and releasing them would end good work. So only a few are taken
	// for dead at once, unless the cloud does not list them any more. An
	// eighth of a large fleet is not few: machines die one by one, and what
	// goes silent together is behind a cut.
	slices.SortFunc(silent, func(a, b *fleet.Machine) int { return cmp.Compare(a.Name, b.Name) })
	few := hush <= max(1, min(heard/8, 6+heard/64))
	for _, m := range silent {
		last := max(m.LastHeartbeat, c.lead.since)
		if few || !m.InCloudList && last < s.listed-2*config.MicrosOf(c.set.Cloud.ListLagS) {
			c.log.Info("releasing a silent machine", "machine", m.Name, "tasks", len(m.Placed))
			c.wantRelease(m.Name)
		}
	}
	for _, name := range inOrder(s.booting) {
		b := s.booting[name]
		if m := c.lead.fleet.Get(name); m != nil && m.LastHeartbeat != 0 {
			// It has come up since the last list, as a whole zone does when
			// a cut that a leader began in is over.
			delete(s.booting, name)
			continue
		}
		// After a take-over machines that are up have yet to report here,
		// and the list may lag: neither is a sign that one never came up.
		limit := c.bootLimit(b.typ)
		known := limit / 2
		if b.up {
			limit, known = max(limit, 120*second), max(known, 120*second)
		}
		if c.now-b.since > limit && c.now-c.lead.since > known {
			c.log.Info("releasing a machine that does not come up", "machine", name)
			delete(s.booting, name)
			c.wantRelease(name)
		}
	}
	// One that came up after it was given up, while this waited, has work by now.
	s.release = slices.DeleteFunc(s.release, func(name string) bool {
		m := c.lead.fleet.Get(name)
		return m != nil && !m.Releasing
	})
	if len(s.release) == 0 || !call() {
		return
	}
	n := min(len(s.release), 100)
	names := slices.Clone(s.release[:n])
	s.release = slices.Clone(s.release[n:])
	c.callCloud(CloudCall{Release: names})
}

// bootLimit is when a booting machine is given up.
func (c *Core) bootLimit(typ string) int64 {
	for i := range c.types {
		if c.types[i].Name == typ {
			return c.types[i].Boot*5 + 30*second
		}
	}
	return 300 * second
}

func (c *Core) wantRelease(name string) {
	s := &c.lead.cloud
	if m := c.lead.fleet.Get(name); m != nil {
		if m.Releasing {
			return
		}
		m.Releasing = true
		m.MarkChanged()
	}
	if !slices.Contains(s.release, name) {
		s.release = append(s.release, name)
	}
}

func (c *Core) onReleased(m Released) {
	if c.lead == nil {
		return
	}
	s := &c.lead.cloud
	ours := c.lead.ours(m.Token)
	if ours {
		s.busy--
	}
	for _, name := range m.Names {
		fm := c.lead.fleet.Get(name)
		if !m.OK {
			if !ours {
				continue // since then another leader may have put work on it
			}
			// Not known: it may be executed late. Ask again until it is
			// certain; nothing is placed there any more.
			if !slices.Contains(s.release, name) {
				s.release = append(s.release, name)
			}
			continue
		}
		if fm != nil {
			c.gone(fm, "released")
			c.forgetMachine(fm)
		}
		c.lead.gone.note(name, Report{}, true, c.now)
		delete(s.booting, name)
		s.returned[name] = c.now
	}
	c.lead.planWanted = true
}

// forgetMachine drops a machine that is gone, and what it was warmed with.
func (c *Core) forgetMachine(m *fleet.Machine) {
	c.endWarm(m)
	c.lead.gone.note(m.Name, Report{Session: m.Epoch, Seq: m.Seq}, false, c.now)
	c.lead.fleet.Remove(m)
}

// rentTick asks for one machine kind at a time where work waits or spare
// machines are short.
func (c *Core) rentTick(call func() bool, gathers []gather) {
	s := &c.lead.cloud
	if len(c.types) == 0 || !c.sure() || c.now-c.lead.since < 5*second {
		return
	}
	if len(s.retry) > 0 {
		if call() {
			r := s.retry[0]
			s.retry = s.retry[1:]
			c.callCloud(CloudCall{Rent: &r})
		}
		return
	}
	type count struct{ busy, idle, booting int }
	counts := map[pool]*count{}
	at := func(typ string, spot bool) *count {
		p := c.poolOf(typ, spot)
		if counts[p] == nil {
			counts[p] = &count{}
		}
		return counts[p]
	}
	for _, m := range c.lead.fleet.All() {
		switch {
		case m.LastHeartbeat == 0 || c.now-m.LastHeartbeat > 15*second || m.Draining || m.Releasing || m.ReclaimAt != 0:
		case len(m.Placed) > 0:
			at(m.Type, m.Spot).busy++
		default:
			at(m.Type, m.Spot).idle++
		}
	}
	for name, b := range s.booting {
		if m := c.lead.fleet.Get(name); m == nil || m.LastHeartbeat == 0 {
			at(b.typ, b.spot).booting++
		}
	}
	s.idle = 0
	for p, n := range counts {
		if !p.spot {
			s.idle += n.idle
		}
	}
	for i := range c.types {
		t := &c.types[i]
		for _, p := range c.pools(t) {
			n := at(t.Name, p.spot)
			need := c.shortage(t, p)
			s.noteBusy(p, n.busy, c.now, c.idleFor())
			want := max(need, c.spare(p)-n.idle) - n.booting
			if want <= 0 {
				continue
			}
			mk, ok := c.chooseMarket(t, c.kinds(t, p, need > n.booting), gathers)
			if !ok {
				continue
			}
			if !call() {
				return
			}
			s.serial++
			r := Rent{Name: fmt.Sprintf("zinclb-%d-%d", c.lead.token, s.serial), Type: mk.typ, Zone: mk.zone, Spot: mk.spot, Count: min(want, rentMost)}
			s.renting[mk] = true
			c.callCloud(CloudCall{Rent: &r})
		}
	}
}

// listShare is the share of the calls that lists may take to come more often
// than 5 s a page: they tell of machines that were taken without a word.
const listShare = 0.1

// rentMost is how many machines the cloud rents out at one request.
const rentMost = 50

func perMachine(need, cap jobstate.Resources) int64 {
	n := int64(1 << 20)
	for _, x := range [][2]int64{{need.CPU, cap.CPU}, {need.GPU, cap.GPU}, {need.Mem, cap.Mem}} {
		if x[0] > 0 {
			n = min(n, x[1]/x[0])
		}
	}
	return max(n, 1)
}

// open says whether machines may be asked for in a market now.
func (s *cloudState) open(mk market, now int64) bool {
	return !s.renting[mk] && s.refused[mk] <= now
}

// chooseMarket picks a zone and kind that has not just been refused, of the kinds
// in their order. Jobs that machines are gathered for have theirs before.
func (c *Core) chooseMarket(t *fleet.Type, kinds []bool, gathers []gather) (market, bool) {
	s := &c.lead.cloud
	var opts []market
	for _, g := range gathers {
		for _, spot := range kinds {
			mk := market{t.Name, g.zone, spot}
			if g.spec.Allows(t.Name, g.zone, spot, t.Cap) && slices.Contains(t.Zones, g.zone) && s.open(mk, c.now) {
				return mk, true
			}
		}
	}
	for _, spot := range kinds {
		for _, z := range t.Zones {
			mk := market{t.Name, z, spot}
			if s.open(mk, c.now) {
				opts = append(opts, mk)
			}
		}
		if len(opts) > 0 {
			return opts[c.rng.IntN(len(opts))], true
		}
	}
	return market{}, false
}

func (c *Core) onRented(m Rented) {
	if !c.lead.ours(m.Rent.Token) {
		return // what was rented shows in the list
	}
	s := &c.lead.cloud
	s.busy--
	mk := market{m.Rent.Type, m.Rent.Zone, m.Rent.Spot}
	switch {
	case m.Status == 200:
		delete(s.renting, mk)
		for _, n := range m.Names {
			s.booting[n] = booting{market: mk, since: c.now}
		}
		if len(m.Names) < m.Rent.Count {
			c.pause(mk)
		} else {
			delete(s.back, mk)
		}
		c.log.Info("rented", "type", mk.typ, "zone", mk.zone, "spot", mk.spot, "asked", m.Rent.Count, "got", len(m.Names))
	case m.Status == 0 || m.Status == 429 || m.Status >= 500 && m.Status != 503:
		// No answer: the same request again is rented once at most.
		if len(s.retry) < 32 {
			s.retry = append(s.retry, m.Rent)
		}
	default:
		delete(s.renting, mk)
		c.pause(mk)
	}
}

// pause leaves a market alone after a refusal, longer each time.
func (c *Core) pause(mk market) {
	s := &c.lead.cloud
	b := min(max(s.back[mk]*2, 8*second), 40*second)
	s.back[mk] = b
	s.refused[mk] = c.now + b
}
