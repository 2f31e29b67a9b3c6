package core

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/core/kv"
)

// Limits of requests about sweeps.
const (
	maxSweepPage         = 200  // runs
	maxPlanRequests      = 100  // requests that wait for the plan of a sweep
	maxSweepDependencies = 1000 // jobs outside the sweep
	stringQuoteBytes     = 2    // bytes of the quotes of a description part, a JSON string
)

// onSubmitSweep handles the submission of a sweep.
func (m *sweepManager) onSubmitSweep(submission SubmitSweep) {
	r := &request{
		id:         submission.RequestID,
		kind:       requestSweepSubmit,
		targetID:   submission.Plan.ID,
		receivedAt: m.now,
		forwarded:  submission.Forwarded,
		sweep:      sweepRequest{submission: &submission},
	}
	switch {
	case !m.settings.Ops.Sweeps:
		m.emit(Reply{RequestID: r.id, Status: ReplyNotFound, Error: "sweeps are switched off"})
	case !m.cache.synced:
		m.requests.refuse(r)
	case submission.Invalid != "":
		m.requests.refuseUnlessKnown(r, ReplyInvalid, submission.Invalid)
	case !m.requests.machineTypesKnown(r):
	case !m.enabled():
		m.emit(retryLaterReply(r.id, 2, "not before all controllers have sweeps switched on"))
	default:
		m.validateSweep(r)
	}
}

// validateSweep refuses a sweep that can't be accepted, and otherwise continues with its
// dependencies.
func (m *sweepManager) validateSweep(r *request) {
	dependencies, refusal := m.checkRuns(r.sweep.submission.Plan)
	if refusal.Status == 0 {
		refusal = m.checkSweepSize(r.sweep.submission)
	}
	if refusal.Status != 0 {
		m.requests.refuseUnlessKnown(r, refusal.Status, refusal.Error)
		return
	}
	r.spec = &jobstate.Spec{ID: r.targetID, Dependencies: dependencies}
	m.dependencies.checkDependencies(r)
}

// checkRuns returns the jobs outside the sweep that its runs depend on, or a refusal if the
// runs can't be accepted.
func (m *sweepManager) checkRuns(plan *SweepPlan) (dependencies []string, refusal Reply) {
	runIDs := make(map[string]bool, len(plan.Specs))
	for i, spec := range plan.Specs {
		if err := m.requests.checkFeasible(spec); err != nil {
			return nil, Reply{Status: ReplyUnacceptable, Error: fmt.Sprintf("run %s: %s", plan.Values[i], err)}
		}
		runIDs[spec.ID] = true
		for _, id := range spec.Dependencies {
			if !runIDs[id] && !slices.Contains(dependencies, id) {
				dependencies = append(dependencies, id)
			}
		}
		if len(dependencies) > maxSweepDependencies {
			return nil, Reply{Status: ReplyInvalid, Error: fmt.Sprintf("awaits: more than %d jobs of others", maxSweepDependencies)}
		}
	}
	return dependencies, Reply{}
}

// checkSweepSize returns a refusal if the state service can't store the sweep.
func (m *sweepManager) checkSweepSize(submission *SubmitSweep) (refusal Reply) {
	valueLimit := m.membership.valueLimit()
	if longest := submission.Plan.Longest; longest > valueLimit {
		return Reply{Status: ReplyInvalid, Error: fmt.Sprintf("a run's description takes %d bytes, and %d can be stored", longest, valueLimit)}
	}
	size := len(submission.Stored)
	maxOps := m.membership.limits().TxnOps
	if len(m.splitDescription(submission.Stored)) >= maxOps || size > maxTxnBytes {
		maxSize := min(maxTxnBytes, (maxOps-1)*(valueLimit-stringQuoteBytes))
		return Reply{Status: ReplyInvalid, Error: fmt.Sprintf("the sweep's description takes %d bytes when packed, and %d can be stored", size, maxSize)}
	}
	return Reply{}
}

// splitDescription splits a description into parts that each fit into a stored value.
func (m *sweepManager) splitDescription(description string) []string {
	var parts []string
	partSize := m.membership.valueLimit() - stringQuoteBytes
	for len(description) > 0 {
		n := min(partSize, len(description))
		parts = append(parts, description[:n])
		description = description[n:]
	}
	return parts
}

func (m *sweepManager) onQuerySweep(query QuerySweep) {
	m.requestSweep(&request{id: query.RequestID, kind: requestSweepStatus, targetID: query.ID, forwarded: query.Forwarded})
}

func (m *sweepManager) onListSweepRuns(query ListSweepRuns) {
	m.requestSweep(&request{
		id:        query.RequestID,
		kind:      requestSweepRuns,
		targetID:  query.ID,
		forwarded: query.Forwarded,
		sweep:     sweepRequest{after: query.After, limit: query.Limit},
	})
}

func (m *sweepManager) onCancelSweep(cancel CancelSweep) {
	m.requestSweep(&request{id: cancel.RequestID, kind: requestSweepCancel, targetID: cancel.ID, forwarded: cancel.Forwarded})
}

// requestSweep handles a request about a sweep that should already be accepted.
func (m *sweepManager) requestSweep(r *request) {
	r.receivedAt = m.now
	if !m.settings.Ops.Sweeps && m.knownSweep(r.targetID) == nil {
		m.emit(sweepNotFoundReply(r.id))
		return
	}
	m.requests.waitForRead(r)
}

func sweepNotFoundReply(requestID uint64) Reply {
	return Reply{RequestID: requestID, Status: ReplyNotFound, Error: "no such sweep"}
}

// resumeSweepRequest continues a request about a sweep after a read of the state that began
// after the request arrived.
func (m *sweepManager) resumeSweepRequest(r *request) {
	s := m.knownSweep(r.targetID)
	switch {
	case s == nil && r.kind == requestSweepSubmit && r.refusal.Status != 0:
		reply := r.refusal
		reply.RequestID = r.id
		m.emit(reply)
	case s == nil && r.kind == requestSweepSubmit:
		m.requests.queueWrite(r)
	case s == nil:
		m.emit(sweepNotFoundReply(r.id))
	case r.kind == requestSweepSubmit && r.sweep.differsFrom(s):
		m.emit(Reply{RequestID: r.id, Status: ReplyConflict, Error: "id: in use by another sweep"})
	case r.kind == requestSweepRuns:
		m.answerSweepRuns(s, r)
	case r.kind == requestSweepCancel && s.outcome == "":
		m.requests.queueWrite(r)
	case s.outcome == jobstate.Cancelled:
		reply := Reply{RequestID: r.id, Status: ReplyOK, Sweep: s.state()}
		m.readLeases.replyCancelled(reply, cancelledSweepPrefix+s.id)
	default:
		m.emit(Reply{RequestID: r.id, Status: ReplyOK, Sweep: s.state()})
	}
}

// differsFrom reports whether a submitted sweep has other runs than the accepted sweep with
// the same id. It is false for a malformed submission, which has no runs to compare.
func (r *sweepRequest) differsFrom(s *sweep) bool {
	return r.submission.Invalid == "" && r.submission.Plan.Digest != s.head.Digest
}

// createSweep stores a sweep in one transaction.
func (m *sweepManager) createSweep(r *request) {
	plan := r.sweep.submission.Plan
	parts := m.splitDescription(r.sweep.submission.Stored)
	key := sweepPrefix + r.targetID
	head := sweepHead{
		Runs:          len(plan.Specs),
		Parts:         len(parts),
		MaxUnfinished: plan.MaxUnfinished,
		Digest:        plan.Digest,
		Submitted:     r.receivedAt + m.wallOffset,
	}
	writes := []Write{{Key: key, Value: encodeJSON(head)}}
	for i, part := range parts {
		writes = append(writes, Write{Key: sweepPartKey(r.targetID, i), Value: encodeJSON(part)})
	}
	m.health.spendWrites(float64(len(writes)))
	m.commitTransaction([]Cond{kv.RevisionIs(key, 0)}, writes, func(result TransactionResult) {
		switch result.Outcome {
		case kv.Committed:
			state := &SweepState{ID: r.targetID, State: Queued, Runs: head.Runs}
			m.emit(Reply{RequestID: r.id, Status: ReplyCreated, Sweep: state})
		case kv.Conflict:
			m.requests.waitForRead(r)
		case kv.Malformed:
			m.membership.lowerLimits("a sweep's description was refused")
			m.requests.refuse(r)
		default:
			m.requests.retryWrite(r)
		}
	})
}

// sweepPartKey returns the key of a part of a sweep's description.
func sweepPartKey(id string, part int) string {
	return sweepPrefix + id + "/" + strconv.Itoa(part)
}

// cancelSweep creates the key that ends a sweep, with the outcome cancelled.
func (m *sweepManager) cancelSweep(r *request) {
	m.health.spendWrites(cancelSweepWrites)
	key := sweepEndPrefix + r.targetID
	end := sweepEndRecord{Outcome: jobstate.Cancelled, At: m.now + m.wallOffset}
	writes := []Write{{Key: key, Value: encodeJSON(end)}}
	m.commitTransaction([]Cond{kv.RevisionIs(key, 0)}, writes, func(result TransactionResult) {
		switch result.Outcome {
		case kv.Committed:
			m.readLeases.recordCancellation(cancelledSweepPrefix+r.targetID, result.Revision)
			m.recordCancelled(r.targetID)
			m.requests.waitForRead(r) // the reply includes the runs done before the cancellation
		case kv.Conflict:
			m.requests.retryCancellation(r)
		default:
			m.requests.retryWrite(r)
		}
	})
}

// answerSweepRuns replies with a page of runs, once the plan is loaded.
func (m *sweepManager) answerSweepRuns(s *sweep, r *request) {
	if s.plan == nil {
		m.waitForPlan(s, r)
		return
	}
	page := m.pageOfRuns(s, r.sweep.after, r.sweep.limit)
	reply := Reply{RequestID: r.id, Status: ReplyOK, Runs: page}
	if cancelled := s.cancellationsIn(page); len(cancelled) > 0 {
		m.readLeases.replyCancelled(reply, cancelled...)
		return
	}
	m.emit(reply)
}

// waitForPlan makes a request wait until the sweep's plan is loaded.
func (m *sweepManager) waitForPlan(s *sweep, r *request) {
	switch {
	case s.stoppedReason != "":
		m.emit(retryLaterReply(r.id, 30, s.stoppedReason))
	case len(s.planRequests) >= maxPlanRequests:
		m.emit(retryLaterReply(r.id, 2, "too many ask for runs"))
	default:
		s.planRequests = append(s.planRequests, r)
		m.loadSweepPlan(s)
	}
}

// pageOfRuns lists at most limit runs, beginning with number after.
func (m *sweepManager) pageOfRuns(s *sweep, after, limit int) *SweepPage {
	page := &SweepPage{}
	size := min(max(limit, 1), maxSweepPage)
	for i := after; i < len(s.plan.Specs) && len(page.Runs) < size; i++ {
		page.Runs = append(page.Runs, SweepRun{
			Number: i,
			ID:     s.plan.Specs[i].ID,
			State:  m.runState(s, i),
			Values: s.plan.Values[i],
			Sets:   s.plan.Sets[i],
		})
	}
	if n := after + len(page.Runs); n < len(s.plan.Specs) {
		page.Next = n
	}
	return page
}

// cancellationsIn returns the cancellations that a page reports: that of the sweep if it is
// cancelled, otherwise those of its runs.
func (s *sweep) cancellationsIn(page *SweepPage) []string {
	var cancelled []string
	for _, run := range page.Runs {
		if run.State == jobstate.Cancelled {
			cancelled = append(cancelled, run.ID)
		}
	}
	if len(cancelled) > 0 && s.outcome == jobstate.Cancelled {
		return []string{cancelledSweepPrefix + s.id}
	}
	return cancelled
}

// runState returns the state of a run as users see it.
func (m *sweepManager) runState(s *sweep, number int) string {
	id := s.plan.Specs[number].ID
	job := m.cache.jobs[id]
	end, ended := m.cache.knownEnd(id)
	switch {
	case ended:
		return end.Outcome
	case s.cancelled.ContainsInt(number):
		return jobstate.Cancelled
	case s.ended.ContainsInt(number):
		return jobstate.Done
	case job != nil:
		return stateOf(job).State
	case number >= s.next && s.outcome == jobstate.Cancelled:
		return jobstate.Cancelled
	case number >= s.next:
		return RunStatePlanned
	}
	return RunStateEnded
}
