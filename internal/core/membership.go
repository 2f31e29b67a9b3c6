package core

import (
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/core/kv"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

// formatRecord is the stored format: what all controllers can read. Tasks is how
// many tasks a value of progress has at most, which only ever falls.
type formatRecord struct {
	Version int `json:"v"`
	Tasks   int `json:"n"`
}

// featuresRecord has the features that are on by their names.
type featuresRecord struct {
	On []upgrade.StoredFeature `json:"on"`
}

// decommissionedRecord says since when operators take a controller for gone, as time of day.
type decommissionedRecord struct {
	At int64 `json:"t"`
}

// newActivation makes the activation, of which nothing is known.
func newActivation(set *Settings) *upgrade.Activation {
	program := upgrade.CurrentProgram()
	if set.Program != nil {
		program = *set.Program
	}
	var chosen, held []upgrade.FeatureName
	if set.Ops.Sweeps {
		chosen = append(chosen, upgrade.Sweeps)
	}
	for _, n := range set.Ops.HoldFeatures {
		held = append(held, upgrade.FeatureName(n))
	}
	return upgrade.New(program, set.Name, set.Incarnation, set.Peers, chosen, held)
}

// activationState is what membership keeps while this controller leads.
type activationState struct {
	writing   bool
	notBefore int64
}

// membership knows which controllers there are, what their programs can do, and which features are active.
type membership struct {
	*engine

	cache     *stateCache
	committer *committer
	elector   *elector
	health    *stateHealth

	format                  formatRecord
	formatRevision          uint64
	activation              *upgrade.Activation
	featuresRevision        uint64
	decommissionedRevisions map[string]uint64
	incompatible            string
	limitsLowered           bool
	chunkTasks              int
	// publishNotBefore is when this controller's advertisement may next be written.
	publishNotBefore int64
}

func newMembership(run *engine) *membership {
	return &membership{
		engine: run, activation: newActivation(&run.settings),
		decommissionedRevisions: map[string]uint64{}, chunkTasks: jobstate.DefaultChunkSize,
	}
}

// writableFormat is the newest format that this controller is to write.
func (mb *membership) writableFormat() int {
	w, _, _ := mb.activation.LocalAdvertisement()
	return w.Format
}

// logEnabled says that data may be written that version 1 can't read.
func (mb *membership) logEnabled() bool { return mb.activation.Enabled(upgrade.ProgressLog) }

// useLowerLimits says that what is written has to fit the limits to come as well. In
// the first format it need not until they are here: a value that has to be
// split could not be read by a controller of version 1.
func (mb *membership) useLowerLimits() bool { return mb.logEnabled() || mb.limitsLowered }

// limits are the state service's, as far as they are known. The rate is the
// present one until there are signs of the next.
func (mb *membership) limits() config.StateLimits {
	l := mb.settings.State.StateLimits
	next := mb.settings.StrictestStateLimits()
	if mb.limitsLowered {
		l.RPS, l.WriteRPS = next.RPS, next.WriteRPS
	}
	if mb.useLowerLimits() {
		l.ValueKB, l.TxnOps = next.ValueKB, next.TxnOps
	}
	return l
}

// valueLimit is how many bytes a value may have, counting a KiB as 1000.
func (mb *membership) valueLimit() int { return int(mb.limits().ValueKB * 1000) }

// noteRateLimited takes a refusal for its rate as the sign that the limits to come
// are here. Before the format holds it can't be.
func (mb *membership) noteRateLimited(status int) {
	if status == 429 && mb.logEnabled() {
		mb.lowerLimits("a request was refused for its rate")
	}
}

func (mb *membership) lowerLimits(why string) {
	if !mb.limitsLowered && mb.settings.State.Next != nil {
		mb.limitsLowered = true
		mb.log.Info("the state service's limits have fallen", "why", why)
	}
}

func (mb *membership) applyFormat(ch Change, bad func(error)) {
	var f formatRecord
	if err := json.Unmarshal(ch.Value, &f); err != nil {
		bad(err)
		return
	}
	if f.Version < 1 || !jobstate.ValidChunkSize(f.Tasks) {
		bad(errors.New("no format"))
		return
	}
	if f != mb.format {
		mb.log.Info("format of stored data", "version", f.Version, "tasks", f.Tasks)
	}
	mb.format, mb.formatRevision = f, ch.Revision
	mb.activation.SetFormat(f.Version)
	if !mb.elector.isLeader() {
		mb.changeChunkSize()
	}
}

// changeChunkSize brings the jobs' chunks to the format. The leader does it when no
// write is under way.
func (mb *membership) changeChunkSize() {
	if !mb.logEnabled() || mb.format.Tasks >= mb.chunkTasks {
		return
	}
	mb.chunkTasks = mb.format.Tasks
	for _, j := range mb.cache.jobs {
		j.SplitChunks(mb.chunkTasks)
	}
	if mb.elector.isLeader() {
		mb.committer.openProgressLog()
	}
}

// applyActivation takes over what is stored of controllers and features.
func (mb *membership) applyActivation(key string, ch Change, bad func(error)) {
	read := func(v any) bool {
		if err := json.Unmarshal(ch.Value, v); err != nil {
			bad(err)
			return false
		}
		return true
	}
	name, isGone := strings.CutPrefix(key, "gone/")
	word, isWord := strings.CutPrefix(key, "member/")
	switch {
	case isGone:
		mb.decommissionedRevisions[name] = ch.Revision
		if ch.Removed {
			mb.decommissionedRevisions[name] = 0
		}
		mb.activation.SetGone(name, !ch.Removed)
	case isWord && ch.Removed:
		mb.activation.RemoveAdvertisement(word)
	case isWord:
		var w upgrade.Advertisement
		if read(&w) {
			mb.activation.SetAdvertisement(word, w, ch.Revision, mb.now)
		}
	case !ch.Removed: // the features that are on
		var v featuresRecord
		if read(&v) {
			mb.featuresRevision = ch.Revision
			mb.activation.SetEnabled(v.On)
			mb.log.Info("features that are on", "features", v.On)
		}
	}
}

// checkCompatible ends what this controller does if what is stored needs a newer
// program: from then on it would write, or answer, what is wrong. At its start
// it ends with one sentence that says so.
func (mb *membership) checkCompatible(starting bool) bool {
	why := mb.activation.Incompatibility()
	if why == "" {
		return true
	}
	if mb.incompatible == "" {
		mb.incompatible = why
		mb.log.Error("this program must not go on", "why", why)
		if mb.elector.isLeader() {
			mb.elector.resign(why)
		}
		mb.cache.synced = false
		if starting {
			mb.emit(Quit{Reason: why})
		}
	}
	return false
}

// putOnLease stores what this controller advertises, on its lease: it is there only while
// the controller lives and reaches the state service. done is told whether it was stored.
func (mb *membership) putOnLease(key string, revision uint64, v any, done func(ok bool)) {
	if !mb.elector.hasLease() {
		mb.elector.requestLease()
		done(false)
		return
	}
	mb.health.spendWrites(1)
	lease := mb.elector.candidacy.lease
	mb.commitTransaction([]Cond{kv.RevisionIs(key, revision)}, []Write{{Key: key, Value: encodeJSON(v), Lease: lease}}, func(r Committed) {
		if r.Status == 400 {
			mb.elector.leaseRefused(lease)
		}
		done(r.Status == 200)
	})
}

// membershipTick stores what this controller advertises, for as long as it runs.
func (mb *membership) membershipTick() {
	if !mb.cache.synced || mb.now < mb.publishNotBefore || mb.health.writesLeft() < 1 {
		return
	}
	advertisement, revision, pending := mb.activation.LocalAdvertisement()
	if !pending {
		return
	}
	mb.putOnLease(memberPrefix+mb.settings.Name, revision, advertisement, func(bool) {})
	if mb.elector.hasLease() {
		mb.publishNotBefore = mb.now + second // a lease is worth no wait
	}
}

// activationTick switches on the next feature that every controller has, as its word
// in the state service says at that moment. The write is conditional on the
// leadership and on all of these words, so that one which is replaced by an
// older program meanwhile is not overlooked. It lowers the tasks of a value too.
func (mb *membership) activationTick() {
	l := mb.elector.leadership
	if l.activation.writing || mb.now < l.activation.notBefore || !mb.elector.mayStartTasks() || mb.health.writesLeft() < 1 {
		return
	}
	for _, n := range mb.activation.Returned() {
		// Operators took it for gone, and it is there.
		l.activation.writing, l.activation.notBefore = true, mb.now+second
		mb.health.spendWrites(1)
		mb.commitTransaction([]Cond{kv.RevisionIs(LeaderKey, l.keyRevision), kv.RevisionIs(decommissionedPrefix+n, mb.decommissionedRevisions[n])}, []Write{{Key: decommissionedPrefix + n}}, func(Committed) { l.activation.writing = false })
		return
	}
	f, by := mb.activation.NextFeature()
	tasks := l.commits.chunkTasksWanted
	if f == nil && (!mb.logEnabled() || tasks == 0 || tasks >= mb.format.Tasks) {
		return
	}
	when := []Cond{kv.RevisionIs(LeaderKey, l.keyRevision)}
	write := Write{Key: formatKey}
	switch {
	case f != nil && f.Format == 0:
		write = Write{Key: featuresKey, Value: encodeJSON(featuresRecord{mb.activation.EnabledWith(f)})}
		when = append(when, kv.RevisionIs(featuresKey, mb.featuresRevision))
	default:
		version := mb.format.Version
		if f != nil {
			version = max(version, f.Format)
		}
		if !mb.logEnabled() {
			tasks = mb.chunkTasksForLimits()
		} else if tasks == 0 || tasks > mb.format.Tasks {
			tasks = mb.format.Tasks
		}
		write.Value = encodeJSON(formatRecord{version, tasks})
		when = append(when, kv.RevisionIs(formatKey, mb.formatRevision))
	}
	if f != nil {
		if len(by)+len(when) > 4*mb.limits().TxnOps {
			return // more controllers than conditions: it can't be proven
		}
		for _, m := range by {
			when = append(when, kv.RevisionIs(memberPrefix+m.Name, m.Revision))
		}
	}
	l.activation.writing, l.activation.notBefore = true, mb.now+second
	mb.health.spendWrites(1)
	mb.commitTransaction(when, []Write{write}, func(Committed) {
		l.activation.writing = false // it holds when the mirror shows it
	})
}

// onSetDecommissioned notes that operators take a controller for gone for good, or not.
func (mb *membership) onSetDecommissioned(m SetDecommissioned) {
	reply := func(status int, why string) {
		r := Reply{RequestID: m.RequestID, Status: status, Error: why}
		if status == 503 {
			r.RetryAfter = 1
		}
		mb.emit(r)
	}
	_, there := mb.activation.Advertisements()[m.Name]
	switch {
	case !slices.Contains(mb.settings.Peers, m.Name):
		reply(404, "no other controller is called "+strconv.Quote(m.Name))
	case !mb.cache.synced || mb.health.unavailable():
		reply(503, "the state service does not answer")
	case m.Decommissioned && there:
		reply(409, m.Name+" is there, and says what it can")
	case m.Decommissioned == (mb.decommissionedRevisions[m.Name] != 0):
		mb.emit(Reply{RequestID: m.RequestID, Status: 200, Decommission: &DecommissionState{m.Name, m.Decommissioned}})
	default:
		w := Write{Key: decommissionedPrefix + m.Name}
		if m.Decommissioned {
			w.Value = encodeJSON(decommissionedRecord{mb.now + mb.wallOffset})
		}
		mb.commitTransaction([]Cond{kv.RevisionIs(w.Key, mb.decommissionedRevisions[m.Name])}, []Write{w}, func(r Committed) {
			if r.Status == 200 {
				mb.emit(Reply{RequestID: m.RequestID, Status: 200, Decommission: &DecommissionState{m.Name, m.Decommissioned}})
				return
			}
			reply(503, "it was not stored")
		})
	}
}

// chunkTasksForLimits is how many tasks a value may have, each on a machine of its own
// with a name as long as the longest there is.
func (mb *membership) chunkTasksForLimits() int {
	name := 11
	for _, m := range mb.elector.leadership.fleet.All() {
		name = max(name, len(m.Name))
	}
	room := int(mb.settings.StrictestStateLimits().ValueKB*1000) - 160
	span := jobstate.DefaultChunkSize
	for span > 1 && span*(name+15) > room {
		span /= 2
	}
	return span
}
