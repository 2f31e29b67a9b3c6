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
	var names []string
	for _, script := range c.scripts {
		names = append(names, script.name)
	}
	text := fmt.Sprintf("%d controllers, %s", c.Size, strings.Join(names, " and "))
	if c.extra.name != "" {
		text += ", with " + c.extra.name
	}
	return text
}

// AllCases returns all cases with the given number of controllers: each base script and each
// pair of base scripts, with each extra script; then the further scripts, alone and in pairs;
// and last the pipeline scripts.
func AllCases(size int) (all []Case) {
	add := func(scripts ...faultScript) {
		for _, extra := range extraScripts {
			all = append(all, Case{Size: size, scripts: scripts, extra: extra, Seed: uint64(len(all) + 1)})
		}
	}
	for _, script := range baseScripts {
		add(script)
	}
	for i, a := range baseScripts {
		for _, b := range baseScripts[i+1:] {
			add(a, b)
		}
	}
	for _, script := range moreScripts {
		add(script)
	}
	// Each pair with a further script has one extra script; the extra scripts take turns.
	for i, a := range moreScripts {
		for _, b := range slices.Concat(baseScripts, moreScripts[i+1:]) {
			all = append(all, Case{Size: size, scripts: []faultScript{a, b}, extra: extraScripts[len(all)%len(extraScripts)], Seed: uint64(len(all) + 1)})
		}
	}
	for _, script := range pipelineScripts {
		add(script)
	}
	return all
}
