package faketime

import (
	"encoding/json"
	"errors"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/cloud"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/replica"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

var errNoAnswer = errors.New("no answer")

// refusedError is an answer by which the other side says that it will not.
type refusedError int

func (r refusedError) Error() string { return "refused" }

// Refused says that the other side can be reached.
func (r refusedError) Refused() bool { return true }

// statusError is the error of an answer that is none.
func statusError(status int) error {
	switch status {
	case 200:
		return nil
	case 0:
		return errNoAnswer
	}
	return refusedError(status)
}

// The patience of a controller with those it asks, as in package node.
const (
	commitTimeout         = 2 * second
	getTimeout            = 3 * second / 2
	listTimeout           = 5 * second
	leaseTimeout          = second
	watchWait             = 10 * second
	watchTimeout          = watchWait + 3*second/2
	cloudTimeout          = 4 * second
	pingTimeout           = second
	relayTimeout          = 3_700_000
	forwardTimeout        = 3_500_000
	directTimeout         = 2 * second
	probeTimeout          = second
	delegatedCloudTimeout = 15 * second
	errorRetryDelay       = 300_000
)

// pingRequest is a ping between controllers.
type pingRequest struct {
	from string
	core.Ping
}

// toCoreMessage turns what reaches a controller into a message to its core, or into
// an answer at once.
func toCoreMessage(request any) (func(req uint64) any, *core.Reply) {
	switch q := request.(type) {
	case *wire.Report:
		r := coreReport(q)
		return func(req uint64) any { return core.Beat{Req: req, Report: r} }, nil
	case *wire.Job:
		b, err := json.Marshal(q)
		if err != nil {
			panic(err) // plain structs always encode
		}
		s, err := api.DecodeSubmission(b)
		if err != nil {
			return nil, &core.Reply{Status: 400}
		}
		return func(req uint64) any { s.Req = req; return s }, nil
	case wire.RawSubmission:
		s, err := api.DecodeSubmission(q.Body)
		if err != nil {
			return nil, &core.Reply{Status: 400}
		}
		return func(req uint64) any { s.Req = req; return s }, nil
	case wire.Sweep:
		s, err := api.DecodeSweep([]byte(q.Text))
		if err != nil {
			return nil, &core.Reply{Status: 400}
		}
		return func(req uint64) any { s.Req = req; return s }, nil
	case wire.Poll:
		return func(req uint64) any { return core.Status{Req: req, ID: q.ID} }, nil
	case wire.Cancel:
		return func(req uint64) any { return core.Cancel{Req: req, ID: q.ID} }, nil
	case wire.SweepPoll:
		return func(req uint64) any { return core.SweepStatus{Req: req, ID: q.ID} }, nil
	case wire.SweepCancel:
		return func(req uint64) any { return core.CancelSweep{Req: req, ID: q.ID} }, nil
	case wire.ReadyProbe:
		return func(req uint64) any { return core.Ready{Req: req} }, nil
	case pingRequest:
		return func(req uint64) any {
			return core.Pinged{Req: req, From: q.from, Need: q.Need, Boot: q.Boot, Ask: q.Ask, Tell: q.Tell}
		}, nil
	case core.Beat: // relayed
		return func(req uint64) any { q.Req = req; return q }, nil
	case core.Submit: // the others are handed on
		return func(req uint64) any { q.Req = req; return q }, nil
	case core.Cancel:
		return func(req uint64) any { q.Req = req; return q }, nil
	case core.Status:
		return func(req uint64) any { q.Req = req; return q }, nil
	case core.CloudFor:
		return func(req uint64) any { q.Req = req; return q }, nil
	case core.ViewFor:
		return func(req uint64) any { q.Req = req; return q }, nil
	case core.HandedSweep:
		m := core.SubmitSweep{Plan: &core.SweepPlan{ID: q.ID}, Stored: q.Stored, Invalid: q.Invalid, Handed: true}
		if q.Invalid == "" {
			plan, err := api.UnpackSweep(q.Stored)
			if err != nil {
				return nil, &core.Reply{Status: 503}
			}
			m.Plan = plan
		}
		return func(req uint64) any { m.Req = req; return m }, nil
	case core.SweepStatus:
		return func(req uint64) any { q.Req = req; return q }, nil
	case core.SweepRuns:
		return func(req uint64) any { q.Req = req; return q }, nil
	case core.CancelSweep:
		return func(req uint64) any { q.Req = req; return q }, nil
	}
	return nil, &core.Reply{Status: 404}
}

// responseBody is what an answer tells whoever asked.
func responseBody(request any, r core.Reply) any {
	switch request.(type) {
	case *wire.Report:
		a := wire.HeartbeatAnswer{Token: r.Token, Leader: r.Leader}
		for _, o := range r.Orders {
			a.Orders = append(a.Orders, wireOrder(o))
		}
		return a
	case *wire.Job, wire.RawSubmission, wire.Poll, wire.Cancel, wire.Sweep, wire.SweepPoll, wire.SweepCancel:
		switch {
		case r.Job != nil:
			return wire.JobAnswer{ID: r.Job.ID, State: api.JobStateName(r.Job.State), Done: r.Job.Done, Running: r.Job.Running}
		case r.Sweep != nil:
			return wire.JobAnswer{State: api.JobStateName(r.Sweep.State)}
		}
		return wire.JobAnswer{}
	}
	return r // another controller asked
}

func wireOrder(o core.Order) wire.Order {
	return wire.Order{Op: api.OrderVerb(o), Task: o.Task, Attempt: uint64(o.Attempt), GraceS: float64(o.Grace) / 1e6}
}

func coreReport(q *wire.Report) core.Report {
	r := core.Report{Machine: q.Machine, Addr: q.Addr, Type: q.Type, Zone: q.Zone, Spot: q.Spot, Session: q.Session, Seq: q.Seq, Token: q.Token, Notice: -1,
		Tasks: make([]core.TaskReport, len(q.Tasks))}
	if q.NoticeS != nil {
		r.Notice = int64(*q.NoticeS * 1e6)
	}
	for i, t := range q.Tasks {
		r.Tasks[i] = api.NewTaskStatus(t.Name, t.Attempt, t.State, t.Reason, t.Saved)
	}
	return r
}

// execute starts what a core asks for.
func (n *Controller) execute(e any) {
	c, epoch := n.cluster, n.epoch
	sent := c.now + 1
	later := func(d int64, msg any) { c.After(d, func() { n.runUnlessEnded(epoch, func() { n.step(msg) }) }) }
	switch e := e.(type) {
	case core.Reply:
		if f := n.replies[e.Req]; f != nil {
			delete(n.replies, e.Req)
			f(e)
		}
	case core.Quit:
		c.Kill(n)
	case core.List:
		n.list(&core.Listed{}, 0, "", e, 0)
	case core.Watch:
		n.watch(e.After, watchWait, watchTimeout, core.Watched{Sent: sent})
	case core.WatchLeader:
		n.watchLeader(e)
	case core.AskView:
		if c.OnQuery != nil {
			c.OnQuery(n.name, e)
		}
		n.call(e.To, core.ViewFor{After: e.After, Need: e.Need}, replica.AnswerTimeout, func(status int, body any) {
			r, err := controllerReply(body)
			s := core.Shown{Number: e.Number, After: e.After, Sent: sent, Answer: r, Err: err}
			if c.OnQueryEnd != nil {
				c.OnQueryEnd(n.name, &s)
			}
			n.step(s)
		})
	case core.View:
		n.watch(e.After, 0, watchTimeout-watchWait, core.Watched{Sent: sent, View: true, Asked: e.Asked})
	case core.Multi:
		if c.OnTransaction != nil {
			c.OnTransaction(e)
		}
		n.call(environment.StateHost, wireTransaction(e), commitTimeout, func(status int, body any) {
			a, _ := body.(wire.TransactionAnswer)
			n.step(core.Committed{ID: e.ID, Status: status, Revision: a.Revision, Failed: a.Failed})
		})
	case core.Get:
		n.call(environment.StateHost, wire.Get{Key: e.Key}, getTimeout, func(status int, body any) {
			g := core.Got{ID: e.ID, Key: e.Key}
			if row, ok := body.(wire.Row); ok {
				g.Value, g.Stamp = row.Value, row.Stamp
			} else if status != 404 {
				g.Err = statusError(status)
			}
			n.step(g)
		})
	case core.NewLease:
		n.call(environment.StateHost, wire.NewLease{DurationMS: e.TTL / 1000}, leaseTimeout, func(status int, body any) {
			l, _ := body.(wire.Lease)
			n.step(core.Leased{Lease: l.Lease, Sent: sent, Err: statusError(status)})
		})
	case core.Touch:
		n.call(environment.StateHost, wire.RenewLease{Lease: e.Lease}, leaseTimeout, func(status int, _ any) {
			t := core.Touched{Lease: e.Lease, Sent: sent, Gone: status == 404}
			if !t.Gone {
				t.Err = statusError(status)
			}
			n.step(t)
		})
	case core.DropLease:
		n.call(environment.StateHost, wire.RevokeLease{Lease: e.Lease}, leaseTimeout, func(int, any) {})
	case core.Relay:
		n.call(e.To, core.Beat{Report: e.Report, From: n.name, Onward: e.Onward}, relayTimeout, func(status int, body any) {
			r, err := controllerReply(body)
			n.step(core.Relayed{Req: e.Req, Answer: r, Err: err})
		})
	case core.Forward:
		n.call(e.To, e.Request, forwardTimeout, func(status int, body any) {
			r, err := controllerReply(body)
			n.step(core.Forwarded{Req: e.Req, Answer: r, Err: err})
		})
	case core.Ping:
		if n.legacy() {
			e.Boot, e.Ask, e.Tell = "", nil, nil
		}
		n.call(e.Peer, pingRequest{n.name, e}, pingTimeout, func(status int, body any) {
			s := core.PeerSeen{Peer: e.Peer, Sent: sent}
			if r, err := controllerReply(body); err == nil && r.News != nil {
				s.OK, s.News = true, *r.News
				if n.legacy() {
					s.News.Vouch, s.News.Ack = nil, nil
				}
			}
			n.step(s)
		})
	case core.Probe:
		n.call(e.Addr, wire.Inspect{}, probeTimeout, func(status int, body any) {
			p := core.Probed{Machine: e.Machine, Sent: sent, OK: status == 200}
			if q, ok := body.(*wire.Report); ok {
				r := coreReport(q)
				p.Report = &r
			}
			n.step(p)
		})
	case core.Direct:
		q := wire.WorkerOrders{Token: &e.Token, Session: &e.Session}
		for _, o := range e.Orders {
			q.Orders = append(q.Orders, wireOrder(o))
		}
		n.call(e.Addr, q, directTimeout, func(int, any) {})
	case core.GetTypes:
		n.listTypes(func(t core.Types) { t.Token = e.Token; n.step(t) })
	case core.ListMachines:
		n.listMachines(core.Machines{}, "", e.Gap, func(m core.Machines) { m.Token = e.Token; n.step(m) })
	case core.CloudBy:
		n.call(e.To, core.CloudFor{Token: e.Token, Call: e.Call}, delegatedCloudTimeout, func(status int, body any) {
			r, err := controllerReply(body)
			told, answer := core.CloudByEnded(e, r, err)
			n.step(told)
			n.step(answer)
		})
	case core.CloudDo:
		n.serveCloudCall(e)
	case core.Rent:
		n.rent(e, func(r core.Rented) { n.step(r) })
	case core.Release:
		n.release(e.Names, func(r core.Released) { r.Token = e.Token; n.step(r) })
	case core.Expand:
		plan, err := api.UnpackSweep(e.Stored)
		later(20_000, core.Expanded{ID: e.ID, Plan: plan, Err: err})
	}
}

// controllerReply is another controller's answer.
func controllerReply(body any) (core.Reply, error) {
	if r, ok := body.(core.Reply); ok {
		return r, nil
	}
	return core.Reply{}, errNoAnswer
}

func wireTransaction(e core.Multi) wire.Transaction {
	var q wire.Transaction
	for _, k := range e.When {
		q.Conditions = append(q.Conditions, wire.Cond(k))
	}
	for _, x := range e.Writes {
		if x.Value == nil {
			q.Writes = append(q.Writes, wire.Write{Remove: x.Key})
		} else {
			q.Writes = append(q.Writes, wire.Write{Put: x.Key, Value: x.Value, Lease: x.Lease})
		}
	}
	return q
}

// list reads the start prefixes, page by page, at the pace that is asked for.
func (n *Controller) list(out *core.Listed, prefix int, after string, e core.List, pages int) {
	if pages == e.AtOnce && prefix < len(core.StartPrefixes) {
		epoch := n.epoch
		n.cluster.After(e.Gap, func() {
			n.runUnlessEnded(epoch, func() { n.list(out, prefix, after, core.List{AtOnce: 1, Gap: e.Gap}, 0) })
		})
		return
	}
	if prefix == len(core.StartPrefixes) {
		n.step(*out)
		return
	}
	epoch := n.epoch
	n.call(environment.StateHost, wire.List{Prefix: core.StartPrefixes[prefix], After: after, Limit: core.ListPage}, listTimeout, func(status int, body any) {
		p, ok := body.(wire.Page)
		if status != 200 || !ok {
			n.cluster.After(errorRetryDelay, func() { n.runUnlessEnded(epoch, func() { n.step(core.Listed{Err: statusError(status)}) }) })
			return
		}
		if prefix == 0 && after == "" {
			out.Ledger = p.Revision
		}
		for _, r := range p.Rows {
			out.Rows = append(out.Rows, core.Change{Key: r.Key, Value: r.Value, Revision: r.Stamp})
			after = r.Key
		}
		if p.More {
			n.list(out, prefix, after, e, pages+1)
		} else {
			n.list(out, prefix+1, "", e, pages+1)
		}
	})
}

func (n *Controller) watch(after uint64, wait, most int64, w core.Watched) {
	epoch := n.epoch
	n.call(environment.StateHost, wire.Watch{Prefix: core.Prefix, After: after, WaitMS: wait / 1000}, most, func(status int, body any) {
		w.After, w.Gone = after, status == 410
		if a, ok := body.(wire.WatchAnswer); ok {
			w.Ledger = a.Revision
			for _, x := range a.Changes {
				w.Changes = append(w.Changes, core.Change{Key: x.Key(), Value: x.Value, Revision: x.Stamp, Removed: x.Put == ""})
			}
		} else if !w.Gone {
			w.Err = statusError(status)
		}
		if w.Err != nil && !w.View {
			n.cluster.After(errorRetryDelay, func() { n.runUnlessEnded(epoch, func() { n.step(w) }) })
			return
		}
		n.step(w)
	})
}

func (n *Controller) watchLeader(e core.WatchLeader) {
	epoch := n.epoch
	n.call(environment.StateHost, wire.Watch{Prefix: core.LeaderKey, After: e.After, WaitMS: watchWait / 1000}, watchTimeout, func(status int, body any) {
		a, _ := body.(wire.WatchAnswer)
		m := core.LeaderWatched{Changed: status == 410 || len(a.Changes) > 0}
		if status == 200 || status == 410 {
			n.step(m)
			return
		}
		m.Err = statusError(status)
		n.cluster.After(errorRetryDelay, func() { n.runUnlessEnded(epoch, func() { n.step(m) }) })
	})
}

func (n *Controller) listTypes(f func(core.Types)) {
	n.call(environment.CloudHost, wire.Types{}, cloudTimeout, func(status int, body any) {
		t := core.Types{Err: statusError(status)}
		if a, ok := body.(wire.TypesAnswer); ok && t.Err == nil {
			for _, w := range a.Types {
				t.Types = append(t.Types, cloud.MachineType(w).ToCore())
			}
		}
		f(t)
	})
}

func (n *Controller) rent(e core.Rent, f func(core.Rented)) {
	q := wire.Rent{Request: e.Name, Type: e.Type, Zone: e.Zone, Spot: e.Spot, Count: e.Count}
	n.call(environment.CloudHost, q, cloudTimeout, func(status int, body any) {
		names, _ := body.(wire.MachineNames)
		f(core.Rented{Rent: e, Names: names.Machines, Status: status})
	})
}

func (n *Controller) release(names []string, f func(core.Released)) {
	n.call(environment.CloudHost, wire.Release{MachineNames: wire.MachineNames{Machines: names}}, cloudTimeout, func(status int, _ any) {
		f(core.Released{Names: names, OK: status == 200})
	})
}

// serveCloudCall makes a call of the cloud for another controller.
func (n *Controller) serveCloudCall(e core.CloudDo) {
	done := func(a core.CloudAnswer, err error) {
		if err == nil && a.Status == 0 {
			a.Status = 200
		}
		n.step(core.CloudDone{Req: e.Req, Answer: a})
	}
	switch {
	case e.Call.Types:
		n.listTypes(func(t core.Types) { done(core.CloudAnswer{Types: t.Types}, t.Err) })
	case e.Call.List:
		n.listMachines(core.Machines{}, "", e.Call.Gap, func(m core.Machines) { done(core.CloudAnswer{List: m.List}, m.Err) })
	case e.Call.Rent != nil:
		n.rent(*e.Call.Rent, func(r core.Rented) { done(core.CloudAnswer{Status: r.Status, Names: r.Names}, errNoAnswer) })
	default:
		n.release(e.Call.Release, func(r core.Released) {
			if r.OK {
				done(core.CloudAnswer{}, nil)
			} else {
				done(core.CloudAnswer{}, errNoAnswer)
			}
		})
	}
}

// listMachines reads the cloud's list, page by page with a gap between them.
func (n *Controller) listMachines(out core.Machines, after string, gap int64, f func(core.Machines)) {
	epoch := n.epoch
	n.call(environment.CloudHost, wire.Machines{After: after, Limit: core.ListPage}, cloudTimeout, func(status int, body any) {
		a, ok := body.(wire.MachinesAnswer)
		if !ok || status != 200 {
			f(core.Machines{Err: statusError(status)})
			return
		}
		for _, m := range a.Machines {
			out.List = append(out.List, cloud.MachineListing(m).ToCore())
			after = m.Name
		}
		if !a.More || len(a.Machines) == 0 {
			f(out)
			return
		}
		n.cluster.After(gap, func() { n.runUnlessEnded(epoch, func() { n.listMachines(out, after, gap, f) }) })
	})
}
