package core

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// This file has how the state cache applies the change of each kind of key.

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
