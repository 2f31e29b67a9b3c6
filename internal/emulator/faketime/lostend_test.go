package faketime

import (
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/emulator/history"
)

// TestLostEndDetected: the rule on lost ends looks at the keys that controllers write. Were their
// prefixes others than those it is told, it would see no key, and find nothing for ever.
func TestLostEndDetected(t *testing.T) {
	t.Parallel()
	c := newTestRun(5).runAndCheck(t)
	expected := c.Expectations()
	isEnd := func(e history.Event) bool {
		return e.Kind == history.StateChanged && e.State == history.KeyPut && strings.HasPrefix(e.Key, expected.Stored.Ends)
	}
	first := slices.IndexFunc(c.History, isEnd)
	if first < 0 {
		t.Fatal("no end was stored")
	}
	planted := slices.Delete(slices.Clone(c.History), first, first+1)
	found := history.CheckRules(planted, expected)
	if len(found) != 1 || found[0].Rule != history.LostEnd {
		t.Errorf("without the write of an end: %v", found)
	}
}
