package faketime

import (
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/emulator/history"
)

// TestLostEndDetected checks that the rule on lost ends detects a missing end. The rule looks at
// the keys that controllers write. If the prefixes configured for the rule differed from those of
// the controllers, it would match no key and never find a violation.
func TestLostEndDetected(t *testing.T) {
	t.Parallel()
	c := newTestRun(5).runAndCheck(t)
	expected := c.Expectations()
	isEnd := func(e history.Event) bool {
		return e.Kind == history.StateChanged && e.State == history.KeyPut && strings.HasPrefix(e.Key, expected.Stored.Ends)
	}
	first := slices.IndexFunc(c.History, isEnd)
	if first < 0 {
		t.Fatal("the history has no write of an end, want at least one")
	}
	withoutEnd := slices.Delete(slices.Clone(c.History), first, first+1)
	found := history.CheckRules(withoutEnd, expected)
	if len(found) != 1 || found[0].Rule != history.LostEnd {
		t.Errorf("history without the write of an end: got violations %v, want one of %s", found, history.LostEnd)
	}
}
