package core

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/kv"
)

// onMachineTypesListed applies the machine types that the cloud offers, and stores them for later
// leaders that are elected while the cloud does not answer.
func (s *scaler) onMachineTypesListed(m MachineTypesListed) {
	s.cloud.cloudCallEnded(m.ViaPeer, m.Err)
	if !s.elector.leadsWithToken(m.FencingToken) {
		return
	}
	state := &s.elector.leadership.scaling
	state.callsRunning--
	if m.Err != nil || len(m.Types) == 0 {
		state.typesListedAt = s.now - typesInterval + typesRetryGap
		return
	}
	old := encodeJSON(s.cache.machineTypes)
	isStored := s.cache.setMachineTypes(m.Types)
	if types := encodeJSON(m.Types); !isStored || string(old) != string(types) {
		s.writeTypes(types)
	}
	for _, machine := range s.elector.leadership.fleet.All() {
		machine.SetType(s.cache.machineTypes)
	}
	s.elector.leadership.planning.requestRound()
}

// writeTypes stores the machine types in one value, or in one value per type if they do not fit. The
// values are numbered in the order of the types' names, as the cloud lists types in any order. They are
// written one by one, so a value that got another type would leave that value's earlier type
// unstored if the leader ended in between.
func (s *scaler) writeTypes(all []byte) {
	writes := []Write{{Key: typesKey, Value: all}}
	if len(all) > s.membership.valueLimit() {
		writes = writes[:0]
		for i, t := range slices.SortedFunc(slices.Values(s.cache.machineTypes), compareTypeNames) {
			writes = append(writes, Write{Key: typesKey + "/" + strconv.Itoa(i), Value: encodeJSON([]fleet.Type{t})})
		}
	}
	for _, w := range writes {
		s.committer.putAsLeader(w.Key, w.Value, func(r TransactionResult) {
			if r.Outcome == kv.Committed {
				s.cache.setTypesRevision(r.Revision)
			} else {
				s.cache.setTypesRevision(0)
			}
		})
	}
}

func compareTypeNames(a, b fleet.Type) int { return cmp.Compare(a.Name, b.Name) }
