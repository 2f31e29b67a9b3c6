package history

import "strings"

// LostEnd is the rule that the key of a job is removed only if the job's end is stored by then.
// A controller that starts after any other removal treats the job as one that was never accepted.
// The rule detects such a removal even if no user polls for the job while it is missing.
const LostEnd = "lost_end"

// endChecker compares the removals of jobs' keys with the stored ends.
type endChecker struct {
	keys   StoredKeys
	stored map[string]bool // jobs whose ends are stored
	// removed are the jobs whose keys were removed at removedAt. They are checked at a later
	// time, as the changes of one transaction are recorded in any order.
	removed   []string
	removedAt int64
}

func newEndChecker(keys StoredKeys) endChecker {
	return endChecker{keys: keys, stored: map[string]bool{}}
}

func (c *endChecker) onStateChanged(e *Event) {
	if c.keys == (StoredKeys{}) {
		return
	}
	if id, ok := strings.CutPrefix(e.Key, c.keys.Ends); ok {
		c.stored[id] = e.State == KeyPut
		return
	}
	if id, ok := strings.CutPrefix(e.Key, c.keys.Jobs); ok && e.State == KeyRemoved {
		c.removed, c.removedAt = append(c.removed, id), e.At
	}
}

// checkEndsStored checks the removals that happened before now. It is called before the events
// at now are handled.
func (k *checker) checkEndsStored(now int64) {
	if k.ends.removedAt == now {
		return
	}
	k.now = k.ends.removedAt
	for _, id := range k.ends.removed {
		if !k.ends.stored[id] {
			k.addViolation(LostEnd, "%s is removed and its end is not stored", id)
		}
	}
	k.ends.removed = nil
	k.now = now
}
