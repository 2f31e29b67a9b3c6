package core

import (
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/readlease"
)

// election is this controller's side of choosing a leader: a lease in the
// state service, and a key on it that one controller at a time can create.
type election struct {
	lease    uint64
	leaseAt  int64 // when the lease or its last renewal was sent
	asking   bool  // for a lease
	touching bool
	touched  int64
	writing  bool  // the key
	notUntil int64 // no attempt before this
	standoff bool  // a pause was chosen since the leader went
	joinAt   int64 // when this controller's version may next be written
}

// leadership is what only the leader has.
type leadership struct {
	token uint64
	stamp uint64 // of the leadership key
	since int64
	// stored is when a question was sent by whose answer the state service proved
	// the token, mirrored up to when all that was stored is known here.
	stored, mirrored int64
	// viewed is when what is stored was last asked for only to know it, asked when
	// the peers were last asked out of turn.
	viewed, asked int64
	// vouched is what the other controllers have vouched for.
	vouched *readlease.Holder
	// directs are orders that go to machines' own addresses, by machine.
	directs map[string][]Order
	fleet   *fleet.MachineSet
	roster  roster
	leaderState
}

// ours says whether a call of the cloud was made under this leadership; there may be
// none. The answer to one of an earlier term of this controller says nothing of the
// calls of this one: another has led in between.
func (l *leadership) ours(token uint64) bool { return l != nil && l.token == token }

// begins says whether this leadership, if there is one, has just begun: the others may
// still use what nobody leading leaves them.
func (l *leadership) begins(now int64) bool { return l != nil && now-l.since < seenBy }

// seenBy is how long the others may take to see that a controller leads.
const seenBy = 300_000

// drift widens a duration by what two steady clocks may differ.
func drift(d int64) int64 { return d + d/1000 }

func (c *Core) electTick() {
	e := &c.elect
	ttl := c.set.Ops.LeaderLease
	renew := ttl / 4
	if c.lead == nil && c.joined() {
		renew = ttl / 3 // what rides on it is this controller's word alone
	}
	if e.lease != 0 && !e.touching && c.now-e.touched >= renew {
		e.touching, e.touched = true, c.now
		c.emit(Touch{Lease: e.lease})
	}
	if !c.synced || c.leaderAt != 0 {
		e.standoff = false
		if c.synced && c.leader.Name == c.set.Name && c.leader.Boot != c.set.Boot && c.lead == nil {
			// An earlier start of this very controller: it is dead, so
			// its lease need not run out.
			if e.notUntil <= c.now {
				e.notUntil = c.now + second
				c.emit(DropLease{Lease: c.leader.Lease})
			}
		}
		return
	}
	if c.lead != nil {
		return
	}
	if !e.standoff {
		// A short pause of random length keeps candidates apart. In the middle
		// of an upgrade the new ones go first: an old one that led would soon
		// be restarted in its turn.
		e.standoff = true
		pause := int64(300_000)
		if !c.joined() {
			pause /= 5
		}
		e.notUntil = c.now + c.rng.Int64N(pause)
		if c.set.Ops.Reach {
			e.notUntil += c.links.CandidateDelay()
		}
	}
	if c.now < e.notUntil || e.writing {
		return
	}
	if e.lease == 0 {
		c.newLease()
		return
	}
	c.acquire()
}

func (c *Core) newLease() {
	if e := &c.elect; !e.asking && c.now >= e.notUntil {
		e.asking = true
		c.emit(NewLease{TTL: c.set.Ops.LeaderLease})
	}
}

func (c *Core) acquire() {
	e := &c.elect
	e.writing = true
	token := c.token.Token + 1
	v := leaderValue{Name: c.set.Name, Boot: c.set.Boot, Token: token, Lease: e.lease}
	c.multi([]Cond{kv.RevisionIs(LeaderKey, 0), kv.RevisionIs(tokenKey, c.tokenAt)}, []Write{
		{Key: LeaderKey, Value: encode(v), Lease: e.lease},
		{Key: tokenKey, Value: encode(tokenValue{token})},
	}, func(m Committed) {
		e.writing = false
		e.notUntil = c.now + 300_000 + c.rng.Int64N(300_000)
		switch m.Status {
		case 400:
			e.lease = 0
		case 200, 409, 0:
			// Leadership begins when the mirror shows the key, and with it
			// everything written before.
			c.emit(View{After: c.applied})
		}
	})
}

func (c *Core) onLeased(m Leased) {
	e := &c.elect
	e.asking = false
	if m.Err != nil {
		e.notUntil = c.now + 300_000
		return
	}
	e.lease, e.leaseAt, e.touched, e.touching = m.Lease, m.Sent, c.now, false
}

func (c *Core) onTouched(m Touched) {
	e := &c.elect
	if m.Lease != e.lease {
		return
	}
	e.touching = false
	c.stateAnswered(&c.links.Lease, m.Err)
	switch {
	case m.Gone:
		e.lease = 0
		if c.lead != nil {
			c.stepDown("the leader's lease ran out")
		}
	case m.Err == nil:
		e.leaseAt = m.Sent
		if c.lead != nil {
			c.proven(m.Sent)
		}
	default:
		ttl := c.set.Ops.LeaderLease
		e.touched = c.now - ttl/8 // try again soon
		if c.set.Ops.Reach && c.now-e.leaseAt > ttl && faultOf(m.Err) == connectivity.NoResponse {
			// What is sent may arrive though no answer does: such a leader would
			// keep its lease alive, and everybody else from leading. So it lets
			// it run out before it tries once more.
			e.touched = c.now + ttl + second/2
		}
	}
}

// checkLeadership compares the mirror's leader with what this controller
// takes itself for; asked is when the mirror was, at the earliest, as it is now.
func (c *Core) checkLeadership(asked int64) {
	mine := c.synced && c.leaderAt != 0 && c.leader.Name == c.set.Name && c.leader.Boot == c.set.Boot
	switch {
	case c.lead != nil && (!mine || c.leaderAt != c.lead.stamp):
		c.stepDown("another controller leads")
	case c.lead == nil && mine && c.leader.Lease == c.elect.lease:
		c.takeOver(asked)
	}
}

func (c *Core) takeOver(known int64) {
	c.lead = &leadership{token: c.leader.Token, stamp: c.leaderAt, since: c.now, stored: c.elect.leaseAt, mirrored: known,
		vouched: readlease.NewHolder(c.set.Peers, c.set.LeaderAuthorityTime()), directs: map[string][]Order{},
		fleet: fleet.NewMachineSet(), roster: newRoster(), leaderState: newLeaderState(c.now)}
	c.allowance = c.allowanceNow()
	c.takeHints()
	placed := 0
	for _, id := range inOrder(c.jobs) {
		j := c.jobs[id]
		c.noteUse(j.Spec)
		c.lead.sizes.note(j.Spec)
		j.EachPlaced(func(i int, t *jobstate.Task) {
			t.Phase, t.StopReason = jobstate.Unconfirmed, ""
			c.machine(t.Machine).AddPlacement(fleet.TaskRef{Job: j, Index: i})
			placed++
		})
		switch {
		case j.Outcome != "":
			// It ended under an earlier leader, and its tasks may still
			// be on their machines.
			c.jobOver(j)
		case j.NumDone == j.Tasks:
			c.mark(j)
		}
	}
	c.openLog()
	c.log.Info("leading", "token", c.lead.token, "jobs", len(c.jobs), "placements", placed)
}

func (c *Core) stepDown(why string) {
	c.log.Info("no longer leading", "token", c.lead.token, "why", why)
	for _, name := range inOrder(c.lead.parkedAnswers.byName) {
		c.emit(Reply{Req: c.lead.parkedAnswers.byName[name].req, Status: 503, Error: "no longer leading"})
	}
	c.lead = nil
	c.allowance = c.allowanceNow()
	c.bounds = fleet.Partitions{}
	c.list()
}

// leave ends a leadership whose lease would go on. Its key goes at once, so that
// nobody waits for the lease.
func (c *Core) leave(why string) {
	c.emit(DropLease{Lease: c.elect.lease})
	c.elect.lease = 0
	c.stepDown(why)
}

// byState is up to when the state service has proved the token and shown all that
// is stored. A renewal proves the token alone: the mirror may lag behind it.
func (l *leadership) byState() int64 { return min(l.stored, l.mirrored) }

// rightAt is up to when nobody else led, and everything that users were told is
// known here. The other controllers can vouch for both: a token is raised by a
// take-over alone, and one that leads says so.
func (l *leadership) rightAt() int64 { return max(l.byState(), l.vouched.OldestGrant()) }

// entitled says whether reports may be answered, sure whether new attempts
// may be started: the state service's own proof is younger than its lease.
func (c *Core) entitled() bool {
	return c.lead != nil && c.now-c.lead.rightAt() < c.set.LeaderAuthorityTime()
}

func (c *Core) sure() bool {
	return c.lead != nil && c.now-c.lead.stored < c.set.Ops.LeaderLease
}

// proven notes that the state service proved the token to a request of then.
func (c *Core) proven(sent int64) {
	c.lead.stored = max(c.lead.stored, sent)
}
