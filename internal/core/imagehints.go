package core

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
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

// A value of hints is written every hintsInterval; at most hintedImages images are
// told of, and a machine and a source are taken to need so many bytes.
const (
	hintsInterval   = 15 * second
	hintsWriteShare = 0.05 // of the leader's writes
	hintImages      = 63
	machineBytes    = 45
	sourceBytes     = 400
	imageBytes      = 40
)

// hintState is what is known of cached images from an earlier leader, and what this
// one has written of them for the next.
type hintState struct {
	// known are the images of each machine that the last leader knew of,
	// inheritedSources the finished jobs that can bring images.
	known            map[string][]hintImage
	inheritedSources []*jobstate.Spec
	written          map[string][]byte
	writtenAt        int64
	nextPart         int
}

func newHintState(now int64) hintState {
	return hintState{known: map[string][]hintImage{}, written: map[string][]byte{}, writtenAt: now}
}

func (p *prefetcher) imageHintsTick() {
	l := p.elector.leadership
	room := p.membership.valueLimit() * 4 / 5
	images := p.hintedImages()
	// Every value names all images.
	of := 1 + (l.fleet.Len()*machineBytes+len(images)*2*sourceBytes)/(room-len(images)*imageBytes)
	if p.now-l.hints.writtenAt < max(hintsInterval/int64(of), int64(1e6/(p.health.writeRate()*hintsWriteShare))) || !p.elector.mayStartTasks() || p.health.writesLeft() < 4 {
		return
	}
	l.hints.writtenAt = p.now
	l.hints.nextPart = (l.hints.nextPart + 1) % of
	key := hintsKey + "/" + strconv.Itoa(l.hints.nextPart)
	value := p.encodeImageHints(images, l.hints.nextPart, of)
	if string(value) == string(l.hints.written[key]) {
		return
	}
	p.health.spendWrites(1)
	p.committer.putAsLeader(key, value, func(m Committed) {
		if p.elector.leadership == l && m.Status == 200 {
			l.hints.written[key] = value
		}
	})
}

// hintedImages are the images most asked for.
func (p *prefetcher) hintedImages() []string {
	w := &p.elector.leadership.prefetch
	images := make([]string, 0, len(w.demand))
	for im := range w.demand {
		images = append(images, im)
	}
	slices.SortFunc(images, func(a, b string) int {
		return cmp.Or(cmp.Compare(w.demand[b].score, w.demand[a].score), cmp.Compare(a, b))
	})
	return images[:min(len(images), hintImages, p.membership.valueLimit()/3/imageBytes)]
}

// encodeImageHints makes value number part of so many, and leaves out what does
// not fit all the same.
func (p *prefetcher) encodeImageHints(images []string, part, of int) []byte {
	l := p.elector.leadership
	h := hintsRecord{Of: of, Machines: map[string]uint64{}}
	bit := map[string]int{}
	for i, im := range images {
		bit[im] = i
		h.Images = append(h.Images, hintImage{Name: im})
		if i%of != part {
			continue
		}
		// Two jobs for an image: several machines can be warmed at once.
		seen := map[string]bool{}
		for _, s := range l.prefetch.sources[im] {
			if !seen[s.spec.ID] && len(seen) < 2 {
				seen[s.spec.ID] = true
				h.Sources = append(h.Sources, s.spec)
			}
		}
	}
	for _, m := range l.fleet.All() {
		if int(m.Hash%uint32(of)) != part {
			continue
		}
		for im, has := range m.Images {
			if i, ok := bit[im]; ok {
				h.Machines[m.Name] |= 1 << i
				h.Images[i].MB = max(h.Images[i].MB, has.MB)
			}
		}
	}
	limit := p.membership.valueLimit()
	for {
		b := encodeJSON(h)
		switch {
		case len(b) <= limit:
			return b
		case len(h.Sources) > 0:
			h.Sources = h.Sources[:len(h.Sources)/2]
		case len(h.Machines) > 0:
			h.Machines = nil
		default:
			return encodeJSON(hintsRecord{Of: of})
		}
	}
}

// loadImageHints is called when this controller begins to lead. The sources are
// used only when any machine that the last leader was warming has come to
// the end of its lease, as each task is to be on one machine at a time.
func (p *prefetcher) loadImageHints() {
	for _, key := range sortedKeys(p.cache.imageHints) {
		value := p.cache.imageHints[key]
		var h hintsRecord
		part, err := strconv.Atoi(strings.TrimPrefix(key, hintsKey+"/"))
		if err != nil || json.Unmarshal(value, &h) != nil || part >= h.Of {
			continue
		}
		for n, bits := range h.Machines {
			for i, im := range h.Images {
				if bits&(1<<i) != 0 {
					p.elector.leadership.hints.known[n] = append(p.elector.leadership.hints.known[n], im)
				}
			}
		}
		for _, s := range h.Sources {
			if s != nil && s.Tasks > 0 {
				p.noteImageDemand(s)
				p.elector.leadership.hints.inheritedSources = append(p.elector.leadership.hints.inheritedSources, s)
			}
		}
	}
	for n, images := range p.cache.imageHistory.machines {
		p.elector.leadership.hints.known[n] = append(p.elector.leadership.hints.known[n], images...)
	}
	for _, image := range sortedKeys(p.cache.imageHistory.done) {
		for _, s := range p.cache.imageHistory.done[image] {
			p.noteImageDemand(s)
			p.elector.leadership.hints.inheritedSources = append(p.elector.leadership.hints.inheritedSources, s)
		}
	}
	// A job may stand in two values, as they are written at different times.
	// It must be one carrier all the same: two would start a task twice.
	byID := func(a, b *jobstate.Spec) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(p.elector.leadership.hints.inheritedSources, byID)
	p.elector.leadership.hints.inheritedSources = slices.CompactFunc(p.elector.leadership.hints.inheritedSources, func(a, b *jobstate.Spec) bool { return byID(a, b) == 0 })
}

// inheritPrefetchSources puts the last leader's sources to use.
func (p *prefetcher) inheritPrefetchSources() {
	l := p.elector.leadership
	if len(l.hints.inheritedSources) == 0 || p.now-l.since < p.settings.FailoverEpochTimeout() {
		return
	}
	for _, s := range l.hints.inheritedSources {
		p.addPrefetchSources(s)
	}
	l.hints.inheritedSources = nil
}

// restoreKnownImages gives a machine the images that the last leader knew it has.
func (p *prefetcher) restoreKnownImages(m *fleet.Machine) {
	for _, im := range p.elector.leadership.hints.known[m.Name] {
		m.RecordImageUse(im.Name, im.MB, p.now)
	}
}
