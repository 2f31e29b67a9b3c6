package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

const (
	// minPrefetchSources is the number of sources of an image that may be kept for a fleet of
	// any size; one more may be kept for every machinesPerSource machines.
	minPrefetchSources = 12
	machinesPerSource  = 16
	// cachePercent is the percentage of a machine's image cache up to which prefetches may
	// fill it.
	cachePercent = 80
)

// prefetchSource is a completed task that can be started again to load its image on a machine.
type prefetchSource struct {
	job     *prefetchJob
	spec    *jobstate.Spec
	index   int
	machine string // the machine on which it runs, empty if none
}

// prefetchJob is the state that the prefetch sources of one completed job share: the number of them
// that run, and the zone in which the last one was started. If the job sets one_zone, its sources
// may only run in one zone at a time, because one_zone also applies to tasks that are started again.
type prefetchJob struct {
	running int
	zone    string
}

// mayRunIn reports whether a source may be started in a zone now.
func (s *prefetchSource) mayRunIn(zone string) bool {
	return s.machine == "" && (!s.spec.OneZone || s.job.running == 0 || s.job.zone == zone)
}

// start records that a source runs on a machine; end records that it has stopped running.
func (s *prefetchSource) start(m *fleet.Machine) {
	s.machine, s.job.zone = m.Name, m.Zone
	s.job.running++
}

func (s *prefetchSource) end() {
	s.machine = ""
	s.job.running--
}

// addPrefetchSources adds the tasks of a job as prefetch sources. The job must be done, and none of
// its tasks may be on a machine any more. The limit on sources per image grows with the fleet.
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

// pickSource returns a source of the most wanted image that the machine lacks, has cache space for
// and is allowed to get, or nil if there is none.
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
			if p.canPrefetch(source, m, cachedMB, used) {
				best, bestScore = source, score
				break
			}
		}
	}
	return best
}

// canPrefetch reports whether a source may be used to load its image on a machine.
func (p *prefetcher) canPrefetch(source *prefetchSource, m *fleet.Machine, cachedMB int64, used map[string]teamUsage) bool {
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

// inheritPrefetchSources adds the previous leader's sources once its prefetches must have ended.
func (p *prefetcher) inheritPrefetchSources() {
	term := p.elector.leadership
	if len(term.hints.inheritedSources) == 0 || p.now-term.since < p.settings.FailoverEpochTimeout() {
		return
	}
	for _, spec := range term.hints.inheritedSources {
		p.addPrefetchSources(spec)
	}
	term.hints.inheritedSources = nil
}

// inheritSource records a completed job of an earlier term, to be used as a prefetch source later.
func (p *prefetcher) inheritSource(spec *jobstate.Spec) {
	p.addImageDemand(spec)
	state := &p.elector.leadership.hints
	state.inheritedSources = append(state.inheritedSources, spec)
}
