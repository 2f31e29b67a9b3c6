package world

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// The pace of a worker.
const (
	changeGap   = second / 2
	nextNode    = second
	answerMost  = 4 * second
	failAfter   = 2 * second // a faulty machine's tasks fail after as long
	redirectMax = second / 2
)

// machine is a rented machine with its worker.
type machine struct {
	w          *World
	name, zone string
	typ        *wire.MachineType
	spot       bool
	made       int64
	up, gone   bool
	deleted    bool
	hanging    bool
	faulty     bool
	mute       bool  // it reaches no controller
	recall     int64 // when the cloud takes it, 0 for never
	speed      float64
	drift      float64 // of its clock

	session, seq, token uint64
	// answered is when the last answered report was sent.
	answered int64
	at       int // the controller that it reports to
	sending  bool
	dirty    bool
	sent     int64
	// tokenTold is when a higher token was last counted as a change.
	tokenTold int64
	due       int64   // when the next report is due
	tasks     []*task // by name and attempt
	cache     cache
	// late is what came while it hung.
	late []func()
	// life counts its worker's starts: answers to an earlier one go nowhere.
	life int
}

// copies says which share of the reports arrives once more, and how late that
// may be, in leases.
type copies struct{ share, leases float64 }

func newMachine(w *World, name string, t *wire.MachineType, zone string, spot bool) *machine {
	m := &machine{w: w, name: name, typ: t, zone: zone, spot: spot, made: w.now, session: 1,
		speed: 0.95 + w.rng.Float64()*0.1, drift: 1 + (w.rng.Float64()*2-1)*w.Drift, at: w.rng.IntN(w.Params.Size)}
	m.cache.m = m
	return m
}

// own is how long a duration of the worker's clock takes.
func (m *machine) own(seconds float64) int64 { return int64(seconds * 1e6 * m.drift) }

func (m *machine) begin() {
	if m.gone {
		return
	}
	m.up, m.answered = true, m.w.now
	m.w.cloud.change(m, "running")
	m.w.record(history.Event{Kind: history.Up, Machine: m.name, Type: m.typ.Name, Zone: m.zone, Spot: m.spot})
	m.w.emit(Machine{Name: m.name, Up: true, Type: m.typ.Name, Zone: m.zone, Spot: m.spot})
	m.work()
}

// work starts the worker, unless that runs in another process.
func (m *machine) work() {
	if m.w.RemoteWorkers {
		return
	}
	m.watchLease()
	m.send()
}

// end: the machine and everything on it are gone.
func (m *machine) end(why string) {
	if m.gone {
		return
	}
	m.gone = true
	m.killAll(why)
	m.w.cloud.used[slot(m.typ.Name, m.zone, m.spot)]--
	m.w.cloud.paid(m)
	if m.up {
		m.w.emit(Machine{Name: m.name, Why: why})
	}
}

func (m *machine) killAll(why string) {
	for _, t := range slices.Clone(m.tasks) {
		t.vanish(why)
	}
}

// watchLease ends the session when the last answered report was sent too long
// ago. A hanging machine's tasks end then too: it finds out when it goes on.
func (m *machine) watchLease() {
	until := m.answered + m.own(m.w.Params.Workers.LeaseS)
	if m.gone {
		return
	}
	if m.w.now > until {
		m.killAll("lease")
		m.session++
		m.answered = m.w.now
		until = m.w.now + m.own(m.w.Params.Workers.LeaseS)
		m.changed()
	}
	m.w.timers.Add(until+1, m.watchLease)
}

// changed makes a report go out soon.
func (m *machine) changed() {
	if !m.dirty {
		m.dirty = true
		m.plan(max(m.w.now, m.sent+changeGap))
	}
}

// plan lets a report go out at a time, if none goes out before.
func (m *machine) plan(at int64) {
	if m.due != 0 && m.due <= at {
		return
	}
	m.due = at
	m.w.timers.Add(at, func() {
		if m.due == at && !m.sending && !m.hanging {
			m.send()
		}
	})
}

func (m *machine) report() *wire.Report {
	m.seq++
	r := &wire.Report{Machine: m.name, Addr: m.name, Type: m.typ.Name, Zone: m.zone, Spot: m.spot, Session: m.session, Seq: m.seq, Token: m.token, Tasks: make([]wire.Task, len(m.tasks))}
	if m.recall != 0 {
		s := float64(max(m.recall-m.w.now, 0)) / 1e6
		r.NoticeS = &s
	}
	for i, t := range m.tasks {
		r.Tasks[i] = t.report()
	}
	return r
}

func (m *machine) send() {
	if m.gone || !m.up || m.sending {
		return
	}
	w := m.w
	m.sending, m.dirty, m.sent, m.due = true, false, w.now, 0
	sent, session, life, to := w.now, m.session, m.life, w.nodes[m.at].name
	r := m.report()
	over := false
	finish := func(next int, wait int64) {
		if over || m.life != life {
			return
		}
		over = true
		m.at = next
		w.after(wait, func() {
			if m.life != life {
				return
			}
			m.sending = false
			if m.gone || m.hanging {
				return
			}
			switch {
			case wait > 0: // it goes to another node
				m.send()
			case m.dirty:
				m.due = 0
				m.plan(max(w.now, m.sent+changeGap))
			default:
				m.plan(m.sent + m.own(w.Params.Workers.ReportS*(0.75+w.rng.Float64()/2)))
			}
		})
	}
	next := (m.at + 1) % len(w.nodes)
	give := func() { finish(next, nextNode) }
	w.after(m.own(float64(answerMost)/1e6), give)
	w.keepCopy(r)
	if m.mute {
		w.met(history.MetMute)
		w.after(w.net.delay(m.name, to), give)
		return
	}
	w.net.send(m.name, to, func() {
		w.ask(m.name, to, r, func(t Told) {
			if m.hanging {
				return // it drops the answer once it goes on: it has waited too long
			}
			a, _ := t.Body.(wire.BeatAnswer)
			w.led(a.Token)
			switch {
			case over || m.gone || m.life != life:
			case t.Status == 200:
				finish(m.at, 0)
				if a.Token < m.token || a.Token == 0 || m.session != session {
					return
				}
				m.see(a.Token)
				m.answered = sent
				m.obey(a.Orders)
			case t.Status == 421 && a.Leader != to && w.node(a.Leader) != nil:
				finish(slices.Index(w.nodes, w.node(a.Leader)), 1+w.rng.Int64N(redirectMax))
			default:
				give()
			}
		})
	}, give)
	if w.copies.share > 0 && w.rng.Float64() < w.copies.share {
		// From half a second on, each factor of lateness as likely as another.
		most := w.copies.leases * w.Params.Workers.LeaseS
		w.after(int64(0.5e6*math.Pow(max(2*most, 1), w.rng.Float64())), func() {
			w.net.send(m.name, to, func() { w.ask(m.name, to, r, func(Told) {}) }, func() {})
		})
	}
}

// restart ends the worker with all its tasks, and begins it again after a time.
func (m *machine) restart(away int64, anew bool) {
	if m.w.RemoteWorkers {
		kind := "machine_back"
		if anew {
			kind = "machine_anew"
		}
		m.w.emit(WorkerFault{Name: m.name, Kind: kind, For: away})
		return
	}
	m.killAll("restarted")
	m.up, m.sending, m.dirty, m.due = false, false, false, 0
	m.life++
	life := m.life
	m.w.after(max(away, 1), func() {
		if m.gone || m.life != life {
			return
		}
		m.up, m.answered = true, m.w.now
		if anew {
			m.session, m.seq, m.token, m.tokenTold = 1, 0, 0, 0
		}
		m.send()
	})
}

// see notes a token; a higher one is a change, though not too often.
func (m *machine) see(token uint64) {
	if token > m.token {
		m.token = token
		if m.w.now-m.tokenTold > m.own(m.w.Params.Workers.LeaseS/2) || m.tokenTold == 0 {
			m.tokenTold = m.w.now
			m.changed()
		}
	}
}

// direct takes a request to the worker's own address; false if nobody listens.
func (m *machine) direct(req any, answer func(int, any)) bool {
	if m.gone || !m.up {
		return false
	}
	if m.hanging {
		m.late = append(m.late, func() { m.direct(req, answer) })
		return true
	}
	switch q := req.(type) {
	case wire.Inspect:
		answer(200, m.report())
	case wire.Do:
		switch {
		case q.Token == nil || q.Session == nil:
			answer(400, wire.Error{Error: "baton or shift is missing"})
		case *q.Token < m.token || *q.Session != m.session:
			answer(409, m.report())
		default:
			m.see(*q.Token)
			m.obey(q.Orders)
			answer(200, m.report())
		}
	}
	return true
}

// hang stops a machine, go on lets it continue.
func (m *machine) hang() {
	if m.w.RemoteWorkers {
		m.w.emit(WorkerFault{Name: m.name, Kind: "machine_hang"})
		return
	}
	m.hanging = true
	for _, t := range m.tasks {
		t.pause()
	}
}

func (m *machine) goOn() {
	if m.w.RemoteWorkers {
		m.w.emit(WorkerFault{Name: m.name, Kind: workerGoesOn})
		return
	}
	m.hanging = false
	if m.gone {
		return
	}
	for _, t := range slices.Clone(m.tasks) {
		t.resume()
	}
	m.cache.at = m.w.now
	m.cache.next()
	late := m.late
	m.late = nil
	for _, f := range late {
		f()
	}
	m.send()
}

func (m *machine) obey(orders []wire.Order) {
	for _, o := range orders {
		i, there := m.find(o.Task, o.Attempt)
		switch {
		case o.Op == "run" && !there:
			m.run(o)
		case o.Op == "kill" && there:
			m.tasks[i].kill(int64(o.GraceS * 1e6))
		case o.Op == "forget" && there && m.tasks[i].state == wire.Ended:
			m.tasks = slices.Delete(m.tasks, i, i+1)
		}
	}
}

// find is where an attempt is, or would be, among the tasks.
func (m *machine) find(name string, attempt uint64) (int, bool) {
	return slices.BinarySearchFunc(m.tasks, attempt, func(t *task, a uint64) int {
		return cmp.Or(strings.Compare(t.name, name), cmp.Compare(t.attempt, a))
	})
}

func (m *machine) add(t *task) {
	i, _ := m.find(t.name, t.attempt)
	m.tasks = slices.Insert(m.tasks, i, t)
	m.changed()
}

// run starts a task, or refuses to. Whether it may be here is for the rules.
func (m *machine) run(o wire.Order) {
	id, number, _ := strings.Cut(o.Task, "/")
	u := m.w.jobs[id]
	i, err := strconv.Atoi(number)
	why := ""
	switch {
	case u == nil || err != nil || i < 0 || i >= u.spec.Tasks || !u.submitted:
		why = "no_such"
	case slices.ContainsFunc(m.tasks, func(t *task) bool { return t.name == o.Task && t.state != wire.Ended }):
		why = "in_use"
	case !m.fits(&u.spec):
		why = "no_room"
	}
	if why != "" {
		m.add(&task{m: m, name: o.Task, attempt: o.Attempt, state: wire.Ended, why: why})
		return
	}
	t := &task{m: m, name: o.Task, job: u, index: i, attempt: o.Attempt, state: wire.Fetching}
	t.record(history.Given, "")
	m.add(t)
	m.cache.want(u.spec.Image, u.spec.ImageGB, t)
}

// fits says whether there is room for one more task.
func (m *machine) fits(s *wire.Job) bool {
	cpus, gpus, mem := s.CPUs, s.GPUs, s.MemGB
	for _, t := range m.tasks {
		if t.state != wire.Ended {
			cpus += t.job.spec.CPUs
			gpus += t.job.spec.GPUs
			mem += t.job.spec.MemGB
		}
	}
	const dust = 1e-6
	return cpus <= m.typ.CPUs+dust && gpus <= m.typ.GPUs+dust && mem <= m.typ.MemGB+dust
}

// cache has the images of a machine, the most recently used ones last. Fetches
// share the machine's rate.
type cache struct {
	m     *machine
	list  []*image
	fetch []*image
	// at is when the fetches were last moved on; plan numbers the next event.
	at   int64
	plan int
}

type image struct {
	name    string
	gb      float64
	left    float64
	waiting []*task
}

// want gets a task its image.
func (c *cache) want(name string, gb float64, t *task) {
	if i := slices.IndexFunc(c.list, func(x *image) bool { return x.name == name }); i >= 0 {
		x := c.list[i]
		c.list = append(slices.Delete(c.list, i, i+1), x)
		c.m.w.after(1000, t.ready)
		return
	}
	c.move()
	i := slices.IndexFunc(c.fetch, func(x *image) bool { return x.name == name })
	if i < 0 {
		left := gb / c.m.typ.FetchRate * (0.75 + c.m.w.rng.Float64()*0.58)
		c.fetch = append(c.fetch, &image{name: name, gb: gb, left: left})
		i = len(c.fetch) - 1
	}
	c.fetch[i].waiting = append(c.fetch[i].waiting, t)
	c.next()
}

// move brings the fetches to the present.
func (c *cache) move() {
	if n := float64(len(c.fetch)); n > 0 && !c.m.hanging {
		for _, x := range c.fetch {
			x.left -= float64(c.m.w.now-c.at) / 1e6 / n
		}
	}
	c.at = c.m.w.now
}

// next plans the end of the fetch that ends first.
func (c *cache) next() {
	if len(c.fetch) == 0 || c.m.hanging {
		c.plan++
		return
	}
	least := slices.MinFunc(c.fetch, func(a, b *image) int {
		if a.left < b.left {
			return -1
		}
		return 1
	})
	c.m.w.replan(&c.plan, max(int64(least.left*float64(len(c.fetch))*1e6), 0)+1000, func() {
		if c.m.gone {
			return
		}
		c.move()
		var done []*image
		c.fetch = slices.DeleteFunc(c.fetch, func(x *image) bool {
			if x.left <= 1e-6 {
				done = append(done, x)
			}
			return x.left <= 1e-6
		})
		for _, x := range done {
			c.keep(x)
			for _, t := range x.waiting {
				t.ready()
			}
			x.waiting = nil
		}
		c.next()
	})
}

// keep puts an image into the cache, and the ones used least recently out.
func (c *cache) keep(x *image) {
	c.list = append(c.list, x)
	size := 0.0
	for _, o := range c.list {
		size += o.gb
	}
	for size > c.m.typ.CacheGB && len(c.list) > 1 {
		size -= c.list[0].gb
		c.list = c.list[1:]
	}
}

// giveUp takes a task from the fetch that it waits for.
func (c *cache) giveUp(t *task) {
	c.move()
	c.fetch = slices.DeleteFunc(c.fetch, func(x *image) bool {
		x.waiting = slices.DeleteFunc(x.waiting, func(o *task) bool { return o == t })
		return len(x.waiting) == 0
	})
	c.next()
}
