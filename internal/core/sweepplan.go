package core

import (
	"encoding/json"
	"errors"
	"strings"
)

// planRetry is how long after a failure a plan is loaded again.
const planRetry = second

var errOtherExpansion = errors.New("another version of the program expanded it to other runs")

// loadSweepPlan loads a sweep's plan, unless it is there or being loaded.
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

// missingPart finds a part of the description that is not in memory, as those of a
// closed sweep.
func (s *sweep) missingPart() (part int, ok bool) {
	for i := range s.head.Parts {
		if _, ok := s.parts[i]; !ok {
			return i, true
		}
	}
	return 0, false
}

// readSweepPart reads a part of the description and goes on with loading the plan.
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

// sweepPlanFailed answers the requests that wait for a plan which can't be had now.
func (m *sweepManager) sweepPlanFailed(s *sweep, reason string) {
	s.notBefore = m.now + planRetry
	for _, r := range s.planRequests {
		m.emit(retryLaterReply(r.id, 1, reason))
	}
	s.planRequests = nil
}

// onExpanded takes over the plan of a sweep.
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
		m.log.Error("stored sweep can't be expanded", "sweep", s.id, "error", err)
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

// keepPlanOf keeps the plan of one closed sweep, the last that was loaded.
func (m *sweepManager) keepPlanOf(s *sweep) {
	if last := m.sweeps[m.lastPlanned]; last != nil && last != s && last.closed {
		last.forgetPlan()
	}
	m.lastPlanned = s.id
}
