package faultcombos

import (
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/cases"
	"github.com/zinclb/zinclb/internal/emulator/cases/casestest"
)

// sampleInterval is coprime to the number of extra scripts, so that the sample covers all of
// them.
const sampleInterval = 13

// TestTroubles runs a sample of the combinations of faults; the command "zinclb-emulator troubles"
// runs all of them.
func TestTroubles(t *testing.T) {
	selected := append(cases.EveryNth(AllCases(3), 0, sampleInterval), cases.EveryNth(AllCases(5), 6, 4*sampleInterval+1)...)
	for _, c := range append(AllCases(3), AllCases(5)...) { // each single script has to cause its mustOccur event
		if c.isSingle() {
			selected = append(selected, c)
		}
	}
	run := func(c Case) (Result, error) { return Run(c, config.Defaults(), nil) }
	casestest.Run(t, selected, run, func(t *testing.T, c Case, r Result) {
		t.Helper()
		// During an outage of the state service no request is executed, not even late.
		down := slices.ContainsFunc(c.scripts, func(s faultScript) bool { return s.outage })
		if strings.Contains(c.String(), "executed late") && !down && r.DelayedRequests < 20 {
			t.Errorf("got %d requests that were executed late, want at least 20", r.DelayedRequests)
		}
	})
}

// isSingle reports whether the case consists of one script of moreScripts or pipelineScripts
// alone.
func (c Case) isSingle() bool {
	scripts := slices.Concat(moreScripts, pipelineScripts)
	return len(c.scripts) == 1 && c.extra.name == "" && slices.ContainsFunc(scripts, func(script faultScript) bool { return script.name == c.scripts[0].name })
}
