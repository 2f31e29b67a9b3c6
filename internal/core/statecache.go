package core

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/ratelimit"
)

// maxEnds bounds the ends kept in memory; older ones are read when asked for.
const maxEnds = 20_000

type leaderRecord struct {
	Name        string `json:"n"`
	Incarnation string `json:"b"`
	Token       uint64 `json:"t"`
	Lease       uint64 `json:"l"`
}

type tokenRecord struct {
	Token uint64 `json:"t"`
}

// stateCache mirrors the keys of the state service.
type stateCache struct {
	*engine

	committer    *committer
	dependencies *dependencyResolver
	elector      *elector
	health       *stateHealth
	membership   *membership
	peers        *peerMonitor
	readLeases   *readLeaseManager
	reader       *stateReader
	requests     *requestHandler
	sweepManager *sweepManager
	tasks        *taskManager

	synced             bool
	listingState       bool
	appliedRevision    uint64
	jobs               map[string]*jobstate.Job
	orphanedChunks     map[string]map[jobstate.ChunkRef]Change
	ends               map[string]jobstate.End
	endOrder           []string
	machineTypes       []fleet.Type
	typesRevision      uint64
	typesWholeRevision uint64
	partitions         fleet.Partitions
	partitionsReadAt   int64
	keyRevisions       map[string]uint64
	leader             leaderRecord
	leaderRevision     uint64
	token              tokenRecord
	tokenRevision      uint64
	imageHints         map[string][]byte
	mirrorFreshAt      int64
	progressLog        []*logPage
	imageHistory       imageHistory
}

func newStateCache(run *engine) *stateCache {
	return &stateCache{
		engine: run, jobs: map[string]*jobstate.Job{}, orphanedChunks: map[string]map[jobstate.ChunkRef]Change{},
		ends: map[string]jobstate.End{}, imageHints: map[string][]byte{}, imageHistory: newImageHistory(), keyRevisions: map[string]uint64{},
	}
}

// listState starts over from the stored state, as at the start, after a watch
// that was too old, and after losing the leadership, since plans that were
// never stored must not be taken for placements.
func (s *stateCache) listState() {
	s.synced = false
	if !s.listingState && s.membership.incompatible == "" {
		s.listingState = true
		s.emit(listAll(s.membership.limits(), len(s.settings.Peers)+1))
	}
}

// suspend takes what is known for outdated, so that nothing is decided by it any more.
func (s *stateCache) suspend() { s.synced = false }

// assignPartitions takes over the partitions that this controller assigns as the leader.
func (s *stateCache) assignPartitions(partitions fleet.Partitions) { s.partitions = partitions }

// setMachineTypes takes over the machine types that the cloud offers, and says whether
// any are stored.
func (s *stateCache) setMachineTypes(types []fleet.Type) (isStored bool) {
	s.machineTypes = types
	return s.typesRevision != 0
}

// typesWritten notes the revision of the machine types that this controller has stored; 0
// stands for a write that failed.
func (s *stateCache) typesWritten(revision uint64) { s.typesRevision = revision }

// dropPartitions forgets the partitions that this controller has assigned as the leader.
func (s *stateCache) dropPartitions() { s.partitions = fleet.Partitions{} }

// startupRequests is how many requests a start takes beside the list.
const startupRequests = 5

// listAll reads everything, at the pace that all controllers can keep at once.
func listAll(l config.StateLimits, controllers int) ListState {
	each := l.RPS / float64(controllers)
	return ListState{AtOnce: max(1, int(each)-startupRequests), Gap: ratelimit.Interval(each / 2)}
}

func (s *stateCache) onStateListed(m StateListed) {
	s.listingState = false
	s.health.recordResult(&s.peers.connectivity.Reads, m.Err)
	if m.Err != nil {
		s.log.Debug("listing the state failed", "err", m.Err)
		s.listingState = true
		s.emit(listAll(s.membership.limits(), len(s.settings.Peers)+1)) // the store paces repeats
		return
	}
	s.jobs = map[string]*jobstate.Job{}
	s.orphanedChunks = map[string]map[jobstate.ChunkRef]Change{}
	s.leader, s.leaderRevision = leaderRecord{}, 0
	s.token, s.tokenRevision = tokenRecord{}, 0
	s.dependencies.reset()
	s.membership.restart()
	s.keyRevisions = map[string]uint64{}
	s.peers.restart()
	s.progressLog = nil
	s.sweepManager.reset()
	starting := s.appliedRevision == 0
	s.appliedRevision = m.Revision
	s.reader.recentChanges.Restart(m.Revision)
	for _, r := range m.Changes {
		s.apply(r)
	}
	if !s.membership.checkCompatible(starting) {
		return
	}
	s.synced = true
	s.log.Info("state read", "jobs", len(s.jobs), "revision", m.Revision)
	s.reader.watchState()
	s.membership.changeChunkSize()
	// The pages of the list were read one after the other. What changed
	// meanwhile comes with a view, and only after it may this controller lead.
	s.emit(ReadState{AfterRevision: s.appliedRevision})
}

func (s *stateCache) onStateRead(m StateRead) {
	if !m.Immediate {
		s.reader.watching = false
	}
	side := &s.peers.connectivity.Watch
	if m.Immediate {
		side = &s.peers.connectivity.Reads
	}
	if !m.ViaLeader {
		s.health.recordResult(side, m.Err)
	}
	switch {
	case m.Compacted && s.elector.isLeader():
		// A leader takes its own progress from no list, so it begins anew.
		s.elector.resign("the watch is too old")
	case m.Compacted:
		s.listState()
	}
	if m.Err == nil && !m.Compacted && s.synced && m.AfterRevision <= s.appliedRevision {
		from := s.appliedRevision
		for _, ch := range m.Changes {
			// Two watches may bring the same change.
			if ch.Revision > from {
				s.reader.recentChanges.Append(ch)
				s.apply(ch)
			}
		}
		s.appliedRevision = max(s.appliedRevision, m.Revision)
		s.mirrorFreshAt = max(s.mirrorFreshAt, m.SentAt)
		s.transactions.Observe(m.Changes, s.now)
		if !s.membership.checkCompatible(false) {
			return
		}
		s.sweepManager.endCancelledRuns()
		s.elector.mirrorRefreshed(m.SentAt)
		s.elector.checkLeadership(m.SentAt)
	}
	if !m.Immediate {
		s.reader.watchState()
	}
	if m.ForRequests {
		// Another view, as that of a candidate, may have been read before the
		// requests came that wait for this one.
		s.requests.onReadDone(m.Err == nil && !m.Compacted && s.synced && m.Revision <= s.appliedRevision)
	}
}

func (s *stateCache) apply(ch Change) {
	key, ok := strings.CutPrefix(ch.Key, Prefix)
	if !ok {
		return
	}
	if key == "bounds" || key == "types" || strings.HasPrefix(key, "types/") || strings.HasPrefix(key, "hints/") {
		s.keyRevisions[ch.Key] = ch.Revision
		if ch.Removed {
			delete(s.keyRevisions, ch.Key)
		}
	}
	bad := func(err error) {
		s.log.Error("stored value can't be read", "key", ch.Key, "err", err)
	}
	switch {
	case strings.HasPrefix(key, "job/"):
		s.applyJob(key[4:], ch, bad)
	case strings.HasPrefix(key, "run/"):
		s.applyRun(key[4:], ch, bad)
	case strings.HasPrefix(key, "end/"):
		var e jobstate.End
		if ch.Removed {
			return
		}
		if err := json.Unmarshal(ch.Value, &e); err != nil {
			bad(err)
			return
		}
		s.noteEnd(key[4:], e, ch.Revision)
		s.dependencies.endWasStored(key[4:])
	case key == "leader":
		s.leader, s.leaderRevision = leaderRecord{}, 0
		if !ch.Removed {
			if err := json.Unmarshal(ch.Value, &s.leader); err != nil {
				bad(err)
			}
			s.leaderRevision = ch.Revision
			if s.leader.Token > s.elector.newestLeader.Token {
				s.peers.connectivity.RecordHandover(s.now)
			}
			s.elector.noteNewestLeader(s.leader)
		}
	case key == "token" && !ch.Removed:
		if err := json.Unmarshal(ch.Value, &s.token); err != nil {
			bad(err)
		}
		s.tokenRevision = ch.Revision
	case (key == "types" || strings.HasPrefix(key, "types/")) && !ch.Removed:
		s.applyTypes(ch, bad)
	case key == "format" && !ch.Removed:
		s.membership.applyFormat(ch, bad)
	case strings.HasPrefix(key, "log/"):
		s.applyPage(key[len("log/"):], ch, bad)
	case strings.HasPrefix(key, "sweep"):
		s.sweepManager.apply(key, ch, bad)
	case key == "features" || strings.HasPrefix(key, "gone/") || strings.HasPrefix(key, "member/"):
		s.membership.applyActivation(ch, bad)
	case strings.HasPrefix(key, "reach/"):
		s.peers.applyConnectivity(key[len("reach/"):], ch, bad)
	case strings.HasPrefix(key, "hints/") && !ch.Removed:
		s.imageHints[ch.Key] = ch.Value
	case key == "bounds" && !ch.Removed && !s.elector.isLeader():
		var b fleet.Partitions
		if err := json.Unmarshal(ch.Value, &b); err != nil {
			bad(err)
			return
		}
		s.partitions, s.partitionsReadAt = b, s.now
	}
}

func (s *stateCache) applyJob(id string, ch Change, bad func(error)) {
	j := s.jobs[id]
	if ch.Removed {
		if j != nil && ch.Revision > j.Revision {
			delete(s.jobs, id)
			s.tasks.jobRemoved(j)
			s.orphanChunks(j)
		}
		return
	}
	if j != nil && ch.Revision <= j.Revision {
		return
	}
	var r jobstate.Record
	if err := json.Unmarshal(ch.Value, &r); err != nil || r.Spec == nil || r.Spec.Tasks < 1 || r.Spec.Tasks > jobstate.MaxTasks {
		bad(err)
		return
	}
	if j == nil {
		j = jobstate.NewJob(r.Spec)
		j.SplitChunks(s.membership.chunkTasks)
		j.Arrival, j.SubmittedWall, j.Truncated = r.Arrival, r.SubmittedWall, r.Truncated
		j.SubmittedAt = s.steadyTime(r.SubmittedWall)
		j.ReadyAt = j.SubmittedAt
		if j.Arrival == 0 {
			j.Arrival = ch.Revision
		}
		s.jobs[id] = j
		for v, run := range s.orphanedChunks[id] {
			if run.Value == nil {
				continue
			}
			if err := j.LoadChunk(v, run.Value, run.Revision, s.now); err != nil {
				bad(err)
			}
		}
		delete(s.orphanedChunks, id)
		s.reapply(j)
		if e, ended := s.ends[id]; ended && r.Outcome == "" {
			// Derived before the list was read anew, perhaps.
			j.Outcome, j.CancelledByDependency = e.Outcome, true
			s.tasks.jobEnded(j)
		} else if r.Outcome == "" {
			s.dependencies.addJob(j)
			s.sweepManager.noteRun(j)
		}
		s.tasks.jobArrived(j)
	}
	j.Revision = ch.Revision
	if r.Outcome != "" && j.Outcome == "" {
		j.Outcome = r.Outcome
		s.noteEnd(id, jobstate.End{Outcome: r.Outcome, Tasks: j.Tasks}, ch.Revision)
		s.tasks.jobEnded(j)
	}
	if r.Outcome != "" {
		j.CancelledByDependency = false
	}
}

func (s *stateCache) applyRun(rest string, ch Change, bad func(error)) {
	id, v, err := parseChunkKey(rest)
	if err != nil {
		bad(err)
		return
	}
	if s.elector.isLeader() {
		return // the leader is the one that writes these
	}
	j := s.jobs[id]
	if ch.Removed {
		s.committer.setOrphanedRevision(id, v, 0)
		if j != nil {
			j.SetChunkRevision(v, 0)
		}
		return
	}
	if j == nil {
		// A job's chunks may be read before the job itself.
		s.putOrphanedChunk(id, v, ch)
		return
	}
	if j.ChunkRevision(v) >= ch.Revision {
		return
	}
	if err := j.LoadChunk(v, ch.Value, ch.Revision, s.now); err != nil {
		bad(err)
	}
	s.reapply(j)
	for i := v.Index * v.ChunkSize; i < min((v.Index+1)*v.ChunkSize, j.Tasks); i++ {
		s.imageHistory.placed(j.Task(i).Machine, j)
	}
}

// orphanChunks remembers the values that a removed job leaves, for the leader to
// remove when it can spare a write.
func (s *stateCache) orphanChunks(j *jobstate.Job) {
	values, stamps := j.StoredChunks()
	for i, v := range values {
		s.putOrphanedChunk(j.ID, v, Change{Revision: stamps[i]})
	}
}

func (s *stateCache) putOrphanedChunk(id string, v jobstate.ChunkRef, ch Change) {
	if s.orphanedChunks[id] == nil {
		s.orphanedChunks[id] = map[jobstate.ChunkRef]Change{}
	}
	s.orphanedChunks[id][v] = ch
}

// noteEnd notes how a job has ended, stored with a revision, or 0 if that is not
// known. Whatever users are told of an end has passed here, so it is here that
// this controller begins to vouch for a cancellation.
func (s *stateCache) noteEnd(id string, e jobstate.End, rev uint64) {
	if e.Outcome == jobstate.Cancelled && !s.readLeases.cancelledWithSweep(id) {
		s.readLeases.recordCancellation(id, rev)
	}
	if _, ok := s.ends[id]; ok {
		return
	}
	s.ends[id] = e
	s.endOrder = append(s.endOrder, id)
	if len(s.endOrder) > maxEnds {
		delete(s.ends, s.endOrder[0])
		s.endOrder = s.endOrder[1:]
	}
	if j := s.jobs[id]; j != nil && j.Outcome == "" {
		j.Outcome = e.Outcome
		if e.Outcome == jobstate.Done {
			s.imageHistory.finished(j)
		}
		s.tasks.jobEnded(j)
	}
	s.dependencies.resolveDependents(id, e)
}

// applyTypes reads machine types, all or some: those that do not fit one value
// are stored in several.
func (s *stateCache) applyTypes(ch Change, bad func(error)) {
	var list []fleet.Type
	if err := json.Unmarshal(ch.Value, &list); err != nil {
		bad(err)
		return
	}
	if ch.Key == typesKey {
		s.machineTypes, s.typesRevision, s.typesWholeRevision = list, ch.Revision, ch.Revision
		return
	}
	// Parts of before the value fitted again, as when a list is read.
	if ch.Revision < s.typesWholeRevision {
		return
	}
	s.typesRevision = ch.Revision
	for _, t := range list {
		if i := slices.IndexFunc(s.machineTypes, func(o fleet.Type) bool { return o.Name == t.Name }); i >= 0 {
			s.machineTypes[i] = t
		} else {
			s.machineTypes = append(s.machineTypes, t)
		}
	}
}

// chunkKey is the key of a value of a job's progress. Values of the first format
// have a number only.
func chunkKey(id string, v jobstate.ChunkRef) string {
	n := strconv.Itoa(v.Index)
	if v.ChunkSize != jobstate.DefaultChunkSize {
		n = strconv.Itoa(v.ChunkSize) + "-" + n
	}
	return runPrefix + id + "/" + n
}

// parseChunkKey reads what follows the prefix of such a key.
func parseChunkKey(rest string) (id string, v jobstate.ChunkRef, err error) {
	id, num, _ := strings.Cut(rest, "/")
	v.ChunkSize = jobstate.DefaultChunkSize
	if span, n, ok := strings.Cut(num, "-"); ok {
		num = n
		if v.ChunkSize, err = strconv.Atoi(span); err != nil {
			return id, v, err
		}
	}
	v.Index, err = strconv.Atoi(num)
	return id, v, err
}

func encodeJSON(v any) []byte { return jobstate.Encode(v) }
