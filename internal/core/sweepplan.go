package core

import (
	"encoding/json"
	"errors"
	"strings"
)

// planRetry is the delay before a plan is loaded again after a failure.
const planRetry = second

var errOtherExpansion = errors.New("another version of the program expanded it to other runs")

// loadSweepPlan starts loading a sweep's plan, unless it is loaded or being loaded, can't be
// expanded at all, or failed to load less than planRetry ago.
func (m *sweepManager) loadSweepPlan(s *sweep) {
	if s.plan != nil || s.expanding || s.stoppedReason != "" || m.now < s.notBefore {
		return
	}
	s.expanding = true
	if part, ok := s.missingPart(); ok {
		m.readSweepPart(s, part)
		return
	}
	var description strings.Builder
	for i := range s.head.Parts {
		description.WriteString(s.parts[i])
	}
	m.emit(ExpandSweep{ID: s.id, Stored: description.String()})
}

// missingPart returns the first part of the description that is not in memory. The parts of a
// closed sweep are not kept.
func (s *sweep) missingPart() (part int, ok bool) {
	for i := range s.head.Parts {
		if _, ok := s.parts[i]; !ok {
			return i, true
		}
	}
	return 0, false
}

// readSweepPart reads a part of the description and continues loading the plan.
func (m *sweepManager) readSweepPart(s *sweep, part int) {
	m.readKey(sweepPartKey(s.id, part), func(read KeyRead) {
		s.expanding = false
		var text string
		if read.Err != nil || read.Revision == 0 || json.Unmarshal(read.Value, &text) != nil {
			m.sweepPlanFailed(s, "its description can't be read now")
			return
		}
		s.parts[part] = text
		m.loadSweepPlan(s)
	})
}

// sweepPlanFailed replies to the requests that wait for a plan which can't be loaded now.
func (m *sweepManager) sweepPlanFailed(s *sweep, reason string) {
	s.notBefore = m.now + planRetry
	for _, r := range s.planRequests {
		m.emit(retryLaterReply(r.id, 1, reason))
	}
	s.planRequests = nil
}

// onExpanded sets the plan of a sweep and answers the requests that wait for it.
func (m *sweepManager) onExpanded(expanded SweepExpanded) {
	s := m.knownSweep(expanded.ID)
	if s == nil {
		return
	}
	s.expanding = false
	err := expanded.Err
	if err == nil && expanded.Plan.Digest != s.head.Digest {
		err = errOtherExpansion
	}
	if err != nil {
		s.stoppedReason = err.Error()
		m.log.Error("cannot expand stored sweep", "sweep", s.id, "error", err)
		m.sweepPlanFailed(s, s.stoppedReason)
		return
	}
	s.plan = expanded.Plan
	requests := s.planRequests
	s.planRequests = nil
	for _, r := range requests {
		m.answerSweepRuns(s, r)
	}
	if s.closed {
		m.keepPlanOf(s)
	}
}

// keepPlanOf keeps the plan of a closed sweep, and releases that of the closed sweep whose
// plan was loaded before it.
func (m *sweepManager) keepPlanOf(s *sweep) {
	if last := m.sweeps[m.lastPlanned]; last != nil && last != s && last.closed {
		last.forgetPlan()
	}
	m.lastPlanned = s.id
}
