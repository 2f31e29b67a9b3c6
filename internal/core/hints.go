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

// hints is what a leader leaves to the next about images: which machine has
// which, and finished jobs whose tasks can carry them. It is spread over as
// many values as the fleet needs, each written in its turn and with what the
// budget leaves; nothing depends on its being right or there.
type hints struct {
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

// A value of hints is written every hintsEvery; at most hintImages images are
// told of, and a machine and a source are taken to need so many bytes.
const (
	hintsEvery   = 15 * second
	hintsShare   = 0.05 // of the leader's writes
	hintImages   = 63
	machineBytes = 45
	sourceBytes  = 400
	imageBytes   = 40
)

func (c *Core) hintsTick() {
	l := c.lead
	room := c.valueLimit() * 4 / 5
	images := c.hintImages()
	// Every value names all images.
	of := 1 + (l.fleet.Len()*machineBytes+len(images)*2*sourceBytes)/(room-len(images)*imageBytes)
	if c.now-l.hintsAt < max(hintsEvery/int64(of), int64(1e6/(c.allowance.Changes*hintsShare))) || !c.sure() || c.budget.Level() < 4 {
		return
	}
	l.hintsAt = c.now
	l.hintsNext = (l.hintsNext + 1) % of
	key := hintsKey + "/" + strconv.Itoa(l.hintsNext)
	value := c.encodeHints(images, l.hintsNext, of)
	if string(value) == string(l.hints[key]) {
		return
	}
	c.budget.Spend(1)
	c.leaderPuts(key, value, func(m Committed) {
		if c.lead == l && m.Status == 200 {
			l.hints[key] = value
		}
	})
}

// hintImages are the images most asked for.
func (c *Core) hintImages() []string {
	w := &c.lead.warm
	images := make([]string, 0, len(w.uses))
	for im := range w.uses {
		images = append(images, im)
	}
	slices.SortFunc(images, func(a, b string) int {
		return cmp.Or(cmp.Compare(w.uses[b].score, w.uses[a].score), cmp.Compare(a, b))
	})
	return images[:min(len(images), hintImages, c.valueLimit()/3/imageBytes)]
}

// encodeHints makes value number part of so many, and leaves out what does
// not fit all the same.
func (c *Core) encodeHints(images []string, part, of int) []byte {
	l := c.lead
	h := hints{Of: of, Machines: map[string]uint64{}}
	bit := map[string]int{}
	for i, im := range images {
		bit[im] = i
		h.Images = append(h.Images, hintImage{Name: im})
		if i%of != part {
			continue
		}
		// Two jobs for an image: several machines can be warmed at once.
		seen := map[string]bool{}
		for _, s := range l.warm.sources[im] {
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
	limit := c.valueLimit()
	for {
		b := encode(h)
		switch {
		case len(b) <= limit:
			return b
		case len(h.Sources) > 0:
			h.Sources = h.Sources[:len(h.Sources)/2]
		case len(h.Machines) > 0:
			h.Machines = nil
		default:
			return encode(hints{Of: of})
		}
	}
}

// takeHints is called when this controller begins to lead. The sources are
// used only when any machine that the last leader was warming has come to
// the end of its lease, as each task is to be on one machine at a time.
func (c *Core) takeHints() {
	for _, key := range inOrder(c.hints) {
		value := c.hints[key]
		var h hints
		part, err := strconv.Atoi(strings.TrimPrefix(key, hintsKey+"/"))
		if err != nil || json.Unmarshal(value, &h) != nil || part >= h.Of {
			continue
		}
		for n, bits := range h.Machines {
			for i, im := range h.Images {
				if bits&(1<<i) != 0 {
					c.lead.known[n] = append(c.lead.known[n], im)
				}
			}
		}
		for _, s := range h.Sources {
			if s != nil && s.Tasks > 0 {
				c.noteUse(s)
				c.lead.inherited = append(c.lead.inherited, s)
			}
		}
	}
	for n, images := range c.recall.machines {
		c.lead.known[n] = append(c.lead.known[n], images...)
	}
	for _, image := range inOrder(c.recall.done) {
		for _, s := range c.recall.done[image] {
			c.noteUse(s)
			c.lead.inherited = append(c.lead.inherited, s)
		}
	}
	// A job may stand in two values, as they are written at different times.
	// It must be one carrier all the same: two would start a task twice.
	byID := func(a, b *jobstate.Spec) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(c.lead.inherited, byID)
	c.lead.inherited = slices.CompactFunc(c.lead.inherited, func(a, b *jobstate.Spec) bool { return byID(a, b) == 0 })
}

// inherit puts the last leader's sources to use.
func (c *Core) inherit() {
	l := c.lead
	if len(l.inherited) == 0 || c.now-l.since < c.set.Silence() {
		return
	}
	for _, s := range l.inherited {
		c.addSources(s)
	}
	l.inherited = nil
}

// knownImages gives a machine the images that the last leader knew it has.
func (c *Core) knownImages(m *fleet.Machine) {
	for _, im := range c.lead.known[m.Name] {
		m.RecordImageUse(im.Name, im.MB, c.now)
	}
}
