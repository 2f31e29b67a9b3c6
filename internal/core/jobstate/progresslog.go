package jobstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// LogEntry is the state of one task at some point in the log: whether it is done, and where its
// attempt is placed, if anywhere.
type LogEntry struct {
	Job     string
	Task    int
	Done    bool
	Machine string
	Attempt uint32
}

// LogPage is one stored value of the progress log. One write of a page can record changes of
// many jobs, whereas chunks need at least one write per job. Sequence numbers of entries
// continue from page to page, and entries are only added to a page, never removed from it. The
// entry of a task with the highest sequence number is the valid one, unless the task's chunk
// was stored later (Chunk.seq).
type LogPage struct {
	// FirstSeq is the sequence number of the first entry.
	FirstSeq uint64
	Entries  []LogEntry
	Revision uint64
}

// NextSeq returns the sequence number after that of the last entry.
func (p *LogPage) NextSeq() uint64 { return p.FirstSeq + uint64(len(p.Entries)) }

type storedLogPage struct {
	FirstSeq uint64   `json:"b"`
	Prefix   string   `json:"p"`
	Machines []string `json:"m"` // names without the common prefix
	Jobs     []string `json:"j"`
	// Entries has four numbers per entry: the index of the job, the task, twice the
	// attempt plus one if the task is done, and the index of the machine plus one, 0 for
	// none.
	Entries []uint32 `json:"e"`
}

// Encode returns the stored value of the page.
func (p *LogPage) Encode() []byte {
	stored := storedLogPage{FirstSeq: p.FirstSeq, Entries: make([]uint32, 0, 4*len(p.Entries))}
	jobIndices, machineIndices := map[string]uint32{}, map[string]uint32{}
	// indexOf returns the index of a name in a list, and appends the name if it is missing.
	indexOf := func(indices map[string]uint32, list *[]string, name string) uint32 {
		i, ok := indices[name]
		if !ok {
			i = uint32(len(*list))
			indices[name], *list = i, append(*list, name)
		}
		return i
	}
	for _, e := range p.Entries {
		var machine uint32
		if e.Machine != "" {
			machine = indexOf(machineIndices, &stored.Machines, e.Machine) + 1
		}
		attemptAndDone := e.Attempt * 2
		if e.Done {
			attemptAndDone++
		}
		stored.Entries = append(stored.Entries, indexOf(jobIndices, &stored.Jobs, e.Job), uint32(e.Task), attemptAndDone, machine)
	}
	if len(stored.Machines) > 0 {
		stored.Prefix = stored.Machines[0]
		for _, name := range stored.Machines {
			for !strings.HasPrefix(name, stored.Prefix) {
				stored.Prefix = stored.Prefix[:len(stored.Prefix)-1]
			}
		}
		for i := range stored.Machines {
			stored.Machines[i] = stored.Machines[i][len(stored.Prefix):]
		}
	}
	return Encode(stored)
}

// DecodeLogPage decodes the stored value of a page.
func DecodeLogPage(value []byte) (LogPage, error) {
	var stored storedLogPage
	if err := json.Unmarshal(value, &stored); err != nil {
		return LogPage{}, fmt.Errorf("progress log page: %w", err)
	}
	page := LogPage{FirstSeq: stored.FirstSeq, Entries: make([]LogEntry, 0, len(stored.Entries)/4)}
	for k := 0; k+3 < len(stored.Entries); k += 4 {
		job, task, attemptAndDone, machine := stored.Entries[k], stored.Entries[k+1], stored.Entries[k+2], stored.Entries[k+3]
		if int(job) >= len(stored.Jobs) || int(machine) > len(stored.Machines) || task >= MaxTasks {
			return LogPage{}, errors.New("progress log page: invalid job, task or machine in an entry")
		}
		e := LogEntry{Job: stored.Jobs[job], Task: int(task), Attempt: attemptAndDone / 2, Done: attemptAndDone%2 == 1}
		if machine > 0 {
			e.Machine = stored.Prefix + stored.Machines[machine-1]
		}
		page.Entries = append(page.Entries, e)
	}
	return page, nil
}

// ApplyLogEntry applies the entry with sequence number seq, unless the task's chunk was stored
// after it.
func (j *Job) ApplyLogEntry(e *LogEntry, seq uint64, now int64) {
	t := j.Task(e.Task)
	if t == nil {
		return
	}
	c := &j.chunks[e.Task/j.chunkSize]
	if seq < c.seq {
		return
	}
	c.attempt = max(c.attempt, e.Attempt)
	j.restoreTask(e.Task, Task{Done: e.Done, Machine: e.Machine, Attempt: e.Attempt}, now)
}

// restoreTask replaces the state of task i by the stored state.
func (j *Job) restoreTask(i int, stored Task, now int64) {
	t := &j.tasks[i]
	if t.Machine != "" {
		j.SetPhase(t, Unconfirmed)
		j.NumPlaced--
		if t.Done {
			j.doneAndPlaced--
		}
	}
	if t.Done {
		j.NumDone--
	}
	*t = stored
	if t.Done {
		j.NumDone++
	}
	if t.Machine != "" {
		t.Stored, t.StartSent, t.PlacedAt = true, true, now
		j.NumPlaced++
		if t.Done {
			j.doneAndPlaced++
		}
	}
	j.reindex(i)
}

// ChangedEntries returns log entries for the tasks of a chunk that changed since the chunk's
// last write began. fullWrite reports that the complete chunk has to be written instead,
// because it has other changes or too many changed tasks.
func (j *Job) ChangedEntries(index int) (entries []LogEntry, fullWrite bool) {
	chunk := &j.chunks[index]
	if chunk.needsFullWrite || len(chunk.changed) > j.chunkSize*3/4 {
		return nil, true
	}
	seen := make(map[int32]struct{}, len(chunk.changed))
	for _, i := range chunk.changed {
		if _, twice := seen[i]; twice {
			continue
		}
		seen[i] = struct{}{}
		t := &j.tasks[i]
		entries = append(entries, LogEntry{Job: j.ID, Task: int(i), Done: t.Done, Machine: t.Machine, Attempt: t.Attempt})
	}
	return entries, false
}

// BeginLogWrite records that the changes of a chunk are about to be written to the log, and
// returns the version that is written.
func (j *Job) BeginLogWrite(index int) (version uint64) {
	chunk := &j.chunks[index]
	chunk.beginWrite()
	return chunk.version
}

func (c *Chunk) beginWrite() {
	c.dirty, c.inFlight, c.hasPlacement = false, true, false
	c.inFlightChanges, c.changed = c.changed, nil
}

// CommitLogWrite records that a version of a chunk is stored in the log.
func (j *Job) CommitLogWrite(index int, version uint64) {
	j.CommitChunkWrite(index, version, j.chunks[index].Revision)
}

// FirstUnstoredSeq returns the sequence number of the first log entry that the stored value of
// a chunk does not include.
func (j *Job) FirstUnstoredSeq(index int) uint64 { return j.chunks[index].seq }

// CompactChunk requests that a chunk is written as a whole, so that its log entries are no
// longer needed.
func (j *Job) CompactChunk(index int, now int64) {
	chunk := &j.chunks[index]
	if !chunk.needsFullWrite && !chunk.inFlightFull {
		chunk.needsFullWrite = true
		j.markDirty(chunk, now)
	}
}
