package readlease

import (
	"fmt"
	"slices"
	"testing"
)

const (
	second = 1_000_000
	hold   = 10 * second
)

// meeting is a leader and another controller, which begins anew now and then.
type meeting struct {
	now  int64
	boot int
	w    *Grantor
	l    *Holder
	// synced: the witness has read what is stored.
	synced  bool
	applied uint64
	knows   map[string]bool
}

func newMeeting() *meeting {
	m := &meeting{now: second, synced: true, knows: map[string]bool{}, l: NewHolder([]string{"x"}, hold)}
	m.begin()
	return m
}

func (m *meeting) begin() {
	m.boot++
	m.w = NewGrantor(fmt.Sprint("x", m.boot), []string{"l"}, hold, m.now)
}

func (m *meeting) ask() (int64, CancellationPage) {
	return m.now, m.w.Grant("l", m.l.NextRequest("x", m.applied, m.now), m.synced, m.now)
}

func (m *meeting) take(sent int64, p CancellationPage) {
	for _, id := range p.Cancelled {
		m.knows[id] = true
	}
	m.l.HandleGrant("x", sent, m.now, p)
}

// round asks and takes pages until there are no more.
func (m *meeting) round() {
	for more := true; more; {
		sent, p := m.ask()
		m.now += 1000
		m.take(sent, p)
		more = p.More
	}
}

func (m *meeting) fill(n int) {
	for i := range n {
		m.w.RecordCancellation(fmt.Sprint("j", i), 0)
	}
}

// TestWords: what a controller's word is worth to a leader, and from when on.
func TestWords(t *testing.T) {
	cases := []struct {
		name string
		do   func(m *meeting)
		// since is the time that is vouched for, knows how many cancellations
		// the leader knows then.
		since int64
		knows int
	}{
		{"nobody was asked", func(*meeting) {}, 0, 0},
		{"by the question, not the answer", func(m *meeting) {
			sent, p := m.ask()
			m.now += second
			m.take(sent, p)
		}, second, 0},
		{"an answer that comes too late", func(m *meeting) {
			sent, p := m.ask()
			m.now += 2 * second
			m.take(sent, p)
		}, 0, 0},
		{"with all pages", func(m *meeting) { m.fill(1200); m.round() }, second + 2000, 1200},
		{"without the last page", func(m *meeting) {
			m.fill(1200)
			for range 2 {
				sent, p := m.ask()
				m.take(sent, p)
			}
		}, 0, 1000},
		{"a page is missing", func(m *meeting) {
			m.fill(1200)
			m.l.grants["x"].upTo = 700 // as if it had gone by another's pages
			m.l.grants["x"].incarnation = "x1"
			sent, p := m.ask()
			m.l.grants["x"].upTo = 500
			m.take(sent, p)
		}, 0, 500},
		{"one that has read nothing", func(m *meeting) { m.synced = false; m.round() }, 0, 0},
		{"one that has begun anew, at once", func(m *meeting) {
			m.round()
			m.now, m.synced = 8*second, false
			m.begin()
			m.round()
		}, 8 * second, 0},
		{"one that has begun anew, after its word ran out", func(m *meeting) {
			m.round()
			m.now, m.synced = 12*second, false
			m.begin()
			m.round()
		}, second, 0},
		{"that one when it has read", func(m *meeting) {
			m.round()
			m.now = 12 * second
			m.begin()
			m.fill(3)
			m.round()
		}, 12 * second, 3},
		{"what is stored and known is not told", func(m *meeting) {
			m.applied = 7
			m.w.RecordCancellation("a", 7)
			m.w.RecordCancellation("b", 8)
			m.w.RecordCancellation("c", 0)
			m.round()
		}, second, 2},
		{"more than is kept", func(m *meeting) { m.fill(maxLogEntries + 1); m.round() }, 0, 0},
		{"more than is kept, of which it knows the rest", func(m *meeting) {
			m.applied = 5
			m.w.RecordCancellation("old", 5)
			m.fill(maxLogEntries)
			m.round()
		}, second + (maxLogEntries/maxPageEntries-1)*1000, maxLogEntries},
		{"an older program", func(m *meeting) { m.take(m.now, CancellationPage{Complete: true}) }, 0, 0},
		{"the answer of an earlier start, late", func(m *meeting) {
			sent, p := m.ask()
			m.l.SetIncarnation("x", "x2")
			m.take(sent, p)
		}, 0, 0},
		{"after it was said not to hold", func(m *meeting) {
			m.round()
			m.now += 11 * second
			m.l.Ack("x", 0, m.now)
			m.synced = false
			m.round()
		}, 0, 0},
		{"after it was said to hold, as the answer was on its way", func(m *meeting) {
			sent, p := m.ask()
			if a := m.l.Ack("x", 0, m.now); !a.Holds {
				return
			}
			m.take(sent, p)
			m.now += 3 * second
			if a := m.l.Ack("x", 0, m.now); !a.Holds {
				m.l.grants["x"].grantedAt = 0
			}
		}, second, 0},
		{"asked long ago, without an answer", func(m *meeting) {
			m.ask()
			m.now += 2 * second
			if m.l.Ack("x", 0, m.now).Holds {
				m.l.grants["x"].grantedAt = -1
			}
		}, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := newMeeting()
			tc.do(m)
			if got := m.l.OldestGrant(); got != tc.since {
				t.Errorf("vouched for up to %d, want %d", got, tc.since)
			}
			if len(m.knows) != tc.knows {
				t.Errorf("knows %d, want %d", len(m.knows), tc.knows)
			}
		})
	}
}

// TestWitness: when users may be told of a cancellation, and whom to tell first.
func TestWitness(t *testing.T) {
	cases := []struct {
		name string
		do   func(m *meeting)
		may  bool
	}{
		{"just begun", func(*meeting) {}, false},
		{"just begun, and nobody lives on an earlier word", func(m *meeting) { m.w.HandleAck("l", m.now, &HolderAck{}) }, true},
		{"just begun beside an older program", func(m *meeting) { m.w.HandleAck("l", m.now, nil) }, true},
		{"begun long ago", func(m *meeting) { m.now += hold + second }, true},
		{"asked", func(m *meeting) { m.w.HandleAck("l", m.now, &HolderAck{}); m.ask() }, false},
		{"asked after who asks said that it holds nothing", func(m *meeting) {
			m.ask()
			m.w.HandleAck("l", m.now-1, &HolderAck{})
		}, false},
		{"asked, and the leader has the number", func(m *meeting) {
			m.ask()
			m.w.HandleAck("l", m.now, &HolderAck{Holds: true, Incarnation: "x1", UpTo: 1})
		}, true},
		{"asked, and the leader has the number of an earlier start", func(m *meeting) {
			m.ask()
			m.w.HandleAck("l", m.now, &HolderAck{Holds: true, Incarnation: "x0", UpTo: 1})
		}, false},
		{"asked, and the leader has read it", func(m *meeting) { m.ask(); m.w.HandleAck("l", m.now, &HolderAck{Holds: true, AppliedRevision: 9}) }, true},
		{"asked, and the leader has read less", func(m *meeting) { m.ask(); m.w.HandleAck("l", m.now, &HolderAck{Holds: true, AppliedRevision: 8}) }, false},
		{"asked long ago", func(m *meeting) { m.ask(); m.now += hold + second }, true},
		{"told", func(m *meeting) {
			m.round()
			m.w.RecordCancellation("next", 0)
			p := m.w.PageFor("l")
			if !m.l.ApplyPage("x", p) || !slices.Contains(p.Cancelled, "next") {
				m.boot = -1
			}
			a := m.l.Ack("x", 0, m.now)
			m.w.HandleAck("l", m.now, &a)
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := newMeeting()
			m.w.RecordCancellation("a", 9)
			tc.do(m)
			if got := len(m.w.Uninformed([]string{"a"}, m.now)) == 0; got != tc.may || m.boot < 0 {
				t.Errorf("may tell: %v, want %v", got, tc.may)
			}
			if got := m.w.Uninformed([]string{"a", "a"}, m.now); (len(got) == 0) != tc.may {
				t.Errorf("lacking: %v", got)
			}
		})
	}
}
