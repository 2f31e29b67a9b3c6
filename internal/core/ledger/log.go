package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Entry is the state of one task at some point: whether it is done, and where
// its attempt is placed, if anywhere.
type Entry struct {
	Job     string
	Task    int
	Done    bool
	Machine string
	Attempt uint32
}

// Page is one value of the log of progress. A change of many jobs costs one
// write in it, where a chunk costs one for each job. Entries are numbered
// through all pages; a page only ever grows, and of a task the entry with the
// highest number holds, unless its chunk was stored later (Chunk.seq).
type Page struct {
	// Base is the number of the first entry.
	Base    uint64
	Entries []Entry
	Stamp   uint64
}

// End is the number after the last entry's.
func (p *Page) End() uint64 { return p.Base + uint64(len(p.Entries)) }

type storedPage struct {
	Base   uint64   `json:"b"`
	Prefix string   `json:"p"`
	Names  []string `json:"m"` // of machines, without the prefix
	Jobs   []string `json:"j"`
	// Entries are four numbers each: job, task, twice the attempt and one if
	// done, and the machine counted from 1.
	Entries []uint32 `json:"e"`
}

// Encode makes the page's value.
func (p *Page) Encode() []byte {
	s := storedPage{Base: p.Base, Entries: make([]uint32, 0, 4*len(p.Entries))}
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
			m = index(machines, &s.Names, e.Machine) + 1
		}
		a := e.Attempt * 2
		if e.Done {
			a++
		}
		s.Entries = append(s.Entries, index(jobs, &s.Jobs, e.Job), uint32(e.Task), a, m)
	}
	if len(s.Names) > 0 {
		s.Prefix = s.Names[0]
		for _, n := range s.Names {
			for !strings.HasPrefix(n, s.Prefix) {
				s.Prefix = s.Prefix[:len(s.Prefix)-1]
			}
		}
		for i := range s.Names {
			s.Names[i] = s.Names[i][len(s.Prefix):]
		}
	}
	return Encode(s)
}

// DecodePage reads a page's value.
func DecodePage(value []byte) (Page, error) {
	var s storedPage
	if err := json.Unmarshal(value, &s); err != nil {
		return Page{}, fmt.Errorf("page of progress: %w", err)
	}
	p := Page{Base: s.Base, Entries: make([]Entry, 0, len(s.Entries)/4)}
	for k := 0; k+3 < len(s.Entries); k += 4 {
		j, i, a, m := s.Entries[k], s.Entries[k+1], s.Entries[k+2], s.Entries[k+3]
		if int(j) >= len(s.Jobs) || int(m) > len(s.Names) || i >= MaxTasks {
			return Page{}, errors.New("page of progress: an entry points nowhere")
		}
		e := Entry{Job: s.Jobs[j], Task: int(i), Attempt: a / 2, Done: a%2 == 1}
		if m > 0 {
			e.Machine = s.Prefix + s.Names[m-1]
		}
		p.Entries = append(p.Entries, e)
	}
	return p, nil
}

// Apply takes the entry with number seq over, unless its chunk was stored
// after it.
func (j *Job) Apply(e *Entry, seq uint64, now int64) {
	t := j.Task(e.Task)
	if t == nil {
		return
	}
	c := &j.chunks[e.Task/j.span]
	if seq < c.seq {
		return
	}
	c.attempt = max(c.attempt, e.Attempt)
	j.set(e.Task, Task{Done: e.Done, Machine: e.Machine, Attempt: e.Attempt}, now)
}

// set replaces what is known of a task by what is stored.
func (j *Job) set(i int, to Task, now int64) {
	t := &j.tasks[i]
	if t.Machine != "" {
		j.SetPhase(t, Unseen)
		j.NumPlaced--
		if t.Done {
			j.overlap--
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
		t.Stored, t.Sent, t.Since = true, true, now
		j.NumPlaced++
		if t.Done {
			j.overlap++
		}
	}
	j.sort(i)
}

// Changes lists the entries for the tasks of chunk c that changed since it was
// last taken. whole says that only the chunk's value has all that changed.
func (j *Job) Changes(c int) (entries []Entry, whole bool) {
	ch := &j.chunks[c]
	if ch.whole || len(ch.changed) > j.span*3/4 {
		return nil, true
	}
	seen := make(map[int32]struct{}, len(ch.changed))
	for _, i := range ch.changed {
		if _, twice := seen[i]; twice {
			continue
		}
		seen[i] = struct{}{}
		t := &j.tasks[i]
		entries = append(entries, Entry{Job: j.ID, Task: int(i), Done: t.Done, Machine: t.Machine, Attempt: t.Attempt})
	}
	return entries, false
}

// TakeChanges says that the changes of chunk c are about to be written to the
// log.
func (j *Job) TakeChanges(c int) (version uint64) {
	ch := &j.chunks[c]
	ch.take()
	return ch.version
}

func (c *Chunk) take() {
	c.dirty, c.flying, c.placing = false, true, false
	c.flown, c.changed = c.changed, nil
}

// Logged notes that a version of chunk c is stored by the log.
func (j *Job) Logged(c int, version uint64) {
	j.Written(c, version, j.chunks[c].Stamp)
}

// Seq is the number up to which chunk c's stored value has all entries.
func (j *Job) Seq(c int) uint64 { return j.chunks[c].seq }

// Fold asks for chunk c to be written as a value, so that the log's entries of
// it are not needed any more.
func (j *Job) Fold(c int, now int64) {
	ch := &j.chunks[c]
	if !ch.whole && !ch.full {
		ch.whole = true
		j.mark(ch, now)
	}
}
