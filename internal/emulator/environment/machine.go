package environment

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// The pauses and timeouts of a worker.
const (
	minReportGap     = second / 2
	failoverDelay    = second
	reportTimeout    = 4 * second
	failAfter        = 2 * second // a faulty machine's tasks fail after as long
	maxRedirectDelay = second / 2
)

// machine is a rented machine with its worker.
type machine struct {
	env         *Environment
	name, zone  string
	machineType *wire.MachineType
	spot        bool
	createdAt   int64
	up, gone    bool
	deleted     bool
	hanging     bool
	faulty      bool
	mute        bool  // its reports reach no controller
	reclaimAt   int64 // when the cloud takes it, 0 for never
	speed       float64
	clockRate   float64 // of its clock

	session, seq, token uint64
	// lastAnsweredAt is when the last answered report was sent.
	lastAnsweredAt  int64
	controllerIndex int // the controller that it reports to
	sending         bool
	reportAgain     bool
	lastSentAt      int64
	// tokenReportedAt is when a higher token was last counted as a change.
	tokenReportedAt int64
	nextReportAt    int64   // when the next report is due
	tasks           []*task // by name and attempt
	cache           cache
	// deferred is what has come while it hangs.
	deferred []func()
	// incarnation counts its worker's starts: answers to an earlier one go nowhere.
	incarnation int
}

// duplicateReports says which share of the reports arrives once more, and how late that
// may be, in leases.
type duplicateReports struct{ share, leases float64 }

func newMachine(env *Environment, name string, t *wire.MachineType, zone string, spot bool) *machine {
	m := &machine{
		env: env, name: name, machineType: t, zone: zone, spot: spot, createdAt: env.now, session: 1,
		speed: 0.95 + env.rng.Float64()*0.1, clockRate: 1 + (env.rng.Float64()*2-1)*env.ClockDrift, controllerIndex: env.rng.IntN(env.Params.Size),
	}
	m.cache.machine = m
	return m
}

// workerTime is how long a duration of the worker's clock takes.
func (m *machine) workerTime(seconds float64) int64 { return int64(seconds * 1e6 * m.clockRate) }

func (m *machine) begin() {
	if m.gone {
		return
	}
	m.up, m.lastAnsweredAt = true, m.env.now
	m.env.cloud.setStatus(m, "running")
	m.env.record(history.Event{Kind: history.MachineUp, Machine: m.name, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot})
	m.env.emit(Machine{Name: m.name, Up: true, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot})
	m.work()
}

// work starts the worker, unless that runs in another process.
func (m *machine) work() {
	if m.env.RemoteWorkers {
		return
	}
	m.watchLease()
	m.send()
}

// end ends the machine and everything on it.
func (m *machine) end(why string) {
	if m.gone {
		return
	}
	m.gone = true
	m.killAll(why)
	m.env.cloud.used[capacityKey(m.machineType.Name, m.zone, m.spot)]--
	m.env.cloud.recordCost(m)
	if m.up {
		m.env.emit(Machine{Name: m.name, Reason: why})
	}
}

func (m *machine) killAll(why string) {
	for _, t := range slices.Clone(m.tasks) {
		t.drop(why)
	}
}

// watchLease ends the session when the last answered report was sent too long ago. The tasks
// of a machine that hangs end then too: it notices when it resumes.
func (m *machine) watchLease() {
	until := m.lastAnsweredAt + m.workerTime(m.env.Params.Workers.LeaseS)
	if m.gone {
		return
	}
	if m.env.now > until {
		m.killAll("lease")
		m.session++
		m.lastAnsweredAt = m.env.now
		until = m.env.now + m.workerTime(m.env.Params.Workers.LeaseS)
		m.reportSoon()
	}
	m.env.timers.Add(until+1, m.watchLease)
}

// reportSoon sends a report as soon as the gap between reports allows.
func (m *machine) reportSoon() {
	if !m.reportAgain {
		m.reportAgain = true
		m.scheduleReport(max(m.env.now, m.lastSentAt+minReportGap))
	}
}

// scheduleReport sends a report at a time, unless one is sent before.
func (m *machine) scheduleReport(at int64) {
	if m.nextReportAt != 0 && m.nextReportAt <= at {
		return
	}
	m.nextReportAt = at
	m.env.timers.Add(at, func() {
		if m.nextReportAt == at && !m.sending && !m.hanging {
			m.send()
		}
	})
}

func (m *machine) report() *wire.Report {
	m.seq++
	r := &wire.Report{Machine: m.name, Addr: m.name, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot, Session: m.session, Seq: m.seq, Token: m.token, Tasks: make([]wire.Task, len(m.tasks))}
	if m.reclaimAt != 0 {
		s := float64(max(m.reclaimAt-m.env.now, 0)) / 1e6
		r.NoticeS = &s
	}
	for i, t := range m.tasks {
		r.Tasks[i] = t.report()
	}
	return r
}

// reportCall is a report under way to a controller.
type reportCall struct {
	machine     *machine
	to          string // the controller
	report      *wire.Report
	sentAt      int64
	session     uint64
	incarnation int
	over        bool
}

// send sends a report to the machine's controller.
func (m *machine) send() {
	if m.gone || !m.up || m.sending {
		return
	}
	env := m.env
	m.sending, m.reportAgain, m.lastSentAt, m.nextReportAt = true, false, env.now, 0
	call := &reportCall{
		machine:     m,
		to:          env.controllers[m.controllerIndex].name,
		report:      m.report(),
		sentAt:      env.now,
		session:     m.session,
		incarnation: m.incarnation,
	}
	next := (m.controllerIndex + 1) % len(env.controllers)
	giveUp := func() { call.finish(next, failoverDelay) }
	env.after(m.workerTime(float64(reportTimeout)/1e6), giveUp)
	env.holdReportCopy(call.report)
	if m.mute {
		env.recordOccurrence(history.OccurMuteReport)
		env.after(env.network.delay(m.name, call.to), giveUp)
		return
	}
	env.network.send(m.name, call.to, func() {
		env.ask(m.name, call.to, call.report, func(answer AskAnswer) { call.onAnswer(answer, giveUp) })
	}, giveUp)
	call.duplicate()
}

// onAnswer takes the controller's answer; giveUp has the next controller asked.
func (c *reportCall) onAnswer(answer AskAnswer, giveUp func()) {
	m, env := c.machine, c.machine.env
	if m.hanging {
		return // it drops the answer once it resumes: it has waited too long
	}
	heartbeat, _ := answer.Body.(wire.HeartbeatAnswer)
	env.noteLeaderToken(heartbeat.Token)
	switch {
	case c.over || m.gone || m.incarnation != c.incarnation:
	case answer.Status == http.StatusOK:
		c.finish(m.controllerIndex, 0)
		if heartbeat.Token < m.token || heartbeat.Token == 0 || m.session != c.session {
			return
		}
		m.noteToken(heartbeat.Token)
		m.lastAnsweredAt = c.sentAt
		m.executeOrders(heartbeat.Orders)
	case answer.Status == http.StatusMisdirectedRequest && heartbeat.Leader != c.to && env.controller(heartbeat.Leader) != nil:
		c.finish(slices.Index(env.controllers, env.controller(heartbeat.Leader)), 1+env.rng.Int64N(maxRedirectDelay))
	default:
		giveUp()
	}
}

// finish ends the call, and has the next report go to a controller: after a wait at once,
// without one when it is due.
func (c *reportCall) finish(controllerIndex int, wait int64) {
	m := c.machine
	if c.over || m.incarnation != c.incarnation {
		return
	}
	c.over = true
	m.controllerIndex = controllerIndex
	m.env.after(wait, func() {
		if m.incarnation != c.incarnation {
			return
		}
		m.sending = false
		if m.gone || m.hanging {
			return
		}
		switch {
		case wait > 0: // it goes to another controller
			m.send()
		case m.reportAgain:
			m.nextReportAt = 0
			m.scheduleReport(max(m.env.now, m.lastSentAt+minReportGap))
		default:
			m.scheduleReport(m.lastSentAt + m.workerTime(m.env.Params.Workers.ReportS*(0.75+m.env.rng.Float64()/2)))
		}
	})
}

// duplicate sends some reports once more, from half a second on, with each factor of delay
// as likely as another.
func (c *reportCall) duplicate() {
	m, env := c.machine, c.machine.env
	if env.copies.share <= 0 || env.rng.Float64() >= env.copies.share {
		return
	}
	maxDelay := env.copies.leases * env.Params.Workers.LeaseS
	env.after(int64(0.5e6*math.Pow(max(2*maxDelay, 1), env.rng.Float64())), func() {
		env.network.send(m.name, c.to, func() { env.ask(m.name, c.to, c.report, func(AskAnswer) {}) }, func() {})
	})
}

// restart ends the worker with all its tasks, and begins it again after a time.
func (m *machine) restart(away int64, anew bool) {
	if m.env.RemoteWorkers {
		kind := FaultMachineBack
		if anew {
			kind = FaultMachineAnew
		}
		m.env.emit(WorkerFault{Name: m.name, Kind: kind, Duration: away})
		return
	}
	m.killAll("restarted")
	m.up, m.sending, m.reportAgain, m.nextReportAt = false, false, false, 0
	m.incarnation++
	life := m.incarnation
	m.env.after(max(away, 1), func() {
		if m.gone || m.incarnation != life {
			return
		}
		m.up, m.lastAnsweredAt = true, m.env.now
		if anew {
			m.session, m.seq, m.token, m.tokenReportedAt = 1, 0, 0, 0
		}
		m.send()
	})
}

// noteToken records a fencing token; a higher one is reported, though not too often.
func (m *machine) noteToken(token uint64) {
	if token > m.token {
		m.token = token
		if m.env.now-m.tokenReportedAt > m.workerTime(m.env.Params.Workers.LeaseS/2) || m.tokenReportedAt == 0 {
			m.tokenReportedAt = m.env.now
			m.reportSoon()
		}
	}
}

// handleDirect takes a request to the worker's own address; false if nobody listens.
func (m *machine) handleDirect(req any, answer func(int, any)) bool {
	if m.gone || !m.up {
		return false
	}
	if m.hanging {
		m.deferred = append(m.deferred, func() { m.handleDirect(req, answer) })
		return true
	}
	switch q := req.(type) {
	case wire.Inspect:
		answer(200, m.report())
	case wire.WorkerOrders:
		switch {
		case q.Token == nil || q.Session == nil:
			answer(400, wire.Error{Error: "baton or shift is missing"})
		case *q.Token < m.token || *q.Session != m.session:
			answer(409, m.report())
		default:
			m.noteToken(*q.Token)
			m.executeOrders(q.Orders)
			answer(200, m.report())
		}
	}
	return true
}

// hang suspends a machine, resume lets it go on.
func (m *machine) hang() {
	if m.env.RemoteWorkers {
		m.env.emit(WorkerFault{Name: m.name, Kind: FaultMachineHang})
		return
	}
	m.hanging = true
	for _, t := range m.tasks {
		t.pause()
	}
}

func (m *machine) resume() {
	if m.env.RemoteWorkers {
		m.env.emit(WorkerFault{Name: m.name, Kind: workerResumes})
		return
	}
	m.hanging = false
	if m.gone {
		return
	}
	for _, t := range slices.Clone(m.tasks) {
		t.resume()
	}
	m.cache.advancedAt = m.env.now
	m.cache.scheduleNext()
	late := m.deferred
	m.deferred = nil
	for _, f := range late {
		f()
	}
	m.send()
}

func (m *machine) executeOrders(orders []wire.Order) {
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
	m.reportSoon()
}

// run starts a task, or refuses to. Whether it may run here is for the rules to check.
func (m *machine) run(o wire.Order) {
	id, number, _ := strings.Cut(o.Task, "/")
	u := m.env.jobs[id]
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
		m.add(&task{machine: m, name: o.Task, attempt: o.Attempt, state: wire.Ended, reason: why})
		return
	}
	t := &task{machine: m, name: o.Task, job: u, index: i, attempt: o.Attempt, state: wire.Fetching}
	t.record(history.TaskPlaced, "")
	m.add(t)
	m.cache.request(u.spec.Image, u.spec.ImageGB, t)
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
	return cpus <= m.machineType.CPUs+dust && gpus <= m.machineType.GPUs+dust && mem <= m.machineType.MemGB+dust
}

// cache has the images of a machine, the most recently used ones last. Fetches
// share the machine's rate.
type cache struct {
	machine  *machine
	list     []*image
	fetching []*image
	// advancedAt is when the progress of the fetches was last computed; plan numbers the next event.
	advancedAt int64
	plan       int
}

type image struct {
	name    string
	sizeGB  float64
	leftGB  float64
	waiting []*task
}

// request gets a task its image.
func (c *cache) request(name string, gb float64, t *task) {
	if i := slices.IndexFunc(c.list, func(x *image) bool { return x.name == name }); i >= 0 {
		x := c.list[i]
		c.list = append(slices.Delete(c.list, i, i+1), x)
		c.machine.env.after(1000, t.ready)
		return
	}
	c.advance()
	i := slices.IndexFunc(c.fetching, func(x *image) bool { return x.name == name })
	if i < 0 {
		left := gb / c.machine.machineType.FetchRate * (0.75 + c.machine.env.rng.Float64()*0.58)
		c.fetching = append(c.fetching, &image{name: name, sizeGB: gb, leftGB: left})
		i = len(c.fetching) - 1
	}
	c.fetching[i].waiting = append(c.fetching[i].waiting, t)
	c.scheduleNext()
}

// advance brings the fetches to the present.
func (c *cache) advance() {
	if n := float64(len(c.fetching)); n > 0 && !c.machine.hanging {
		for _, x := range c.fetching {
			x.leftGB -= float64(c.machine.env.now-c.advancedAt) / 1e6 / n
		}
	}
	c.advancedAt = c.machine.env.now
}

// scheduleNext schedules the end of the fetch that ends first.
func (c *cache) scheduleNext() {
	if len(c.fetching) == 0 || c.machine.hanging {
		c.plan++
		return
	}
	least := slices.MinFunc(c.fetching, func(a, b *image) int {
		if a.leftGB < b.leftGB {
			return -1
		}
		return 1
	})
	c.machine.env.afterUnlessReplanned(&c.plan, max(int64(least.leftGB*float64(len(c.fetching))*1e6), 0)+1000, func() {
		if c.machine.gone {
			return
		}
		c.advance()
		var done []*image
		c.fetching = slices.DeleteFunc(c.fetching, func(x *image) bool {
			if x.leftGB <= 1e-6 {
				done = append(done, x)
			}
			return x.leftGB <= 1e-6
		})
		for _, x := range done {
			c.add(x)
			for _, t := range x.waiting {
				t.ready()
			}
			x.waiting = nil
		}
		c.scheduleNext()
	})
}

// add puts an image into the cache and evicts the least recently used ones.
func (c *cache) add(x *image) {
	c.list = append(c.list, x)
	size := 0.0
	for _, o := range c.list {
		size += o.sizeGB
	}
	for size > c.machine.machineType.CacheGB && len(c.list) > 1 {
		size -= c.list[0].sizeGB
		c.list = c.list[1:]
	}
}

// cancelFetch takes a task from the fetch that it waits for.
func (c *cache) cancelFetch(t *task) {
	c.advance()
	c.fetching = slices.DeleteFunc(c.fetching, func(x *image) bool {
		x.waiting = slices.DeleteFunc(x.waiting, func(o *task) bool { return o == t })
		return len(x.waiting) == 0
	})
	c.scheduleNext()
}
