package core

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// Prefetching loads images into the caches of idle machines before they are needed. Workers keep
// the result of a completed task: if such a task is started again, it only fetches its image and
// exits as done. So a completed task can be used to load its image on a machine without risk: it
// does no work and can be stopped at any time.
//
// Only completed tasks are used: those that this leader itself has seen completed and, once the
// previous leader's prefetches must have ended, those of earlier terms. Each is used on one machine
// at a time, only where its job allows it, and within its team's limit. Prefetches are not stored:
// to a later leader they are tasks without a placement, which it stops.

const (
	// prefetchInterval is the time between two rounds of prefetching.
	prefetchInterval = second
	// prefetchAttempt is the base of the attempt numbers of prefetches; it is higher than any
	// regular attempt number of a job.
	prefetchAttempt = 1 << 24
)

// prefetchState is the state that the prefetcher keeps while this controller leads.
type prefetchState struct {
	sources map[string][]*prefetchSource // by image
	demand  map[string]imageDemand       // by image
	// usedByTeam is the usage of prefetches that counts against each team's limit.
	usedByTeam  map[string]teamUsage
	lastSerial  uint32
	lastRoundAt int64
}

func newPrefetchState() prefetchState {
	return prefetchState{
		sources:    map[string][]*prefetchSource{},
		demand:     map[string]imageDemand{},
		usedByTeam: map[string]teamUsage{},
	}
}

// prefetcher loads images into the caches of idle machines before they are needed.
type prefetcher struct {
	*engine

	cache      *stateCache
	committer  *committer
	elector    *elector
	health     *stateHealth
	membership *membership
	planner    *planner
}

// idleMachines are the machines on which prefetches may run.
type idleMachines struct {
	// machines are the idle machines without a prefetch, sorted by name.
	machines []*fleet.Machine
	// total and fetching are, by machine type, the number of all idle machines and of
	// those with a prefetch.
	total, fetching map[string]int
}

// mayFetch reports whether one more machine of a type may prefetch. Half of the idle machines of
// each type stay free for new jobs. If they were counted over all types, the many small machines
// would use up the prefetches of the few machines whose images matter most.
func (i *idleMachines) mayFetch(machineType string) bool {
	return i.fetching[machineType] < (i.total[machineType]+1)/2
}

// prefetchTick starts prefetches of missing images on idle machines.
func (p *prefetcher) prefetchTick() {
	term := p.elector.leadership
	if p.now-term.prefetch.lastRoundAt < prefetchInterval || !p.elector.mayStartTasks() {
		return
	}
	term.prefetch.lastRoundAt = p.now
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

// idleMachines returns the usable machines on which no job runs.
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

// startPrefetch assigns a source to a machine. The answer to the machine's next heartbeat starts
// the prefetch.
func (p *prefetcher) startPrefetch(m *fleet.Machine, source *prefetchSource) {
	term := p.elector.leadership
	spec := source.spec
	term.prefetch.lastSerial++
	source.start(m)
	m.Prefetch = &fleet.Prefetch{
		Task:    jobstate.TaskName(spec.ID, source.index),
		Attempt: prefetchAttempt + term.prefetch.lastSerial,
		Image:   spec.Image,
		ImageMB: spec.ImageMB,
		Need:    spec.Need,
		Team:    spec.Team,
	}
	term.heartbeats.held.expectCommands(m.Name)
	usedByTeam := term.prefetch.usedByTeam
	usedByTeam[spec.Team] = usedByTeam[spec.Team].plus(spec.Need, 1)
}

// hasWaitingJob reports whether a waiting job could use a machine.
func (p *prefetcher) hasWaitingJob(m *fleet.Machine) bool {
	for _, waiting := range p.elector.leadership.planning.waitingJobs {
		spec := waiting.spec
		if (len(spec.Types) == 0 || slices.Contains(spec.Types, m.Type)) && (spec.Spot || !m.Spot) && spec.Need.Fits(m.Cap) {
			return true
		}
	}
	return false
}

// wantedImage is the demand for an image and the number of idle machines that already have it.
type wantedImage struct {
	image    string
	score    float64
	machines int // number of idle machines that have the image
}

// scoreForNext returns the score of loading the image on one more machine. Loading the image with
// the highest score makes the number of machines with an image proportional to the demand for it.
func (w *wantedImage) scoreForNext() float64 { return w.score / float64(1+w.machines) }

type wantedImages []wantedImage

// addMachine records that one more machine will have an image.
func (w wantedImages) addMachine(image string) {
	for i := range w {
		if w[i].image == image {
			w[i].machines++
		}
	}
}

// wantedImages returns the images that have a prefetch source, each with the number of idle
// machines on which it is cached.
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

// endPrefetch removes a machine's prefetch, so that its source can be used again.
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
// immediately if a task is placed on the machine: as commands are executed in order, the stop comes
// before the start of the task.
func (p *prefetcher) reconcilePrefetch(m *fleet.Machine, status *TaskStatus) []Command {
	command := Command{Task: status.Name, Attempt: uint32(status.Attempt)}
	switch {
	case status.State == TaskExited:
		p.prefetchExited(m, status.Reason)
		if m.StartMayRepeat(status.Name, status.Attempt, p.now) {
			return nil
		}
		command.Kind = CommandForget
		return []Command{command}
	case len(m.Placed) > 0 || m.Draining || m.ReclaimAt != 0:
		command.Kind = CommandStop
		return []Command{command}
	}
	return nil
}

// prefetchExited handles the end of a prefetch. The image is in the machine's cache if the task is
// done.
func (p *prefetcher) prefetchExited(m *fleet.Machine, reason ExitReason) {
	p.log.Debug("prefetch ended", "machine", m.Name, "image", m.Prefetch.Image, "reason", reason)
	if reason == ExitDone {
		m.RecordImageUse(m.Prefetch.Image, m.Prefetch.ImageMB, p.now)
		p.elector.leadership.planning.requestRound()
	}
	p.endPrefetch(m)
}

// prefetchCommand returns the command that starts a machine's prefetch, if it is still wanted, for
// the answer to a heartbeat. listed reports whether the heartbeat already lists the prefetch.
func (p *prefetcher) prefetchCommand(m *fleet.Machine, listed bool) []Command {
	prefetch := m.Prefetch
	switch {
	case prefetch == nil || listed || m.SeqRestarted() && prefetch.Sent:
		return nil // after a restart of the sequence numbers a heartbeat proves nothing
	case prefetch.Sent && m.HasCurrentToken, len(m.Placed) > 0 && !prefetch.Sent:
		// The command was lost, or a task was placed on the machine.
		p.endPrefetch(m)
		return nil
	case prefetch.Sent || !m.HasCurrentToken || m.Draining || m.ReclaimAt != 0 || !p.elector.mayStartTasks():
		return nil
	}
	prefetch.Sent = true
	return []Command{{Kind: CommandStart, Task: prefetch.Task, Attempt: prefetch.Attempt}}
}
