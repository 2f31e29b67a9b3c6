package core

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
)

// Reasons why a job can never run.
var (
	errFitsNoMachineType = errors.New("no allowed machine type has room for a task")
	errCannotSpread      = errors.New("scatter: its tasks have to be in two zones at least, and may be in one only")
	errAboveTeamLimit    = errors.New("the job needs more than its team's limit")
)

func (h *requestHandler) onSubmit(m SubmitJob) {
	id := m.Spec.ID
	if end, ok := h.cache.ends.Get(id); ok {
		h.answerEnd(m.RequestID, id, end.End)
		return
	}
	r := &request{
		id:         m.RequestID,
		kind:       requestSubmit,
		targetID:   id,
		receivedAt: h.now,
		forwarded:  m.Forwarded,
		spec:       m.Spec,
	}
	switch {
	case h.cache.jobs[id] != nil:
		h.waitForRead(r)
	case !h.cache.synced:
		h.refuse(r)
	default:
		h.validateSubmission(r, m.Invalid)
	}
}

// validateSubmission refuses a submission that can't be accepted, and otherwise continues
// with its dependencies. invalid is the reason why it is malformed, or "".
func (h *requestHandler) validateSubmission(r *request, invalid string) {
	switch {
	case h.sweepManager.enabled() && strings.HasPrefix(r.targetID, RunPrefix):
		h.refuseUnlessKnown(r, ReplyInvalid, "name_id: begins like the runs of sweeps")
		return
	case invalid != "":
		h.refuseUnlessKnown(r, ReplyInvalid, invalid)
		return
	case !h.machineTypesKnown(r):
		return
	}
	if err := h.checkFeasible(r.spec); err != nil {
		h.refuseUnlessKnown(r, ReplyUnacceptable, err.Error())
		return
	}
	switch {
	case len(r.spec.Dependencies) > 0 && !h.membership.logEnabled():
		// A controller of version 1 would store the job without its dependencies or
		// start it at once.
		h.emit(retryLaterReply(r.id, 2, "awaits: not before all controllers have the new version"))
	case slices.Contains(r.spec.Dependencies, r.targetID):
		h.dependencies.refuseDependency(r, r.targetID, "is the job itself")
	default:
		h.dependencies.checkDependencies(r)
	}
}

// machineTypesKnown reports whether submissions can be checked against the machine types.
// If not, it replies to the request.
func (h *requestHandler) machineTypesKnown(r *request) bool {
	if len(h.cache.machineTypes) > 0 {
		return true
	}
	h.emit(retryLaterReply(r.id, 2, "machine types are not known yet"))
	return false
}

// checkFeasible returns the reason why a job can never run, or nil.
func (h *requestHandler) checkFeasible(spec *jobstate.Spec) error {
	team := h.settings.Team(spec.Team)
	if team == nil {
		return fmt.Errorf("unknown team %q", spec.Team)
	}
	if !fleet.FitsAnyType(h.cache.machineTypes, spec) {
		return errFitsNoMachineType
	}
	if !fleet.FitsSpread(h.cache.machineTypes, spec) {
		return errCannotSpread
	}
	concurrent := 1.0
	if spec.Kind != jobstate.Array {
		concurrent = float64(spec.Tasks) // all tasks of a gang or service run at the same time
	}
	aboveCPUs := team.CPUsMax > 0 && float64(spec.Need.CPU)*concurrent > team.CPUsMax*1000
	aboveGPUs := team.GPUsMax > 0 && float64(spec.Need.GPU)*concurrent > team.GPUsMax*1000
	if aboveCPUs || aboveGPUs {
		return errAboveTeamLimit
	}
	return nil
}

// writeJob stores a submitted job.
func (h *requestHandler) writeJob(r *request) {
	jobKey := jobPrefix + r.targetID
	value := jobstate.Record{Spec: r.spec, SubmittedWall: r.receivedAt + h.wallOffset}.Encode(0)
	if limit := h.membership.valueLimit(); len(value) > limit {
		h.refuseUnlessKnown(r, ReplyInvalid, fmt.Sprintf("the description takes %d bytes, and %d can be stored", len(value), limit))
		return
	}
	h.queues.inFlight[r.targetID] = nil
	conditions := []Cond{kv.RevisionIs(jobKey, 0), kv.RevisionIs(endPrefix+r.targetID, 0)}
	h.commitTransaction(conditions, []Write{{Key: jobKey, Value: value}}, func(result TransactionResult) {
		defer h.resumeCoalesced(r.targetID)
		h.onJobWritten(r, result)
	})
}

func (h *requestHandler) onJobWritten(r *request, result TransactionResult) {
	switch result.Outcome {
	case kv.Committed:
		h.emit(Reply{RequestID: r.id, Status: ReplyCreated, Job: &JobState{ID: r.targetID, State: Queued}})
	case kv.Conflict:
		// The job is known: the submission is a repeat, perhaps of this very request. If
		// the job has ended, its end has to be looked up: a read of the state does not
		// include ends, and the write would fail again on the stored end.
		if slices.Contains(result.Failed, endPrefix+r.targetID) {
			h.lookUpEnd(r)
			return
		}
		h.waitForRead(r)
	case kv.Malformed:
		// The value is within the known limits, so the lower limits must be in force.
		h.membership.lowerLimits("a job's description was refused")
		h.retryWrite(r)
	default:
		h.retryWrite(r)
	}
}
