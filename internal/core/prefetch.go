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

// prefetchSource is a finished task that can carry its image.
type prefetchSource struct {
	job     *prefetchJob
	spec    *jobstate.Spec
	index   int
	machine string // the machine that it is on
}

// prefetchJob is a finished job of which tasks carry images: how many are out, and
// in which zone. Those of a job that sets one_zone stay in one, as its rule
// holds for tasks that are started again as well.
type prefetchJob struct {
	running int
	zone    string
}

// mayRunIn says whether a source may go to a zone now.
func (s *prefetchSource) mayRunIn(zone string) bool {
	return s.machine == "" && (!s.spec.OneZone || s.job.running == 0 || s.job.zone == zone)
}

// start and back keep account of where a source is.
func (s *prefetchSource) start(m *fleet.Machine) {
	s.machine, s.job.zone = m.Name, m.Zone
	s.job.running++
}

func (s *prefetchSource) end() {
	s.machine = ""
	s.job.running--
}

// imageDemand is how much an image is asked for.
type imageDemand struct {
	score float64
	at    int64
}

type prefetchState struct {
	sources map[string][]*prefetchSource
	demand  map[string]imageDemand
	// usedByTeam is what warming tasks take in their teams' names.
	usedByTeam map[string]teamUsage
	serial     uint32
	at         int64
}

// Bounds of what is remembered for warming.
const (
	minPrefetchSources = 12
	maxImagesTracked   = 200
	demandHalfLife     = 300 * second
	prefetchAttempt    = 1 << 24 // above any attempt of a job's own
)

func newPrefetchState() prefetchState {
	return prefetchState{sources: map[string][]*prefetchSource{}, demand: map[string]imageDemand{}, usedByTeam: map[string]teamUsage{}}
}

// addUsage adds a warming task, or several or fewer, to what teams use.
func (prefetchState) addUsage(used map[string]teamUsage, w *fleet.Prefetch, n int64) {
	u := used[w.Team]
	u.cpu += n * w.Need.CPU
	u.gpu += n * w.Need.GPU
	used[w.Team] = u
}

// prefetcher brings images to idle machines before they are needed.
type prefetcher struct {
	*engine

	cache      *stateCache
	committer  *committer
	elector    *elector
	health     *stateHealth
	membership *membership
	planner    *planner
}

// noteImageDemand counts a job's wish for its image; urgent jobs count for more.
func (p *prefetcher) noteImageDemand(s *jobstate.Spec) {
	w := &p.elector.leadership.prefetch
	if s.Image == "" {
		return
	}
	u := w.demand[s.Image]
	for ; p.now-u.at > demandHalfLife && u.score > 0.01; u.at += demandHalfLife {
		u.score /= 2
	}
	u.score += float64(1+2*s.Priority) * p.machinesNeeded(s)
	u.at = p.now
	w.demand[s.Image] = u
	if len(w.demand) > maxImagesTracked {
		var least string
		for im, u := range w.demand {
			if least == "" || u.at < w.demand[least].at || u.at == w.demand[least].at && im < least {
				least = im
			}
		}
		delete(w.demand, least)
		delete(w.sources, least)
	}
}

// machinesNeeded is about how many machines a job takes, up to a few: an image
// whose jobs are wide is wanted on more machines.
func (p *prefetcher) machinesNeeded(s *jobstate.Spec) float64 {
	const most = 16
	n := float64(most)
	for i := range p.cache.machineTypes {
		if t := &p.cache.machineTypes[i]; s.Need.Fits(t.Cap) && (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) {
			n = min(n, float64(s.Tasks)/float64(tasksPerMachine(s.Need, t.Cap)))
		}
	}
	return max(n, 1)
}

// allImagesWorth is what having every image that is asked for is worth: less than
// a fetch, so that it only decides between machines that are as good.
const allImagesWorth = 3 * second

// imageWorth shares that out by demand. With few machines idle, those with the
// images of urgent jobs would else be used up by jobs that have to fetch theirs
// wherever they go.
func (p *prefetcher) imageWorth() map[string]int64 {
	var all float64
	for _, im := range sortedKeys(p.elector.leadership.prefetch.demand) {
		all += p.elector.leadership.prefetch.demand[im].score
	}
	worth := make(map[string]int64, len(p.elector.leadership.prefetch.demand))
	for im, u := range p.elector.leadership.prefetch.demand {
		if all > 0 {
			worth[im] = int64(float64(allImagesWorth) * u.score / all)
		}
	}
	return worth
}

// addPrefetchSources takes the tasks of a job that is done, and of which no task is on
// a machine any more. As many are kept as can be out at once in a large fleet.
func (p *prefetcher) addPrefetchSources(s *jobstate.Spec) {
	if s.Image == "" || s.Spread || s.Kind == jobstate.Service {
		return
	}
	w := &p.elector.leadership.prefetch
	list := w.sources[s.Image]
	most := minPrefetchSources + p.elector.leadership.fleet.Len()/16
	job := &prefetchJob{}
	for i := range min(s.Tasks, most/2) {
		list = append(list, &prefetchSource{job: job, spec: s, index: i})
	}
	if n := len(list) - most; n > 0 {
		list = slices.DeleteFunc(list, func(x *prefetchSource) bool {
			n--
			return n >= 0 && x.machine == ""
		})
	}
	w.sources[s.Image] = list
}

// prefetchTick gives idle machines images that they lack.
func (p *prefetcher) prefetchTick() {
	l := p.elector.leadership
	if p.now-l.prefetch.at < second || !p.elector.mayStartTasks() {
		return
	}
	l.prefetch.at, l.heartbeats.releaseWanted = p.now, true
	var idle []*fleet.Machine
	// Half of the idle machines of a type stay quite idle, for jobs that come.
	// Counted over all types, the many small machines took the turns of the few
	// whose images matter most.
	warming, free := map[string]int{}, map[string]int{}
	for _, m := range l.fleet.All() {
		if !p.planner.usable(m) || m.SeqRestarted() || len(m.Placed) > 0 || m.OrphanUsage != (jobstate.Resources{}) {
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
	used := p.planner.usage()
	wants := p.imageWants(idle)
	for _, m := range idle {
		if warming[m.Type] >= (free[m.Type]+1)/2 || p.waitedFor(m) {
			continue
		}
		if s := p.pickSource(m, used, wants); s != nil {
			l.prefetch.serial++
			s.start(m)
			wants.have(s.spec.Image)
			m.Prefetch = &fleet.Prefetch{Task: jobstate.TaskName(s.spec.ID, s.index), Attempt: prefetchAttempt + l.prefetch.serial, Image: s.spec.Image, ImageMB: s.spec.ImageMB, Need: s.spec.Need, Team: s.spec.Team}
			l.heartbeats.held.expectCommands(m.Name)
			l.prefetch.addUsage(used, m.Prefetch, 1)
			l.prefetch.addUsage(l.prefetch.usedByTeam, m.Prefetch, 1)
			warming[m.Type]++
		}
	}
}

func (p *prefetcher) waitedFor(m *fleet.Machine) bool {
	for _, w := range p.elector.leadership.planning.waitingJobs {
		if (len(w.spec.Types) == 0 || slices.Contains(w.spec.Types, m.Type)) && (w.spec.Spot || !m.Spot) && w.spec.Need.Fits(m.Cap) {
			return true
		}
	}
	return false
}

// wantedImage is how much an image is wanted on one more idle machine.
type wantedImage struct {
	image    string
	score    float64
	machines int // idle ones that have it
}

type wantedImages []wantedImage

func (w wantedImages) have(image string) {
	for i := range w {
		if w[i].image == image {
			w[i].machines++
		}
	}
}

// wantedImages counts which images that there are sources of the idle machines
// have: each is to be on as many as its share of the demand.
func (p *prefetcher) imageWants(idle []*fleet.Machine) wantedImages {
	w := &p.elector.leadership.prefetch
	var wants wantedImages
	for im, u := range w.demand {
		if len(w.sources[im]) > 0 {
			wants = append(wants, wantedImage{image: im, score: u.score})
		}
	}
	slices.SortFunc(wants, func(a, b wantedImage) int { return cmp.Compare(a.image, b.image) })
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
func (p *prefetcher) pickSource(m *fleet.Machine, used map[string]teamUsage, wants wantedImages) *prefetchSource {
	w := &p.elector.leadership.prefetch
	var held int64
	for _, im := range m.Images {
		held += im.MB
	}
	var best *prefetchSource
	var most float64
	for i := range wants {
		im, score := wants[i].image, wants[i].score/float64(1+wants[i].machines)
		if _, ok := m.Images[im]; ok || score <= most {
			continue
		}
		for _, s := range w.sources[im] {
			sp := s.spec
			if !s.mayRunIn(m.Zone) || !sp.Allows(m.Type, m.Zone, m.Spot, m.Cap) || sp.Need.GPU == 0 && m.Cap.GPU > 0 || held+sp.ImageMB > m.CacheMB*8/10 || !p.withinLimit(sp.Team, used[sp.Team], 1, sp.Need) || !p.withinLimit(sp.Team, w.usedByTeam[sp.Team], p.quotaShareForPrefetch(), sp.Need) {
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
func (p *prefetcher) withinLimit(team string, u teamUsage, share float64, need jobstate.Resources) bool {
	t := p.settings.Team(team)
	return t != nil && (t.CPUsMax == 0 || u.cpu+need.CPU <= int64(t.CPUsMax*1000*share)) && (t.GPUsMax == 0 || u.gpu+need.GPU <= int64(t.GPUsMax*1000*share))
}

// prefetchQuotaShare is what warming may use of a team's limit at most. What the last
// leader had out is stored nowhere, so for as long as any of it may be on its
// machine a new one leaves that share of the limit alone, and sends out nothing of
// teams with a limit itself: else the next would have two leaders' to reckon with.
const prefetchQuotaShare = 0.125

// earlierPrefetchesRunning says whether an earlier leader's warming may still be on machines.
func (p *prefetcher) earlierPrefetchesRunning() bool {
	return p.elector.fencingToken() > 1 && p.now-p.elector.leadership.since < p.settings.FailoverEpochTimeout()
}

// quotaShareForPrefetch is the share of a limit that warming may use now.
func (p *prefetcher) quotaShareForPrefetch() float64 {
	if p.earlierPrefetchesRunning() {
		return 0
	}
	return prefetchQuotaShare
}

// endPrefetch forgets a machine's warming; its source can be used again.
func (p *prefetcher) endPrefetch(m *fleet.Machine) {
	if m.Prefetch == nil {
		return
	}
	for _, s := range p.elector.leadership.prefetch.sources[m.Prefetch.Image] {
		if s.machine == m.Name {
			s.end()
		}
	}
	p.elector.leadership.prefetch.addUsage(p.elector.leadership.prefetch.usedByTeam, m.Prefetch, -1)
	m.Prefetch = nil
}

// reconcilePrefetch handles the report of a warming task. It makes way for any
// placement, at once: orders are executed in their order.
func (p *prefetcher) reconcilePrefetch(m *fleet.Machine, tr *TaskStatus) []Command {
	o := Command{Kind: CommandForget, Task: tr.Name, Attempt: uint32(tr.Attempt)}
	switch {
	case tr.State == TaskExited:
		p.log.Debug("warmed", "machine", m.Name, "image", m.Prefetch.Image, "why", tr.Reason)
		if tr.Reason == ExitDone {
			m.RecordImageUse(m.Prefetch.Image, m.Prefetch.ImageMB, p.now)
			p.elector.leadership.planning.requestRound()
		}
		p.endPrefetch(m)
		return []Command{o}
	case len(m.Placed) > 0 || m.Draining || m.ReclaimAt != 0:
		o.Kind = CommandStop
		return []Command{o}
	}
	return nil
}

// prefetchCommand starts a machine's warming in the answer to a report, if that is
// still wanted.
func (p *prefetcher) prefetchCommand(m *fleet.Machine, listed bool) []Command {
	w := m.Prefetch
	switch {
	case w == nil || listed || m.SeqRestarted() && w.Sent:
		return nil // of one that counts anew a report proves nothing
	case w.Sent && m.HasCurrentToken, len(m.Placed) > 0 && !w.Sent:
		// The order was dropped, or something better came.
		p.endPrefetch(m)
		return nil
	case w.Sent || !m.HasCurrentToken || m.Draining || m.ReclaimAt != 0 || !p.elector.mayStartTasks():
		return nil
	}
	w.Sent = true
	return []Command{{Kind: CommandStart, Task: w.Task, Attempt: w.Attempt}}
}
