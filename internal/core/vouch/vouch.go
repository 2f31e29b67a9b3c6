// Package vouch is what a leader's right to answer workers rests on while the
// state service does not answer it.
//
// A user who was told that a job is cancelled may count on its tasks to be gone
// within cancel_s. A leader that answers a report keeps what is on the machine
// alive for a lease more, so it may do so only while it knows every cancellation
// that anybody was told of, but for the newest. The state service says so when it
// is read. When it can't be, each other controller has to vouch for what it has
// told: it hands over what it knows to be cancelled, in pages, and its word counts
// for the time at which it was asked, and only when the asker has all of it.
//
// A controller that begins anew has forgotten what it has told. So nobody tells a
// user of a cancellation while a leader lives on its word and does not know of it:
// the leader is told first. What an earlier start of the controller told is then
// known to whoever had its word until just now.
package vouch

import "slices"

// pageMost is how many cancellations a page holds, logMost how many are kept.
const (
	pageMost = 500
	logMost  = 20_000
)

// Question is what a leader asks another controller: to vouch for what it has told.
// Boot is the start of that controller that the leader has heard out up to Upto,
// Applied the revision up to which the leader knows what is stored.
type Question struct {
	Boot    string
	Upto    uint64
	Applied uint64
}

// Page is a part of what a controller knows to be cancelled, of numbers above
// After up to Upto.
type Page struct {
	Boot        string
	After, Upto uint64
	Cancelled   []string
	// More: there are others. Whole: with this page the asker has all that this
	// start of the controller and the earlier ones have told; without it, all
	// that this start has told.
	More, Whole bool
}

// Ack is what a controller answers to one that tells it of cancellations. Holds
// says that it lives on the word of some start of the teller.
type Ack struct {
	Holds   bool
	Boot    string
	Upto    uint64
	Applied uint64
}

// entry is a cancellation that is known; Rev is the revision that it was stored
// with, 0 if it is not known.
type entry struct {
	id  string
	rev uint64
}

// log is what a controller knows to be cancelled, in the order it learned of it.
type log struct {
	entries []entry
	first   uint64 // the number of the oldest one
	number  map[string]uint64
	// dropped is the newest revision of those that are no longer here, unsure
	// that one of them has none.
	dropped uint64
	unsure  bool
}

func (l *log) last() uint64 { return l.first + uint64(len(l.entries)) - 1 }

func (l *log) note(id string, rev uint64) {
	if n, ok := l.number[id]; ok {
		if e := &l.entries[n-l.first]; e.rev == 0 {
			e.rev = rev
		}
		return
	}
	l.entries = append(l.entries, entry{id, rev})
	l.number[id] = l.last()
	if len(l.entries) <= logMost {
		return
	}
	old := l.entries[0]
	l.entries[0] = entry{} // frees the text
	l.entries = l.entries[1:]
	l.first++
	delete(l.number, old.id)
	l.dropped = max(l.dropped, old.rev)
	l.unsure = l.unsure || old.rev == 0
}

// listener is what a witness knows of a controller that may live on its word.
type listener struct {
	asked   int64 // when it was last given its word, 0 for never
	cleared bool  // it has said that it lives on no word of an earlier start
	upto    uint64
	applied uint64
}

// Witness is the side of a controller that vouches for what it tells users.
type Witness struct {
	boot  string
	begun int64
	// lasts is for how long a leader may live on a word.
	lasts     int64
	log       log
	listeners map[string]*listener
}

// NewWitness makes one. hold is how long a leader goes by a proof; its clock may
// differ from this one's.
func NewWitness(boot string, peers []string, hold, now int64) *Witness {
	w := &Witness{boot: boot, begun: now, lasts: hold + hold/500 + 500_000, listeners: map[string]*listener{}, log: log{first: 1, number: map[string]uint64{}}}
	for _, p := range peers {
		w.listeners[p] = &listener{}
	}
	return w
}

// Note notes that something is known to be cancelled, stored with a revision, or 0
// if that is not known. What users are told has to be noted before.
func (w *Witness) Note(id string, rev uint64) { w.log.note(id, rev) }

// Asked answers a question; synced says that this start has read all that was
// stored when it began. Whoever is answered lives on the word from now on.
func (w *Witness) Asked(from string, q Question, synced bool, now int64) Page {
	if l := w.listeners[from]; l != nil {
		l.asked = now
		w.heard(l, q.Boot, q.Upto, q.Applied)
	}
	return w.page(q.Boot, q.Upto, q.Applied, synced)
}

func (w *Witness) heard(l *listener, boot string, upto, applied uint64) {
	if boot == w.boot {
		l.upto = max(l.upto, upto)
	}
	l.applied = max(l.applied, applied)
}

// page is what comes after a number and is not known with a revision.
func (w *Witness) page(boot string, upto, applied uint64, synced bool) Page {
	if boot != w.boot {
		upto = 0
	}
	p := Page{Boot: w.boot, After: upto, Upto: upto, Whole: synced}
	if upto+1 < w.log.first {
		p.Upto = w.log.first - 1
		if w.log.unsure || w.log.dropped > applied {
			p.Whole, p.Boot = false, "" // it can't be told all
			return p
		}
	}
	for p.Upto < w.log.last() {
		e := w.log.entries[p.Upto+1-w.log.first]
		if e.rev == 0 || e.rev > applied {
			if len(p.Cancelled) == pageMost {
				p.More = true
				break
			}
			p.Cancelled = append(p.Cancelled, e.id)
		}
		p.Upto++
	}
	return p
}

// Answered takes what a controller said of itself when it was asked or told of
// cancellations at a time. ack is nil from one that knows no such right.
func (w *Witness) Answered(from string, sent int64, ack *Ack) {
	l := w.listeners[from]
	if l == nil {
		return
	}
	if ack == nil || !ack.Holds {
		l.cleared = true
		if l.asked < sent {
			l.asked = 0 // what it was given since may have got there later
		}
		return
	}
	w.heard(l, ack.Boot, ack.Upto, ack.Applied)
}

// lacking are the controllers that have to be told first.
func (w *Witness) lacking(id string, now int64) (names []string) {
	n, ok := w.log.number[id]
	rev := w.log.dropped
	if ok {
		rev = w.log.entries[n-w.log.first].rev
	}
	for name, l := range w.listeners {
		lives := l.asked != 0 && now-l.asked < w.lasts || !l.cleared && now-w.begun < w.lasts
		knows := ok && l.upto >= n || (ok || !w.log.unsure) && rev != 0 && l.applied >= rev
		if lives && !knows {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Lacking names the controllers that have to be told of any of some cancellations.
func (w *Witness) Lacking(ids []string, now int64) (names []string) {
	for _, id := range ids {
		names = append(names, w.lacking(id, now)...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Recent are the newest cancellations, for a leader of an older program.
func (w *Witness) Recent() (ids []string) {
	for _, e := range w.log.entries[max(0, len(w.log.entries)-pageMost):] {
		ids = append(ids, e.id)
	}
	return ids
}

// Tell is the next page for a controller that has to be told first.
func (w *Witness) Tell(to string) Page {
	l := w.listeners[to]
	if l == nil {
		return Page{}
	}
	return w.page(w.boot, l.upto, l.applied, false)
}

// source is what a leader has of one controller's word.
type source struct {
	boot string // the start that it has heard out
	upto uint64
	at   int64 // when the newest question was sent whose answer counts
	// asked is when a question was last sent, of which the answer may be on its way.
	asked int64
	// now is the start that is running, as far as it is known.
	now string
}

// Vouched are a leader's side: what it has of each other controller's word.
type Vouched struct {
	hold    int64
	sources map[string]*source
}

// NewVouched makes the words that a leader lives on; it has none yet.
func NewVouched(peers []string, hold int64) *Vouched {
	w := &Vouched{hold: hold, sources: map[string]*source{}}
	for _, p := range peers {
		w.sources[p] = &source{}
	}
	return w
}

// answersLast is how late an answer may come and count. Until then a leader that
// has asked may come to live on the word, and says so.
const answersLast = 2_000_000

// Question is what to ask a controller now.
func (w *Vouched) Question(peer string, applied uint64, now int64) Question {
	s := w.sources[peer]
	if s == nil {
		return Question{}
	}
	s.asked = now
	return Question{Boot: s.boot, Upto: s.upto, Applied: applied}
}

// Told takes a page, and says whether it is one that goes on from what is known.
func (w *Vouched) Told(peer string, p Page) bool {
	s := w.sources[peer]
	if s == nil || p.Boot == "" || s.now != "" && p.Boot != s.now {
		return false // of an older program, or of an earlier start
	}
	if p.Boot != s.boot {
		if p.After != 0 {
			return false
		}
		s.boot, s.upto = p.Boot, 0
	}
	if p.After > s.upto {
		return false // a page is missing
	}
	s.upto = max(s.upto, p.Upto)
	return true
}

// Answered takes the answer, received now, to a question sent at a time. What the
// page has is to be taken note of whether or not it counts.
func (w *Vouched) Answered(peer string, sent, now int64, p Page) {
	if !w.Told(peer, p) || p.More || now-sent >= answersLast {
		return
	}
	s := w.sources[peer]
	// One that has just begun vouches for itself alone. What its earlier start
	// told is known if that one's word has not run out: it told nobody without
	// telling this leader first, for as long as the word could last.
	if p.Whole || s.at != 0 && now-s.at < w.hold {
		s.at = max(s.at, sent)
	}
}

// Runs notes which start of a controller is running. What comes of another was
// on its way for long, and counts no more.
func (w *Vouched) Runs(peer, boot string) {
	if s := w.sources[peer]; s != nil && boot != "" {
		s.now = boot
	}
}

// Ack is what to answer a controller that has told of cancellations.
func (w *Vouched) Ack(peer string, applied uint64, now int64) Ack {
	s := w.sources[peer]
	if s == nil {
		return Ack{}
	}
	if s.at == 0 || now-s.at >= w.hold {
		s.at = 0 // its word has run out, and it has to be heard out again
		if s.asked == 0 || now-s.asked >= answersLast {
			return Ack{}
		}
	}
	return Ack{Holds: true, Boot: s.boot, Upto: s.upto, Applied: applied}
}

// Silent names the controllers that have not vouched for a while, and for how long
// at most, or -1 for one that never has.
func (w *Vouched) Silent(now, longer int64) map[string]int64 {
	out := map[string]int64{}
	for name, s := range w.sources {
		switch {
		case s.at == 0:
			out[name] = -1
		case now-s.at > longer:
			out[name] = now - s.at
		}
	}
	return out
}

// Since is the time up to which every controller has vouched for what it told, 0
// if one has not.
func (w *Vouched) Since() int64 {
	oldest := int64(-1)
	for _, s := range w.sources {
		if oldest < 0 || s.at < oldest {
			oldest = s.at
		}
	}
	return max(oldest, 0)
}
