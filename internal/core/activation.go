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
	// activationInterval is the least time between two writes of features or format.
	activationInterval = second
	// conditionsPerOp is how many conditions a transaction may have for each write that
	// the state service allows in it.
	conditionsPerOp = 4
)

// The size of a stored chunk: that of its frame and of each of its tasks beside the name of
// its machine.
const (
	chunkFrameBytes    = 160
	chunkBytesPerTask  = 15
	minMachineNameSize = 11
)

var errInvalidFormat = errors.New("version or chunk size out of range")

// formatRecord is the stored format, which all controllers can read. Tasks is how many tasks
// a chunk of progress has at most; it only ever falls.
type formatRecord struct {
	Version int `json:"v"`
	Tasks   int `json:"n"`
}

// featuresRecord has the features that are active by their names.
type featuresRecord struct {
	On []upgrade.StoredFeature `json:"on"`
}

// activationState is what membership keeps while this controller leads.
type activationState struct {
	writing   bool  // a write of features or format is not answered yet
	notBefore int64 // no such write before this time
}

// newActivation makes the activation of this controller, to which no other is known yet.
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

// logEnabled reports whether data may be written that version 1 can't read.
func (m *membership) logEnabled() bool { return m.featureEnabled(upgrade.ProgressLog) }

// writableFormat is the newest stored format that this controller can write.
func (m *membership) writableFormat() int {
	local, _, _ := m.activation.LocalAdvertisement()
	return local.Format
}

// applyFormat takes over the stored format.
func (m *membership) applyFormat(ch Change, bad func(error)) {
	var format formatRecord
	if err := json.Unmarshal(ch.Value, &format); err != nil {
		bad(err)
		return
	}
	if format.Version < 1 || !jobstate.ValidChunkSize(format.Tasks) {
		bad(errInvalidFormat)
		return
	}
	if format != m.format {
		m.log.Info("stored format changed", "version", format.Version, "chunk_tasks", format.Tasks)
	}
	m.format, m.formatRevision = format, ch.Revision
	m.activation.SetFormat(format.Version)
	if !m.elector.isLeader() {
		m.changeChunkSize()
	}
}

// changeChunkSize splits the jobs' chunks to the stored size. A leader may do it only while
// no write is in flight.
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

// applyActivation takes over what is stored of members and features.
func (m *membership) applyActivation(ch Change, bad func(error)) {
	if name, ok := strings.CutPrefix(ch.Key, decommissionedPrefix); ok {
		m.applyDecommissioned(name, ch)
		return
	}
	if name, ok := strings.CutPrefix(ch.Key, memberPrefix); ok {
		m.applyAdvertisement(name, ch, bad)
		return
	}
	if !ch.Removed {
		m.applyFeatures(ch, bad)
	}
}

func (m *membership) applyDecommissioned(name string, ch Change) {
	m.decommissionedRevisions[name] = ch.Revision
	if ch.Removed {
		m.decommissionedRevisions[name] = 0
	}
	m.activation.SetDecommissioned(name, !ch.Removed)
}

func (m *membership) applyAdvertisement(name string, ch Change, bad func(error)) {
	if ch.Removed {
		m.activation.RemoveAdvertisement(name)
		return
	}
	var advertisement upgrade.Advertisement
	if err := json.Unmarshal(ch.Value, &advertisement); err != nil {
		bad(err)
		return
	}
	m.activation.SetAdvertisement(name, advertisement, ch.Revision, m.now)
}

func (m *membership) applyFeatures(ch Change, bad func(error)) {
	var features featuresRecord
	if err := json.Unmarshal(ch.Value, &features); err != nil {
		bad(err)
		return
	}
	m.featuresRevision = ch.Revision
	m.activation.SetEnabled(features.On)
	m.log.Info("active features changed", "features", features.On)
}

// checkCompatible reports whether this program may go on with what is stored. If that needs
// a newer one, the controller stops to act: from then on it would write, or answer, what is
// wrong. If this is found at its start, the process ends.
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
	m.cache.suspend()
	if starting {
		m.emit(Quit{Reason: reason})
	}
	return false
}

// activationTick writes the next change of what is active, of which there are three: the
// record of a decommissioned controller that is back goes, the next feature that all
// controllers support is activated, and the chunk size is lowered where values did not fit.
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
	if feature == nil && !m.smallerChunksWanted() {
		return
	}
	write, condition := m.activationWrite(feature)
	conditions := []Cond{m.leaderCondition(), condition}
	// Each supporter's advertisement must still be as it was judged, so that a controller
	// which is replaced by an older program meanwhile is not overlooked.
	if len(conditions)+len(supporters) > conditionsPerOp*m.limits().TxnOps {
		return // more controllers than conditions: their support can't be proven
	}
	for _, member := range supporters {
		conditions = append(conditions, kv.RevisionIs(memberPrefix+member.Name, member.Revision))
	}
	m.commitActivation(conditions, write)
}

// activationWrite is the write that activates a feature, nil for none, or lowers the chunk
// size alone, and the condition that what it replaces is known.
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

// commitActivation writes a change of what is active. It takes effect when the mirror shows
// it, here as at all other controllers.
func (m *membership) commitActivation(conditions []Cond, write Write) {
	state := &m.elector.leadership.activation
	state.writing, state.notBefore = true, m.now+activationInterval
	m.health.spendWrites(1)
	m.commitTransaction(conditions, []Write{write}, func(TransactionResult) { state.writing = false })
}

// leaderCondition is the condition that this controller still leads, in the same term.
func (m *membership) leaderCondition() Cond {
	return kv.RevisionIs(LeaderKey, m.elector.leadership.keyRevision)
}

// smallerChunksWanted reports whether the committer met a chunk that did not fit.
func (m *membership) smallerChunksWanted() bool {
	wanted := m.elector.leadership.commits.chunkTasksWanted
	return m.logEnabled() && wanted != 0 && wanted < m.format.Tasks
}

// nextChunkTasks is the chunk size of the next format that is written.
func (m *membership) nextChunkTasks() int {
	switch {
	case !m.logEnabled():
		return m.chunkTasksForLimits()
	case m.smallerChunksWanted():
		return m.elector.leadership.commits.chunkTasksWanted
	default:
		return m.format.Tasks
	}
}

// chunkTasksForLimits is how many tasks fit in a value, each on a machine of its own whose
// name is as long as the longest that there is.
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
