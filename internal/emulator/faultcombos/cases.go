package faultcombos

import (
	"fmt"
	"slices"
	"strings"
)

// ID returns the number of the case.
func (c Case) ID() uint64 { return c.Seed }

// Case is a run with one or two fault scripts, and possibly an extra script.
type Case struct {
	Size    int
	scripts []faultScript
	extra   faultScript
	Seed    uint64
}

func (c Case) String() string {
	var l []string
	for _, t := range c.scripts {
		l = append(l, t.name)
	}
	s := fmt.Sprintf("%d controllers, %s", c.Size, strings.Join(l, " and "))
	if c.extra.name != "" {
		s += ", with " + c.extra.name
	}
	return s
}

// AllCases returns all cases with the given number of controllers: each base script and each
// pair of base scripts, with each extra script; then the further scripts, alone and in pairs;
// and last the pipeline scripts.
func AllCases(size int) (out []Case) {
	add := func(l ...faultScript) {
		for _, w := range extraScripts {
			out = append(out, Case{Size: size, scripts: l, extra: w, Seed: uint64(len(out) + 1)})
		}
	}
	for _, t := range baseScripts {
		add(t)
	}
	for i, a := range baseScripts {
		for _, b := range baseScripts[i+1:] {
			add(a, b)
		}
	}
	for _, t := range moreScripts {
		add(t)
	}
	// Each pair with a further script has one extra script; the extra scripts take turns.
	for i, a := range moreScripts {
		for _, b := range slices.Concat(baseScripts, moreScripts[i+1:]) {
			out = append(out, Case{Size: size, scripts: []faultScript{a, b}, extra: extraScripts[len(out)%len(extraScripts)], Seed: uint64(len(out) + 1)})
		}
	}
	for _, t := range pipelineScripts {
		add(t)
	}
	return out
}
