package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/ratelimit"
)

// maxEnds is the maximum number of job ends kept in memory; older ones are read on demand.
const maxEnds = 20_000

// leaderRecord is the value of LeaderKey.
type leaderRecord struct {
	Name        string `json:"n"`
	Incarnation string `json:"b"`
	Token       uint64 `json:"t"`
	Lease       uint64 `json:"l"`
}

// tokenRecord is the value of tokenKey: the newest fencing token.
type tokenRecord struct {
	Token uint64 `json:"t"`
}

// stateCache is the local copy of the keys of the state service. It applies the results of lists,
// watches and reads in the order of their revisions, and notifies the other components of what
// changed.
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

	// synced reports whether the cache reflects the stored state up to appliedRevision.
	// freshAt is the send time of the newest read that was applied; changes that were stored
	// before that time are in the cache. listingState reports whether a list is in progress.
	synced          bool
	listingState    bool
	appliedRevision uint64
	freshAt         int64
	// reorderedReads counts the answers whose changes were not in order.
	reorderedReads uint64

	// jobs are the unfinished jobs and those whose keys have yet to be removed, by ID.
	// progressLog has the pages of the log of their progress, ordered by number.
	// orphanedChunks are the chunks whose job is not known, by job ID.
	jobs           map[string]*jobstate.Job
	progressLog    []*logPage
	orphanedChunks map[string]map[jobstate.ChunkRef]Change

	// ends are the outcomes of jobs that ended recently, at most maxEnds.
	ends *jobstate.KnownEnds

	// machineTypes are the stored machine types. typesRevision is the revision of the newest
	// value that holds any of them, typesKeyRevision that of the last value that held all.
	machineTypes     []fleet.Type
	typesRevision    uint64
	typesKeyRevision uint64

	partitions       fleet.Partitions
	partitionsReadAt int64

	// leader is the zero value, and leaderRevision 0, if there is no leader.
	leader         leaderRecord
	leaderRevision uint64
	token          tokenRecord
	tokenRevision  uint64

	// keyRevisions are the revisions of the keys that putAsLeader writes.
	keyRevisions map[string]uint64
	imageHints   map[string][]byte
	imageHistory imageHistory
}

func newStateCache(shared *engine) *stateCache {
	return &stateCache{
		engine:         shared,
		jobs:           map[string]*jobstate.Job{},
		orphanedChunks: map[string]map[jobstate.ChunkRef]Change{},
		ends:           jobstate.NewKnownEnds(maxEnds),
		keyRevisions:   map[string]uint64{},
		imageHints:     map[string][]byte{},
		imageHistory:   newImageHistory(),
	}
}

// listState reads the whole stored state: at startup, after a watch whose revision was compacted,
// and after a lost leadership, since plans that were never stored must not be mistaken for
// placements.
func (s *stateCache) listState() {
	s.synced = false
	if !s.listingState && s.membership.incompatible == "" {
		s.listingState = true
		s.emit(newListState(s.membership.limits(), len(s.settings.Peers)+1))
	}
}

// invalidate marks the cache as out of date, so that no more decisions are based on it.
func (s *stateCache) invalidate() { s.synced = false }

// assignPartitions sets the partitions that this controller assigned as the leader.
func (s *stateCache) assignPartitions(partitions fleet.Partitions) { s.partitions = partitions }

// setMachineTypes sets the machine types that the cloud offers, and reports whether any are
// stored.
func (s *stateCache) setMachineTypes(types []fleet.Type) (isStored bool) {
	s.machineTypes = types
	return s.typesRevision != 0
}

// setTypesRevision records the revision at which this controller stored the machine types, or 0
// if the write failed.
func (s *stateCache) setTypesRevision(revision uint64) { s.typesRevision = revision }

// dropPartitions clears the partitions that this controller assigned as the leader.
func (s *stateCache) dropPartitions() { s.partitions = fleet.Partitions{} }

// startupRequestReserve is the number of requests that a startup needs besides the list.
const startupRequestReserve = 5

// newListState returns a request to read all keys, paced so that all controllers can list at the
// same time within the rate limit of the state service.
func newListState(limits config.StateLimits, controllers int) ListState {
	requestRate := limits.RPS / float64(controllers)
	return ListState{AtOnce: max(1, int(requestRate)-startupRequestReserve), Gap: ratelimit.Interval(requestRate / 2)}
}

// onStateListed replaces the contents of the cache with the listed state.
func (s *stateCache) onStateListed(m StateListed) {
	s.listingState = false
	s.health.recordResult(&s.peers.connectivity.Reads, m.Err)
	if m.Err != nil {
		s.log.Debug("listing the state failed", "error", m.Err)
		s.listingState = true
		// Retries are spaced out, because the result of a failed list is delivered with a delay.
		s.emit(newListState(s.membership.limits(), len(s.settings.Peers)+1))
		return
	}
	s.reset()
	starting := s.appliedRevision == 0
	s.appliedRevision = m.Revision
	s.reader.recentChanges.Reset(m.Revision)
	for _, change := range m.Changes {
		s.apply(change)
	}
	s.peers.connectivity.StateListed()
	if !s.membership.checkCompatible(starting) {
		return
	}
	s.synced = true
	s.log.Info("state read", "jobs", len(s.jobs), "revision", m.Revision)
	s.reader.watchState()
	s.membership.changeChunkSize()
	// The pages of the list were read one after the other, so changes made in the meantime may
	// be missing. This read returns them, and the controller may lead only after it.
	s.emit(ReadState{AfterRevision: s.appliedRevision})
}

// reset drops the contents that a list replaces as a whole. The known ends, machine types,
// partitions and image hints are kept.
func (s *stateCache) reset() {
	s.jobs = map[string]*jobstate.Job{}
	s.orphanedChunks = map[string]map[jobstate.ChunkRef]Change{}
	s.leader, s.leaderRevision = leaderRecord{}, 0
	s.token, s.tokenRevision = tokenRecord{}, 0
	s.dependencies.reset()
	s.membership.reset()
	s.keyRevisions = map[string]uint64{}
	s.peers.reset()
	s.progressLog = nil
	s.sweepManager.reset()
}

// onStateRead applies the result of a watch or a read, from the state service or from the leader.
//
// The protocol sets no order for the changes in one answer, so they are put in the order in which
// they were made here, before anything else sees them. A key that has changed twice must end with
// its newest value, and the log of changes for followers relies on rising revisions. The keys of
// one transaction are sorted, so that the result does not depend on how the service lists them.
func (s *stateCache) onStateRead(m StateRead) {
	var reordered bool
	if m.Changes, reordered = kv.InOrder(m.Changes); reordered {
		s.reorderedReads++
	}
	s.recordRead(&m)
	switch {
	case m.Compacted && s.elector.isLeader():
		// A leader does not load its own progress from a list, so it ends its term and
		// starts over.
		s.elector.resign("the watch revision was compacted")
	case m.Compacted:
		s.listState()
	}
	if m.Err == nil && !m.Compacted && s.synced && m.AfterRevision <= s.appliedRevision {
		s.applyChanges(&m)
		if !s.membership.checkCompatible(false) {
			return
		}
		s.sweepManager.endCancelledRuns()
		s.elector.cacheRefreshed(m.SentAt)
		s.elector.checkLeadership(m.SentAt)
	}
	if !m.Immediate {
		s.reader.watchState()
	}
	if m.ForRequests {
		// Other reads, such as a candidate's, do not count: they may have been made before
		// the waiting requests arrived.
		s.requests.onReadDone(m.Err == nil && !m.Compacted && s.synced && m.Revision <= s.appliedRevision)
	}
}

// recordRead records whether the state service answered a watch or a read.
func (s *stateCache) recordRead(m *StateRead) {
	link := &s.peers.connectivity.Reads
	if !m.Immediate {
		s.reader.watching = false
		link = &s.peers.connectivity.Watch
	}
	if !m.ViaLeader {
		s.health.recordResult(link, m.Err)
	}
}

// applyChanges applies the changes that are newer than appliedRevision.
func (s *stateCache) applyChanges(m *StateRead) {
	from := s.appliedRevision
	for _, change := range m.Changes {
		// Two watches may deliver the same change.
		if change.Revision > from {
			s.reader.recentChanges.Append(change)
			s.apply(change)
		}
	}
	s.appliedRevision = max(s.appliedRevision, m.Revision)
	s.freshAt = max(s.freshAt, m.SentAt)
	s.transactions.Observe(m.Changes, s.now)
}

// apply applies the change of a key. Each kind of key has a method here or in the component
// it belongs to. A key of an unknown kind was written by a newer version and is ignored.
func (s *stateCache) apply(change Change) {
	key := change.Key
	s.updateKeyRevision(change)
	reportInvalid := func(err error) {
		s.log.Error("stored value can't be read", "key", key, "error", err)
	}
	switch key {
	case LeaderKey:
		s.applyLeader(change, reportInvalid)
	case tokenKey:
		s.applyToken(change, reportInvalid)
	case typesKey:
		s.applyTypes(change, reportInvalid)
	case partitionsKey:
		s.applyPartitions(change, reportInvalid)
	case formatKey:
		if !change.Removed {
			s.membership.applyFormat(change, reportInvalid)
		}
	case featuresKey:
		s.membership.applyActivation(change, reportInvalid)
	default:
		s.applyByPrefix(change, reportInvalid)
	}
}

// applyByPrefix applies the change of a key whose kind is given by its prefix.
func (s *stateCache) applyByPrefix(change Change, reportInvalid func(error)) {
	key := change.Key
	switch {
	case strings.HasPrefix(key, jobPrefix):
		s.applyJob(key[len(jobPrefix):], change, reportInvalid)
	case strings.HasPrefix(key, runPrefix):
		s.applyChunk(key[len(runPrefix):], change, reportInvalid)
	case strings.HasPrefix(key, endPrefix):
		s.applyEnd(key[len(endPrefix):], change, reportInvalid)
	case strings.HasPrefix(key, typesPartPrefix):
		s.applyTypes(change, reportInvalid)
	case strings.HasPrefix(key, logPrefix):
		s.applyPage(key[len(logPrefix):], change, reportInvalid)
	case strings.HasPrefix(key, sweepRoot):
		s.sweepManager.apply(key[len(Prefix):], change, reportInvalid)
	case strings.HasPrefix(key, decommissionedPrefix), strings.HasPrefix(key, memberPrefix):
		s.membership.applyActivation(change, reportInvalid)
	case strings.HasPrefix(key, connectivityPrefix):
		s.peers.applyConnectivity(key[len(connectivityPrefix):], change, reportInvalid)
	case strings.HasPrefix(key, hintsPartPrefix):
		if !change.Removed {
			s.imageHints[key] = change.Value
		}
	}
}

// updateKeyRevision records the revision of a key if it is one that putAsLeader writes.
func (s *stateCache) updateKeyRevision(change Change) {
	if !isWrittenWhole(change.Key) {
		return
	}
	if change.Removed {
		delete(s.keyRevisions, change.Key)
		return
	}
	s.keyRevisions[change.Key] = change.Revision
}

// isWrittenWhole reports whether a key is one that putAsLeader writes.
func isWrittenWhole(key string) bool {
	return key == partitionsKey || key == typesKey ||
		strings.HasPrefix(key, typesPartPrefix) || strings.HasPrefix(key, hintsPartPrefix)
}

// applyLeader applies a change of the leadership key, which is absent if there is no leader.
func (s *stateCache) applyLeader(change Change, reportInvalid func(error)) {
	s.leader, s.leaderRevision = leaderRecord{}, 0
	if change.Removed {
		return
	}
	if err := json.Unmarshal(change.Value, &s.leader); err != nil {
		reportInvalid(err)
	}
	s.leaderRevision = change.Revision
	if s.leader.Token > s.elector.newestLeader.Token {
		s.peers.connectivity.RecordHandover(s.now)
	}
	s.elector.updateNewestLeader(s.leader)
}

// applyToken applies the newest fencing token.
func (s *stateCache) applyToken(change Change, reportInvalid func(error)) {
	if change.Removed {
		return
	}
	if err := json.Unmarshal(change.Value, &s.token); err != nil {
		reportInvalid(err)
	}
	s.tokenRevision = change.Revision
}

// applyPartitions applies the assignment of partitions to controllers. The leader ignores it,
// as it makes the assignment itself.
func (s *stateCache) applyPartitions(change Change, reportInvalid func(error)) {
	if change.Removed || s.elector.isLeader() {
		return
	}
	var partitions fleet.Partitions
	if err := json.Unmarshal(change.Value, &partitions); err != nil {
		reportInvalid(err)
		return
	}
	s.partitions, s.partitionsReadAt = partitions, s.now
}

// applyEnd applies the stored end of a job.
func (s *stateCache) applyEnd(id string, change Change, reportInvalid func(error)) {
	if change.Removed {
		return
	}
	var end jobstate.End
	if err := json.Unmarshal(change.Value, &end); err != nil {
		reportInvalid(err)
		return
	}
	s.recordEnd(id, jobstate.EndStoredAt(end, change.Revision))
}

// applyJob applies a job's record, or its removal.
func (s *stateCache) applyJob(id string, change Change, reportInvalid func(error)) {
	job := s.jobs[id]
	if change.Removed {
		if job != nil && change.Revision > job.Revision {
			delete(s.jobs, id)
			s.tasks.jobRemoved(job)
			s.orphanChunks(job)
		}
		return
	}
	if job != nil && change.Revision <= job.Revision {
		return
	}
	var record jobstate.Record
	if err := json.Unmarshal(change.Value, &record); err != nil || !isValidRecord(&record) {
		reportInvalid(err)
		return
	}
	if job == nil {
		job = s.addJob(id, &record, change.Revision, reportInvalid)
	}
	job.Revision = change.Revision
	if record.Outcome == "" {
		return
	}
	// The transaction that stores a job's end also sets the outcome in its record.
	end := jobstate.EndStoredAt(jobstate.End{Outcome: record.Outcome, Tasks: job.Tasks}, change.Revision)
	hasJustEnded := job.RecordEnd(end)
	s.recordEnd(id, end)
	if hasJustEnded {
		s.tasks.jobEnded(job)
	}
}

// isValidRecord reports whether a job can be created from a record.
func isValidRecord(record *jobstate.Record) bool {
	return record.Spec != nil && record.Spec.Tasks >= 1 && record.Spec.Tasks <= jobstate.MaxTasks
}

// addJob adds a job that was not known, with the progress that was read before its record.
func (s *stateCache) addJob(id string, record *jobstate.Record, revision uint64, reportInvalid func(error)) *jobstate.Job {
	job := jobstate.NewJob(record.Spec)
	job.SplitChunks(s.membership.chunkTasks)
	job.Arrival, job.SubmittedWall, job.Truncated = record.Arrival, record.SubmittedWall, record.Truncated
	job.SubmittedAt = s.monotonicTime(record.SubmittedWall)
	job.ReadyAt = job.SubmittedAt
	if job.Arrival == 0 {
		job.Arrival = revision
	}
	s.jobs[id] = job
	s.loadOrphanedChunks(job, reportInvalid)
	s.replayLog(job)
	if end, ended := s.ends.Get(id); ended && record.Outcome == "" {
		// The end was reported by a peer, or derived, perhaps before the state was listed
		// again.
		job.RecordEnd(end)
		s.tasks.jobEnded(job)
	} else if record.Outcome == "" {
		s.dependencies.addJob(job)
		s.sweepManager.recordRun(job)
	}
	s.tasks.jobArrived(job)
	return job
}

// loadOrphanedChunks loads the chunks of a job that were read before its record.
func (s *stateCache) loadOrphanedChunks(job *jobstate.Job, reportInvalid func(error)) {
	for ref, stored := range s.orphanedChunks[job.ID] {
		if stored.Value == nil {
			continue
		}
		if err := job.LoadChunk(ref, stored.Value, stored.Revision, s.now); err != nil {
			reportInvalid(err)
		}
	}
	delete(s.orphanedChunks, job.ID)
}

// applyChunk applies a chunk of a job's progress; name is its key without the prefix.
func (s *stateCache) applyChunk(name string, change Change, reportInvalid func(error)) {
	id, ref, err := parseChunkKey(name)
	if err != nil {
		reportInvalid(err)
		return
	}
	if s.elector.isLeader() {
		return // only the leader writes chunks
	}
	job := s.jobs[id]
	if change.Removed {
		s.committer.setOrphanedRevision(id, ref, 0)
		if job != nil {
			job.SetChunkRevision(ref, 0)
		}
		return
	}
	if job == nil {
		// A job's chunks may be read before its record.
		s.putOrphanedChunk(id, ref, change)
		return
	}
	if job.ChunkRevision(ref) >= change.Revision {
		return
	}
	if err := job.LoadChunk(ref, change.Value, change.Revision, s.now); err != nil {
		reportInvalid(err)
	}
	s.replayLog(job)
	for i := ref.Index * ref.ChunkSize; i < min((ref.Index+1)*ref.ChunkSize, job.Tasks); i++ {
		s.imageHistory.recordPlacement(job.Task(i).Machine, job)
	}
}

// orphanChunks records the chunks that a removed job leaves behind, which the leader removes
// when it has writes to spare.
func (s *stateCache) orphanChunks(job *jobstate.Job) {
	refs, revisions := job.StoredChunks()
	for i, ref := range refs {
		s.putOrphanedChunk(job.ID, ref, Change{Revision: revisions[i]})
	}
}

func (s *stateCache) putOrphanedChunk(id string, ref jobstate.ChunkRef, stored Change) {
	if s.orphanedChunks[id] == nil {
		s.orphanedChunks[id] = map[jobstate.ChunkRef]Change{}
	}
	s.orphanedChunks[id][ref] = stored
}

// knownEnd returns the end of a job, if this controller knows it.
func (s *stateCache) knownEnd(id string) (jobstate.KnownEnd, bool) {
	if end, ok := s.ends.Get(id); ok {
		return end, true
	}
	if job := s.jobs[id]; job != nil && job.Outcome() != "" {
		return job.End(), true
	}
	return jobstate.KnownEnd{}, false
}

// recordEnd records how a job has ended. Every end that is reported to users is recorded here, so
// this is where the controller records a cancellation for its read leases.
func (s *stateCache) recordEnd(id string, end jobstate.KnownEnd) {
	known, isNew := s.ends.Record(id, end)
	if known.Outcome == jobstate.Cancelled {
		s.readLeases.recordJobCancellation(id, known)
	}
	if job := s.jobs[id]; job != nil && job.RecordEnd(known) {
		if known.Outcome == jobstate.Done {
			s.imageHistory.recordDoneJob(job)
		}
		s.tasks.jobEnded(job)
	}
	if isNew {
		s.dependencies.resolveDependents(id, known)
	}
}

// applyTypes applies a value with all machine types or some of them: types that do not fit in
// one value are stored in several.
func (s *stateCache) applyTypes(change Change, reportInvalid func(error)) {
	if change.Removed {
		return
	}
	var types []fleet.Type
	if err := json.Unmarshal(change.Value, &types); err != nil {
		reportInvalid(err)
		return
	}
	if change.Key == typesKey {
		s.machineTypes, s.typesRevision, s.typesKeyRevision = types, change.Revision, change.Revision
		return
	}
	// The types have fitted into one value again since this part was written, but a list may
	// return the part after that value.
	if change.Revision < s.typesKeyRevision {
		return
	}
	s.typesRevision = change.Revision
	for _, t := range types {
		s.setMachineType(t)
	}
}

// setMachineType replaces the machine type with the same name, or adds it.
func (s *stateCache) setMachineType(t fleet.Type) {
	i := slices.IndexFunc(s.machineTypes, func(known fleet.Type) bool { return known.Name == t.Name })
	if i < 0 {
		s.machineTypes = append(s.machineTypes, t)
		return
	}
	s.machineTypes[i] = t
}

// chunkKey returns the key of a chunk of a job's progress. Chunks of the default size, which the
// first stored format has, are named by their index alone.
func chunkKey(id string, ref jobstate.ChunkRef) string {
	name := strconv.Itoa(ref.Index)
	if ref.ChunkSize != jobstate.DefaultChunkSize {
		name = strconv.Itoa(ref.ChunkSize) + "-" + name
	}
	return runPrefix + id + "/" + name
}

// parseChunkKey parses a key made by chunkKey, without its prefix.
func parseChunkKey(name string) (id string, ref jobstate.ChunkRef, err error) {
	id, chunk, _ := strings.Cut(name, "/")
	ref.ChunkSize = jobstate.DefaultChunkSize
	if size, index, ok := strings.Cut(chunk, "-"); ok {
		chunk = index
		if ref.ChunkSize, err = strconv.Atoi(size); err != nil {
			return id, ref, fmt.Errorf("chunk size: %w", err)
		}
	}
	if ref.Index, err = strconv.Atoi(chunk); err != nil {
		return id, ref, fmt.Errorf("chunk index: %w", err)
	}
	return id, ref, nil
}

func encodeJSON(v any) []byte { return jobstate.Encode(v) }
