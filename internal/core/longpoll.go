package core

import (
	"cmp"
	"slices"

	"github.com/tidwall/btree"

	"github.com/zinclb/zinclb/internal/core/fleet"
)

// heldHeartbeat is a report whose answer waits a moment for orders: a start can go
// only into the answer to a report, and the next one is a report interval
// away. Nothing has been answered to it, so going through it again is as good
// as having gone through it later.
type heldHeartbeat struct {
	requestID uint64
	heartbeat Heartbeat
	until     int64
	// by is the controller that relayed the report, "" for this one.
	by string
}

// heldHeartbeats is where reports are parked. At any moment a good part of an idle fleet
// is, so that neither the ticks nor a write may go through all of it.
type heldHeartbeats struct {
	byName map[string]heldHeartbeat
	// byDeadline is by when their time is up, likely are the machines that have
	// something that may become an order.
	byDeadline *btree.BTreeG[heldDeadline]
	maybeReady map[string]struct{}
	// heldBy counts them by controller: each holds a connection there.
	heldBy map[string]int
}

type heldDeadline struct {
	at   int64
	name string
}

func newHeldHeartbeats() heldHeartbeats {
	return heldHeartbeats{byName: map[string]heldHeartbeat{}, maybeReady: map[string]struct{}{}, heldBy: map[string]int{}, byDeadline: btree.NewBTreeGOptions(func(a, b heldDeadline) bool {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.name, b.name)) < 0
	}, btree.Options{NoLocks: true})}
}

// mayPark says whether one more answer to a report by way of a controller may wait:
// half of its connections are left to other workers, users and peers. Without a
// setting of the sockets there is no bound.
func (wm *workerManager) mayPark(by string) bool {
	sockets := wm.settings.Limits.Sockets
	return sockets == 0 || wm.elector.leadership.heartbeats.held.heldBy[by] < sockets/2
}

// has says whether a machine's report is parked.
func (l *heldHeartbeats) has(name string) bool {
	_, ok := l.byName[name]
	return ok
}

// hold keeps a report; the machine's last one was taken out.
func (l *heldHeartbeats) hold(m *fleet.Machine, p heldHeartbeat) {
	m.MarkChanged()
	l.byName[m.Name] = p
	l.heldBy[p.by]++
	l.byDeadline.Set(heldDeadline{p.until, m.Name})
	if len(m.Placed) > 0 || m.Prefetch != nil {
		l.maybeReady[m.Name] = struct{}{}
	}
}

// expectCommands notes that there may soon be orders for a machine.
func (l *heldHeartbeats) expectCommands(name string) {
	if l.has(name) {
		l.maybeReady[name] = struct{}{}
	}
}

// take takes a report out.
func (l *heldHeartbeats) take(name string) (heldHeartbeat, bool) {
	p, ok := l.byName[name]
	if ok {
		delete(l.byName, name)
		delete(l.maybeReady, name)
		if l.heldBy[p.by]--; l.heldBy[p.by] == 0 {
			delete(l.heldBy, p.by)
		}
		l.byDeadline.Delete(heldDeadline{p.until, name})
	}
	return p, ok
}

// ready lists those whose time is up, and of the likely ones those that have
// orders.
func (l *heldHeartbeats) ready(now int64, hasOrders func(name string) bool) []string {
	var names []string
	l.byDeadline.Scan(func(u heldDeadline) bool {
		if u.at <= now {
			names = append(names, u.name)
		}
		return u.at <= now
	})
	due := len(names)
	for name := range l.maybeReady {
		if l.byName[name].until > now && hasOrders(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names[due:])
	return names
}
