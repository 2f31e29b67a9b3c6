package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

const (
	// minPrefetchSources is how many sources of an image are kept at least,
	// machinesPerSource for how many machines there is one more.
	minPrefetchSources = 12
	machinesPerSource  = 16
	// cachePercent is how much of a machine's image cache prefetches may fill.
	cachePercent = 80
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

// mayRunIn reports whether a source may go to a zone now.
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

// mayCarry reports whether a source may bring its image to a machine.
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

// inheritPrefetchSources puts the last leader's sources to use.
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

// inheritSource remembers a finished job of an earlier leadership.
func (p *prefetcher) inheritSource(spec *jobstate.Spec) {
	p.noteImageDemand(spec)
	state := &p.elector.leadership.hints
	state.inheritedSources = append(state.inheritedSources, spec)
}
