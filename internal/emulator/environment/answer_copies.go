package environment

import (
	"slices"

	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// copyAnswers delivers a share of the answers that workers have executed to them once more while
// the fault lasts.
func copyAnswers(env *Environment, f Fault) (beginFault, error) {
	return func() func() {
		env.answerCopyShare = f.Share
		return func() { env.answerCopyShare = 0 }
	}, nil
}

// repeatAnswer delivers the answer to a report to the worker once more, with the probability
// answerCopyShare. The page on the large deployments says that late copies of old messages may
// follow, also to a machine that has been back within a fraction of a second, and the protocol that
// a worker drops responses after 4 s, with a lower token, and to reports of an earlier session.
func (c *reportCall) repeatAnswer(answer wire.HeartbeatAnswer) {
	m, env := c.machine, c.machine.env
	if env.answerCopyShare == 0 || len(answer.Orders) == 0 || env.rng.Float64() >= env.answerCopyShare {
		return
	}
	droppedAt := c.sentAt + m.workerTime(float64(reportTimeout)/1e6)
	env.after(int64(env.rng.Float64()*float64(droppedAt-env.now)), func() {
		if m.gone || !m.up || m.hanging || answer.Token < m.token || m.session != c.session {
			return
		}
		if slices.ContainsFunc(answer.Orders, m.wouldStart) {
			env.recordOccurrence(history.OccurStartCopy)
		}
		m.updateToken(answer.Token)
		m.executeOrders(answer.Orders)
	})
}

// wouldStart reports whether a command starts an attempt that the worker does not know.
func (m *machine) wouldStart(order wire.Order) bool {
	_, known := m.find(order.Task, order.Attempt)
	return order.Op == "run" && !known
}
