package core

import (
	"encoding/json"
	"strings"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// resolveConflict reads a key whose revision was not the expected one. No transaction is sent
// while such reads are pending.
func (c *committer) resolveConflict(term *leadership, key string) {
	if key == LeaderKey {
		c.emit(ReadState{AfterRevision: c.cache.appliedRevision})
		term.commits.conflicts++ // nothing more is written in this term
		if c.elector.leadership == term {
			c.elector.stepDown("the leadership key changed")
		}
		return
	}
	term.commits.conflicts++
	c.readKey(key, func(read KeyRead) {
		if c.elector.leadership != term {
			return
		}
		term.commits.conflicts--
		if read.Err == nil { // on an error the write is retried, and conflicts again
			c.applyConflict(key, &read)
		}
	})
}

// applyConflict applies the stored value of a key whose revision was not the expected one.
func (c *committer) applyConflict(key string, read *KeyRead) {
	switch {
	case strings.HasPrefix(key, runPrefix):
		c.applyChunkRevision(key[len(runPrefix):], read.Revision)
	case strings.HasPrefix(key, logPrefix):
		c.cache.setPageRevision(key, read.Revision)
	case strings.HasPrefix(key, sweepEndPrefix) && read.Revision != 0:
		c.sweepManager.recordCancelled(key[len(sweepEndPrefix):])
	case strings.HasPrefix(key, endPrefix):
		c.applyStoredEnd(key[len(endPrefix):], read)
	case strings.HasPrefix(key, jobPrefix):
		c.applyStoredJob(key, read)
	}
}

// applyChunkRevision sets the revision of a chunk; name is its key without the prefix.
func (c *committer) applyChunkRevision(name string, revision uint64) {
	id, ref, err := parseChunkKey(name)
	if err != nil {
		return
	}
	if job := c.cache.jobs[id]; job != nil {
		job.SetChunkRevision(ref, revision)
		return
	}
	c.setOrphanedRevision(id, ref, revision)
}

// applyStoredEnd applies a job's end that another controller stored.
func (c *committer) applyStoredEnd(id string, read *KeyRead) {
	var end jobstate.End
	if read.Revision == 0 || json.Unmarshal(read.Value, &end) != nil {
		return
	}
	c.cache.recordEnd(id, jobstate.EndStoredAt(end, read.Revision))
}

// applyStoredJob applies a job's record, or its removal.
func (c *committer) applyStoredJob(key string, read *KeyRead) {
	if read.Revision != 0 {
		c.cache.apply(Change{Key: key, Value: read.Value, Revision: read.Revision})
		return
	}
	if job := c.cache.jobs[key[len(jobPrefix):]]; job != nil {
		delete(c.cache.jobs, job.ID)
		c.tasks.jobRemoved(job)
	}
}
