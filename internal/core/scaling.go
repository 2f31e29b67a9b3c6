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

// scalingState is the leader's dealings with the cloud.
type scalingState struct {
	callBudget    float64 // budget of calls
	refilledAt    int64
	callsRunning  int // calls under way
	typesListedAt int64
	listStartedAt int64
	listing       bool
	scalingOut    map[machineOffer]bool
	refusedUntil  map[machineOffer]int64 // until when
	lastPause     map[machineOffer]int64 // the length of the last pause
	unanswered    []ScaleOut             // requests without an answer, under their names
	requestSerial int
	booting       map[string]bootingMachine
	toScaleIn     []string
	peaks         map[machinePool]usagePeak
	listFailedAt  int64            // when the last list failed
	listedAt      int64            // when the last list came
	scaledInAt    map[string]int64 // machines whose release was answered
	listings      cloudListings
	idleOnDemand  int // ordinary machines that are, when last counted
}

type bootingMachine struct {
	machineOffer
	since int64
	up    bool // listed as running
}

// machineOffer is where machines are rented.
type machineOffer struct {
	machineType, zone string
	spot              bool
}

func newScalingState(now int64) scalingState {
	return scalingState{refilledAt: now, scalingOut: map[machineOffer]bool{}, refusedUntil: map[machineOffer]int64{}, lastPause: map[machineOffer]int64{}, booting: map[string]bootingMachine{}, peaks: map[machinePool]usagePeak{}, scaledInAt: map[string]int64{}}
}

// scaler rents machines from the cloud and returns them.
type scaler struct {
	*engine

	cache      *stateCache
	cloud      *cloudCaller
	committer  *committer
	elector    *elector
	membership *membership
	planner    *planner
	prefetcher *prefetcher

	costAware bool
}

func (sl *scaler) cloudTick() {
	s := &sl.elector.leadership.scaling
	rate := sl.settings.Cloud.RPS * 0.85
	s.callBudget = min(s.callBudget+float64(sl.now-s.refilledAt)/1e6*rate, 2*rate)
	s.refilledAt = sl.now
	call := func() bool {
		if s.callBudget < 1 || s.callsRunning >= 4 {
			return false
		}
		s.callBudget--
		s.callsRunning++
		return true
	}
	if (len(sl.cache.machineTypes) == 0 || s.typesListedAt == 0) && sl.now-s.typesListedAt >= 2*second || sl.now-s.typesListedAt >= 120*second {
		if call() {
			s.typesListedAt = sl.now
			sl.cloud.callCloud(CloudCall{ListTypes: true})
		}
	}
	gathers := sl.zoneGathers()
	sl.scaleInTick(call, gathers)
	// A list takes a call for each page, which have to be paced as well:
	// large fleets are listed less often, so that most calls stay for renting.
	pages := int64(1 + sl.elector.leadership.fleet.Len()/ListPage)
	every := min(pages*5*second, max(5*second, int64(float64(pages)/(rate*listCallShare)*1e6)))
	if !s.listing && sl.now-s.listStartedAt >= every && call() {
		s.listing, s.listStartedAt = true, sl.now
		s.callBudget -= float64(pages - 1)
		sl.cloud.callCloud(CloudCall{ListMachines: true, Gap: int64(1e6 / rate)})
	}
	sl.scaleOutTick(call, gathers)
}

func (sl *scaler) onMachineTypesListed(m MachineTypesListed) {
	sl.cloud.cloudCallEnded(m.ViaPeer, m.Err)
	if !sl.elector.leadsWithToken(m.FencingToken) {
		return
	}
	sl.elector.leadership.scaling.callsRunning--
	if m.Err != nil || len(m.Types) == 0 {
		sl.elector.leadership.scaling.typesListedAt = sl.now - 118*second
		return
	}
	old := encodeJSON(sl.cache.machineTypes)
	sl.cache.machineTypes = m.Types
	if b := encodeJSON(m.Types); sl.cache.typesRevision == 0 || string(old) != string(b) {
		sl.writeTypes(b)
	}
	for _, fm := range sl.elector.leadership.fleet.All() {
		fm.SetType(sl.cache.machineTypes)
	}
	sl.elector.leadership.planning.requestRound()
}

// writeTypes stores the machine types, those that do not fit one value one by
// one.
func (sl *scaler) writeTypes(all []byte) {
	writes := []Write{{Key: typesKey, Value: all}}
	if len(all) > sl.membership.valueLimit() {
		writes = writes[:0]
		for i, t := range sl.cache.machineTypes {
			writes = append(writes, Write{Key: typesKey + "/" + strconv.Itoa(i), Value: encodeJSON([]fleet.Type{t})})
		}
	}
	for _, w := range writes {
		sl.committer.putAsLeader(w.Key, w.Value, func(r Committed) {
			if r.Status == 200 {
				sl.cache.typesRevision = r.Revision
			} else {
				sl.cache.typesRevision = 0
			}
		})
	}
}

func (sl *scaler) onMachinesListed(m MachinesListed) {
	sl.cloud.cloudCallEnded(m.ViaPeer, m.Err)
	if !sl.elector.leadsWithToken(m.FencingToken) {
		return
	}
	s := &sl.elector.leadership.scaling
	s.listing = false
	s.callsRunning--
	if m.Err != nil {
		s.listFailedAt = sl.now
		return
	}
	listed := make(map[string]bool, len(m.List))
	for i := range m.List {
		x := &m.List[i]
		listed[x.Name] = true
		fm := sl.elector.leadership.fleet.Get(x.Name)
		if fm != nil && fm.Addr == "" {
			fm.Addr = x.Addr // nothing of it has come, and it may have to be told
		}
		mk := machineOffer{x.Type, x.Zone, x.Spot}
		switch {
		case x.Status == "failed":
			delete(s.booting, x.Name)
			sl.queueScaleIn(x.Name)
		case s.scaledInAt[x.Name] != 0:
			// The list lags; the release was answered.
		case fm != nil && fm.LastHeartbeat != 0:
			delete(s.booting, x.Name)
		default:
			b, ok := s.booting[x.Name]
			if !ok {
				b = bootingMachine{machineOffer: mk, since: sl.now - x.Age}
			}
			b.up = b.up || x.Status == "running"
			s.booting[x.Name] = b
		}
	}
	s.listedAt = sl.now
	sl.forgetUnlisted(s.listings.read(s.listStartedAt-2*config.MicrosOf(sl.settings.Cloud.ListLagS)-second, sl.now, m.List))
	for name, at := range s.scaledInAt {
		if sl.now-at > 120*second {
			delete(s.scaledInAt, name)
		}
	}
	for _, fm := range sl.elector.leadership.fleet.All() {
		fm.InCloudList = listed[fm.Name]
	}
	for name, b := range s.booting {
		if !listed[name] && sl.now-b.since > 60*second+4*config.MicrosOf(sl.settings.Cloud.ListLagS) {
			delete(s.booting, name)
		}
	}
	for _, fm := range slices.Clone(sl.elector.leadership.fleet.All()) {
		// Long silent and no longer listed: only its name is left.
		if !fm.InCloudList && len(fm.Placed) == 0 && sl.now-max(fm.LastHeartbeat, sl.elector.leadership.since) > 90*second {
			sl.forgetMachine(fm)
		}
	}
}

// scaleInTick returns machines: silent ones, whose tasks a release ends for
// certain, faulty and never-booting ones, and those idle for long.
func (sl *scaler) scaleInTick(call func() bool, gathers []zoneGather) {
	s := &sl.elector.leadership.scaling
	if !sl.elector.mayStartTasks() {
		// It may have been replaced, and its successor may use the machines: a
		// leader that was cut off once gave up machines that had come up for the
		// next one. What was decided before waits here as well.
		return
	}
	report := config.MicrosOf(sl.settings.Workers.ReportS)
	heard, hush, silent := 0, 0, []*fleet.Machine{}
	idle := map[machinePool][]*fleet.Machine{}
	for _, m := range sl.elector.leadership.fleet.All() {
		quiet := sl.now - max(m.LastHeartbeat, sl.elector.leadership.since)
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
				sl.queueScaleIn(m.Name)
			}
			if m.IdleSince != 0 && len(m.Placed) == 0 && sl.now-m.IdleSince > sl.idleReturnTime() && sl.now-sl.elector.leadership.since > sl.settings.Ops.IdleReturn && !isGathered(gathers, m) {
				p := sl.poolOf(m.Type, m.Spot)
				idle[p] = append(idle[p], m)
			}
		case len(m.Placed) > 0 && (quiet > 4*report+2*second || m.ReclaimAt != 0 && sl.now > m.ReclaimAt && quiet > 2*report):
			silent = append(silent, m)
		}
	}
	// Of long idle machines those stay that are kept ready as spare ones.
	pools := slices.SortedFunc(maps.Keys(idle), machinePool.compare)
	for _, p := range pools {
		l := idle[p]
		slices.SortFunc(l, func(a, b *fleet.Machine) int {
			return cmp.Or(cmp.Compare(a.IdleSince, b.IdleSince), cmp.Compare(a.Name, b.Name))
		})
		for _, m := range l[:max(0, len(l)-sl.spareMachines(p))] {
			sl.log.Info("returning an idle machine", "machine", m.Name)
			sl.queueScaleIn(m.Name)
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
		last := max(m.LastHeartbeat, sl.elector.leadership.since)
		if few || !m.InCloudList && last < s.listedAt-2*config.MicrosOf(sl.settings.Cloud.ListLagS) {
			sl.log.Info("releasing a silent machine", "machine", m.Name, "tasks", len(m.Placed))
			sl.queueScaleIn(m.Name)
		}
	}
	for _, name := range sortedKeys(s.booting) {
		b := s.booting[name]
		if m := sl.elector.leadership.fleet.Get(name); m != nil && m.LastHeartbeat != 0 {
			// It has come up since the last list, as a whole zone does when
			// a cut that a leader began in is over.
			delete(s.booting, name)
			continue
		}
		// After a take-over machines that are up have yet to report here,
		// and the list may lag: neither is a sign that one never came up.
		limit := sl.bootTimeout(b.machineType)
		known := limit / 2
		if b.up {
			limit, known = max(limit, 120*second), max(known, 120*second)
		}
		if sl.now-b.since > limit && sl.now-sl.elector.leadership.since > known {
			sl.log.Info("releasing a machine that does not come up", "machine", name)
			delete(s.booting, name)
			sl.queueScaleIn(name)
		}
	}
	// One that came up after it was given up, while this waited, has work by now.
	s.toScaleIn = slices.DeleteFunc(s.toScaleIn, func(name string) bool {
		m := sl.elector.leadership.fleet.Get(name)
		return m != nil && !m.Releasing
	})
	if len(s.toScaleIn) == 0 || !call() {
		return
	}
	n := min(len(s.toScaleIn), 100)
	names := slices.Clone(s.toScaleIn[:n])
	s.toScaleIn = slices.Clone(s.toScaleIn[n:])
	sl.cloud.callCloud(CloudCall{ScaleIn: names})
}

// bootTimeout is when a booting machine is given up.
func (sl *scaler) bootTimeout(typ string) int64 {
	for i := range sl.cache.machineTypes {
		if sl.cache.machineTypes[i].Name == typ {
			return sl.cache.machineTypes[i].Boot*5 + 30*second
		}
	}
	return 300 * second
}

func (sl *scaler) queueScaleIn(name string) {
	s := &sl.elector.leadership.scaling
	if m := sl.elector.leadership.fleet.Get(name); m != nil {
		if m.Releasing {
			return
		}
		m.Releasing = true
		m.MarkChanged()
	}
	if !slices.Contains(s.toScaleIn, name) {
		s.toScaleIn = append(s.toScaleIn, name)
	}
}

func (sl *scaler) onScaledIn(m ScaledIn) {
	if !sl.elector.isLeader() {
		return
	}
	s := &sl.elector.leadership.scaling
	ours := sl.elector.leadsWithToken(m.FencingToken)
	if ours {
		s.callsRunning--
	}
	for _, name := range m.Names {
		fm := sl.elector.leadership.fleet.Get(name)
		if !m.OK {
			if !ours {
				continue // since then another leader may have put work on it
			}
			// Not known: it may be executed late. Ask again until it is
			// certain; nothing is placed there any more.
			if !slices.Contains(s.toScaleIn, name) {
				s.toScaleIn = append(s.toScaleIn, name)
			}
			continue
		}
		if fm != nil {
			sl.planner.machineGone(fm, "released")
			sl.forgetMachine(fm)
		}
		sl.elector.leadership.heartbeats.departed.note(name, Heartbeat{}, true, sl.now)
		delete(s.booting, name)
		s.scaledInAt[name] = sl.now
	}
	sl.elector.leadership.planning.requestRound()
}

// forgetMachine drops a machine that is gone, and what it was warmed with.
func (sl *scaler) forgetMachine(m *fleet.Machine) {
	sl.prefetcher.endPrefetch(m)
	sl.elector.leadership.heartbeats.departed.note(m.Name, Heartbeat{Epoch: m.Epoch, Seq: m.Seq}, false, sl.now)
	sl.elector.leadership.fleet.Remove(m)
}

// scaleOutTick asks for one machine kind at a time where work waits or spare
// machines are short.
func (sl *scaler) scaleOutTick(call func() bool, gathers []zoneGather) {
	s := &sl.elector.leadership.scaling
	if len(sl.cache.machineTypes) == 0 || !sl.elector.mayStartTasks() || sl.now-sl.elector.leadership.since < 5*second {
		return
	}
	if len(s.unanswered) > 0 {
		if call() {
			r := s.unanswered[0]
			s.unanswered = s.unanswered[1:]
			sl.cloud.callCloud(CloudCall{ScaleOut: &r})
		}
		return
	}
	type count struct{ busy, idle, booting int }
	counts := map[machinePool]*count{}
	at := func(typ string, spot bool) *count {
		p := sl.poolOf(typ, spot)
		if counts[p] == nil {
			counts[p] = &count{}
		}
		return counts[p]
	}
	for _, m := range sl.elector.leadership.fleet.All() {
		switch {
		case m.LastHeartbeat == 0 || sl.now-m.LastHeartbeat > 15*second || m.Draining || m.Releasing || m.ReclaimAt != 0:
		case len(m.Placed) > 0:
			at(m.Type, m.Spot).busy++
		default:
			at(m.Type, m.Spot).idle++
		}
	}
	for name, b := range s.booting {
		if m := sl.elector.leadership.fleet.Get(name); m == nil || m.LastHeartbeat == 0 {
			at(b.machineType, b.spot).booting++
		}
	}
	s.idleOnDemand = 0
	for p, n := range counts {
		if !p.spot {
			s.idleOnDemand += n.idle
		}
	}
	for i := range sl.cache.machineTypes {
		t := &sl.cache.machineTypes[i]
		for _, p := range sl.pools(t) {
			n := at(t.Name, p.spot)
			need := sl.shortage(t, p)
			s.noteBusy(p, n.busy, sl.now, sl.idleReturnTime())
			want := max(need, sl.spareMachines(p)-n.idle) - n.booting
			if want <= 0 {
				continue
			}
			mk, ok := sl.chooseMarket(t, sl.scaleOutKinds(t, p, need > n.booting), gathers)
			if !ok {
				continue
			}
			if !call() {
				return
			}
			s.requestSerial++
			r := ScaleOut{Name: fmt.Sprintf("zinclb-%d-%d", sl.elector.fencingToken(), s.requestSerial), Type: mk.machineType, Zone: mk.zone, Spot: mk.spot, Count: min(want, maxScaleOut)}
			s.scalingOut[mk] = true
			sl.cloud.callCloud(CloudCall{ScaleOut: &r})
		}
	}
}

// listCallShare is the share of the calls that lists may take to come more often
// than 5 s a page: they tell of machines that were taken without a word.
const listCallShare = 0.1

// maxScaleOut is how many machines the cloud rents out at one request.
const maxScaleOut = 50

func tasksPerMachine(need, cap jobstate.Resources) int64 {
	n := int64(1 << 20)
	for _, x := range [][2]int64{{need.CPU, cap.CPU}, {need.GPU, cap.GPU}, {need.Mem, cap.Mem}} {
		if x[0] > 0 {
			n = min(n, x[1]/x[0])
		}
	}
	return max(n, 1)
}

// open says whether machines may be asked for in a market now.
func (s *scalingState) open(mk machineOffer, now int64) bool {
	return !s.scalingOut[mk] && s.refusedUntil[mk] <= now
}

// chooseMarket picks a zone and kind that has not just been refused, of the kinds
// in their order. Jobs that machines are gathered for have theirs before.
func (sl *scaler) chooseMarket(t *fleet.Type, kinds []bool, gathers []zoneGather) (machineOffer, bool) {
	s := &sl.elector.leadership.scaling
	var opts []machineOffer
	for _, g := range gathers {
		for _, spot := range kinds {
			mk := machineOffer{t.Name, g.zone, spot}
			if g.spec.Allows(t.Name, g.zone, spot, t.Cap) && slices.Contains(t.Zones, g.zone) && s.open(mk, sl.now) {
				return mk, true
			}
		}
	}
	for _, spot := range kinds {
		for _, z := range t.Zones {
			mk := machineOffer{t.Name, z, spot}
			if s.open(mk, sl.now) {
				opts = append(opts, mk)
			}
		}
		if len(opts) > 0 {
			return opts[sl.rng.IntN(len(opts))], true
		}
	}
	return machineOffer{}, false
}

func (sl *scaler) onScaledOut(m ScaledOut) {
	if !sl.elector.leadsWithToken(m.Request.FencingToken) {
		return // what was rented shows in the list
	}
	s := &sl.elector.leadership.scaling
	s.callsRunning--
	mk := machineOffer{m.Request.Type, m.Request.Zone, m.Request.Spot}
	switch {
	case m.Status == 200:
		delete(s.scalingOut, mk)
		for _, n := range m.Names {
			s.booting[n] = bootingMachine{machineOffer: mk, since: sl.now}
		}
		if len(m.Names) < m.Request.Count {
			sl.backOffMarket(mk)
		} else {
			delete(s.lastPause, mk)
		}
		sl.log.Info("rented", "type", mk.machineType, "zone", mk.zone, "spot", mk.spot, "asked", m.Request.Count, "got", len(m.Names))
	case m.Status == 0 || m.Status == 429 || m.Status >= 500 && m.Status != 503:
		// No answer: the same request again is rented once at most.
		if len(s.unanswered) < 32 {
			s.unanswered = append(s.unanswered, m.Request)
		}
	default:
		delete(s.scalingOut, mk)
		sl.backOffMarket(mk)
	}
}

// backOffMarket leaves a market alone after a refusal, longer each time.
func (sl *scaler) backOffMarket(mk machineOffer) {
	s := &sl.elector.leadership.scaling
	b := min(max(s.lastPause[mk]*2, 8*second), 40*second)
	s.lastPause[mk] = b
	s.refusedUntil[mk] = sl.now + b
}
