package core

import (
	"fmt"
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
	// reorderedReads counts the answers whose changes were not in the order of their revisions.
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
