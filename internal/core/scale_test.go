package core

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
)

// workerFleet simulates a leader with a fleet of workers and a stream of jobs, in one loop with
// fake time, so that the cost of running it is that of the core at this size.
type workerFleet struct {
	core            *Core
	now             int64
	revision        uint64
	rng             *rand.Rand
	settings        Settings
	workers         []*worker
	awaitingReply   map[uint64]*worker
	lastRequestID   uint64
	jobs            int
	pendingMessages []any // delivered in the next tick
	// stored is the stored state by key, which the next leader lists.
	stored map[string]Change
	// started is the number of tasks that began to run, done the number of tasks that
	// completed, and writes the number of writes to the state service.
	started, done, writes int
	// endless makes tasks run without end.
	endless bool
}

// worker is the simulated worker of one machine.
type worker struct {
	name, zone          string
	dead                bool
	hasPreemptionNotice bool
	seq                 uint64
	token               uint64
	heartbeatDueAt      int64
	awaitsReply         bool
	changed             bool
	tasks               map[string]*workerTask
	taskOrder           []*workerTask
}

type workerTask struct {
	name             string
	attempt          uint32
	state            TaskState
	reason           ExitReason
	runTime, readyAt int64
}

func newWorkerFleet(machines int) *workerFleet {
	w := &workerFleet{now: second, revision: 10, rng: rand.New(rand.NewPCG(3, 4)), awaitingReply: map[uint64]*worker{}, stored: map[string]Change{}}
	w.settings = Settings{Name: "n0", Incarnation: "b", Ops: config.Defaults()}
	w.settings.Size, w.settings.Zones = 1, []string{"a", "b", "c"}
	w.settings.Teams = []config.Team{{Name: "red", GPUs: 4000, GPUsMax: 15000}, {Name: "blue", GPUs: 2500, GPUsMax: 6000}}
	w.settings.Workers.ReportS, w.settings.Workers.LeaseS, w.settings.Workers.CancelS = 8, 44, 69
	w.settings.State.RPS, w.settings.State.WriteRPS, w.settings.State.ValueKB, w.settings.State.TxnOps = 250, 100, 8, 48
	w.settings.Cloud.RPS = 1.5
	w.settings.Limits.CoreShare = 1
	w.core = New(w.settings, w.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	types := []fleet.Type{{Name: "c", Cap: jobstate.Resources{CPU: 48000, GPU: 8000, Mem: 288000}, FetchRate: 600, CacheMB: 150_000, Zones: w.settings.Zones}}
	w.store(tokenKey, encodeJSON(tokenRecord{5}))
	w.store(typesKey, encodeJSON(types))
	w.step(StateListed{Revision: 10, Changes: []Change{w.stored[tokenKey], w.stored[typesKey]}})
	for i := range machines {
		w.workers = append(w.workers, &worker{name: fmt.Sprintf("host-%06d", i), zone: w.settings.Zones[i%3], heartbeatDueAt: w.now + w.rng.Int64N(8*second), tasks: map[string]*workerTask{}})
	}
	for w.core.elector.leadership == nil {
		w.tick()
	}
	return w
}

func (w *workerFleet) step(msg any) {
	for _, effect := range w.core.Step(w.now, msg) {
		switch e := effect.(type) {
		case Reply:
			if worker := w.awaitingReply[e.RequestID]; worker != nil {
				delete(w.awaitingReply, e.RequestID)
				worker.awaitsReply = false
				if e.Status == 200 {
					w.execute(worker, e)
				}
			}
		case GrantLease:
			w.pendingMessages = append(w.pendingMessages, LeaseGranted{Lease: 9, SentAt: w.now})
		case RenewLease:
			w.pendingMessages = append(w.pendingMessages, LeaseRenewed{Lease: e.Lease, SentAt: w.now})
		case ReadState:
			w.pendingMessages = append(w.pendingMessages, StateRead{AfterRevision: e.AfterRevision, Revision: e.AfterRevision, SentAt: w.now, Immediate: true, ForRequests: e.ForRequests})
		case CommitTransaction:
			w.revision++
			var changes []Change
			for _, write := range e.Writes {
				w.writes++
				w.store(write.Key, write.Value)
				if !strings.HasPrefix(write.Key, runPrefix) && !strings.HasPrefix(write.Key, logPrefix) {
					changes = append(changes, Change{Key: write.Key, Value: write.Value, Revision: w.revision})
				}
			}
			w.pendingMessages = append(w.pendingMessages, TransactionResult{ID: e.ID, Outcome: kv.Committed, Revision: w.revision}, StateRead{AfterRevision: w.revision - 1, Revision: w.revision, SentAt: w.now, Changes: changes})
		case ScaleOut:
			w.pendingMessages = append(w.pendingMessages, ScaledOut{Request: e, Status: 503})
		case ListMachines:
			w.pendingMessages = append(w.pendingMessages, MachinesListed{Err: fmt.Errorf("cloud did not list the machines"), FencingToken: e.FencingToken})
		}
	}
}

// store sets or deletes a key, as the state service does.
func (w *workerFleet) store(key string, value []byte) {
	if value == nil {
		delete(w.stored, key)
		return
	}
	w.stored[key] = Change{Key: key, Value: value, Revision: w.revision}
}

// failOver stops the leader and starts another controller in its place.
func (w *workerFleet) failOver() {
	delete(w.stored, LeaderKey)
	w.revision++
	changes := slices.SortedFunc(maps.Values(w.stored), func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	w.pendingMessages, w.awaitingReply = nil, map[uint64]*worker{}
	w.settings.Incarnation += "b"
	w.core = New(w.settings, w.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	for _, worker := range w.workers {
		worker.awaitsReply, worker.heartbeatDueAt = false, w.now+w.rng.Int64N(8*second)
	}
	w.step(StateListed{Revision: w.revision, Changes: changes})
	for w.core.elector.leadership == nil {
		w.tick()
	}
}

// execute executes the commands in a reply.
func (w *workerFleet) execute(worker *worker, reply Reply) {
	if reply.FencingToken > worker.token {
		worker.token, worker.changed = reply.FencingToken, true
	}
	for _, command := range reply.Commands {
		task := worker.tasks[command.Task]
		switch command.Kind {
		case CommandStart:
			if task != nil {
				continue
			}
			worker.tasks[command.Task] = &workerTask{name: command.Task, attempt: command.Attempt, state: TaskFetching, readyAt: w.now + 3*second, runTime: 10*second + w.rng.Int64N(60*second)}
			worker.taskOrder = append(worker.taskOrder, worker.tasks[command.Task])
			worker.changed = true
		case CommandStop:
			if task != nil && task.state != TaskExited {
				task.state, task.reason, worker.changed = TaskExited, ExitStopped, true
			}
		case CommandForget:
			delete(worker.tasks, command.Task)
			worker.taskOrder = slices.DeleteFunc(worker.taskOrder, func(task *workerTask) bool { return task.name == command.Task })
		}
	}
}

// tick simulates 50 ms.
func (w *workerFleet) tick() {
	w.now += 50_000
	messages := w.pendingMessages
	w.pendingMessages = nil
	for _, message := range messages {
		w.step(message)
	}
	w.step(Tick{TimeOfDay: w.now + 1_000_000*second})
	for _, worker := range w.workers {
		if worker.dead {
			continue
		}
		for _, task := range worker.taskOrder {
			if task.state == TaskFetching && w.now >= task.readyAt {
				task.state, worker.changed = TaskRunning, true
				w.started++
			}
			if task.state == TaskRunning && w.now >= task.readyAt+task.runTime && !w.endless {
				task.state, task.reason, worker.changed = TaskExited, ExitDone, true
				w.done++
			}
		}
		if worker.changed {
			worker.heartbeatDueAt = min(worker.heartbeatDueAt, w.now)
		}
		if worker.awaitsReply || w.now < worker.heartbeatDueAt {
			continue
		}
		worker.heartbeatDueAt, worker.awaitsReply, worker.changed = w.now+6*second+w.rng.Int64N(4*second), true, false
		worker.seq++
		w.lastRequestID++
		heartbeat := Heartbeat{Machine: worker.name, Addr: "a", Type: "c", Zone: worker.zone, Epoch: 1, Seq: worker.seq, FencingToken: worker.token, PreemptionNotice: NoPreemptionNotice}
		if worker.hasPreemptionNotice {
			heartbeat.PreemptionNotice = 20 * second
		}
		for _, task := range worker.taskOrder {
			heartbeat.Tasks = append(heartbeat.Tasks, TaskStatus{Name: task.name, Attempt: uint64(task.attempt), State: task.state, Reason: task.reason})
		}
		w.awaitingReply[w.lastRequestID] = worker
		w.step(HeartbeatReceived{RequestID: w.lastRequestID, Heartbeat: heartbeat})
	}
}

// submit adds a random job: a gang of one of two priorities, or an array.
func (w *workerFleet) submit() {
	w.jobs++
	spec := &jobstate.Spec{ID: fmt.Sprintf("job-%06d", w.jobs), Class: "c", Team: "red", Image: fmt.Sprint("im-", w.rng.IntN(12)), ImageMB: 5000, Spot: true, Estimate: 20*second + w.rng.Int64N(100*second)}
	switch w.rng.IntN(3) {
	case 0:
		spec.Kind, spec.Tasks, spec.Need, spec.OneZone, spec.Priority, spec.Checkpoint = jobstate.Gang, 1<<w.rng.IntN(5), jobstate.Resources{CPU: 43000, GPU: 8000, Mem: 230000}, true, 1, 20*second
	case 1:
		spec.Kind, spec.Tasks, spec.Need, spec.OneZone, spec.Priority, spec.Team = jobstate.Gang, 1<<w.rng.IntN(3), jobstate.Resources{CPU: 43000, GPU: 8000, Mem: 230000}, true, 2, "blue"
	default:
		spec.Kind, spec.Tasks, spec.Need = jobstate.Array, 30+w.rng.IntN(200), jobstate.Resources{CPU: 5000, GPU: 1000, Mem: 27000}
	}
	w.add(spec)
}

// add stores a job as accepted and has the leader read it in the next tick.
func (w *workerFleet) add(spec *jobstate.Spec) {
	w.revision++
	w.store(jobPrefix+spec.ID, encodeJSON(jobstate.Record{Spec: spec}))
	w.pendingMessages = append(w.pendingMessages, StateRead{AfterRevision: w.revision - 1, Revision: w.revision, Changes: []Change{w.stored[jobPrefix+spec.ID]}})
}

// run simulates a number of seconds, with rate jobs submitted per second.
func (w *workerFleet) run(seconds int, rate float64) {
	jobsDue := 0.0
	for range seconds * 20 {
		for jobsDue += rate / 20; jobsDue >= 1; jobsDue-- {
			w.submit()
		}
		w.tick()
	}
}

// running returns the number of tasks on machines that are alive, and fails the test if a task is
// on two of them.
func (w *workerFleet) running(tb testing.TB) int {
	tb.Helper()
	machineOf := map[string]string{}
	for _, worker := range w.workers {
		for name, task := range worker.tasks {
			if worker.dead || task.state == TaskExited {
				continue
			}
			if other := machineOf[name]; other != "" {
				tb.Fatalf("task %s: got machines %s and %s, want one", name, other, worker.name)
			}
			machineOf[name] = worker.name
		}
	}
	return len(machineOf)
}

// TestLargeFleet runs 100,000 tasks on 10,000 machines, stops the leader, and then a third of the
// machines at once. It checks that running tasks continue, and that lost ones start elsewhere once
// the leases of their machines have expired, each on one machine only.
func TestLargeFleet(t *testing.T) {
	machines, jobs, tasksPerJob := 10_000, 50, 2000
	if raceEnabled || testing.Short() {
		machines, jobs = 1000, 5 // the same code is ten times as slow with the race detector
	}
	w := newWorkerFleet(machines)
	w.endless = true
	w.run(10, 0)
	for k := range jobs {
		w.add(&jobstate.Spec{ID: fmt.Sprintf("big-%02d", k), Class: "c", Team: "red", Kind: jobstate.Array, Tasks: tasksPerJob, Spot: true, Need: jobstate.Resources{CPU: 4000, Mem: 20000}, Estimate: 600 * second, Priority: k % 2})
	}
	w.run(60, 0)
	if running := w.running(t); running != jobs*tasksPerJob {
		t.Fatalf("got %d running tasks, want %d", running, jobs*tasksPerJob)
	}
	w.failOver()
	w.run(20, 0)
	haveToken := 0
	for _, m := range w.core.elector.leadership.fleet.All() {
		if m.HasCurrentToken {
			haveToken++
		}
	}
	if running := w.running(t); running != jobs*tasksPerJob || haveToken != machines {
		t.Fatalf("after the failover: got %d running tasks, %d machines with the current token, want %d and %d", running, haveToken, jobs*tasksPerJob, machines)
	}
	for i, worker := range w.workers {
		worker.dead = i%3 == 0
	}
	w.run(120, 0)
	if running, capacity := w.running(t), machines*2/3*12; running < min(jobs*tasksPerJob, capacity)*99/100 {
		t.Fatalf("after the loss of a third of the machines: got %d running tasks, want at least 99 %% of %d", running, min(jobs*tasksPerJob, capacity))
	}
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	t.Logf("heap including the simulated workers: %d MiB, held replies: %d", mem.HeapAlloc>>20, len(w.core.elector.leadership.heartbeats.held.byName))
	if mem.HeapAlloc > 200<<20 {
		t.Errorf("got a heap of %d MiB, want at most 200", mem.HeapAlloc>>20)
	}
	runtime.KeepAlive(w)
}

// TestHeldReplyShare checks that a leader with fewer sockets than idle machines answers all of
// them, and holds replies on at most half of the sockets, however many heartbeats arrive.
func TestHeldReplyShare(t *testing.T) {
	machines, sockets := 4000, 1500
	if raceEnabled || testing.Short() {
		machines, sockets = 800, 300
	}
	w := newWorkerFleet(machines)
	w.core.settings.Limits.Sockets = sockets
	held := &w.core.elector.leadership.heartbeats.held
	maxHeld := 0
	for range 30 * 20 {
		w.tick()
		maxHeld = max(maxHeld, len(held.byName))
		if len(held.byName) != held.countVia[""] {
			t.Fatalf("got a count of %d held replies, want %d", held.countVia[""], len(held.byName))
		}
	}
	if maxHeld != sockets/2 {
		t.Errorf("got a maximum of %d replies held at once, want %d", maxHeld, sockets/2)
	}
	w.add(&jobstate.Spec{ID: "wide", Class: "c", Team: "red", Kind: jobstate.Array, Tasks: machines, Need: jobstate.Resources{CPU: 40000}, Estimate: 600 * second})
	w.endless = true
	w.run(40, 0)
	if running := w.running(t); running != machines {
		t.Errorf("got %d running tasks, want %d, one on each machine", running, machines)
	}
}

// TestPlannerIndex checks that after random machine events the planner's index has the same
// contents as an index built from all machines would have.
func TestPlannerIndex(t *testing.T) {
	for seed := range uint64(4) {
		w := newWorkerFleet(40)
		w.rng = rand.New(rand.NewPCG(seed, 5))
		for range 1500 {
			switch worker := w.workers[w.rng.IntN(len(w.workers))]; w.rng.IntN(60) {
			case 0:
				worker.dead = !worker.dead
			case 1:
				if m := w.core.elector.leadership.fleet.Get(worker.name); m != nil {
					w.core.scaler.queueScaleIn(worker.name)
				}
			case 2:
				w.step(ScaledIn{Names: []string{worker.name}, OK: true, FencingToken: w.core.elector.leadership.fencingToken})
			case 3:
				if m := w.core.elector.leadership.fleet.Get(worker.name); m != nil && m.HasCurrentToken {
					worker.hasPreemptionNotice = true
				}
			case 4:
				if m := w.core.elector.leadership.fleet.Get(worker.name); m != nil {
					w.core.planner.machineGone(m, "removed by the test")
				}
			case 5:
				w.core.cache.machineTypes[0].Cap.CPU = 40000 + w.rng.Int64N(9)*1000
				w.step(MachineTypesListed{Types: w.core.cache.machineTypes, FencingToken: w.core.elector.leadership.fencingToken})
			case 6:
				w.core.cache.partitions.Boundaries = fleet.PartitionBoundaries([]uint32{w.rng.Uint32(), w.rng.Uint32(), w.rng.Uint32()}, queueCount)
			case 7, 8, 9:
				w.submit()
			}
			w.tick()
			w.core.planner.refreshIndex()
			term, usable := w.core.elector.leadership, 0
			for _, m := range term.fleet.All() {
				entry := term.plannerIndex.indexed[m]
				if !w.core.planner.usable(m) {
					if entry != nil {
						t.Fatalf("machine %s: got an index entry for an unusable machine, want none", m.Name)
					}
					continue
				}
				usable++
				got := []any{entry.Type, entry.Zone, entry.Spot, entry.Partition, entry.Cap, entry.Free, entry.NextContact, entry.FetchRate, len(entry.Images)}
				if want := []any{m.Type, m.Zone, m.Spot, w.core.cache.partitions.PartitionOfHash(m.Hash), m.Cap, m.Free(), w.core.planner.nextHeartbeatAt(m), m.FetchRate, len(m.Images)}; !slices.Equal(got, want) || term.plannerIndex.index.Find(m.Name) != &entry.Machine {
					t.Fatalf("machine %s: got index entry %v, want %v", m.Name, got, want)
				}
			}
			if usable != term.plannerIndex.index.Len() || usable != term.plannerIndex.byLastHeartbeat.Len() || usable != len(term.plannerIndex.indexed) {
				t.Fatalf("got %d machines in the index, %d by last heartbeat, %d indexed, want %d usable ones in each", term.plannerIndex.index.Len(), term.plannerIndex.byLastHeartbeat.Len(), len(term.plannerIndex.indexed), usable)
			}
			for name, reply := range term.heartbeats.held.byName {
				_, marked := term.heartbeats.held.maybeReady[name]
				if m := term.fleet.Get(name); m != nil && hasCommands(m) && !marked && reply.until > w.now {
					t.Fatalf("machine %s: got a held reply while commands are pending, want it marked as maybe ready", name)
				}
			}
		}
	}
}

// BenchmarkLeader measures one second of a leader with more jobs than the machines can run.
func BenchmarkLeader(b *testing.B) {
	for _, n := range []int{50, 400, 1600, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newWorkerFleet(n)
			w.run(90, float64(n)/350)
			w.started, w.writes = 0, 0
			b.ResetTimer()
			for b.Loop() {
				w.run(1, float64(n)/350)
			}
			b.ReportMetric(float64(w.started)/float64(b.N), "starts/op")
			b.ReportMetric(float64(w.writes)/float64(b.N), "writes/op")
			b.ReportMetric(float64(len(w.core.elector.leadership.planning.waitingJobs)), "waiting")
		})
	}
}

// BenchmarkFleet measures one second of a leader at a constant rate of jobs for fleets of different
// sizes, which shows the cost of machines that do not take part in the work.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{400, 1600, 4000, 6400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			const rate = 400.0 / 350
			w := newWorkerFleet(n)
			w.run(90, rate)
			w.started, w.writes = 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				w.run(1, rate)
			}
			b.ReportMetric(float64(w.started)/float64(b.N), "starts/op")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(w.started), "us/start")
			b.ReportMetric(float64(len(w.core.elector.leadership.planning.waitingJobs)), "waiting")
		})
	}
}

// BenchmarkTakeOver measures the start of a term of leadership: reading the stored state, taking
// over the placements, and handling the first heartbeat of every machine.
func BenchmarkTakeOver(b *testing.B) {
	for _, n := range []int{50, 400, 1600, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var changes []Change
			add := func(key string, value []byte) {
				changes = append(changes, Change{Key: key, Value: value, Revision: uint64(len(changes) + 1)})
			}
			add(tokenKey, encodeJSON(tokenRecord{5}))
			w := newWorkerFleet(n)
			add(typesKey, encodeJSON(w.core.cache.machineTypes))
			for k := range n / 25 {
				spec := &jobstate.Spec{ID: fmt.Sprint("job-", k), Team: "red", Kind: jobstate.Array, Tasks: 100, Need: jobstate.Resources{CPU: 5000, GPU: 1000, Mem: 27000}, Estimate: 30 * second}
				j := jobstate.NewJob(spec)
				for i := range spec.Tasks {
					j.PlaceTask(i, w.workers[(k*25+i/4)%n].name, 1, 1)
				}
				chunk, _ := j.BeginChunkWrite(0, 0)
				add(jobPrefix+spec.ID, encodeJSON(jobstate.Record{Spec: spec}))
				add(chunkKey(spec.ID, jobstate.ChunkRef{ChunkSize: jobstate.DefaultChunkSize}), chunk)
			}
			for b.Loop() {
				next := &workerFleet{now: second, revision: uint64(len(changes) + 1), rng: w.rng, awaitingReply: map[uint64]*worker{}, workers: w.workers, stored: map[string]Change{}}
				for _, worker := range next.workers {
					worker.awaitsReply, worker.heartbeatDueAt, worker.token = false, second, 0
				}
				next.core = New(w.settings, next.now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
				next.step(StateListed{Revision: next.revision, Changes: changes})
				for next.core.elector.leadership == nil {
					next.tick()
				}
				next.run(2, 0)
			}
		})
	}
}
