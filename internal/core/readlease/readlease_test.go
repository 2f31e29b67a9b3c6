package readlease

import (
	"fmt"
	"slices"
	"testing"
)

const leaseDuration = 10 * second

// pair is a leader "l" that requests read leases, and a controller "x" that grants them and
// can be restarted.
type pair struct {
	now         int64
	incarnation int
	grantor     *Grantor
	holder      *Holder
	// synced reports whether the grantor has read the stored state.
	synced bool
	// appliedRevision is the revision up to which the leader knows the stored state.
	appliedRevision uint64
	known           map[string]bool // the cancellations that the leader knows
}

func newPair() *pair {
	p := &pair{now: second, synced: true, known: map[string]bool{}, holder: NewHolder([]string{"x"}, leaseDuration)}
	p.restartGrantor()
	return p
}

func (p *pair) restartGrantor() {
	p.incarnation++
	p.grantor = NewGrantor(fmt.Sprint("x", p.incarnation), []string{"l"}, leaseDuration, p.now)
}

// request sends a request of the leader, and returns its send time and the answer.
func (p *pair) request() (sentAt int64, page CancellationPage) {
	request := p.holder.NextRequest("x", p.appliedRevision, p.now)
	return p.now, p.grantor.Grant("l", request, p.synced, p.now)
}

// receive delivers an answer to the leader.
func (p *pair) receive(sentAt int64, page CancellationPage) {
	for _, id := range page.Cancelled {
		p.known[id] = true
	}
	p.holder.HandleGrant("x", sentAt, p.now, page)
}

// exchange requests pages until there are no more.
func (p *pair) exchange() {
	for more := true; more; {
		sentAt, page := p.request()
		p.now += 1000
		p.receive(sentAt, page)
		more = page.More
	}
}

// cancel records the cancellations of a number of jobs, which are not stored yet.
func (p *pair) cancel(jobs int) {
	for i := range jobs {
		p.grantor.RecordCancellation(fmt.Sprint("j", i), 0)
	}
}

// TestHolder checks the time up to which the grantor has confirmed that the leader knows the
// grantor's cancellations.
func TestHolder(t *testing.T) {
	cases := []struct {
		name string
		do   func(p *pair)
		// grantedAt is the expected OldestGrant of the holder, known the expected number of
		// cancellations that the leader knows.
		grantedAt int64
		known     int
	}{
		{"no request", func(*pair) {}, 0, 0},
		{"lease starts at the request, not at the answer", func(p *pair) {
			sentAt, page := p.request()
			p.now += second
			p.receive(sentAt, page)
		}, second, 0},
		{"answer too late", func(p *pair) {
			sentAt, page := p.request()
			p.now += 2 * second
			p.receive(sentAt, page)
		}, 0, 0},
		{"all pages", func(p *pair) { p.cancel(1200); p.exchange() }, second + 2000, 1200},
		{"last page outstanding", func(p *pair) {
			p.cancel(1200)
			for range 2 {
				sentAt, page := p.request()
				p.receive(sentAt, page)
			}
		}, 0, 1000},
		{"missing page", func(p *pair) {
			p.cancel(1200)
			p.holder.grants["x"].upTo = 700 // as if the leader had received further pages
			p.holder.grants["x"].incarnation = "x1"
			sentAt, page := p.request()
			p.holder.grants["x"].upTo = 500
			p.receive(sentAt, page)
		}, 0, 500},
		{"grantor without the stored state", func(p *pair) { p.synced = false; p.exchange() }, 0, 0},
		{"grantor restarted, earlier lease valid", func(p *pair) {
			p.exchange()
			p.now, p.synced = 8*second, false
			p.restartGrantor()
			p.exchange()
		}, 8 * second, 0},
		{"grantor restarted, earlier lease expired", func(p *pair) {
			p.exchange()
			p.now, p.synced = 12*second, false
			p.restartGrantor()
			p.exchange()
		}, second, 0},
		{"grantor restarted, earlier lease expired, stored state read", func(p *pair) {
			p.exchange()
			p.now = 12 * second
			p.restartGrantor()
			p.cancel(3)
			p.exchange()
		}, 12 * second, 3},
		{"stored cancellations that the leader has read are not sent", func(p *pair) {
			p.appliedRevision = 7
			p.grantor.RecordCancellation("a", 7)
			p.grantor.RecordCancellation("b", 8)
			p.grantor.RecordCancellation("c", 0)
			p.exchange()
		}, second, 2},
		{"more cancellations than are kept", func(p *pair) { p.cancel(maxLogEntries + 1); p.exchange() }, 0, 0},
		{"more cancellations than are kept, dropped ones stored and read", func(p *pair) {
			p.appliedRevision = 5
			p.grantor.RecordCancellation("old", 5)
			p.cancel(maxLogEntries)
			p.exchange()
		}, second + (maxLogEntries/maxPageEntries-1)*1000, maxLogEntries},
		{"grantor without read leases", func(p *pair) { p.receive(p.now, CancellationPage{Complete: true}) }, 0, 0},
		{"late answer of an earlier incarnation", func(p *pair) {
			sentAt, page := p.request()
			p.holder.SetIncarnation("x", "x2")
			p.receive(sentAt, page)
		}, 0, 0},
		{"acknowledged as not held", func(p *pair) {
			p.exchange()
			p.now += 11 * second
			p.holder.Ack("x", 0, p.now)
			p.synced = false
			p.exchange()
		}, 0, 0},
		{"acknowledged as held while the answer is in transit", func(p *pair) {
			sentAt, page := p.request()
			if ack := p.holder.Ack("x", 0, p.now); !ack.Holds {
				return
			}
			p.receive(sentAt, page)
			p.now += 3 * second
			if ack := p.holder.Ack("x", 0, p.now); !ack.Holds {
				p.holder.grants["x"].grantedAt = 0
			}
		}, second, 0},
		{"old request without an answer", func(p *pair) {
			p.request()
			p.now += 2 * second
			if p.holder.Ack("x", 0, p.now).Holds {
				p.holder.grants["x"].grantedAt = -1
			}
		}, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPair()
			tc.do(p)
			if got := p.holder.OldestGrant(); got != tc.grantedAt {
				t.Errorf("OldestGrant() = %d, want %d", got, tc.grantedAt)
			}
			if len(p.known) != tc.known {
				t.Errorf("leader knows %d cancellations, want %d", len(p.known), tc.known)
			}
		})
	}
}

// TestGrantor checks when a cancellation may be confirmed to users, and when the holder of a read
// lease has to be informed first.
func TestGrantor(t *testing.T) {
	cases := []struct {
		name string
		do   func(p *pair)
		// mayConfirm reports whether no controller has to be informed first.
		mayConfirm bool
	}{
		{"grantor just started", func(*pair) {}, false},
		{"grantor just started, earlier lease disclaimed", func(p *pair) { p.grantor.HandleAck("l", p.now, &HolderAck{}) }, true},
		{"grantor just started, holder without read leases", func(p *pair) { p.grantor.HandleAck("l", p.now, nil) }, true},
		{"earlier lease expired after the start", func(p *pair) { p.now += leaseDuration + second }, true},
		{"granted", func(p *pair) { p.grantor.HandleAck("l", p.now, &HolderAck{}); p.request() }, false},
		{"granted after the disclaimer was sent", func(p *pair) {
			p.request()
			p.grantor.HandleAck("l", p.now-1, &HolderAck{})
		}, false},
		{"granted, holder knows the number", func(p *pair) {
			p.request()
			p.grantor.HandleAck("l", p.now, &HolderAck{Holds: true, Incarnation: "x1", UpTo: 1})
		}, true},
		{"granted, holder knows the number of an earlier incarnation", func(p *pair) {
			p.request()
			p.grantor.HandleAck("l", p.now, &HolderAck{Holds: true, Incarnation: "x0", UpTo: 1})
		}, false},
		{"granted, holder has read the stored cancellation", func(p *pair) {
			p.request()
			p.grantor.HandleAck("l", p.now, &HolderAck{Holds: true, AppliedRevision: 9})
		}, true},
		{"granted, holder has read an earlier revision", func(p *pair) {
			p.request()
			p.grantor.HandleAck("l", p.now, &HolderAck{Holds: true, AppliedRevision: 8})
		}, false},
		{"grant expired", func(p *pair) { p.request(); p.now += leaseDuration + second }, true},
		{"holder informed of a further cancellation", func(p *pair) {
			p.exchange()
			p.grantor.RecordCancellation("next", 0)
			page := p.grantor.PageFor("l")
			if !p.holder.ApplyPage("x", page) || !slices.Contains(page.Cancelled, "next") {
				p.incarnation = -1
			}
			ack := p.holder.Ack("x", 0, p.now)
			p.grantor.HandleAck("l", p.now, &ack)
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPair()
			p.grantor.RecordCancellation("a", 9)
			tc.do(p)
			if got := len(p.grantor.Uninformed([]string{"a"}, p.now)) == 0; got != tc.mayConfirm || p.incarnation < 0 {
				t.Errorf("may confirm = %v, want %v; incarnation %d (-1: the page did not inform the holder)", got, tc.mayConfirm, p.incarnation)
			}
			if got := p.grantor.Uninformed([]string{"a", "a"}, p.now); (len(got) == 0) != tc.mayConfirm {
				t.Errorf("Uninformed with a repeated ID = %v, want none: %v", got, tc.mayConfirm)
			}
		})
	}
}
