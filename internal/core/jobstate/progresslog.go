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

// LogPage is one stored value of the progress log. Changes of many jobs cost a single write in
// the log, whereas chunks cost at least one write per job. Sequence numbers of entries continue
// from page to page, and a page only ever grows. The entry of a task with the highest sequence
// number is the valid one, unless the task's chunk was stored later (Chunk.seq).
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

// DecodeLogPage decodes the stored value of a page.
func DecodeLogPage(value []byte) (LogPage, error) {
	var s storedLogPage
	if err := json.Unmarshal(value, &s); err != nil {
		return LogPage{}, fmt.Errorf("progress log page: %w", err)
	}
	p := LogPage{FirstSeq: s.FirstSeq, Entries: make([]LogEntry, 0, len(s.Entries)/4)}
	for k := 0; k+3 < len(s.Entries); k += 4 {
		j, i, a, m := s.Entries[k], s.Entries[k+1], s.Entries[k+2], s.Entries[k+3]
		if int(j) >= len(s.Jobs) || int(m) > len(s.Machines) || i >= MaxTasks {
			return LogPage{}, errors.New("progress log page: invalid job, task or machine in an entry")
		}
		e := LogEntry{Job: s.Jobs[j], Task: int(i), Attempt: a / 2, Done: a%2 == 1}
		if m > 0 {
			e.Machine = s.Prefix + s.Machines[m-1]
		}
		p.Entries = append(p.Entries, e)
	}
	return p, nil
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

// ChangedEntries returns log entries for the tasks of chunk c that changed since its last write
// began. fullWrite reports that the complete chunk has to be written instead, because it has
// other changes or too many changed tasks.
func (j *Job) ChangedEntries(c int) (entries []LogEntry, fullWrite bool) {
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

// BeginLogWrite records that the changes of chunk c are about to be written to the log, and
// returns the version that is written.
func (j *Job) BeginLogWrite(c int) (version uint64) {
	ch := &j.chunks[c]
	ch.beginWrite()
	return ch.version
}

func (c *Chunk) beginWrite() {
	c.dirty, c.inFlight, c.hasPlacement = false, true, false
	c.inFlightChanges, c.changed = c.changed, nil
}

// CommitLogWrite records that a version of chunk c is stored in the log.
func (j *Job) CommitLogWrite(c int, version uint64) {
	j.CommitChunkWrite(c, version, j.chunks[c].Revision)
}

// FirstUnstoredSeq returns the sequence number of the first log entry that the stored value of
// chunk c does not include.
func (j *Job) FirstUnstoredSeq(c int) uint64 { return j.chunks[c].seq }

// CompactChunk requests that chunk c is written as a whole, so that its log entries are no
// longer needed.
func (j *Job) CompactChunk(c int, now int64) {
	ch := &j.chunks[c]
	if !ch.needsFullWrite && !ch.inFlightFull {
		ch.needsFullWrite = true
		j.markDirty(ch, now)
	}
}
