package core

import (
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/readlease"
)

// candidacy is this controller's side of choosing a leader: a lease in the
// state service, and a key on it that one controller at a time can create.
type candidacy struct {
	lease           uint64
	leaseProvenAt   int64 // when the lease or its last renewal was sent
	requestingLease bool  // for a lease
	renewing        bool
	renewedAt       int64
	campaigning     bool  // the key
	notUntil        int64 // no attempt before this
	backoffChosen   bool  // a pause was chosen since the leader went
	publishAt       int64 // when this controller's version may next be written
}

// leadership is what only the leader has.
type leadership struct {
	token       uint64
	keyRevision uint64 // of the leadership key
	since       int64
	// tokenProvenAt is when a question was sent by whose answer the state service proved
	// the token, mirrored up to when all that was stored is known here.
	tokenProvenAt, mirrorFreshAt int64
	// mirrorReadAt is when what is stored was last asked for only to know it, asked when
	// the peers were last asked out of turn.
	mirrorReadAt, peersAskedAt int64
	// readLeases is what the other controllers have vouched for.
	readLeases *readlease.Holder
	// directCommands are orders that go to machines' own addresses, by machine.
	directCommands map[string][]Command
	fleet          *fleet.MachineSet
	planner        plannerIndex
	leaderState
}

// madeCall says whether a call of the cloud was made under this leadership; there may be
// none. The answer to one of an earlier term of this controller says nothing of the
// calls of this one: another has led in between.
func (l *leadership) madeCall(token uint64) bool { return l != nil && l.token == token }

// isNew says whether this leadership, if there is one, has just begun: the others may
// still use what nobody leading leaves them.
func (l *leadership) isNew(now int64) bool { return l != nil && now-l.since < leadershipSeenWithin }

// leadershipSeenWithin is how long the others may take to see that a controller leads.
const leadershipSeenWithin = 300_000

// withClockDrift widens a duration by what two steady clocks may differ.
func withClockDrift(d int64) int64 { return d + d/1000 }

func (c *Core) electionTick() {
	e := &c.candidacy
	ttl := c.settings.Ops.LeaderLease
	renew := ttl / 4
	if c.leadership == nil && c.logEnabled() {
		renew = ttl / 3 // what rides on it is this controller's word alone
	}
	if e.lease != 0 && !e.renewing && c.now-e.renewedAt >= renew {
		e.renewing, e.renewedAt = true, c.now
		c.emit(RenewLease{Lease: e.lease})
	}
	if !c.synced || c.leaderRevision != 0 {
		e.backoffChosen = false
		if c.synced && c.leader.Name == c.settings.Name && c.leader.Incarnation != c.settings.Incarnation && c.leadership == nil {
			// An earlier start of this very controller: it is dead, so
			// its lease need not run out.
			if e.notUntil <= c.now {
				e.notUntil = c.now + second
				c.emit(RevokeLease{Lease: c.leader.Lease})
			}
		}
		return
	}
	if c.leadership != nil {
		return
	}
	if !e.backoffChosen {
		// A short pause of random length keeps candidates apart. In the middle
		// of an upgrade the new ones go first: an old one that led would soon
		// be restarted in its turn.
		e.backoffChosen = true
		pause := int64(300_000)
		if !c.logEnabled() {
			pause /= 5
		}
		e.notUntil = c.now + c.rng.Int64N(pause)
		if c.settings.Ops.Reach {
			e.notUntil += c.connectivity.CandidateDelay()
		}
	}
	if c.now < e.notUntil || e.campaigning {
		return
	}
	if e.lease == 0 {
		c.requestLease()
		return
	}
	c.campaign()
}

func (c *Core) requestLease() {
	if e := &c.candidacy; !e.requestingLease && c.now >= e.notUntil {
		e.requestingLease = true
		c.emit(GrantLease{TTL: c.settings.Ops.LeaderLease})
	}
}

func (c *Core) campaign() {
	e := &c.candidacy
	e.campaigning = true
	token := c.token.Token + 1
	v := leaderRecord{Name: c.settings.Name, Incarnation: c.settings.Incarnation, Token: token, Lease: e.lease}
	c.commitTransaction([]Cond{kv.RevisionIs(LeaderKey, 0), kv.RevisionIs(tokenKey, c.tokenRevision)}, []Write{
		{Key: LeaderKey, Value: encodeJSON(v), Lease: e.lease},
		{Key: tokenKey, Value: encodeJSON(tokenRecord{token})},
	}, func(m Committed) {
		e.campaigning = false
		e.notUntil = c.now + 300_000 + c.rng.Int64N(300_000)
		switch m.Status {
		case 400:
			e.lease = 0
		case 200, 409, 0:
			// Leadership begins when the mirror shows the key, and with it
			// everything written before.
			c.emit(ReadState{AfterRevision: c.appliedRevision})
		}
	})
}

func (c *Core) onLeaseGranted(m LeaseGranted) {
	e := &c.candidacy
	e.requestingLease = false
	if m.Err != nil {
		e.notUntil = c.now + 300_000
		return
	}
	e.lease, e.leaseProvenAt, e.renewedAt, e.renewing = m.Lease, m.SentAt, c.now, false
}

func (c *Core) onLeaseRenewed(m LeaseRenewed) {
	e := &c.candidacy
	if m.Lease != e.lease {
		return
	}
	e.renewing = false
	c.noteStateResult(&c.connectivity.Lease, m.Err)
	switch {
	case m.Expired:
		e.lease = 0
		if c.leadership != nil {
			c.stepDown("the leader's lease ran out")
		}
	case m.Err == nil:
		e.leaseProvenAt = m.SentAt
		if c.leadership != nil {
			c.tokenProven(m.SentAt)
		}
	default:
		ttl := c.settings.Ops.LeaderLease
		e.renewedAt = c.now - ttl/8 // try again soon
		if c.settings.Ops.Reach && c.now-e.leaseProvenAt > ttl && faultOf(m.Err) == connectivity.NoResponse {
			// What is sent may arrive though no answer does: such a leader would
			// keep its lease alive, and everybody else from leading. So it lets
			// it run out before it tries once more.
			e.renewedAt = c.now + ttl + second/2
		}
	}
}

// checkLeadership compares the mirror's leader with what this controller
// takes itself for; asked is when the mirror was, at the earliest, as it is now.
func (c *Core) checkLeadership(asked int64) {
	mine := c.synced && c.leaderRevision != 0 && c.leader.Name == c.settings.Name && c.leader.Incarnation == c.settings.Incarnation
	switch {
	case c.leadership != nil && (!mine || c.leaderRevision != c.leadership.keyRevision):
		c.stepDown("another controller leads")
	case c.leadership == nil && mine && c.leader.Lease == c.candidacy.lease:
		c.becomeLeader(asked)
	}
}

func (c *Core) becomeLeader(known int64) {
	c.leadership = &leadership{token: c.leader.Token, keyRevision: c.leaderRevision, since: c.now, tokenProvenAt: c.candidacy.leaseProvenAt, mirrorFreshAt: known,
		readLeases: readlease.NewHolder(c.settings.Peers, c.settings.LeaderAuthorityTime()), directCommands: map[string][]Command{},
		fleet: fleet.NewMachineSet(), planner: newPlannerIndex(), leaderState: newLeaderState(c.now)}
	c.allowance = c.currentAllowance()
	c.loadImageHints()
	placed := 0
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		c.noteImageDemand(j.Spec)
		c.leadership.classSizes.note(j.Spec)
		j.EachPlaced(func(i int, t *jobstate.Task) {
			t.Phase, t.StopReason = jobstate.Unconfirmed, ""
			c.machine(t.Machine).AddPlacement(fleet.TaskRef{Job: j, Index: i})
			placed++
		})
		switch {
		case j.Outcome != "":
			// It ended under an earlier leader, and its tasks may still
			// be on their machines.
			c.jobEnded(j)
		case j.NumDone == j.Tasks:
			c.markDirty(j)
		}
	}
	c.openProgressLog()
	c.log.Info("leading", "token", c.leadership.token, "jobs", len(c.jobs), "placements", placed)
}

func (c *Core) stepDown(why string) {
	c.log.Info("no longer leading", "token", c.leadership.token, "why", why)
	for _, name := range sortedKeys(c.leadership.heldHeartbeats.byName) {
		c.emit(Reply{RequestID: c.leadership.heldHeartbeats.byName[name].requestID, Status: 503, Error: "no longer leading"})
	}
	c.leadership = nil
	c.allowance = c.currentAllowance()
	c.partitions = fleet.Partitions{}
	c.listState()
}

// resign ends a leadership whose lease would go on. Its key goes at once, so that
// nobody waits for the lease.
func (c *Core) resign(why string) {
	c.emit(RevokeLease{Lease: c.candidacy.lease})
	c.candidacy.lease = 0
	c.stepDown(why)
}

// provenByState is up to when the state service has proved the token and shown all that
// is stored. A renewal proves the token alone: the mirror may lag behind it.
func (l *leadership) provenByState() int64 { return min(l.tokenProvenAt, l.mirrorFreshAt) }

// mayAnswerSince is up to when nobody else led, and everything that users were told is
// known here. The other controllers can vouch for both: a token is raised by a
// take-over alone, and one that leads says so.
func (l *leadership) mayAnswerSince() int64 {
	return max(l.provenByState(), l.readLeases.OldestGrant())
}

// mayAnswerWorkers says whether reports may be answered, sure whether new attempts
// may be started: the state service's own proof is younger than its lease.
func (c *Core) mayAnswerWorkers() bool {
	return c.leadership != nil && c.now-c.leadership.mayAnswerSince() < c.settings.LeaderAuthorityTime()
}

func (c *Core) mayStartTasks() bool {
	return c.leadership != nil && c.now-c.leadership.tokenProvenAt < c.settings.Ops.LeaderLease
}

// tokenProven notes that the state service proved the token to a request of then.
func (c *Core) tokenProven(sent int64) {
	c.leadership.tokenProvenAt = max(c.leadership.tokenProvenAt, sent)
}
