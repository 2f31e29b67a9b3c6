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

// hintsRecord is what a leader leaves to the next about images: which machine has
// which, and finished jobs whose tasks can carry them. It is spread over as
// many values as the fleet needs, each written in its turn and with what the
// budget leaves; nothing depends on its being right or there.
type hintsRecord struct {
	// Of is how many values there are in all.
	Of     int         `json:"of"`
	Images []hintImage `json:"i"`
	// Machines has a bit for each of the images.
	Machines map[string]uint64 `json:"m"`
	Sources  []*jobstate.Spec  `json:"s"`
}

type hintImage struct {
	Name string `json:"n"`
	MB   int64  `json:"b"`
}

const (
	// hintsInterval is how often all values of hints are written, hintsWriteShare what
	// share of the leader's writes they may take, minHintWrites how many writes have to
	// be left.
	hintsInterval   = 15 * second
	hintsWriteShare = 0.05
	minHintWrites   = 4
	// maxHintImages is how many images hints are given of: a bit each.
	maxHintImages = 63
	// sourcesPerImage is how many jobs are named that can carry an image: several
	// machines can then fetch it at once.
	sourcesPerImage = 2
	// What a machine, a source and an image are taken to need in a value, in bytes.
	machineBytes = 45
	sourceBytes  = 400
	imageBytes   = 40
)

// hintState is what is known of cached images from an earlier leader, and what this
// one has written of them for the next.
type hintState struct {
	// known are the images of each machine that the last leader knew of.
	known map[string][]hintImage
	// inheritedSources are the finished jobs that can carry images.
	inheritedSources []*jobstate.Spec
	written          map[string][]byte
	writtenAt        int64
	nextPart         int
}

func newHintState(now int64) hintState {
	return hintState{known: map[string][]hintImage{}, written: map[string][]byte{}, writtenAt: now}
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

// hintParts is how many values the hints take. Each names all images.
func (p *prefetcher) hintParts(images int) int {
	capacity := p.membership.valueLimit()*4/5 - images*imageBytes
	return 1 + (p.elector.leadership.fleet.Len()*machineBytes+images*sourcesPerImage*sourceBytes)/capacity
}

// hintGap is the time between the writes of two of so many values.
func (p *prefetcher) hintGap(parts int) int64 {
	return max(hintsInterval/int64(parts), int64(1e6/(p.health.writeRate()*hintsWriteShare)))
}

// mostWantedImages are the images most asked for.
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

// encodeImageHints makes one of so many values of hints.
func (p *prefetcher) encodeImageHints(images []string, part, parts int) []byte {
	term := p.elector.leadership
	hints := hintsRecord{Of: parts, Machines: map[string]uint64{}}
	bits := map[string]int{}
	for i, image := range images {
		bits[image] = i
		hints.Images = append(hints.Images, hintImage{Name: image})
		if i%parts == part {
			hints.Sources = append(hints.Sources, p.jobsCarrying(image)...)
		}
	}
	for _, m := range term.fleet.All() {
		if int(m.Hash%uint32(parts)) == part {
			hints.addMachine(m, bits)
		}
	}
	return hints.encode(p.membership.valueLimit())
}

// jobsCarrying are a few finished jobs that can carry an image.
func (p *prefetcher) jobsCarrying(image string) []*jobstate.Spec {
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

// addMachine notes which of the images a machine has; bits are their numbers.
func (h *hintsRecord) addMachine(m *fleet.Machine, bits map[string]int) {
	for name, image := range m.Images {
		if i, ok := bits[name]; ok {
			h.Machines[m.Name] |= 1 << i
			h.Images[i].MB = max(h.Images[i].MB, image.MB)
		}
	}
}

// encode makes a value, and leaves out what does not fit.
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

// loadImageHints is called when this controller begins to lead. The sources are
// used only when the lease of any machine that fetched for the last leader
// has expired, as each task is to be on one machine at a time.
func (p *prefetcher) loadImageHints() {
	state := &p.elector.leadership.hints
	for _, key := range sortedKeys(p.cache.imageHints) {
		var hints hintsRecord
		part, err := strconv.Atoi(strings.TrimPrefix(key, hintsKey+"/"))
		if err != nil || json.Unmarshal(p.cache.imageHints[key], &hints) != nil || part >= hints.Of {
			continue
		}
		p.takeOverHints(&hints)
	}
	for machine, images := range p.cache.imageHistory.machines {
		state.known[machine] = append(state.known[machine], images...)
	}
	for _, image := range sortedKeys(p.cache.imageHistory.done) {
		for _, spec := range p.cache.imageHistory.done[image] {
			p.inheritSource(spec)
		}
	}
	// A job may stand in two values, as they are written at different times.
	// It must be one source all the same: two would start a task twice.
	byID := func(a, b *jobstate.Spec) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(state.inheritedSources, byID)
	state.inheritedSources = slices.CompactFunc(state.inheritedSources, func(a, b *jobstate.Spec) bool { return byID(a, b) == 0 })
}

// takeOverHints remembers what one value of hints says.
func (p *prefetcher) takeOverHints(hints *hintsRecord) {
	state := &p.elector.leadership.hints
	for machine, bits := range hints.Machines {
		for i, image := range hints.Images {
			if bits&(1<<i) != 0 {
				state.known[machine] = append(state.known[machine], image)
			}
		}
	}
	for _, spec := range hints.Sources {
		if spec != nil && spec.Tasks > 0 {
			p.inheritSource(spec)
		}
	}
}

// restoreKnownImages gives a machine the images that the last leader knew it has.
func (p *prefetcher) restoreKnownImages(m *fleet.Machine) {
	for _, image := range p.elector.leadership.hints.known[m.Name] {
		m.RecordImageUse(image.Name, image.MB, p.now)
	}
}
