package history

import "strings"

// LostEnd is the rule that no job's key is removed unless the job's end is stored by then: a
// controller that starts afterwards would take the job for one that was never accepted, though
// nobody may ask about it while it shows.
const LostEnd = "lost_end"

// endChecker compares the removals of jobs' keys with the ends that are stored.
type endChecker struct {
	keys   StoredKeys
	stored map[string]bool // jobs whose ends have been stored
	// removed are the jobs whose keys were removed at removedAt. They are checked at a later
	// time, as the changes of one transaction come in no certain order.
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

// checkEndsStored checks, before what happens at a time, the removals of before.
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
