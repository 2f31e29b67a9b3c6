package core

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/ledger"
)

// Warming brings images to idle machines before they are needed. A worker
// keeps the result of a task that is done: started again, such a task fetches
// its image and exits as done. So a finished task carries its image to a
// machine at no risk: it does no work, and it can be stopped at any moment.
//
// Only tasks that this leader itself has seen done are used, each on one
// machine at a time, and only where their job allows it, within its team's
// limit. They are not stored: to a later leader they are tasks without a
// placement, which it stops.

// source is a finished task that can carry its image.
type source struct {
	spec  *ledger.Spec
	index int
	on    string // the machine that it is on
}

// imageUse is how much an image is asked for.
type imageUse struct {
	score float64
	at    int64
}

type warmState struct {
	sources map[string][]*source
	uses    map[string]imageUse
	serial  uint32
	at      int64
}

// Bounds of what is remembered for warming.
const (
	maxSources   = 12
	maxImages    = 200
	warmHalfLife = 300 * second
	warmAttempt  = 1 << 24 // above any attempt of a job's own
)

func newWarmState() warmState {
	return warmState{sources: map[string][]*source{}, uses: map[string]imageUse{}}
}

// noteUse counts a job's wish for its image; urgent jobs count for more.
func (c *Core) noteUse(s *ledger.Spec) {
	w := &c.lead.warm
	if s.Image == "" {
		return
	}
	u := w.uses[s.Image]
	for ; c.now-u.at > warmHalfLife && u.score > 0.01; u.at += warmHalfLife {
		u.score /= 2
	}
	u.score += float64(1 + 2*s.Priority)
	u.at = c.now
	w.uses[s.Image] = u
	if len(w.uses) > maxImages {
		var least string
		for im, u := range w.uses {
			if least == "" || u.at < w.uses[least].at || u.at == w.uses[least].at && im < least {
				least = im
			}
		}
		delete(w.uses, least)
		delete(w.sources, least)
	}
}

// addSources takes the tasks of a job that is done.
func (c *Core) addSources(s *ledger.Spec) {
	if s.Image == "" || s.OneZone && s.Tasks > 1 || s.Spread || s.Kind == ledger.Gang && s.Tasks > 1 || s.Kind == ledger.Service {
		return
	}
	w := &c.lead.warm
	list := w.sources[s.Image]
	for i := range min(s.Tasks, maxSources/2) {
		list = append(list, &source{spec: s, index: i})
	}
	if n := len(list) - maxSources; n > 0 {
		list = slices.DeleteFunc(list, func(x *source) bool {
			n--
			return n >= 0 && x.on == ""
		})
	}
	w.sources[s.Image] = list
}

// warmTick gives idle machines images that they lack.
func (c *Core) warmTick() {
	l := c.lead
	if c.now-l.warm.at < second || !c.sure() {
		return
	}
	l.warm.at, l.unparkWanted = c.now, true
	var idle []*fleet.Machine
	warming, free := 0, 0
	for _, m := range l.fleet {
		if !c.usable(m) || len(m.Placed) > 0 || m.Orphans != (ledger.Vec{}) {
			continue
		}
		free++
		if m.Warm != nil {
			warming++
			continue
		}
		idle = append(idle, m)
	}
	slices.SortFunc(idle, func(a, b *fleet.Machine) int { return cmp.Compare(a.Name, b.Name) })
	// Half of the idle machines stay quite idle, for jobs that come.
	left := (free+1)/2 - warming
	used := c.usage()
	for _, m := range idle {
		if left <= 0 {
			return
		}
		if c.someoneWaitsFor(m) {
			continue
		}
		if s := c.pickSource(m, used); s != nil {
			l.warm.serial++
			s.on = m.Name
			m.Warm = &fleet.Warm{Task: ledger.TaskName(s.spec.ID, s.index), Attempt: warmAttempt + l.warm.serial, Image: s.spec.Image, ImageMB: s.spec.ImageMB, Need: s.spec.Need, Team: s.spec.Team}
			u := used[s.spec.Team]
			u.cpu += s.spec.Need.CPU
			u.gpu += s.spec.Need.GPU
			used[s.spec.Team] = u
			left--
		}
	}
}

func (c *Core) someoneWaitsFor(m *fleet.Machine) bool {
	for _, w := range c.lead.waiting {
		if (len(w.spec.Types) == 0 || slices.Contains(w.spec.Types, m.Type)) && (w.spec.Spot || !m.Spot) && w.spec.Need.Fits(m.Cap) {
			return true
		}
	}
	return false
}

// pickSource finds the image in most demand that a machine lacks, has room
// for in its cache, and may get.
func (c *Core) pickSource(m *fleet.Machine, used map[string]usage) *source {
	w := &c.lead.warm
	var held int64
	for _, im := range m.Images {
		held += im.MB
	}
	var best *source
	var most float64
	images := make([]string, 0, len(w.uses))
	for im := range w.uses {
		images = append(images, im)
	}
	slices.Sort(images)
	for _, im := range images {
		u := w.uses[im]
		if _, ok := m.Images[im]; ok || u.score <= most {
			continue
		}
		for _, s := range w.sources[im] {
			sp := s.spec
			if s.on != "" || !sp.Allows(m.Type, m.Zone, m.Spot, m.Cap) || sp.Need.GPU == 0 && m.Cap.GPU > 0 || held+sp.ImageMB > m.CacheMB*8/10 || !c.withinLimit(sp.Team, used[sp.Team], sp.Need) {
				continue
			}
			best, most = s, u.score
			break
		}
	}
	return best
}

func (c *Core) withinLimit(team string, u usage, need ledger.Vec) bool {
	for i := range c.set.Teams {
		if t := &c.set.Teams[i]; t.Name == team {
			return (t.CPUsMax == 0 || u.cpu+need.CPU <= int64(t.CPUsMax*1000)) && (t.GPUsMax == 0 || u.gpu+need.GPU <= int64(t.GPUsMax*1000))
		}
	}
	return false
}

// endWarm forgets a machine's warming; its source can be used again.
func (c *Core) endWarm(m *fleet.Machine) {
	if m.Warm == nil {
		return
	}
	for _, s := range c.lead.warm.sources[m.Warm.Image] {
		if s.on == m.Name {
			s.on = ""
		}
	}
	m.Warm = nil
}

// reportedWarm handles the report of a warming task. It makes way for any
// placement, at once: orders are executed in their order.
func (c *Core) reportedWarm(m *fleet.Machine, tr *TaskReport) []Order {
	o := Order{Op: "forget", Task: tr.Name, Attempt: uint32(tr.Attempt)}
	switch {
	case tr.State == "exited":
		if tr.Why == "done" {
			m.Use(m.Warm.Image, m.Warm.ImageMB, c.now)
			c.lead.planWanted = true
		}
		c.endWarm(m)
		return []Order{o}
	case len(m.Placed) > 0 || m.Drain || m.NoticeAt != 0:
		o.Op = "stop"
		return []Order{o}
	}
	return nil
}

// warmOrder starts a machine's warming in the answer to a report, if that is
// still wanted.
func (c *Core) warmOrder(m *fleet.Machine, listed bool) []Order {
	w := m.Warm
	switch {
	case w == nil || listed:
		return nil
	case w.Sent && m.Fresh, len(m.Placed) > 0 && !w.Sent:
		// The order was dropped, or something better came.
		c.endWarm(m)
		return nil
	case w.Sent || !m.Fresh || m.Drain || m.NoticeAt != 0 || !c.sure():
		return nil
	}
	w.Sent = true
	return []Order{{Op: "start", Task: w.Task, Attempt: w.Attempt}}
}
