package core

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// Prefetching brings images to idle machines before they are needed. A worker
// keeps the result of a task that is done: started again, such a task fetches
// its image and exits as done. So a finished task carries its image to a
// machine at no risk: it does no work, and it can be stopped at any moment.
//
// Only tasks that this leader itself has seen done are used, each on one
// machine at a time, and only where their job allows it, within its team's
// limit. They are not stored: to a later leader they are tasks without a
// placement, which it stops.

const (
	// minPrefetchSources is how many sources of an image are kept at least,
	// machinesPerSource for how many machines there is one more.
	minPrefetchSources = 12
	machinesPerSource  = 16
	// maxImagesTracked bounds the images whose demand is remembered, demandHalfLife is
	// after what time half of a demand is forgotten.
	maxImagesTracked = 200
	demandHalfLife   = 300 * second
	// prefetchAttempt is above any attempt of a job's own.
	prefetchAttempt = 1 << 24
	// prefetchInterval is the time between two rounds of prefetching.
	prefetchInterval = second
	// maxMachinesCounted bounds for how many machines one job's demand counts.
	maxMachinesCounted = 16
	// allImagesWorth is what having every image that is asked for is worth, as a delay:
	// less than a fetch, so that it only decides between machines that are as good.
	allImagesWorth = 3 * second
	// cachePercent is how much of a machine's image cache prefetches may fill.
	cachePercent = 80
	// prefetchQuotaShare is what prefetches may use of a team's limit at most. What the last
	// leader had running is stored nowhere, so for as long as any of it may be on its
	// machine a new one leaves that share of the limit alone, and sends no prefetches of
	// teams with a limit itself: else the next would have two leaders' to reckon with.
	prefetchQuotaShare = 0.125
)

// prefetchSource is a finished task that can carry its image.
type prefetchSource struct {
	job     *prefetchJob
	spec    *jobstate.Spec
	index   int
	machine string // where it runs, empty if nowhere
}

// prefetchJob is a finished job whose tasks carry images: how many run, and
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

// start and end keep account of where a source is.
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

// decayed is what is left of a demand at a time.
func (d imageDemand) decayed(now int64) imageDemand {
	const negligible = 0.01
	for ; now-d.at > demandHalfLife && d.score > negligible; d.at += demandHalfLife {
		d.score /= 2
	}
	return d
}

// prefetchState is what the prefetcher keeps while this controller leads.
type prefetchState struct {
	sources map[string][]*prefetchSource // by image
	demand  map[string]imageDemand       // by image
	// usedByTeam is what prefetches take in their teams' names.
	usedByTeam map[string]teamUsage
	serial     uint32
	at         int64
}

func newPrefetchState() prefetchState {
	return prefetchState{
		sources:    map[string][]*prefetchSource{},
		demand:     map[string]imageDemand{},
		usedByTeam: map[string]teamUsage{},
	}
}

// forgetLeastRecent drops the image whose demand is oldest.
func (s *prefetchState) forgetLeastRecent() {
	var oldest string
	for image, demand := range s.demand {
		at := s.demand[oldest].at
		if oldest == "" || demand.at < at || demand.at == at && image < oldest {
			oldest = image
		}
	}
	delete(s.demand, oldest)
	delete(s.sources, oldest)
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

// noteImageDemand counts a job's demand for its image; urgent jobs count for more.
func (p *prefetcher) noteImageDemand(spec *jobstate.Spec) {
	state := &p.elector.leadership.prefetch
	if spec.Image == "" {
		return
	}
	demand := state.demand[spec.Image].decayed(p.now)
	demand.score += float64(1+2*spec.Priority) * p.machinesNeeded(spec)
	demand.at = p.now
	state.demand[spec.Image] = demand
	if len(state.demand) > maxImagesTracked {
		state.forgetLeastRecent()
	}
}

// machinesNeeded is about how many machines a job takes, up to a few: an image
// whose jobs are wide is wanted on more machines.
func (p *prefetcher) machinesNeeded(spec *jobstate.Spec) float64 {
	machines := float64(maxMachinesCounted)
	for i := range p.cache.machineTypes {
		if t := &p.cache.machineTypes[i]; mayUseType(spec, t) {
			machines = min(machines, float64(spec.Tasks)/float64(tasksPerMachine(spec.Need, t.Cap)))
		}
	}
	return max(machines, 1)
}

// imageWorth shares allImagesWorth out by demand. With few machines idle, those with the
// images of urgent jobs would else be used up by jobs that have to fetch theirs
// wherever they go.
func (p *prefetcher) imageWorth() map[string]int64 {
	demand := p.elector.leadership.prefetch.demand
	var total float64
	for _, image := range sortedKeys(demand) {
		total += demand[image].score
	}
	worth := make(map[string]int64, len(demand))
	if total <= 0 {
		return worth
	}
	for image, d := range demand {
		worth[image] = int64(float64(allImagesWorth) * d.score / total)
	}
	return worth
}

// addPrefetchSources takes the tasks of a job that is done, and of which no task is on
// a machine any more. As many are kept as can run at once in a large fleet.
func (p *prefetcher) addPrefetchSources(spec *jobstate.Spec) {
	if spec.Image == "" || spec.Spread || spec.Kind == jobstate.Service {
		return
	}
	state := &p.elector.leadership.prefetch
	sources := state.sources[spec.Image]
	limit := minPrefetchSources + p.elector.leadership.fleet.Len()/machinesPerSource
	job := &prefetchJob{}
	for i := range min(spec.Tasks, limit/2) {
		sources = append(sources, &prefetchSource{job: job, spec: spec, index: i})
	}
	if surplus := len(sources) - limit; surplus > 0 {
		sources = slices.DeleteFunc(sources, func(s *prefetchSource) bool {
			surplus--
			return surplus >= 0 && s.machine == ""
		})
	}
	state.sources[spec.Image] = sources
}

// idleMachines are the machines that prefetches may go to.
type idleMachines struct {
	// machines are those without a prefetch, by name.
	machines []*fleet.Machine
	// total and fetching count by type all that are idle, and those with a prefetch.
	total, fetching map[string]int
}

// mayFetch says whether one more machine of a type may fetch. Half of the idle machines
// of a type stay quite idle, for jobs that come. Counted over all types, the many small
// machines took the turns of the few whose images matter most.
func (i *idleMachines) mayFetch(machineType string) bool {
	return i.fetching[machineType] < (i.total[machineType]+1)/2
}

// prefetchTick gives idle machines images that they lack.
func (p *prefetcher) prefetchTick() {
	term := p.elector.leadership
	if p.now-term.prefetch.at < prefetchInterval || !p.elector.mayStartTasks() {
		return
	}
	term.prefetch.at = p.now
	term.heartbeats.requestRelease()
	idle := p.idleMachines()
	used := p.planner.usage()
	wanted := p.wantedImages(idle.machines)
	for _, m := range idle.machines {
		if !idle.mayFetch(m.Type) || p.hasWaitingJob(m) {
			continue
		}
		if source := p.pickSource(m, used, wanted); source != nil {
			p.startPrefetch(m, source)
			used[source.spec.Team] = used[source.spec.Team].plus(source.spec.Need, 1)
			wanted.addMachine(source.spec.Image)
			idle.fetching[m.Type]++
		}
	}
}

// idleMachines finds the machines on which nothing runs.
func (p *prefetcher) idleMachines() idleMachines {
	idle := idleMachines{total: map[string]int{}, fetching: map[string]int{}}
	for _, m := range p.elector.leadership.fleet.All() {
		if !p.planner.usable(m) || m.SeqRestarted() || len(m.Placed) > 0 || m.OrphanUsage != (jobstate.Resources{}) {
			continue
		}
		idle.total[m.Type]++
		if m.Prefetch != nil {
			idle.fetching[m.Type]++
			continue
		}
		idle.machines = append(idle.machines, m)
	}
	slices.SortFunc(idle.machines, func(a, b *fleet.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return idle
}

// startPrefetch has a source started on a machine by the response to its next heartbeat.
func (p *prefetcher) startPrefetch(m *fleet.Machine, source *prefetchSource) {
	term := p.elector.leadership
	spec := source.spec
	term.prefetch.serial++
	source.start(m)
	m.Prefetch = &fleet.Prefetch{
		Task:    jobstate.TaskName(spec.ID, source.index),
		Attempt: prefetchAttempt + term.prefetch.serial,
		Image:   spec.Image,
		ImageMB: spec.ImageMB,
		Need:    spec.Need,
		Team:    spec.Team,
	}
	term.heartbeats.held.expectCommands(m.Name)
	usedByTeam := term.prefetch.usedByTeam
	usedByTeam[spec.Team] = usedByTeam[spec.Team].plus(spec.Need, 1)
}

// hasWaitingJob says whether a job that waits could use a machine.
func (p *prefetcher) hasWaitingJob(m *fleet.Machine) bool {
	for _, waiting := range p.elector.leadership.planning.waitingJobs {
		spec := waiting.spec
		if (len(spec.Types) == 0 || slices.Contains(spec.Types, m.Type)) && (spec.Spot || !m.Spot) && spec.Need.Fits(m.Cap) {
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

// scoreForNext is how much it is wanted on the next machine: each image is to be on as
// many as its share of the demand.
func (w *wantedImage) scoreForNext() float64 { return w.score / float64(1+w.machines) }

type wantedImages []wantedImage

// addMachine notes that one more machine will have an image.
func (w wantedImages) addMachine(image string) {
	for i := range w {
		if w[i].image == image {
			w[i].machines++
		}
	}
}

// wantedImages counts which images that there are sources of the idle machines have.
func (p *prefetcher) wantedImages(idle []*fleet.Machine) wantedImages {
	state := &p.elector.leadership.prefetch
	var wanted wantedImages
	for image, demand := range state.demand {
		if len(state.sources[image]) > 0 {
			wanted = append(wanted, wantedImage{image: image, score: demand.score})
		}
	}
	slices.SortFunc(wanted, func(a, b wantedImage) int { return cmp.Compare(a.image, b.image) })
	for i := range wanted {
		for _, m := range idle {
			if _, ok := m.Images[wanted[i].image]; ok {
				wanted[i].machines++
			}
		}
	}
	return wanted
}

// pickSource finds the image most wanted that a machine lacks, has room for
// in its cache, and may get.
func (p *prefetcher) pickSource(m *fleet.Machine, used map[string]teamUsage, wanted wantedImages) *prefetchSource {
	var cachedMB int64
	for _, image := range m.Images {
		cachedMB += image.MB
	}
	var best *prefetchSource
	var bestScore float64
	for i := range wanted {
		image, score := wanted[i].image, wanted[i].scoreForNext()
		if _, ok := m.Images[image]; ok || score <= bestScore {
			continue
		}
		for _, source := range p.elector.leadership.prefetch.sources[image] {
			if p.mayCarry(source, m, cachedMB, used) {
				best, bestScore = source, score
				break
			}
		}
	}
	return best
}

// mayCarry says whether a source may bring its image to a machine.
func (p *prefetcher) mayCarry(source *prefetchSource, m *fleet.Machine, cachedMB int64, used map[string]teamUsage) bool {
	spec := source.spec
	if !source.mayRunIn(m.Zone) || !spec.Allows(m.Type, m.Zone, m.Spot, m.Cap) || spec.Need.GPU == 0 && m.Cap.GPU > 0 {
		return false
	}
	if cachedMB+spec.ImageMB > m.CacheMB*cachePercent/100 {
		return false
	}
	usedByPrefetches := p.elector.leadership.prefetch.usedByTeam[spec.Team]
	return p.withinLimit(spec.Team, used[spec.Team], 1, spec.Need) &&
		p.withinLimit(spec.Team, usedByPrefetches, p.quotaShareForPrefetch(), spec.Need)
}

// withinLimit says whether a team that uses so much may use more, of a share of
// its limit.
func (p *prefetcher) withinLimit(name string, used teamUsage, share float64, need jobstate.Resources) bool {
	team := p.settings.Team(name)
	return team != nil && fitsLimit(team, used.plus(need, 1), share)
}

// fitsLimit says whether so much lies within a share of a team's limit.
func fitsLimit(team *config.Team, total teamUsage, share float64) bool {
	return (team.CPUsMax == 0 || total.cpu <= int64(team.CPUsMax*milliPerUnit*share)) &&
		(team.GPUsMax == 0 || total.gpu <= int64(team.GPUsMax*milliPerUnit*share))
}

// earlierPrefetchesRunning says whether an earlier leader's prefetches may still be on
// machines.
func (p *prefetcher) earlierPrefetchesRunning() bool {
	return p.elector.fencingToken() > 1 && p.now-p.elector.leadership.since < p.settings.FailoverEpochTimeout()
}

// quotaShareForPrefetch is the share of a limit that prefetches may use now.
func (p *prefetcher) quotaShareForPrefetch() float64 {
	if p.earlierPrefetchesRunning() {
		return 0
	}
	return prefetchQuotaShare
}

// endPrefetch forgets a machine's prefetch; its source can be used again.
func (p *prefetcher) endPrefetch(m *fleet.Machine) {
	if m.Prefetch == nil {
		return
	}
	state := &p.elector.leadership.prefetch
	for _, source := range state.sources[m.Prefetch.Image] {
		if source.machine == m.Name {
			source.end()
		}
	}
	team := m.Prefetch.Team
	state.usedByTeam[team] = state.usedByTeam[team].plus(m.Prefetch.Need, -1)
	m.Prefetch = nil
}

// reconcilePrefetch handles the status of a prefetch in a heartbeat. A prefetch is stopped
// for any placement, at once: commands are executed in their order.
func (p *prefetcher) reconcilePrefetch(m *fleet.Machine, status *TaskStatus) []Command {
	command := Command{Task: status.Name, Attempt: uint32(status.Attempt)}
	switch {
	case status.State == TaskExited:
		p.prefetchExited(m, status.Reason)
		command.Kind = CommandForget
		return []Command{command}
	case len(m.Placed) > 0 || m.Draining || m.ReclaimAt != 0:
		command.Kind = CommandStop
		return []Command{command}
	}
	return nil
}

// prefetchExited takes an image to be in a machine's cache if the task is done.
func (p *prefetcher) prefetchExited(m *fleet.Machine, reason ExitReason) {
	p.log.Debug("prefetch ended", "machine", m.Name, "image", m.Prefetch.Image, "reason", reason)
	if reason == ExitDone {
		m.RecordImageUse(m.Prefetch.Image, m.Prefetch.ImageMB, p.now)
		p.elector.leadership.planning.requestRound()
	}
	p.endPrefetch(m)
}

// prefetchCommand starts a machine's prefetch in the response to a heartbeat, if that is
// still wanted; listed says whether the heartbeat has the prefetch already.
func (p *prefetcher) prefetchCommand(m *fleet.Machine, listed bool) []Command {
	prefetch := m.Prefetch
	switch {
	case prefetch == nil || listed || m.SeqRestarted() && prefetch.Sent:
		return nil // of one that counts anew a heartbeat proves nothing
	case prefetch.Sent && m.HasCurrentToken, len(m.Placed) > 0 && !prefetch.Sent:
		// The command was dropped, or a task was placed.
		p.endPrefetch(m)
		return nil
	case prefetch.Sent || !m.HasCurrentToken || m.Draining || m.ReclaimAt != 0 || !p.elector.mayStartTasks():
		return nil
	}
	prefetch.Sent = true
	return []Command{{Kind: CommandStart, Task: prefetch.Task, Attempt: prefetch.Attempt}}
}
