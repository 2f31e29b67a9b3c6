package core

import "github.com/zinclb/zinclb/internal/core/fleet"

// expireMachineLeases clears the placements of machines whose lease must have expired: the epoch
// timeout has passed since the latest time at which any controller can have answered them.
func (p *planner) expireMachineLeases() {
	timeout := p.settings.EpochTimeout()
	for _, m := range p.elector.leadership.fleet.All() {
		if len(m.Placed) == 0 || p.now-m.LastAnswer < timeout {
			continue
		}
		p.machineGone(m, "its lease has expired")
	}
}

// machineGone clears all placements on a machine, as all tasks on it have certainly ended.
func (p *planner) machineGone(m *fleet.Machine, reason string) {
	if len(m.Placed) > 0 {
		p.log.Info("machine's tasks are lost", "machine", m.Name, "tasks", len(m.Placed), "reason", reason)
	}
	for _, ref := range m.PlacedInOrder() {
		if ref.Job.Task(ref.Index).Machine == m.Name {
			p.tasks.taskLost(ref.Job, ref.Index)
		}
	}
	m.HasCurrentToken = false
	m.MarkChanged()
}
