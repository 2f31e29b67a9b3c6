package core

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

const (
	// activationInterval is the minimum time between two writes of commitActivation.
	activationInterval = second
	// conditionsPerOp is the ratio of the maximum number of conditions in a transaction to
	// the maximum number of writes in it.
	conditionsPerOp = 4
)

// Sizes in bytes that determine the number of tasks that fit in a stored chunk: the chunk without
// its tasks, a task without the name of its machine, and the minimum length to assume for the
// names of machines.
const (
	chunkFrameBytes    = 160
	chunkBytesPerTask  = 15
	minMachineNameSize = 11
)

var errInvalidFormat = errors.New("version or chunk size out of range")

// formatRecord records the current format of stored data, which all controllers can read. Tasks is
// the maximum number of tasks in a chunk of progress; it never increases.
type formatRecord struct {
	Version int `json:"v"`
	Tasks   int `json:"n"`
}

// featuresRecord holds the active features.
type featuresRecord struct {
	On []upgrade.StoredFeature `json:"on"`
}

// activationState is the state that membership keeps while this controller leads.
type activationState struct {
	writing   bool  // a write of commitActivation is in flight
	notBefore int64 // earliest time of the next such write
}

// newActivation returns the feature activation of this controller, with no other controller
// known yet.
func newActivation(settings *Settings) *upgrade.Activation {
	program := upgrade.CurrentProgram()
	if settings.Program != nil {
		program = *settings.Program
	}
	var optedIn, withheld []upgrade.FeatureName
	if settings.Ops.Sweeps {
		optedIn = append(optedIn, upgrade.Sweeps)
	}
	for _, name := range settings.Ops.HoldFeatures {
		withheld = append(withheld, upgrade.FeatureName(name))
	}
	return upgrade.NewActivation(program, settings.Name, settings.Incarnation, settings.Peers, optedIn, withheld)
}

// featureEnabled reports whether a feature is active.
func (m *membership) featureEnabled(name upgrade.FeatureName) bool { return m.activation.Enabled(name) }

// logEnabled reports whether the progress log is active. Only then may data be written that
// programs of version 1 can't read.
func (m *membership) logEnabled() bool { return m.featureEnabled(upgrade.ProgressLog) }

// writableFormat returns the newest stored format that this controller can write.
func (m *membership) writableFormat() int {
	local, _, _ := m.activation.LocalAdvertisement()
	return local.Format
}

// applyFormat applies a change of the stored format.
func (m *membership) applyFormat(change Change, reportInvalid func(error)) {
	var format formatRecord
	if err := json.Unmarshal(change.Value, &format); err != nil {
		reportInvalid(err)
		return
	}
	if format.Version < 1 || !jobstate.ValidChunkSize(format.Tasks) {
		reportInvalid(errInvalidFormat)
		return
	}
	if format != m.format {
		m.log.Info("stored format changed", "version", format.Version, "chunk_tasks", format.Tasks)
	}
	m.format, m.formatRevision = format, change.Revision
	m.activation.SetFormat(format.Version)
	if !m.elector.isLeader() {
		m.changeChunkSize()
	}
}

// changeChunkSize splits the jobs' chunks to the stored chunk size if that is smaller. On a
// leader it may only be called while no write is in flight.
func (m *membership) changeChunkSize() {
	if !m.logEnabled() || m.format.Tasks >= m.chunkTasks {
		return
	}
	m.chunkTasks = m.format.Tasks
	for _, job := range m.cache.jobs {
		job.SplitChunks(m.chunkTasks)
	}
	if m.elector.isLeader() {
		m.committer.openProgressLog()
	}
}

// applyActivation applies a stored change of members, decommissioned controllers or features.
func (m *membership) applyActivation(change Change, reportInvalid func(error)) {
	if name, ok := strings.CutPrefix(change.Key, decommissionedPrefix); ok {
		m.applyDecommissioned(name, change)
		return
	}
	if name, ok := strings.CutPrefix(change.Key, memberPrefix); ok {
		m.applyAdvertisement(name, change, reportInvalid)
		return
	}
	if !change.Removed {
		m.applyFeatures(change, reportInvalid)
	}
}

func (m *membership) applyDecommissioned(name string, change Change) {
	m.decommissionedRevisions[name] = change.Revision
	if change.Removed {
		m.decommissionedRevisions[name] = 0
	}
	m.activation.SetDecommissioned(name, !change.Removed)
}

func (m *membership) applyAdvertisement(name string, change Change, reportInvalid func(error)) {
	if change.Removed {
		m.activation.RemoveAdvertisement(name)
		return
	}
	var advertisement upgrade.Advertisement
	if err := json.Unmarshal(change.Value, &advertisement); err != nil {
		reportInvalid(err)
		return
	}
	m.activation.SetAdvertisement(name, advertisement, change.Revision, m.now)
}

func (m *membership) applyFeatures(change Change, reportInvalid func(error)) {
	var features featuresRecord
	if err := json.Unmarshal(change.Value, &features); err != nil {
		reportInvalid(err)
		return
	}
	m.featuresRevision = change.Revision
	m.activation.SetEnabled(features.On)
	m.log.Info("active features changed", "features", features.On)
}

// checkCompatible reports whether this program is compatible with the stored state. If the
// stored state needs a newer program, the controller stops acting, because it could write or
// answer wrongly from then on. If this is found at the start, the process ends.
func (m *membership) checkCompatible(starting bool) bool {
	reason := m.activation.Incompatibility()
	if reason == "" {
		return true
	}
	if m.incompatible != "" {
		return false
	}
	m.incompatible = reason
	m.log.Error("program incompatible with stored state", "reason", reason)
	if m.elector.isLeader() {
		m.elector.resign(reason)
	}
	m.cache.invalidate()
	if starting {
		m.emit(Quit{Reason: reason})
	}
	return false
}

// activationTick writes the next pending change, of which there are three kinds: it removes
// the record of a decommissioned controller that is back, activates the next feature that all
// controllers support, or lowers the chunk size after a chunk did not fit in a value.
func (m *membership) activationTick() {
	state := &m.elector.leadership.activation
	if state.writing || m.now < state.notBefore || !m.elector.mayStartTasks() || m.health.writesLeft() < 1 {
		return
	}
	if returned := m.activation.Returned(); len(returned) > 0 {
		key := decommissionedPrefix + returned[0]
		m.commitActivation(
			[]Cond{m.leaderCondition(), kv.RevisionIs(key, m.decommissionedRevisions[returned[0]])},
			Write{Key: key})
		return
	}
	feature, supporters := m.activation.NextFeature()
	if feature == nil && !m.smallerChunksRequested() {
		return
	}
	write, condition := m.activationWrite(feature)
	conditions := []Cond{m.leaderCondition(), condition}
	// The write is conditional on each supporter's advertisement being unchanged, so that it
	// fails if one of these controllers has been replaced by an older program since.
	if len(conditions)+len(supporters) > conditionsPerOp*m.limits().TxnOps {
		return // too many controllers to prove their support in one transaction
	}
	for _, member := range supporters {
		conditions = append(conditions, kv.RevisionIs(memberPrefix+member.Name, member.Revision))
	}
	m.commitActivation(conditions, write)
}

// activationWrite returns the write that activates a feature, or that only lowers the chunk
// size if feature is nil, and the condition that the replaced value has not changed.
func (m *membership) activationWrite(feature *upgrade.Feature) (Write, Cond) {
	if feature != nil && feature.Format == 0 {
		record := featuresRecord{m.activation.EnabledWith(feature)}
		return Write{Key: featuresKey, Value: encodeJSON(record)}, kv.RevisionIs(featuresKey, m.featuresRevision)
	}
	format := formatRecord{Version: m.format.Version, Tasks: m.nextChunkTasks()}
	if feature != nil {
		format.Version = max(format.Version, feature.Format)
	}
	return Write{Key: formatKey, Value: encodeJSON(format)}, kv.RevisionIs(formatKey, m.formatRevision)
}

// commitActivation writes a change of features, format or members. It takes effect when the
// state cache contains it, on this controller as on all others.
func (m *membership) commitActivation(conditions []Cond, write Write) {
	state := &m.elector.leadership.activation
	state.writing, state.notBefore = true, m.now+activationInterval
	m.health.spendWrites(1)
	m.commitTransaction(conditions, []Write{write}, func(TransactionResult) { state.writing = false })
}

// leaderCondition returns the condition that this controller still leads in the same term.
func (m *membership) leaderCondition() Cond {
	return kv.RevisionIs(LeaderKey, m.elector.leadership.keyRevision)
}

// smallerChunksRequested reports whether the committer needs a smaller chunk size than the
// stored one because a chunk did not fit.
func (m *membership) smallerChunksRequested() bool {
	requested := m.elector.leadership.commits.requestedChunkTasks
	return m.logEnabled() && requested != 0 && requested < m.format.Tasks
}

// nextChunkTasks returns the chunk size of the next format record to be written.
func (m *membership) nextChunkTasks() int {
	switch {
	case !m.logEnabled():
		return m.chunkTasksForLimits()
	case m.smallerChunksRequested():
		return m.elector.leadership.commits.requestedChunkTasks
	default:
		return m.format.Tasks
	}
}

// chunkTasksForLimits returns the number of tasks that fit in a value, assuming that each is on a
// different machine and that every machine name is as long as the longest known one.
func (m *membership) chunkTasksForLimits() int {
	nameSize := minMachineNameSize
	for _, machine := range m.elector.leadership.fleet.All() {
		nameSize = max(nameSize, len(machine.Name))
	}
	room := bytesOfKB(m.settings.StrictestStateLimits().ValueKB) - chunkFrameBytes
	tasks := jobstate.DefaultChunkSize
	for tasks > 1 && tasks*(nameSize+chunkBytesPerTask) > room {
		tasks /= 2
	}
	return tasks
}
