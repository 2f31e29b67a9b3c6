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

// The delays and timeouts of a worker.
const (
	minReportGap       = second / 2 // between two reports
	failoverDelay      = second     // before trying the next controller
	reportTimeout      = 4 * second
	faultyTaskDuration = 2 * second // run time of tasks on a faulty machine
	maxRedirectDelay   = second / 2 // before following a redirect to the leader
)

// machine is a rented machine with its worker.
type machine struct {
	env            *Environment
	name, zone     string
	machineType    *wire.MachineType
	spot           bool
	createdAt      int64
	up, gone       bool
	deleted        bool
	hanging        bool
	faulty         bool
	reportsBlocked bool    // its reports reach no controller
	reclaimAt      int64   // announced time of the spot reclaim, 0 if there is none
	speed          float64 // relative speed of its tasks
	clockRate      float64 // real seconds per second of the worker's clock

	session, seq, token uint64
	// lastAnsweredAt is the time at which the last report with a valid response was sent.
	lastAnsweredAt  int64
	controllerIndex int // index of the controller that it reports to
	sending         bool
	reportAgain     bool // a report has to be sent as soon as minReportGap allows
	lastSentAt      int64
	// tokenReportedAt is the time at which a higher token last triggered an early report.
	tokenReportedAt int64
	nextReportAt    int64   // time of the next report
	tasks           []*task // sorted by name and attempt
	cache           cache
	// deferred are the requests that arrived while the machine hung.
	deferred []func()
	// incarnation counts the starts of the worker. Responses to an earlier incarnation are
	// dropped.
	incarnation int
}

// duplicateReports is the share of reports that are delivered a second time, and the maximum
// delay of a duplicate as a multiple of the lease duration.
type duplicateReports struct{ share, maxDelayLeases float64 }

func newMachine(env *Environment, name string, machineType *wire.MachineType, zone string, spot bool) *machine {
	m := &machine{
		env: env, name: name, machineType: machineType, zone: zone, spot: spot, createdAt: env.now, session: 1,
		speed: 0.95 + env.rng.Float64()*0.1, clockRate: 1 + (env.rng.Float64()*2-1)*env.ClockDrift, controllerIndex: env.rng.IntN(env.Params.Size),
	}
	m.cache.machine = m
	return m
}

// workerTime returns the real duration, in microseconds, of a number of seconds on the worker's
// clock.
func (m *machine) workerTime(seconds float64) int64 { return int64(seconds * 1e6 * m.clockRate) }

// onBooted marks a machine as running when it has booted, and starts its worker.
func (m *machine) onBooted() {
	if m.gone {
		return
	}
	m.up, m.lastAnsweredAt = true, m.env.now
	m.env.cloud.setStatus(m, "running")
	m.env.record(history.Event{Kind: history.MachineUp, Machine: m.name, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot})
	m.env.emit(Machine{Name: m.name, Up: true, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot})
	m.startWorker()
}

// startWorker starts the worker, unless it runs in another process.
func (m *machine) startWorker() {
	if m.env.RemoteWorkers {
		return
	}
	m.watchLease()
	m.send()
}

// terminate stops the machine and all its tasks, and records its cost.
func (m *machine) terminate(reason string) {
	if m.gone {
		return
	}
	m.gone = true
	m.killAll(reason)
	m.env.cloud.used[capacityKey(m.machineType.Name, m.zone, m.spot)]--
	m.env.cloud.recordCost(m)
	if m.up {
		m.env.emit(Machine{Name: m.name, Reason: reason})
	}
}

func (m *machine) killAll(reason string) {
	for _, t := range slices.Clone(m.tasks) {
		t.drop(reason)
	}
}

// watchLease ends the session and all tasks when the lease has expired, that is, when the last
// report with a response was sent too long ago. The session and the tasks of a hanging machine end
// at that time too, but the machine reports this only when it resumes.
func (m *machine) watchLease() {
	expiresAt := m.lastAnsweredAt + m.workerTime(m.env.Params.Workers.LeaseS)
	if m.gone {
		return
	}
	if m.env.now > expiresAt {
		m.killAll("lease")
		m.session++
		m.lastAnsweredAt = m.env.now
		expiresAt = m.env.now + m.workerTime(m.env.Params.Workers.LeaseS)
		m.reportSoon()
	}
	m.env.timers.Add(expiresAt+1, m.watchLease)
}

// reportSoon schedules a report as soon as minReportGap allows.
func (m *machine) reportSoon() {
	if !m.reportAgain {
		m.reportAgain = true
		m.scheduleReport(max(m.env.now, m.lastSentAt+minReportGap))
	}
}

// scheduleReport schedules a report at a time, unless an earlier one is scheduled.
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
	report := &wire.Report{Machine: m.name, Addr: m.name, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot, Session: m.session, Seq: m.seq, Token: m.token, Tasks: make([]wire.Task, len(m.tasks))}
	if m.reclaimAt != 0 {
		notice := float64(max(m.reclaimAt-m.env.now, 0)) / 1e6
		report.NoticeS = &notice
	}
	for i, t := range inAnyOrder(m.env, m.tasks) {
		report.Tasks[i] = t.report()
	}
	return report
}

// reportCall is a report that has been sent to a controller and awaits the response.
type reportCall struct {
	machine     *machine
	to          string // controller name
	report      *wire.Report
	sentAt      int64
	session     uint64
	incarnation int
	over        bool // answered, failed or timed out
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
	tryNext := func() { call.finish(next, failoverDelay) }
	env.after(m.workerTime(float64(reportTimeout)/1e6), tryNext)
	env.holdReportCopy(call.report)
	if m.reportsBlocked {
		env.recordOccurrence(history.OccurMuteReport)
		env.after(env.network.delay(m.name, call.to), tryNext)
		return
	}
	env.network.send(m.name, call.to, func() {
		env.ask(m.name, call.to, call.report, func(answer AskAnswer) { call.onAnswer(answer, tryNext) })
	}, tryNext)
	call.duplicate()
}

// onAnswer handles the controller's response; tryNext sends a report to the next controller.
func (c *reportCall) onAnswer(answer AskAnswer, tryNext func()) {
	m, env := c.machine, c.machine.env
	if m.hanging {
		return // the response is dropped, as if the timeout had passed while the machine hung
	}
	heartbeat, _ := answer.Body.(wire.HeartbeatAnswer)
	env.onLeaderToken(heartbeat.Token)
	switch {
	case c.over || m.gone || m.incarnation != c.incarnation:
	case answer.Status == http.StatusOK:
		c.finish(m.controllerIndex, 0)
		if heartbeat.Token < m.token || heartbeat.Token == 0 || m.session != c.session {
			return
		}
		m.updateToken(heartbeat.Token)
		m.lastAnsweredAt = c.sentAt
		m.executeOrders(heartbeat.Orders)
		c.repeatAnswer(heartbeat)
	case answer.Status == http.StatusMisdirectedRequest && heartbeat.Leader != c.to && env.controller(heartbeat.Leader) != nil:
		c.finish(slices.Index(env.controllers, env.controller(heartbeat.Leader)), 1+env.rng.Int64N(maxRedirectDelay))
	default:
		tryNext()
	}
}

// finish ends the call; later reports go to the given controller. The next report is sent after
// wait or, if wait is 0, when it is due.
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
		case wait > 0: // retry at another controller
			m.send()
		case m.reportAgain:
			m.nextReportAt = 0
			m.scheduleReport(max(m.env.now, m.lastSentAt+minReportGap))
		default:
			m.scheduleReport(m.lastSentAt + m.workerTime(m.env.Params.Workers.ReportS*(0.75+m.env.rng.Float64()/2)))
		}
	})
}

// duplicate sends the report a second time with the probability duplicates.share, after half a
// second or more. The logarithm of the delay is uniformly distributed.
func (c *reportCall) duplicate() {
	m, env := c.machine, c.machine.env
	if env.duplicates.share <= 0 || env.rng.Float64() >= env.duplicates.share {
		return
	}
	maxDelay := env.duplicates.maxDelayLeases * env.Params.Workers.LeaseS
	env.after(int64(0.5e6*math.Pow(max(2*maxDelay, 1), env.rng.Float64())), func() {
		env.network.send(m.name, c.to, func() { env.ask(m.name, c.to, c.report, func(AskAnswer) {}) }, func() {})
	})
}

// restart stops the worker with all its tasks, and starts it again after downtime. With reset,
// the worker loses its session, sequence number and token.
func (m *machine) restart(downtime int64, reset bool) {
	if m.env.RemoteWorkers {
		kind := FaultWorkerRestart
		if reset {
			kind = FaultWorkerReset
		}
		m.env.emit(WorkerFault{Name: m.name, Kind: kind, Duration: downtime})
		return
	}
	m.killAll("restarted")
	m.up, m.sending, m.reportAgain, m.nextReportAt = false, false, false, 0
	m.incarnation++
	incarnation := m.incarnation
	m.env.after(max(downtime, 1), func() {
		if m.gone || m.incarnation != incarnation {
			return
		}
		m.up, m.lastAnsweredAt = true, m.env.now
		if reset {
			m.session, m.seq, m.token, m.tokenReportedAt = 1, 0, 0, 0
		}
		m.send()
	})
}

// updateToken records a fencing token if it is higher than the current one. In this case it also
// sends an early report, at most once in half a lease.
func (m *machine) updateToken(token uint64) {
	if token > m.token {
		m.token = token
		if m.env.now-m.tokenReportedAt > m.workerTime(m.env.Params.Workers.LeaseS/2) || m.tokenReportedAt == 0 {
			m.tokenReportedAt = m.env.now
			m.reportSoon()
		}
	}
}

// handleDirect handles a request to the worker's own address. It returns false if the worker
// is not running.
func (m *machine) handleDirect(req any, answer func(int, any)) bool {
	if m.gone || !m.up {
		return false
	}
	if m.hanging {
		m.deferred = append(m.deferred, func() { m.handleDirect(req, answer) })
		return true
	}
	switch request := req.(type) {
	case wire.Inspect:
		answer(200, m.report())
	case wire.WorkerOrders:
		switch {
		case request.Token == nil || request.Session == nil:
			answer(400, wire.Error{Error: "baton or shift is missing"})
		case *request.Token < m.token || *request.Session != m.session:
			answer(409, m.report())
		default:
			m.updateToken(*request.Token)
			m.executeOrders(request.Orders)
			answer(200, m.report())
		}
	}
	return true
}

// hang suspends a machine: its tasks make no progress and requests to it are deferred.
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

// resume resumes a machine that hangs, and handles the deferred requests.
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
	deferred := m.deferred
	m.deferred = nil
	for _, handle := range deferred {
		handle()
	}
	m.send()
}

func (m *machine) executeOrders(orders []wire.Order) {
	for _, order := range orders {
		i, found := m.find(order.Task, order.Attempt)
		switch {
		case order.Op == "run" && !found:
			m.run(order)
		case order.Op == "kill" && found:
			m.tasks[i].kill(int64(order.GraceS * 1e6))
		case order.Op == "forget" && found && m.tasks[i].state == wire.Ended:
			m.tasks = slices.Delete(m.tasks, i, i+1)
		}
	}
}

// find returns the index of an attempt in tasks, or the index at which to insert it, and
// whether it was found.
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

// run starts a task, or reports it as ended if the machine refuses it. The placement
// constraints of the job are not checked here but by the rules of package history.
func (m *machine) run(order wire.Order) {
	id, number, _ := strings.Cut(order.Task, "/")
	user := m.env.jobs[id]
	index, err := strconv.Atoi(number)
	refusal := ""
	switch {
	case user == nil || err != nil || index < 0 || index >= user.spec.Tasks || !user.submitted:
		refusal = "no_such"
	case slices.ContainsFunc(m.tasks, func(t *task) bool { return t.name == order.Task && t.state != wire.Ended }):
		refusal = "in_use"
	case !m.fits(&user.spec):
		refusal = "no_room"
	}
	if refusal != "" {
		m.add(&task{machine: m, name: order.Task, attempt: order.Attempt, state: wire.Ended, reason: refusal})
		return
	}
	t := &task{machine: m, name: order.Task, job: user, index: index, attempt: order.Attempt, state: wire.Fetching}
	t.record(history.TaskPlaced, "")
	m.add(t)
	m.cache.request(user.spec.Image, user.spec.ImageGB, t)
}

// fits reports whether there is room for one more task of a job.
func (m *machine) fits(spec *wire.Job) bool {
	cpus, gpus, mem := spec.CPUs, spec.GPUs, spec.MemGB
	for _, t := range m.tasks {
		if t.state != wire.Ended {
			cpus += t.job.spec.CPUs
			gpus += t.job.spec.GPUs
			mem += t.job.spec.MemGB
		}
	}
	const tolerance = 1e-6
	return cpus <= m.machineType.CPUs+tolerance && gpus <= m.machineType.GPUs+tolerance && mem <= m.machineType.MemGB+tolerance
}

// cache is the image cache of a machine. Concurrent fetches share the machine's fetch rate
// equally.
type cache struct {
	machine  *machine
	images   []*image // least recently used first
	fetching []*image
	// advancedAt is the time at which the progress of the fetches was last computed.
	// planVersion is the version of the scheduled fetch completion, see afterUnlessReplanned.
	advancedAt  int64
	planVersion int
}

type image struct {
	name       string
	sizeGB     float64
	remainingS float64 // remaining fetch time in seconds at the full rate
	waiting    []*task
}

// request provides an image to a task, from the cache or by a fetch. Tasks with the same image
// share a fetch.
func (c *cache) request(name string, gb float64, t *task) {
	if i := slices.IndexFunc(c.images, func(x *image) bool { return x.name == name }); i >= 0 {
		x := c.images[i]
		c.images = append(slices.Delete(c.images, i, i+1), x)
		c.machine.env.after(1000, t.ready)
		return
	}
	c.advance()
	i := slices.IndexFunc(c.fetching, func(x *image) bool { return x.name == name })
	if i < 0 {
		remaining := gb / c.machine.machineType.FetchRate * (0.75 + c.machine.env.rng.Float64()*0.58)
		c.fetching = append(c.fetching, &image{name: name, sizeGB: gb, remainingS: remaining})
		i = len(c.fetching) - 1
	}
	c.fetching[i].waiting = append(c.fetching[i].waiting, t)
	c.scheduleNext()
}

// advance updates the progress of the fetches to the current time.
func (c *cache) advance() {
	if n := float64(len(c.fetching)); n > 0 && !c.machine.hanging {
		for _, x := range c.fetching {
			x.remainingS -= float64(c.machine.env.now-c.advancedAt) / 1e6 / n
		}
	}
	c.advancedAt = c.machine.env.now
}

// scheduleNext schedules the completion of the fetch that completes first.
func (c *cache) scheduleNext() {
	if len(c.fetching) == 0 || c.machine.hanging {
		c.planVersion++
		return
	}
	next := slices.MinFunc(c.fetching, func(a, b *image) int {
		if a.remainingS < b.remainingS {
			return -1
		}
		return 1
	})
	c.machine.env.afterUnlessReplanned(&c.planVersion, max(int64(next.remainingS*float64(len(c.fetching))*1e6), 0)+1000, func() {
		if c.machine.gone {
			return
		}
		c.advance()
		var done []*image
		c.fetching = slices.DeleteFunc(c.fetching, func(x *image) bool {
			if x.remainingS <= 1e-6 {
				done = append(done, x)
			}
			return x.remainingS <= 1e-6
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

// add adds an image to the cache and evicts the least recently used images until their total
// size is at most the cache size. The new image is never evicted.
func (c *cache) add(fetched *image) {
	c.images = append(c.images, fetched)
	size := 0.0
	for _, cached := range c.images {
		size += cached.sizeGB
	}
	for size > c.machine.machineType.CacheGB && len(c.images) > 1 {
		size -= c.images[0].sizeGB
		c.images = c.images[1:]
	}
}

// cancelFetch removes a task from the fetch that it waits for, and cancels the fetch if no other
// task waits for it.
func (c *cache) cancelFetch(t *task) {
	c.advance()
	c.fetching = slices.DeleteFunc(c.fetching, func(x *image) bool {
		x.waiting = slices.DeleteFunc(x.waiting, func(other *task) bool { return other == t })
		return len(x.waiting) == 0
	})
	c.scheduleNext()
}
