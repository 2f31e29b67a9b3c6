package core

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
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
	job   *carrier
	spec  *jobstate.Spec
	index int
	on    string // the machine that it is on
}

// carrier is a finished job of which tasks carry images: how many are out, and
// in which zone. Those of a job that sets one_zone stay in one, as its rule
// holds for tasks that are started again as well.
type carrier struct {
	out  int
	zone string
}

// mayGo says whether a source may go to a zone now.
func (s *source) mayGo(zone string) bool {
	return s.on == "" && (!s.spec.OneZone || s.job.out == 0 || s.job.zone == zone)
}

// send and back keep account of where a source is.
func (s *source) send(m *fleet.Machine) {
	s.on, s.job.zone = m.Name, m.Zone
	s.job.out++
}

func (s *source) back() {
	s.on = ""
	s.job.out--
}

// imageUse is how much an image is asked for.
type imageUse struct {
	score float64
	at    int64
}

type warmState struct {
	sources map[string][]*source
	uses    map[string]imageUse
	// used is what warming tasks take in their teams' names.
	used   map[string]usage
	serial uint32
	at     int64
}

// Bounds of what is remembered for warming.
const (
	minSources   = 12
	maxImages    = 200
	warmHalfLife = 300 * second
	warmAttempt  = 1 << 24 // above any attempt of a job's own
)

func newWarmState() warmState {
	return warmState{sources: map[string][]*source{}, uses: map[string]imageUse{}, used: map[string]usage{}}
}

// taken adds a warming task, or several or fewer, to what teams use.
func (warmState) taken(used map[string]usage, w *fleet.Prefetch, n int64) {
	u := used[w.Team]
	u.cpu += n * w.Need.CPU
	u.gpu += n * w.Need.GPU
	used[w.Team] = u
}

// noteUse counts a job's wish for its image; urgent jobs count for more.
func (c *Core) noteUse(s *jobstate.Spec) {
	w := &c.lead.warm
	if s.Image == "" {
		return
	}
	u := w.uses[s.Image]
	for ; c.now-u.at > warmHalfLife && u.score > 0.01; u.at += warmHalfLife {
		u.score /= 2
	}
	u.score += float64(1+2*s.Priority) * c.machinesFor(s)
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

// machinesFor is about how many machines a job takes, up to a few: an image
// whose jobs are wide is wanted on more machines.
func (c *Core) machinesFor(s *jobstate.Spec) float64 {
	const most = 16
	n := float64(most)
	for i := range c.types {
		if t := &c.types[i]; s.Need.Fits(t.Cap) && (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) {
			n = min(n, float64(s.Tasks)/float64(perMachine(s.Need, t.Cap)))
		}
	}
	return max(n, 1)
}

// allImages is what having every image that is asked for is worth: less than
// a fetch, so that it only decides between machines that are as good.
const allImages = 3 * second

// imageWorth shares that out by demand. With few machines idle, those with the
// images of urgent jobs would else be used up by jobs that have to fetch theirs
// wherever they go.
func (c *Core) imageWorth() map[string]int64 {
	var all float64
	for _, im := range inOrder(c.lead.warm.uses) {
		all += c.lead.warm.uses[im].score
	}
	worth := make(map[string]int64, len(c.lead.warm.uses))
	for im, u := range c.lead.warm.uses {
		if all > 0 {
			worth[im] = int64(float64(allImages) * u.score / all)
		}
	}
	return worth
}

// addSources takes the tasks of a job that is done, and of which no task is on
// a machine any more. As many are kept as can be out at once in a large fleet.
func (c *Core) addSources(s *jobstate.Spec) {
	if s.Image == "" || s.Spread || s.Kind == jobstate.Service {
		return
	}
	w := &c.lead.warm
	list := w.sources[s.Image]
	most := minSources + c.lead.fleet.Len()/16
	job := &carrier{}
	for i := range min(s.Tasks, most/2) {
		list = append(list, &source{job: job, spec: s, index: i})
	}
	if n := len(list) - most; n > 0 {
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
	// Half of the idle machines of a type stay quite idle, for jobs that come.
	// Counted over all types, the many small machines took the turns of the few
	// whose images matter most.
	warming, free := map[string]int{}, map[string]int{}
	for _, m := range l.fleet.All() {
		if !c.usable(m) || m.SeqRestarted() || len(m.Placed) > 0 || m.OrphanUsage != (jobstate.Resources{}) {
			continue
		}
		free[m.Type]++
		if m.Prefetch != nil {
			warming[m.Type]++
			continue
		}
		idle = append(idle, m)
	}
	slices.SortFunc(idle, func(a, b *fleet.Machine) int { return cmp.Compare(a.Name, b.Name) })
	used := c.usage()
	wants := c.imageWants(idle)
	for _, m := range idle {
		if warming[m.Type] >= (free[m.Type]+1)/2 || c.someoneWaitsFor(m) {
			continue
		}
		if s := c.pickSource(m, used, wants); s != nil {
			l.warm.serial++
			s.send(m)
			wants.have(s.spec.Image)
			m.Prefetch = &fleet.Prefetch{Task: jobstate.TaskName(s.spec.ID, s.index), Attempt: warmAttempt + l.warm.serial, Image: s.spec.Image, ImageMB: s.spec.ImageMB, Need: s.spec.Need, Team: s.spec.Team}
			l.parkedAnswers.expect(m.Name)
			l.warm.taken(used, m.Prefetch, 1)
			l.warm.taken(l.warm.used, m.Prefetch, 1)
			warming[m.Type]++
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

// imageWant is how much an image is wanted on one more idle machine.
type imageWant struct {
	image    string
	score    float64
	machines int // idle ones that have it
}

type imageWants []imageWant

func (w imageWants) have(image string) {
	for i := range w {
		if w[i].image == image {
			w[i].machines++
		}
	}
}

// imageWants counts which images that there are sources of the idle machines
// have: each is to be on as many as its share of the demand.
func (c *Core) imageWants(idle []*fleet.Machine) imageWants {
	w := &c.lead.warm
	var wants imageWants
	for im, u := range w.uses {
		if len(w.sources[im]) > 0 {
			wants = append(wants, imageWant{image: im, score: u.score})
		}
	}
	slices.SortFunc(wants, func(a, b imageWant) int { return cmp.Compare(a.image, b.image) })
	for i := range wants {
		for _, m := range idle {
			if _, ok := m.Images[wants[i].image]; ok {
				wants[i].machines++
			}
		}
	}
	return wants
}

// pickSource finds the image most wanted that a machine lacks, has room for
// in its cache, and may get.
func (c *Core) pickSource(m *fleet.Machine, used map[string]usage, wants imageWants) *source {
	w := &c.lead.warm
	var held int64
	for _, im := range m.Images {
		held += im.MB
	}
	var best *source
	var most float64
	for i := range wants {
		im, score := wants[i].image, wants[i].score/float64(1+wants[i].machines)
		if _, ok := m.Images[im]; ok || score <= most {
			continue
		}
		for _, s := range w.sources[im] {
			sp := s.spec
			if !s.mayGo(m.Zone) || !sp.Allows(m.Type, m.Zone, m.Spot, m.Cap) || sp.Need.GPU == 0 && m.Cap.GPU > 0 || held+sp.ImageMB > m.CacheMB*8/10 || !c.withinLimit(sp.Team, used[sp.Team], 1, sp.Need) || !c.withinLimit(sp.Team, w.used[sp.Team], c.carried(), sp.Need) {
				continue
			}
			best, most = s, score
			break
		}
	}
	return best
}

// withinLimit says whether a team that uses so much may use more, of a share of
// its limit.
func (c *Core) withinLimit(team string, u usage, share float64, need jobstate.Resources) bool {
	t := c.set.Team(team)
	return t != nil && (t.CPUsMax == 0 || u.cpu+need.CPU <= int64(t.CPUsMax*1000*share)) && (t.GPUsMax == 0 || u.gpu+need.GPU <= int64(t.GPUsMax*1000*share))
}

// carriedShare is what warming may use of a team's limit at most. What the last
// leader had out is stored nowhere, so for as long as any of it may be on its
// machine a new one leaves that share of the limit alone, and sends out nothing of
// teams with a limit itself: else the next would have two leaders' to reckon with.
const carriedShare = 0.125

// carriersOut says whether an earlier leader's warming may still be on machines.
func (c *Core) carriersOut() bool { return c.lead.token > 1 && c.now-c.lead.since < c.set.Silence() }

// carried is the share of a limit that warming may use now.
func (c *Core) carried() float64 {
	if c.carriersOut() {
		return 0
	}
	return carriedShare
}

// endWarm forgets a machine's warming; its source can be used again.
func (c *Core) endWarm(m *fleet.Machine) {
	if m.Prefetch == nil {
		return
	}
	for _, s := range c.lead.warm.sources[m.Prefetch.Image] {
		if s.on == m.Name {
			s.back()
		}
	}
	c.lead.warm.taken(c.lead.warm.used, m.Prefetch, -1)
	m.Prefetch = nil
}

// reportedWarm handles the report of a warming task. It makes way for any
// placement, at once: orders are executed in their order.
func (c *Core) reportedWarm(m *fleet.Machine, tr *TaskReport) []Order {
	o := Order{Op: "forget", Task: tr.Name, Attempt: uint32(tr.Attempt)}
	switch {
	case tr.State == "exited":
		c.log.Debug("warmed", "machine", m.Name, "image", m.Prefetch.Image, "why", tr.Why)
		if tr.Why == "done" {
			m.RecordImageUse(m.Prefetch.Image, m.Prefetch.ImageMB, c.now)
			c.lead.planWanted = true
		}
		c.endWarm(m)
		return []Order{o}
	case len(m.Placed) > 0 || m.Draining || m.ReclaimAt != 0:
		o.Op = "stop"
		return []Order{o}
	}
	return nil
}

// warmOrder starts a machine's warming in the answer to a report, if that is
// still wanted.
func (c *Core) warmOrder(m *fleet.Machine, listed bool) []Order {
	w := m.Prefetch
	switch {
	case w == nil || listed || m.SeqRestarted() && w.Sent:
		return nil // of one that counts anew a report proves nothing
	case w.Sent && m.HasCurrentToken, len(m.Placed) > 0 && !w.Sent:
		// The order was dropped, or something better came.
		c.endWarm(m)
		return nil
	case w.Sent || !m.HasCurrentToken || m.Draining || m.ReclaimAt != 0 || !c.sure():
		return nil
	}
	w.Sent = true
	return []Order{{Op: "start", Task: w.Task, Attempt: w.Attempt}}
}
