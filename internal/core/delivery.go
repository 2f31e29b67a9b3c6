package core

import (
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// What a report proves, and of when, is a table in docs/design.md. In short: it
// was sent at some time, by a machine that may not hear. A copy of one comes
// late, so its number has to be the newest, and the machine not be gone.

// departed are the machines that a leader has forgotten. Copies of their reports
// may still come, and would bring back a machine that is not there.
type departed struct {
	last  map[string]departure
	swept int64
}

// departure is the newest report of a machine that is forgotten; returned says
// that the cloud has answered its release, so that it is gone for certain.
type departure struct {
	session, seq uint64
	returned     bool
	at           int64
}

// departedFor is how long a machine's departure is remembered: copies of reports
// come well over a lease late.
const departedFor = 900 * second

func (d *departed) note(name string, r Report, returned bool, now int64) {
	old := d.last[name]
	d.last[name] = departure{max(old.session, r.Session), max(old.seq, r.Seq), old.returned || returned, now}
	if now-d.swept > departedFor/8 {
		d.swept = now
		for n, x := range d.last {
			if now-x.at > departedFor {
				delete(d.last, n)
			}
		}
	}
}

// released says whether a machine is gone for certain.
func (d *departed) released(name string) bool { return d.last[name].returned }

// stopDeaf is why an attempt is given up whose machine was told to start it and
// does not hear.
const stopDeaf = "deaf"

// heard judges by a new report whether its machine hears what it is told.
func (c *Core) heard(m *fleet.Machine, r *Report) {
	h := &m.Delivery
	deaf := false
	if m.Epoch != 0 && r.Session > m.Epoch && c.now-m.LastAnswer < config.MicrosOf(c.set.Workers.LeaseS)*3/4 {
		// It has ended its session for want of answers, and was given some.
		deaf = h.RecordMissedAnswer(c.now)
	} else if r.Session == m.Epoch {
		wasDeaf := h.CannotReceive
		deaf = h.RecordHeartbeat(func(task string, attempt uint32) bool { return lists(r, task, attempt) }, c.now)
		if wasDeaf && !h.CannotReceive {
			c.hearsAgain(m)
		}
	}
	h.SentCommands = h.SentCommands[:0]
	if deaf {
		c.log.Info("a machine reports and does not hear", "machine", m.Name, "tasks", len(m.Placed))
		m.MarkChanged()
		c.giveUp(m)
	}
}

// giveUp takes back what a deaf machine was told to start and has not shown. It is
// cleared when a later report does not have it either, as any attempt that is to
// stop; what the machine has shown stays on it until its lease has run out.
func (c *Core) giveUp(m *fleet.Machine) {
	var refs []fleet.TaskRef
	for ref := range m.Placed {
		if t := ref.Job.Task(ref.Index); !t.Confirmed && t.StopReason == "" {
			refs = append(refs, ref)
		}
	}
	sortRefs(refs)
	for _, ref := range refs {
		c.stop(ref.Job, ref.Index, stopDeaf, 0)
		if ref.Job.Kind == jobstate.Gang && ref.Job.Outcome == "" {
			c.breakGang(ref.Job, false) // it would wait for this one in vain
		}
	}
}

func (c *Core) hearsAgain(m *fleet.Machine) {
	c.log.Info("a deaf machine hears again", "machine", m.Name)
	m.MarkChanged()
	c.lead.planWanted = true
}

// deafAsks bounds the machines that are asked in a tick.
const deafAsks = 8

// deafTick asks deaf machines whether they hear by now, and has those tried that
// can't be asked.
func (c *Core) deafTick() {
	asked := 0
	for _, m := range c.lead.fleet.All() {
		if !m.Delivery.CannotReceive {
			continue
		}
		if m.Delivery.RetryDue(c.now) {
			c.hearsAgain(m)
		} else if asked < deafAsks && m.BeginProbe(c.now) {
			asked++
			c.emit(Probe{Machine: m.Name, Addr: m.Addr})
		}
	}
}

// ask asks a machine for a report, as an older one has come than the newest: that
// is a copy, or the machine has lost all and counts anew. Only an answer to a
// question of one's own tells.
func (c *Core) ask(m *fleet.Machine, addr string) {
	if c.now-m.LastHeartbeat > config.MicrosOf(c.set.Workers.ReportS)/2 && m.BeginProbe(c.now) {
		c.emit(Probe{Machine: m.Name, Addr: addr})
	}
}

// answersLast is for how long an answer to a report can still be taken: the
// worker gives up on it after 4 s.
const answersLast = 4_200_000

// unsettled says that a report of a machine that counts anew lacks what was to be
// there. The report may be a copy from before, and proves nothing. So the machine
// is asked, and gets no answers until none that it was given can still be taken:
// then its own answer proves what it does not have.
func (c *Core) unsettled(m *fleet.Machine, r *Report) bool {
	if !m.SeqRestarted() {
		return false
	}
	doubt, wait := false, false
	for ref := range m.Placed {
		t := ref.Job.Task(ref.Index)
		if !lists(r, jobstate.TaskName(ref.Job.ID, ref.Index), t.Attempt) {
			doubt = doubt || t.Confirmed || t.StopReason != "" && t.StartSent
			wait = wait || !t.Confirmed && t.StopReason != "" && t.StartSent
		}
	}
	if doubt && (!wait || c.now-m.LastAnswer > answersLast) && m.BeginProbe(c.now) {
		c.emit(Probe{Machine: m.Name, Addr: m.Addr})
	}
	return wait
}

// lists says whether a report has an attempt.
func lists(r *Report, task string, attempt uint32) bool {
	for k := range r.Tasks {
		if t := &r.Tasks[k]; t.Name == task && t.Attempt == uint64(attempt) {
			return true
		}
	}
	return false
}

// onProbed takes a machine's answer to a question.
func (c *Core) onProbed(p Probed) {
	if c.lead == nil || !p.OK {
		return
	}
	m := c.lead.fleet.Get(p.Machine)
	if m == nil {
		return
	}
	if m.Delivery.CannotReceive {
		m.Delivery.RecordReceived()
		c.hearsAgain(m)
	}
	r := p.Report
	if r == nil || r.Machine != m.Name {
		return
	}
	c.stopListed(m, r)
	if m.ApplyProbe(p.Sent, r.Session, r.Seq) {
		// Since when is not known: what was started after that is still there.
		c.log.Info("a machine has begun anew", "machine", m.Name, "tasks", len(m.Placed))
		m.LastHeartbeat, m.HasCurrentToken = c.now, false
		m.MarkChanged()
	}
	if m.SeqRestarted() && r.Token == c.lead.token {
		c.absent(m, r, p.Sent)
	}
}

// absent clears what a machine that counts anew says that it does not have.
func (c *Core) absent(m *fleet.Machine, r *Report, sent int64) {
	var lost, never []fleet.TaskRef
	for ref := range m.Placed {
		t := ref.Job.Task(ref.Index)
		switch {
		case lists(r, jobstate.TaskName(ref.Job.ID, ref.Index), t.Attempt):
		case t.Confirmed:
			lost = append(lost, ref)
		case t.StopReason != "" && t.StartSent && sent > m.LastAnswer+answersLast:
			never = append(never, ref)
		}
	}
	c.clearAbsent(lost, never)
	if w := m.Prefetch; w != nil && sent > m.LastAnswer+answersLast && !lists(r, w.Task, w.Attempt) {
		c.endWarm(m)
	}
}

// clearAbsent clears placements that are proven to be gone: lost ones were there,
// the others never came to be. It goes by their order, as orders for the rest of
// a gang go out for each, and changes are written in the order they were made.
func (c *Core) clearAbsent(lost, never []fleet.TaskRef) {
	sortRefs(lost)
	for _, ref := range lost {
		c.lost(ref.Job, ref.Index)
	}
	sortRefs(never)
	for _, ref := range never {
		if t := ref.Job.Task(ref.Index); t.Machine != "" {
			c.clear(ref.Job, ref.Index)
		}
	}
}
