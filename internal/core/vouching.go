package core

import (
	"strings"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/readlease"
)

// What the right to answer workers rests on is told in package vouch. Here it
// meets the pings, the users' answers and the leadership.

const (
	// askAfter is how old the state service's own proof has to be for a leader to
	// have the others vouch. Nobody waits for a leader that asks for nothing.
	askAfter = 2 * second
	// viewAfter is how old the mirror may be before a leader reads what is stored.
	viewAfter = second
	// tellPatience is how long a user waits for a leader to learn of a
	// cancellation, below what is waited for the answer to a poll.
	tellPatience = 1_200_000
	// tellEvery is how often a leader is told, while somebody waits.
	tellEvery = 100_000
)

// heldAnswers are answers that wait until whoever lives on this controller's word knows
// of the cancellations in them.
type heldAnswers struct {
	held []heldAnswer
	sent map[string]int64 // when a controller was last told
}

type heldAnswer struct {
	reply Reply
	ids   []string
	since int64
}

// ping asks a peer how it is. A leader that the state service does not answer asks
// it to vouch; and it is told of cancellations that it has to know of first.
func (c *Core) ping(p string) {
	e := Ping{Peer: p, Need: c.set.Ops.Reach && c.links.Workers.NeedsMachines(c.set.Zones), Boot: c.set.Boot}
	if c.lead != nil && (c.stateBad > c.stateOK || c.now-c.lead.byState() > askAfter) {
		q := c.lead.vouched.NextRequest(p, c.applied, c.now)
		e.Ask = &q
	}
	if at, ok := c.heldAnswers.sent[p]; ok && at == c.now {
		t := c.witness.PageFor(p)
		e.Tell = &t
	}
	c.emit(e)
}

// askAll has all peers vouch as soon as the state service fails a leader: what one
// of them has told before it crashes is known only if it was heard out by then.
func (c *Core) askAll() {
	if c.lead == nil || c.now-c.lead.asked < second/2 {
		return
	}
	c.lead.asked = c.now
	for _, p := range c.set.Peers {
		c.ping(p)
	}
}

// vouchFor adds to the answer to a ping what this controller vouches for, and
// whether it lives on the word of who asks.
func (c *Core) vouchFor(m Pinged, n *PeerNews) {
	if m.Boot == "" {
		n.Cancelled = c.witness.RecentCancellations()
		return
	}
	if m.Ask != nil {
		p := c.witness.Grant(m.From, *m.Ask, c.applied > 0, c.now)
		n.Vouch = &p
	}
	n.Ack = &readlease.HolderAck{}
	if c.lead == nil {
		return
	}
	c.lead.vouched.SetIncarnation(m.From, m.Boot)
	if m.Tell != nil && c.lead.vouched.ApplyPage(m.From, *m.Tell) {
		c.noteTold(m.Tell.Cancelled)
	}
	a := c.lead.vouched.Ack(m.From, c.applied, c.now)
	n.Ack = &a
}

// heardOut takes a peer's word.
func (c *Core) heardOut(m PeerSeen) {
	c.noteTold(m.News.Cancelled)
	if m.News.Vouch == nil {
		return
	}
	c.noteTold(m.News.Vouch.Cancelled)
	if c.lead == nil {
		return
	}
	c.lead.vouched.HandleGrant(m.Peer, m.Sent, c.now, *m.News.Vouch)
	if m.News.Vouch.More {
		c.ping(m.Peer)
	}
}

// noteTold takes note of what another controller knows to be cancelled.
func (c *Core) noteTold(ids []string) {
	for _, id := range ids {
		if sweep, ok := strings.CutPrefix(id, toldSweep); ok {
			c.sweepTold(sweep)
			continue
		}
		e := jobstate.End{Outcome: jobstate.Cancelled}
		if j := c.jobs[id]; j != nil {
			e.Tasks = j.Tasks
		}
		c.noteEnd(id, e, 0)
	}
}

// sweepTells says whether a job is a run that is cancelled with its sweep: then
// that is what is told, once for all runs.
func (c *Core) sweepTells(id string) bool {
	j := c.jobs[id]
	if j == nil || j.Sweep == "" {
		return false
	}
	s := c.sweeps[j.Sweep]
	return s != nil && s.outcome == jobstate.Cancelled
}

// answerCancelled answers a user with one or more cancellations, once every leader that lives
// on this controller's word knows of them. It is asked to come again if that takes
// too long: such a leader is cut off, and its right runs out.
func (c *Core) answerCancelled(r Reply, ids ...string) {
	for i, id := range ids {
		if c.sweepTells(id) {
			id = toldSweep + c.jobs[id].Sweep
			ids[i] = id
		}
		c.witness.RecordCancellation(id, 0)
	}
	switch {
	case len(c.witness.Uninformed(ids, c.now)) == 0:
		c.emit(r)
	case len(c.heldAnswers.held) >= maxWaiting:
		c.emit(notTold(r.Req))
	default:
		c.heldAnswers.held = append(c.heldAnswers.held, heldAnswer{r, ids, c.now})
		c.informLeaders()
	}
}

func notTold(req uint64) Reply {
	return Reply{Req: req, Status: 503, Retry: 1, Error: "a controller that may lead has yet to learn of the cancellation"}
}

// releaseAnswers gives the answers that need not wait any more.
func (c *Core) releaseAnswers() {
	keep := c.heldAnswers.held[:0]
	for _, t := range c.heldAnswers.held {
		switch {
		case len(c.witness.Uninformed(t.ids, c.now)) == 0:
			c.emit(t.reply)
		case c.now-t.since > tellPatience:
			c.emit(notTold(t.reply.Req))
		default:
			keep = append(keep, t)
		}
	}
	clear(c.heldAnswers.held[len(keep):])
	c.heldAnswers.held = keep
}

// informLeaders tells those that have to know first.
func (c *Core) informLeaders() {
	var ids []string
	for _, t := range c.heldAnswers.held {
		ids = append(ids, t.ids...)
	}
	for _, p := range c.witness.Uninformed(ids, c.now) {
		if c.now-c.heldAnswers.sent[p] >= tellEvery {
			c.heldAnswers.sent[p] = c.now
			c.ping(p)
		}
	}
}

func (c *Core) heldAnswersTick() {
	if len(c.heldAnswers.held) > 0 {
		c.releaseAnswers()
		c.informLeaders()
	}
}

// knowTick has a leader know what is stored. Its watch brings that, but may hang,
// and where nothing changes it shows only that nothing had when it began.
func (c *Core) knowTick() {
	if l := c.lead; c.now-l.mirrored > viewAfter && c.now-l.viewed > viewAfter/2 {
		l.viewed = c.now
		c.emit(View{After: c.applied})
	}
}
