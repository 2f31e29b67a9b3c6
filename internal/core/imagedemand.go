package core

import "github.com/zinclb/zinclb/internal/core/jobstate"

const (
	// maxImagesTracked is the maximum number of images whose demand is tracked, and
	// demandHalfLife the time after which a demand score is halved.
	maxImagesTracked = 200
	demandHalfLife   = 300 * second
	// maxMachinesCounted is the maximum number of machines that one job adds to the demand.
	maxMachinesCounted = 16
	// allImagesWorth is the value of having all demanded images cached, expressed as a
	// delay. It is less than a fetch takes, so it only decides between otherwise equal
	// machines.
	allImagesWorth = 3 * second
)

// imageDemand is the demand score that an image has at the time at.
type imageDemand struct {
	score float64
	at    int64
}

// decayed returns the demand after decay up to the given time.
func (d imageDemand) decayed(now int64) imageDemand {
	const negligible = 0.01
	for ; now-d.at > demandHalfLife && d.score > negligible; d.at += demandHalfLife {
		d.score /= 2
	}
	return d
}

// forgetLeastRecent removes the image with the oldest demand.
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

// addImageDemand adds a job to the demand for its image; jobs of higher priority count more.
func (p *prefetcher) addImageDemand(spec *jobstate.Spec) {
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

// machinesNeeded estimates the number of machines that a job needs, from 1 to maxMachinesCounted:
// an image whose jobs have many tasks is wanted on more machines.
func (p *prefetcher) machinesNeeded(spec *jobstate.Spec) float64 {
	machines := float64(maxMachinesCounted)
	for i := range p.cache.machineTypes {
		if t := &p.cache.machineTypes[i]; mayUseType(spec, t) {
			machines = min(machines, float64(spec.Tasks)/float64(tasksPerMachine(spec.Need, t.Cap)))
		}
	}
	return max(machines, 1)
}

// imageWorth divides allImagesWorth among the images in proportion to their demand. Without these
// values, when few machines are idle, those that have the images of urgent jobs could be used up by
// jobs that have to fetch their own image on whichever machine they are placed.
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
