package core

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/connectivity"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// between is a controller among three whose messages are given by hand, and
// whose effects are kept.
type between struct {
	c   *Core
	now int64
	rev uint64
	out []any
	// mute: the state service answers nothing.
	mute    bool
	touches int
	hung    bool // the watch brings nothing
}

// newBetween has read the state, in which leader leads; it leads itself if that
// is its own name.
func newBetween(t *testing.T, leader string) *between {
	set := Settings{Name: "n0", Boot: "b", Peers: []string{"n1", "n2"}, Ops: config.Defaults()}
	set.Size, set.Zones, set.Teams = 3, []string{"a", "b"}, []config.Team{{Name: "t"}}
	set.Workers.ReportS, set.Workers.LeaseS, set.Workers.CancelS = 2, 16, 36
	set.State.RPS, set.State.WriteRPS, set.State.ValueKB, set.State.TxnOps = 100, 100, 8, 12
	set.Cloud.RPS = 1
	b := &between{now: second, rev: 20}
	b.c = New(set, b.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	rows := []Change{{Key: tokenKey, Value: encode(tokenValue{5}), Revision: 3}, {Key: formatKey, Value: encode(formatValue{2, 64}), Revision: 4},
		{Key: featuresKey, Value: encode(featuresValue{[]upgrade.StoredFeature{{Name: upgrade.Connectivity}}}), Revision: 5}, {Key: typesKey, Value: encode([]fleet.Type{{Name: "c", Zones: []string{"a"}}}), Revision: 5}}
	if leader != "n0" {
		rows = append(rows, Change{Key: LeaderKey, Value: encode(leaderValue{Name: leader, Boot: "x", Token: 5, Lease: 8}), Revision: 6})
	}
	b.step(Listed{Ledger: 20, Rows: rows})
	b.run(2 * second)
	if (b.c.lead != nil) != (leader == "n0") {
		t.Fatal("not the leader that was meant")
	}
	b.out = nil
	return b
}

func (b *between) run(d int64) {
	for end := b.now + d; b.now < end; {
		b.now += 50_000
		b.step(Tick{Wall: b.now + 1_000_000*second})
	}
}

// step answers what goes to the state service, and keeps the rest.
func (b *between) step(msg any) {
	for _, e := range b.c.Step(b.now, msg) {
		err := errors.New("no answer")
		if !b.mute {
			err = nil
		}
		switch e := e.(type) {
		case NewLease:
			b.step(Leased{Lease: 9, Sent: b.now, Err: err})
		case Touch:
			b.touches++
			b.step(Touched{Lease: e.Lease, Sent: b.now, Err: err})
		case Multi:
			if b.mute {
				b.step(Committed{ID: e.ID})
				continue
			}
			b.rev++
			w := Watched{After: b.rev - 1, Ledger: b.rev, Sent: b.now}
			for _, x := range e.Writes {
				w.Changes = append(w.Changes, Change{Key: x.Key, Value: x.Value, Revision: b.rev, Removed: x.Value == nil})
			}
			if !b.hung {
				b.step(w)
			}
			b.step(Committed{ID: e.ID, Status: 200, Revision: b.rev})
		case Ping, Probe:
		default:
			b.out = append(b.out, e)
		}
	}
}

// peer has a peer answer a ping and call, with what it says it reaches; stored
// is its word in the state service.
func (b *between) peer(name string, v connectivity.Advertisement) {
	b.step(PeerSeen{Peer: name, Sent: b.now, OK: true, News: PeerNews{Token: 5, Leader: "n1", Reach: &v}})
	b.step(Pinged{From: name})
}

func (b *between) stored(name string, v connectivity.Advertisement) {
	b.rev++
	b.step(Watched{After: b.rev - 1, Ledger: b.rev, Changes: []Change{{Key: reachPrefix + name, Value: encode(v), Revision: b.rev}}})
}

func find[T any](b *between) (out []T) {
	for _, e := range b.out {
		if x, ok := e.(T); ok {
			out = append(out, x)
		}
	}
	b.out = nil
	return out
}

func reaches(a, b int, peers ...string) connectivity.Advertisement {
	return connectivity.Advertisement{Workers: map[string]int{"a": a, "b": b}, Peers: peers}
}

// TestOtherViews: an unfinished answer needs a view that was asked for after the
// request came. One of another purpose, sent before it, once answered it too: a
// job accepted in between by another controller was then called unknown.
func TestOtherViews(t *testing.T) {
	b := newBetween(t, "n1")
	b.step(Status{Req: 7, ID: "j"})
	asked := find[View](b)
	if len(asked) != 1 || !asked[0].Asked {
		t.Fatalf("views %+v", asked)
	}
	b.step(Watched{After: b.c.applied, Ledger: b.rev, View: true})
	if got := find[Get](b); len(got) != 0 {
		t.Error("a view that may be older than the request was taken for its answer")
	}
	b.step(Watched{After: b.c.applied, Ledger: b.rev, View: true, Asked: true})
	if got := find[Get](b); len(got) != 1 {
		t.Error("the view of the request did not answer it")
	}
}

// TestSilentWatch: a revision that an answer tells of and the watch does not
// bring is read, or a leader would learn of new jobs only when the connection
// that the watch is held on breaks.
func TestSilentWatch(t *testing.T) {
	b := newBetween(t, "n0")
	b.c.lead.mirrored = b.now + 3600*second // what TestKnows has a leader read is not looked at here
	b.rev += 3                              // others write, and nothing of it comes
	id := b.c.id()
	b.c.txns.Begin(id, nil, nil, b.now, func(Committed) {})
	b.step(Committed{ID: id, Status: 409, Revision: b.rev})
	b.run(watchLate - 100_000)
	if v := find[View](b); len(v) != 0 {
		t.Error("the watch was given no time")
	}
	b.run(300_000)
	v := find[View](b)
	if len(v) != 1 || v[0].Asked {
		t.Fatalf("views %+v", v)
	}
	b.step(Watched{After: v[0].After, Ledger: b.rev, View: true})
	b.run(5 * second)
	if v = find[View](b); len(v) != 0 {
		t.Errorf("%d views with nothing to read", len(v))
	}
}

// TestAside: what becomes of a report at a controller that can't hand it to the
// leader n1.
func TestAside(t *testing.T) {
	report := func(n uint64) Beat {
		return Beat{Req: n, Report: Report{Machine: "m", Addr: "x", Zone: "a", Session: 1, Seq: n, Notice: -1}}
	}
	cases := []struct {
		name   string
		meet   func(b *between)
		first  int    // the answer's status, 0 for none yet
		to     string // of the answer, or of the relay
		second string // whom the report goes by when the worker is back at once
	}{
		{"nobody reaches anything", func(*between) {}, 503, "", ""},
		{"the leader answers", func(b *between) { b.peer("n1", reaches(8, 8)) }, 421, "n1", "n1"},
		{"another reaches the leader", func(b *between) {
			v := reaches(8, 8, "n0", "n1")
			b.peer("n2", v)
			b.stored("n2", v)
		}, 421, "n2", "n2"},
		{"the leader says that it reaches the zone", func(b *between) { b.stored("n1", reaches(8, 0)) }, 421, "n1", ""},
		{"the leader says that it does not", func(b *between) { b.stored("n1", reaches(0, 8)) }, 503, "", ""},
		{"the leader's word may be old", func(b *between) {
			b.stored("n1", reaches(8, 8))
			b.mute = true
			b.run(3 * second)
		}, 503, "", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newBetween(t, "n1")
			tc.meet(b)
			b.run(250_000)
			b.out = nil
			b.step(report(1))
			if r := find[Reply](b); len(r) != 1 || r[0].Status != tc.first || r[0].Leader != tc.to {
				t.Errorf("answers %+v", r)
			}
			b.run(second)
			b.out = nil
			b.step(report(2))
			out := b.out
			if r := find[Relay](b); tc.second != "" && (len(r) != 1 || r[0].To != tc.second || r[0].Onward != (tc.second != "n1")) || tc.second == "" && len(r) != 0 {
				t.Errorf("relays %+v", r)
			}
			b.out = out
			if r := find[Reply](b); tc.second == "" && (len(r) != 1 || r[0].Status != 503) {
				t.Errorf("answers %+v", r)
			}
		})
	}
}

// TestOnward: a report that is to be handed on goes to the leader and no
// further, and never to and fro.
func TestOnward(t *testing.T) {
	for _, tc := range []struct {
		name   string
		leader bool // the leader answers
		onward bool
		relays int
	}{{"to the leader", true, true, 1}, {"the leader does not answer here either", false, true, 0}, {"an older controller's", true, false, 0}} {
		b := newBetween(t, "n1")
		if tc.leader {
			b.peer("n1", reaches(8, 8))
		}
		b.out = nil
		b.step(Beat{Req: 3, From: "n2", Onward: tc.onward, Report: Report{Machine: "m", Addr: "x", Zone: "a", Notice: -1}})
		out := b.out
		r := find[Relay](b)
		b.out = out
		if len(r) != tc.relays || tc.relays == 1 && (r[0].To != "n1" || r[0].Onward) {
			t.Errorf("%s: %+v", tc.name, r)
		}
		if a := find[Reply](b); tc.relays == 0 && (len(a) != 1 || a[0].Status != 503) {
			t.Errorf("%s: %+v", tc.name, a)
		}
	}
}

// TestLeaves: a leader that reaches no worker gives way to one that does, whose
// lease goes at once, and does not take the leadership back before the other
// has had its chance. Switched off it stays.
func TestLeaves(t *testing.T) {
	for _, on := range []bool{true, false} {
		b := newBetween(t, "n0")
		b.c.set.Ops.Reach = on
		b.stored("n1", reaches(8, 8))
		b.c.links.Workers.Add(connectivity.Machine{Name: "m", Addr: "x", Zone: "a"}, b.now)
		b.c.links.Workers.Add(connectivity.Machine{Name: "m2", Addr: "x", Zone: "b"}, b.now)
		for _, m := range []string{"m", "m2"} {
			b.step(Probed{Machine: m, Sent: b.now, OK: false})
		}
		b.run(3 * second)
		if (b.c.lead == nil) != on {
			t.Fatalf("on %v, leads %v", on, b.c.lead != nil)
		}
		if !on {
			continue
		}
		if d := find[DropLease](b); len(d) != 1 {
			t.Errorf("leases dropped: %+v", d)
		}
		// The key is gone, and the state is read anew; the other has its turn.
		b.rev++
		rows := []Change{{Key: tokenKey, Value: encode(tokenValue{6}), Revision: 3}, {Key: formatKey, Value: encode(formatValue{2, 64}), Revision: 4}, {Key: reachPrefix + "n1", Value: encode(reaches(8, 8)), Revision: 7}}
		b.step(Listed{Ledger: b.rev, Rows: rows})
		begun := b.now
		for b.c.lead == nil && b.now < begun+10*second {
			b.run(50_000)
		}
		if d := b.now - begun; d < second || d > 3*second {
			t.Errorf("leads again %d us later", d)
		}
	}
}

// TestReady: a controller that can neither ask nor hand on takes no users.
func TestReady(t *testing.T) {
	ask := func(b *between) int {
		b.out = nil
		b.step(Ready{Req: 1})
		return find[Reply](b)[0].Status
	}
	b := newBetween(t, "n1")
	if s := ask(b); s != 200 {
		t.Errorf("all well: %d", s)
	}
	b.mute = true
	b.run(4 * second)
	if s := ask(b); s != 503 {
		t.Errorf("nobody answers: %d", s)
	}
	b.peer("n2", reaches(8, 8))
	if s := ask(b); s != 200 {
		t.Errorf("a peer answers: %d", s)
	}
}

// TestSilentRenewals: a renewal may be executed though its answer never comes. A
// leader that hears nothing must not keep its lease alive by such, or nobody
// else could lead for as long as the cut lasts.
func TestSilentRenewals(t *testing.T) {
	b := newBetween(t, "n0")
	ttl := b.c.set.Ops.LeaderLease
	b.mute = true
	b.run(2 * ttl)
	b.touches = 0
	b.run(ttl)
	first := b.touches
	b.touches = 0
	b.run(ttl)
	if first+b.touches > 2 || first > 1 && b.touches > 0 {
		t.Errorf("%d and %d renewals in two leases of silence", first, b.touches)
	}
}

// TestHandedOn: what the state service does not answer here goes to a peer that
// it does, of every kind, and no further.
func TestHandedOn(t *testing.T) {
	for _, tc := range []struct {
		ask  func(handed bool) any
		want any
	}{
		{func(h bool) any { return Status{Req: 1, ID: "x", Handed: h} }, Status{ID: "x", Handed: true}},
		{func(h bool) any { return Cancel{Req: 1, ID: "x", Handed: h} }, Cancel{ID: "x", Handed: true}},
		{func(h bool) any { return SweepStatus{Req: 1, ID: "x", Handed: h} }, SweepStatus{ID: "x", Handed: true}},
		{func(h bool) any { return SweepRuns{Req: 1, ID: "x", After: 2, Most: 5, Handed: h} }, SweepRuns{ID: "x", After: 2, Most: 5, Handed: true}},
		{func(h bool) any { return CancelSweep{Req: 1, ID: "x", Handed: h} }, CancelSweep{ID: "x", Handed: true}},
		{func(h bool) any {
			return SubmitSweep{Req: 1, Plan: &SweepPlan{ID: "x"}, Stored: "packed", Invalid: "bad", Handed: h}
		}, HandedSweep{ID: "x", Stored: "packed", Invalid: "bad"}},
	} {
		b := newBetween(t, "n1")
		b.c.set.Ops.Sweeps = true
		b.mute = true
		b.run(3 * second)
		b.peer("n2", reaches(8, 8))
		b.out = nil
		b.step(tc.ask(false))
		if f := find[Forward](b); len(f) != 1 || f[0].To != "n2" || f[0].Request != tc.want {
			t.Errorf("%T: handed on as %+v", tc.want, f)
		}
		b.step(tc.ask(true))
		out := b.out
		if f := find[Forward](b); len(f) != 0 {
			t.Errorf("%T: handed on twice", tc.want)
		}
		b.out = out
		if r := find[Reply](b); len(r) != 1 || r[0].Status != 503 || r[0].Retry == 0 {
			t.Errorf("%T: answered %+v", tc.want, r)
		}
	}
}
