package core

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
)

// hintsRecord is one stored value of the hints about images that a leader leaves to the next one:
// which machine has which images, and completed jobs whose tasks can be used to prefetch images.
// The hints are spread over as many values as the size of the fleet requires. The values are
// written in turn, with what is left of the write budget. Nothing depends on the hints being
// correct or present.
type hintsRecord struct {
	// Of is the total number of values.
	Of     int         `json:"of"`
	Images []hintImage `json:"i"`
	// Machines is a bit set for each machine, with a bit for each of the images.
	Machines map[string]uint64 `json:"m"`
	Sources  []*jobstate.Spec  `json:"s"`
}

type hintImage struct {
	Name string `json:"n"`
	MB   int64  `json:"b"`
}

const (
	// hintsInterval is the interval at which all values of hints are written,
	// hintsWriteShare the share of the leader's write rate that they may use, and
	// minHintWrites the number of writes that must be left in the budget.
	hintsInterval   = 15 * second
	hintsWriteShare = 0.05
	minHintWrites   = 4
	// maxHintImages is the maximum number of images in the hints, with one bit each.
	maxHintImages = 63
	// sourcesPerImage is the number of jobs that are listed as sources of an image, so that
	// several machines can fetch it at the same time.
	sourcesPerImage = 2
	// The estimated sizes of a machine, a source and an image in a value, in bytes.
	machineBytes = 45
	sourceBytes  = 400
	imageBytes   = 40
)

// hintState holds the hints that the previous leader has stored about images, and those that this
// leader has written for the next one.
type hintState struct {
	// knownImages are the images of each machine according to the previous leader.
	knownImages map[string][]hintImage
	// inheritedSources are completed jobs that can be used as prefetch sources.
	inheritedSources []*jobstate.Spec
	written          map[string][]byte
	writtenAt        int64
	nextPart         int
}

func newHintState(now int64) hintState {
	return hintState{knownImages: map[string][]hintImage{}, written: map[string][]byte{}, writtenAt: now}
}

// imageHintsTick writes the next value of hints when it is due.
func (p *prefetcher) imageHintsTick() {
	state := &p.elector.leadership.hints
	images := p.mostWantedImages()
	parts := p.hintParts(len(images))
	if p.now-state.writtenAt < p.hintGap(parts) || !p.elector.mayStartTasks() || p.health.writesLeft() < minHintWrites {
		return
	}
	state.writtenAt = p.now
	state.nextPart = (state.nextPart + 1) % parts
	key := hintsKey + "/" + strconv.Itoa(state.nextPart)
	value := p.encodeImageHints(images, state.nextPart, parts)
	if string(value) == string(state.written[key]) {
		return
	}
	p.health.spendWrites(1)
	term := p.elector.leadership
	p.committer.putAsLeader(key, value, func(m TransactionResult) {
		if p.elector.leadership == term && m.Outcome == kv.Committed {
			term.hints.written[key] = value
		}
	})
}

// hintParts returns the number of values that the hints need. Each value lists all images.
func (p *prefetcher) hintParts(images int) int {
	capacity := p.membership.valueLimit()*4/5 - images*imageBytes
	return 1 + (p.elector.leadership.fleet.Len()*machineBytes+images*sourcesPerImage*sourceBytes)/capacity
}

// hintGap returns the time between the writes of two values, given the number of values.
func (p *prefetcher) hintGap(parts int) int64 {
	return max(hintsInterval/int64(parts), int64(1e6/(p.health.writeRate()*hintsWriteShare)))
}

// mostWantedImages returns the images with the highest demand, as many as the hints can hold.
func (p *prefetcher) mostWantedImages() []string {
	demand := p.elector.leadership.prefetch.demand
	images := make([]string, 0, len(demand))
	for image := range demand {
		images = append(images, image)
	}
	slices.SortFunc(images, func(a, b string) int {
		return cmp.Or(cmp.Compare(demand[b].score, demand[a].score), cmp.Compare(a, b))
	})
	return images[:min(len(images), maxHintImages, p.membership.valueLimit()/3/imageBytes)]
}

// encodeImageHints encodes one value of the hints. part is its number, counted from 0, and parts
// the total number of values.
func (p *prefetcher) encodeImageHints(images []string, part, parts int) []byte {
	term := p.elector.leadership
	hints := hintsRecord{Of: parts, Machines: map[string]uint64{}}
	bits := map[string]int{}
	for i, image := range images {
		bits[image] = i
		hints.Images = append(hints.Images, hintImage{Name: image})
		if i%parts == part {
			hints.Sources = append(hints.Sources, p.sourceJobs(image)...)
		}
	}
	for _, m := range term.fleet.All() {
		if int(m.Hash%uint32(parts)) == part {
			hints.addMachine(m, bits)
		}
	}
	return hints.encode(p.membership.valueLimit())
}

// sourceJobs returns up to sourcesPerImage completed jobs that are prefetch sources of an image.
func (p *prefetcher) sourceJobs(image string) []*jobstate.Spec {
	var jobs []*jobstate.Spec
	seen := map[string]bool{}
	for _, source := range p.elector.leadership.prefetch.sources[image] {
		if !seen[source.spec.ID] && len(seen) < sourcesPerImage {
			seen[source.spec.ID] = true
			jobs = append(jobs, source.spec)
		}
	}
	return jobs
}

// addMachine records which of the images a machine has; bits maps each image to its bit number.
func (h *hintsRecord) addMachine(m *fleet.Machine, bits map[string]int) {
	for name, image := range m.Images {
		if i, ok := bits[name]; ok {
			h.Machines[m.Name] |= 1 << i
			h.Images[i].MB = max(h.Images[i].MB, image.MB)
		}
	}
}

// encode encodes the value, and omits sources and then machines if it exceeds the limit in bytes.
func (h hintsRecord) encode(limit int) []byte {
	for {
		value := encodeJSON(h)
		switch {
		case len(value) <= limit:
			return value
		case len(h.Sources) > 0:
			h.Sources = h.Sources[:len(h.Sources)/2]
		case len(h.Machines) > 0:
			h.Machines = nil
		default:
			return encodeJSON(hintsRecord{Of: h.Of})
		}
	}
}

// loadImageHints loads the previous leader's hints; it is called when this controller begins to
// lead. The sources are used only after the leases of all machines that prefetched for the previous
// leader have expired, as a task must not be on two machines at a time.
func (p *prefetcher) loadImageHints() {
	state := &p.elector.leadership.hints
	for _, key := range sortedKeys(p.cache.imageHints) {
		var hints hintsRecord
		part, err := strconv.Atoi(strings.TrimPrefix(key, hintsKey+"/"))
		if err != nil || json.Unmarshal(p.cache.imageHints[key], &hints) != nil || part >= hints.Of {
			continue
		}
		p.applyHints(&hints)
	}
	for machine, images := range p.cache.imageHistory.machines {
		state.knownImages[machine] = append(state.knownImages[machine], images...)
	}
	for _, image := range sortedKeys(p.cache.imageHistory.done) {
		for _, spec := range p.cache.imageHistory.done[image] {
			p.inheritSource(spec)
		}
	}
	// A job may appear in two values, as they are written at different times. It must
	// still be added as a source only once; otherwise a task could be started twice.
	byID := func(a, b *jobstate.Spec) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(state.inheritedSources, byID)
	state.inheritedSources = slices.CompactFunc(state.inheritedSources, func(a, b *jobstate.Spec) bool { return byID(a, b) == 0 })
}

// applyHints adds the content of one value of hints to the state.
func (p *prefetcher) applyHints(hints *hintsRecord) {
	state := &p.elector.leadership.hints
	for machine, bits := range hints.Machines {
		for i, image := range hints.Images {
			if bits&(1<<i) != 0 {
				state.knownImages[machine] = append(state.knownImages[machine], image)
			}
		}
	}
	for _, spec := range hints.Sources {
		if spec != nil && spec.Tasks > 0 {
			p.inheritSource(spec)
		}
	}
}

// restoreKnownImages records the images that a machine has according to the previous leader.
func (p *prefetcher) restoreKnownImages(m *fleet.Machine) {
	for _, image := range p.elector.leadership.hints.knownImages[m.Name] {
		m.RecordImageUse(image.Name, image.MB, p.now)
	}
}
