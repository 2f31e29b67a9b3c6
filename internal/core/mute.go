package core

import (
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// A machine may reach no controller while direct commands reach it: then its reports
// bring it no stops, and a leader that has begun since does not know its session, nor
// its address but from the cloud's list. What is to stop there would go on until the
// machine's lease has run out. So a silent machine with something to stop is asked for
// a report, and what that lists is stopped by the session that it names. An answer
// proves nothing else here: what it lacks may still come to be.

// muteAsks bounds the silent machines that are asked in a tick.
const muteAsks = 8

// silentNow says that a machine's reports have not come for more than one interval.
func (c *Core) silentNow(m *fleet.Machine) bool {
	return m.LastHeartbeat == 0 || c.now-m.LastHeartbeat > config.MicrosOf(c.set.Workers.ReportS)*3/2
}

// muteTick asks silent machines on which something is to stop.
func (c *Core) muteTick() {
	asked := 0
	for _, m := range c.lead.fleet.All() {
		if asked < muteAsks && m.Addr != "" && len(m.Placed) > 0 && c.silentNow(m) && c.hasStops(m) && m.BeginProbe(c.now) {
			asked++
			c.emit(Probe{Machine: m.Name, Addr: m.Addr})
		}
	}
}

func (c *Core) hasStops(m *fleet.Machine) bool {
	for ref := range m.Placed {
		if t := ref.Job.Task(ref.Index); c.mayStop(ref.Job, t) && forGood(ref.Job, t) {
			return true
		}
	}
	return false
}

// forGood says whether nobody wants a task any more. One that only makes room, or is
// to go elsewhere, goes on where it is: nobody hears when the room is there.
func forGood(j *jobstate.Job, t *jobstate.Task) bool {
	return j.Outcome != "" || t.StopReason == stopSweep
}

// mayStop says whether a task is to be stopped, and this controller may say so: a
// job that is over stays so, whoever leads by now.
func (c *Core) mayStop(j *jobstate.Job, t *jobstate.Task) bool {
	return t.StopReason != "" && t.StartSent && (c.sure() || j.Outcome != "" || t.StopReason == stopSweep)
}

// stopListed stops what a silent machine's answer lists and is to stop.
func (c *Core) stopListed(m *fleet.Machine, r *Report) {
	if !c.silentNow(m) {
		return
	}
	var orders []Order
	for k := range r.Tasks {
		tr := &r.Tasks[k]
		id, i, err := jobstate.ParseTaskName(tr.Name)
		j := c.jobs[id]
		if err != nil || j == nil || tr.State == "exited" {
			continue
		}
		if t := j.Task(i); t != nil && t.Machine == m.Name && uint64(t.Attempt) == tr.Attempt && c.mayStop(j, t) && forGood(j, t) && len(orders) < directMost {
			orders = append(orders, Order{Op: "stop", Task: tr.Name, Attempt: t.Attempt, Grace: t.Grace})
		}
	}
	if len(orders) > 0 {
		c.emit(Direct{Addr: m.Addr, Token: c.lead.token, Session: r.Session, Orders: orders})
	}
}
