package jobstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// LogEntry is the state of one task at some point: whether it is done, and where
// its attempt is placed, if anywhere.
type LogEntry struct {
	Job     string
	Task    int
	Done    bool
	Machine string
	Attempt uint32
}

// LogPage is one value of the log of progress. A change of many jobs costs one
// write in it, where a chunk costs one for each job. Entries are numbered
// through all pages; a page only ever grows, and of a task the entry with the
// highest number holds, unless its chunk was stored later (Chunk.seq).
type LogPage struct {
	// FirstSeq is the number of the first entry.
	FirstSeq uint64
	Entries  []LogEntry
	Revision uint64
}

// NextSeq is the number after the last entry's.
func (p *LogPage) NextSeq() uint64 { return p.FirstSeq + uint64(len(p.Entries)) }

type storedLogPage struct {
	FirstSeq uint64   `json:"b"`
	Prefix   string   `json:"p"`
	Machines []string `json:"m"` // of machines, without the prefix
	Jobs     []string `json:"j"`
	// Entries are four numbers each: job, task, twice the attempt and one if
	// done, and the machine counted from 1.
	Entries []uint32 `json:"e"`
}

// Encode makes the page's value.
func (p *LogPage) Encode() []byte {
	s := storedLogPage{FirstSeq: p.FirstSeq, Entries: make([]uint32, 0, 4*len(p.Entries))}
	jobs, machines := map[string]uint32{}, map[string]uint32{}
	index := func(in map[string]uint32, list *[]string, name string) uint32 {
		i, ok := in[name]
		if !ok {
			i = uint32(len(*list))
			in[name], *list = i, append(*list, name)
		}
		return i
	}
	for _, e := range p.Entries {
		var m uint32
		if e.Machine != "" {
			m = index(machines, &s.Machines, e.Machine) + 1
		}
		a := e.Attempt * 2
		if e.Done {
			a++
		}
		s.Entries = append(s.Entries, index(jobs, &s.Jobs, e.Job), uint32(e.Task), a, m)
	}
	if len(s.Machines) > 0 {
		s.Prefix = s.Machines[0]
		for _, n := range s.Machines {
			for !strings.HasPrefix(n, s.Prefix) {
				s.Prefix = s.Prefix[:len(s.Prefix)-1]
			}
		}
		for i := range s.Machines {
			s.Machines[i] = s.Machines[i][len(s.Prefix):]
		}
	}
	return Encode(s)
}

// DecodeLogPage reads a page's value.
func DecodeLogPage(value []byte) (LogPage, error) {
	var s storedLogPage
	if err := json.Unmarshal(value, &s); err != nil {
		return LogPage{}, fmt.Errorf("page of progress: %w", err)
	}
	p := LogPage{FirstSeq: s.FirstSeq, Entries: make([]LogEntry, 0, len(s.Entries)/4)}
	for k := 0; k+3 < len(s.Entries); k += 4 {
		j, i, a, m := s.Entries[k], s.Entries[k+1], s.Entries[k+2], s.Entries[k+3]
		if int(j) >= len(s.Jobs) || int(m) > len(s.Machines) || i >= MaxTasks {
			return LogPage{}, errors.New("page of progress: an entry points nowhere")
		}
		e := LogEntry{Job: s.Jobs[j], Task: int(i), Attempt: a / 2, Done: a%2 == 1}
		if m > 0 {
			e.Machine = s.Prefix + s.Machines[m-1]
		}
		p.Entries = append(p.Entries, e)
	}
	return p, nil
}

// ApplyLogEntry takes the entry with number seq over, unless its chunk was stored
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

// restoreTask replaces what is known of a task by what is stored.
func (j *Job) restoreTask(i int, to Task, now int64) {
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
	*t = to
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

// ChangedEntries lists the entries for the tasks of chunk c that changed since it was
// last taken. whole says that only the chunk's value has all that changed.
func (j *Job) ChangedEntries(c int) (entries []LogEntry, whole bool) {
	ch := &j.chunks[c]
	if ch.needsFullWrite || len(ch.changed) > j.chunkSize*3/4 {
		return nil, true
	}
	seen := make(map[int32]struct{}, len(ch.changed))
	for _, i := range ch.changed {
		if _, twice := seen[i]; twice {
			continue
		}
		seen[i] = struct{}{}
		t := &j.tasks[i]
		entries = append(entries, LogEntry{Job: j.ID, Task: int(i), Done: t.Done, Machine: t.Machine, Attempt: t.Attempt})
	}
	return entries, false
}

// BeginLogWrite says that the changes of chunk c are about to be written to the
// log.
func (j *Job) BeginLogWrite(c int) (version uint64) {
	ch := &j.chunks[c]
	ch.beginWrite()
	return ch.version
}

func (c *Chunk) beginWrite() {
	c.dirty, c.inFlight, c.hasPlacement = false, true, false
	c.inFlightChanges, c.changed = c.changed, nil
}

// CommitLogWrite notes that a version of chunk c is stored by the log.
func (j *Job) CommitLogWrite(c int, version uint64) {
	j.CommitChunkWrite(c, version, j.chunks[c].Revision)
}

// FirstUnstoredSeq is the number up to which chunk c's stored value has all entries.
func (j *Job) FirstUnstoredSeq(c int) uint64 { return j.chunks[c].seq }

// CompactChunk asks for chunk c to be written as a value, so that the log's entries of
// it are not needed any more.
func (j *Job) CompactChunk(c int, now int64) {
	ch := &j.chunks[c]
	if !ch.needsFullWrite && !ch.inFlightFull {
		ch.needsFullWrite = true
		j.markDirty(ch, now)
	}
}
