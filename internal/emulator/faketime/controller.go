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
	core.PingPeer
}

// toCoreMessage turns what reaches a controller into a message to its core, or into
// an answer at once.
func toCoreMessage(request any) (func(req uint64) any, *core.Reply) {
	switch q := request.(type) {
	case *wire.Report:
		r := coreReport(q)
		return func(req uint64) any { return core.HeartbeatReceived{RequestID: req, Heartbeat: r} }, nil
	case *wire.Job:
		b, err := json.Marshal(q)
		if err != nil {
			panic(err) // plain structs always encode
		}
		s, err := api.DecodeSubmission(b)
		if err != nil {
			return nil, &core.Reply{Status: 400}
		}
		return func(req uint64) any { s.RequestID = req; return s }, nil
	case wire.RawSubmission:
		s, err := api.DecodeSubmission(q.Body)
		if err != nil {
			return nil, &core.Reply{Status: 400}
		}
		return func(req uint64) any { s.RequestID = req; return s }, nil
	case wire.Sweep:
		s, err := api.DecodeSweep([]byte(q.Text))
		if err != nil {
			return nil, &core.Reply{Status: 400}
		}
		return func(req uint64) any { s.RequestID = req; return s }, nil
	case wire.Poll:
		return func(req uint64) any { return core.QueryJob{RequestID: req, ID: q.ID} }, nil
	case wire.Cancel:
		return func(req uint64) any { return core.CancelJob{RequestID: req, ID: q.ID} }, nil
	case wire.SweepPoll:
		return func(req uint64) any { return core.QuerySweep{RequestID: req, ID: q.ID} }, nil
	case wire.SweepCancel:
		return func(req uint64) any { return core.CancelSweep{RequestID: req, ID: q.ID} }, nil
	case wire.ReadyProbe:
		return func(req uint64) any { return core.CheckReady{RequestID: req} }, nil
	case pingRequest:
		return func(req uint64) any {
			return core.PingReceived{RequestID: req, From: q.from, NeedMachines: q.NeedMachines, Incarnation: q.Incarnation, Question: q.Question, Cancellations: q.Cancellations}
		}, nil
	case core.HeartbeatReceived: // relayed
		return func(req uint64) any { q.RequestID = req; return q }, nil
	case core.SubmitJob: // the others are handed on
		return func(req uint64) any { q.RequestID = req; return q }, nil
	case core.CancelJob:
		return func(req uint64) any { q.RequestID = req; return q }, nil
	case core.QueryJob:
		return func(req uint64) any { q.RequestID = req; return q }, nil
	case core.CloudCallRequested:
		return func(req uint64) any { q.RequestID = req; return q }, nil
	case core.FollowerRead:
		return func(req uint64) any { q.RequestID = req; return q }, nil
	case core.ForwardedSweep:
		m := core.SubmitSweep{Plan: &core.SweepPlan{ID: q.ID}, Stored: q.Stored, Invalid: q.Invalid, Forwarded: true}
		if q.Invalid == "" {
			plan, err := api.UnpackSweep(q.Stored)
			if err != nil {
				return nil, &core.Reply{Status: 503}
			}
			m.Plan = plan
		}
		return func(req uint64) any { m.RequestID = req; return m }, nil
	case core.QuerySweep:
		return func(req uint64) any { q.RequestID = req; return q }, nil
	case core.ListSweepRuns:
		return func(req uint64) any { q.RequestID = req; return q }, nil
	case core.CancelSweep:
		return func(req uint64) any { q.RequestID = req; return q }, nil
	}
	return nil, &core.Reply{Status: 404}
}

// responseBody is what an answer tells whoever asked.
func responseBody(request any, r core.Reply) any {
	switch request.(type) {
	case *wire.Report:
		a := wire.HeartbeatAnswer{Token: r.FencingToken, Leader: r.Leader}
		for _, o := range r.Commands {
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

func wireOrder(o core.Command) wire.Order {
	return wire.Order{Op: api.OrderVerb(o), Task: o.Task, Attempt: uint64(o.Attempt), GraceS: float64(o.Grace) / 1e6}
}

func coreReport(q *wire.Report) core.Heartbeat {
	r := core.Heartbeat{
		Machine: q.Machine, Addr: q.Addr, Type: q.Type, Zone: q.Zone, Spot: q.Spot, Epoch: q.Session, Seq: q.Seq, FencingToken: q.Token, PreemptionNotice: -1,
		Tasks: make([]core.TaskStatus, len(q.Tasks)),
	}
	if q.NoticeS != nil {
		r.PreemptionNotice = int64(*q.NoticeS * 1e6)
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
		if f := n.replies[e.RequestID]; f != nil {
			delete(n.replies, e.RequestID)
			f(e)
		}
	case core.Quit:
		c.Kill(n)
	case core.ListState:
		n.list(&core.StateListed{}, 0, "", e, 0)
	case core.WatchState:
		n.watch(e.AfterRevision, watchWait, watchTimeout, core.StateRead{SentAt: sent})
	case core.WatchLeader:
		n.watchLeader(e)
	case core.ReadFromLeader:
		if c.OnQuery != nil {
			c.OnQuery(n.name, e)
		}
		n.call(e.To, core.FollowerRead{AfterRevision: e.AfterRevision, WritesNeeded: e.WritesNeeded}, replica.AnswerTimeout, func(status int, body any) {
			r, err := controllerReply(body)
			s := core.LeaderReadDone{Number: e.Number, AfterRevision: e.AfterRevision, SentAt: sent, Answer: r, Err: err}
			if c.OnQueryEnd != nil {
				c.OnQueryEnd(n.name, &s)
			}
			n.step(s)
		})
	case core.ReadState:
		n.watch(e.AfterRevision, 0, watchTimeout-watchWait, core.StateRead{SentAt: sent, Immediate: true, ForRequests: e.ForRequests})
	case core.CommitTransaction:
		if c.OnTransaction != nil {
			c.OnTransaction(e)
		}
		n.call(environment.StateHost, wireTransaction(e), commitTimeout, func(status int, body any) {
			a, _ := body.(wire.TransactionAnswer)
			n.step(core.Committed{ID: e.ID, Status: status, Revision: a.Revision, Failed: a.Failed})
		})
	case core.ReadKey:
		n.call(environment.StateHost, wire.Get{Key: e.Key}, getTimeout, func(status int, body any) {
			g := core.KeyRead{ID: e.ID, Key: e.Key}
			if row, ok := body.(wire.Row); ok {
				g.Value, g.Revision = row.Value, row.Stamp
			} else if status != 404 {
				g.Err = statusError(status)
			}
			n.step(g)
		})
	case core.GrantLease:
		n.call(environment.StateHost, wire.NewLease{DurationMS: e.TTL / 1000}, leaseTimeout, func(status int, body any) {
			l, _ := body.(wire.Lease)
			n.step(core.LeaseGranted{Lease: l.Lease, SentAt: sent, Err: statusError(status)})
		})
	case core.RenewLease:
		n.call(environment.StateHost, wire.RenewLease{Lease: e.Lease}, leaseTimeout, func(status int, _ any) {
			t := core.LeaseRenewed{Lease: e.Lease, SentAt: sent, Expired: status == 404}
			if !t.Expired {
				t.Err = statusError(status)
			}
			n.step(t)
		})
	case core.RevokeLease:
		n.call(environment.StateHost, wire.RevokeLease{Lease: e.Lease}, leaseTimeout, func(int, any) {})
	case core.RelayHeartbeat:
		n.call(e.To, core.HeartbeatReceived{Heartbeat: e.Heartbeat, From: n.name, ViaPeer: e.ViaPeer}, relayTimeout, func(status int, body any) {
			r, err := controllerReply(body)
			n.step(core.HeartbeatRelayed{RequestID: e.RequestID, Answer: r, Err: err})
		})
	case core.ForwardRequest:
		n.call(e.To, e.Request, forwardTimeout, func(status int, body any) {
			r, err := controllerReply(body)
			n.step(core.RequestForwarded{RequestID: e.RequestID, Answer: r, Err: err})
		})
	case core.PingPeer:
		if n.legacy() {
			e.Incarnation, e.Question, e.Cancellations = "", nil, nil
		}
		n.call(e.Peer, pingRequest{n.name, e}, pingTimeout, func(status int, body any) {
			s := core.PeerPinged{Peer: e.Peer, SentAt: sent}
			if r, err := controllerReply(body); err == nil && r.PeerStatus != nil {
				s.OK, s.Status = true, *r.PeerStatus
				if n.legacy() {
					s.Status.ReadLease, s.Status.Ack = nil, nil
				}
			}
			n.step(s)
		})
	case core.ProbeMachine:
		n.call(e.Addr, wire.Inspect{}, probeTimeout, func(status int, body any) {
			p := core.MachineProbed{Machine: e.Machine, SentAt: sent, OK: status == 200}
			if q, ok := body.(*wire.Report); ok {
				r := coreReport(q)
				p.Heartbeat = &r
			}
			n.step(p)
		})
	case core.SendCommands:
		q := wire.WorkerOrders{Token: &e.FencingToken, Session: &e.Epoch}
		for _, o := range e.Commands {
			q.Orders = append(q.Orders, wireOrder(o))
		}
		n.call(e.Addr, q, directTimeout, func(int, any) {})
	case core.ListMachineTypes:
		n.listTypes(func(t core.MachineTypesListed) { t.FencingToken = e.FencingToken; n.step(t) })
	case core.ListMachines:
		n.listMachines(core.MachinesListed{}, "", e.Gap, func(m core.MachinesListed) { m.FencingToken = e.FencingToken; n.step(m) })
	case core.CallCloudViaPeer:
		n.call(e.To, core.CloudCallRequested{FencingToken: e.FencingToken, Call: e.Call}, delegatedCloudTimeout, func(status int, body any) {
			r, err := controllerReply(body)
			told, answer := core.CloudViaPeerResult(e, r, err)
			n.step(told)
			n.step(answer)
		})
	case core.CallCloudForPeer:
		n.serveCloudCall(e)
	case core.ScaleOut:
		n.rent(e, func(r core.ScaledOut) { n.step(r) })
	case core.ScaleIn:
		n.release(e.Names, func(r core.ScaledIn) { r.FencingToken = e.FencingToken; n.step(r) })
	case core.ExpandSweep:
		plan, err := api.UnpackSweep(e.Stored)
		later(20_000, core.SweepExpanded{ID: e.ID, Plan: plan, Err: err})
	}
}

// controllerReply is another controller's answer.
func controllerReply(body any) (core.Reply, error) {
	if r, ok := body.(core.Reply); ok {
		return r, nil
	}
	return core.Reply{}, errNoAnswer
}

func wireTransaction(e core.CommitTransaction) wire.Transaction {
	var q wire.Transaction
	for _, k := range e.Conditions {
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
func (n *Controller) list(out *core.StateListed, prefix int, after string, e core.ListState, pages int) {
	if pages == e.AtOnce && prefix < len(core.StartPrefixes) {
		epoch := n.epoch
		n.cluster.After(e.Gap, func() {
			n.runUnlessEnded(epoch, func() { n.list(out, prefix, after, core.ListState{AtOnce: 1, Gap: e.Gap}, 0) })
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
			n.cluster.After(errorRetryDelay, func() { n.runUnlessEnded(epoch, func() { n.step(core.StateListed{Err: statusError(status)}) }) })
			return
		}
		if prefix == 0 && after == "" {
			out.Revision = p.Revision
		}
		for _, r := range p.Rows {
			out.Changes = append(out.Changes, core.Change{Key: r.Key, Value: r.Value, Revision: r.Stamp})
			after = r.Key
		}
		if p.More {
			n.list(out, prefix, after, e, pages+1)
		} else {
			n.list(out, prefix+1, "", e, pages+1)
		}
	})
}

func (n *Controller) watch(after uint64, wait, most int64, w core.StateRead) {
	epoch := n.epoch
	n.call(environment.StateHost, wire.Watch{Prefix: core.Prefix, After: after, WaitMS: wait / 1000}, most, func(status int, body any) {
		w.AfterRevision, w.Compacted = after, status == 410
		if a, ok := body.(wire.WatchAnswer); ok {
			w.Revision = a.Revision
			for _, x := range a.Changes {
				w.Changes = append(w.Changes, core.Change{Key: x.Key(), Value: x.Value, Revision: x.Stamp, Removed: x.Put == ""})
			}
		} else if !w.Compacted {
			w.Err = statusError(status)
		}
		if w.Err != nil && !w.Immediate {
			n.cluster.After(errorRetryDelay, func() { n.runUnlessEnded(epoch, func() { n.step(w) }) })
			return
		}
		n.step(w)
	})
}

func (n *Controller) watchLeader(e core.WatchLeader) {
	epoch := n.epoch
	n.call(environment.StateHost, wire.Watch{Prefix: core.LeaderKey, After: e.AfterRevision, WaitMS: watchWait / 1000}, watchTimeout, func(status int, body any) {
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

func (n *Controller) listTypes(f func(core.MachineTypesListed)) {
	n.call(environment.CloudHost, wire.Types{}, cloudTimeout, func(status int, body any) {
		t := core.MachineTypesListed{Err: statusError(status)}
		if a, ok := body.(wire.TypesAnswer); ok && t.Err == nil {
			for _, w := range a.Types {
				t.Types = append(t.Types, cloud.MachineType(w).ToCore())
			}
		}
		f(t)
	})
}

func (n *Controller) rent(e core.ScaleOut, f func(core.ScaledOut)) {
	q := wire.Rent{Request: e.Name, Type: e.Type, Zone: e.Zone, Spot: e.Spot, Count: e.Count}
	n.call(environment.CloudHost, q, cloudTimeout, func(status int, body any) {
		names, _ := body.(wire.MachineNames)
		f(core.ScaledOut{Request: e, Names: names.Machines, Status: status})
	})
}

func (n *Controller) release(names []string, f func(core.ScaledIn)) {
	n.call(environment.CloudHost, wire.Release{MachineNames: wire.MachineNames{Machines: names}}, cloudTimeout, func(status int, _ any) {
		f(core.ScaledIn{Names: names, OK: status == 200})
	})
}

// serveCloudCall makes a call of the cloud for another controller.
func (n *Controller) serveCloudCall(e core.CallCloudForPeer) {
	done := func(a core.CloudResult, err error) {
		if err == nil && a.Status == 0 {
			a.Status = 200
		}
		n.step(core.CloudCalledForPeer{RequestID: e.RequestID, Answer: a})
	}
	switch {
	case e.Call.ListTypes:
		n.listTypes(func(t core.MachineTypesListed) { done(core.CloudResult{Types: t.Types}, t.Err) })
	case e.Call.ListMachines:
		n.listMachines(core.MachinesListed{}, "", e.Call.Gap, func(m core.MachinesListed) { done(core.CloudResult{List: m.List}, m.Err) })
	case e.Call.ScaleOut != nil:
		n.rent(*e.Call.ScaleOut, func(r core.ScaledOut) { done(core.CloudResult{Status: r.Status, Names: r.Names}, errNoAnswer) })
	default:
		n.release(e.Call.ScaleIn, func(r core.ScaledIn) {
			if r.OK {
				done(core.CloudResult{}, nil)
			} else {
				done(core.CloudResult{}, errNoAnswer)
			}
		})
	}
}

// listMachines reads the cloud's list, page by page with a gap between them.
func (n *Controller) listMachines(out core.MachinesListed, after string, gap int64, f func(core.MachinesListed)) {
	epoch := n.epoch
	n.call(environment.CloudHost, wire.Machines{After: after, Limit: core.ListPage}, cloudTimeout, func(status int, body any) {
		a, ok := body.(wire.MachinesAnswer)
		if !ok || status != 200 {
			f(core.MachinesListed{Err: statusError(status)})
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
