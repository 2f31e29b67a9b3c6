package faultcombos

import (
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/cases/casestest"
)

// eachOf has no factor in common with the number of extra scripts.
const eachOf = 13

// TestTroubles runs a part of all combinations of faults; zinclb-emulator troubles runs them
// all.
func TestTroubles(t *testing.T) {
	selected := append(cases.EveryNth(AllCases(3), 0, eachOf), cases.EveryNth(AllCases(5), 6, 4*eachOf+1)...)
	for _, c := range append(AllCases(3), AllCases(5)...) { // each by itself, in which its faults have to meet
		if c.isSingle() {
			selected = append(selected, c)
		}
	}
	run := func(c Case) (Result, error) { return Run(c, config.Defaults(), nil) }
	casestest.Run(t, selected, run, func(t *testing.T, c Case, r Result) {
		t.Helper()
		// In an outage there is nothing that could be executed at all.
		down := slices.ContainsFunc(c.scripts, func(s faultScript) bool { return s.outage })
		if strings.Contains(c.String(), "executed late") && !down && r.DelayedRequests < 20 {
			t.Errorf("%d requests were executed late", r.DelayedRequests)
		}
	})
}

// isSingle says whether it has one of moreScripts or pipelineScripts and nothing else.
func (c Case) isSingle() bool {
	scripts := slices.Concat(moreScripts, pipelineScripts)
	return len(c.scripts) == 1 && c.extra.name == "" && slices.ContainsFunc(scripts, func(t faultScript) bool { return t.name == c.scripts[0].name })
}
