package core

import "github.com/zinclb/zinclb/internal/core/jobstate"

const (
	// maxImagesTracked bounds the images whose demand is remembered, demandHalfLife is
	// after what time half of a demand is forgotten.
	maxImagesTracked = 200
	demandHalfLife   = 300 * second
	// maxMachinesCounted bounds for how many machines one job's demand counts.
	maxMachinesCounted = 16
	// allImagesWorth is what having every image that is asked for is worth, as a delay:
	// less than a fetch, so that it only decides between machines that are as good.
	allImagesWorth = 3 * second
)

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
