package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// maxDirectCommands is how many commands go to a machine in one message.
const maxDirectCommands = 200

// queueDirectStop queues a stop for the worker's own address, which is faster than the
// answer to its next heartbeat. That is safe however late it arrives: an attempt whose stop
// was commanded once is never wanted again. One of a job that is over may be sent even by a
// leader that was replaced and does not know.
func (t *taskManager) queueDirectStop(job *jobstate.Job, index int) {
	term := t.elector.leadership
	task := job.Task(index)
	machine := term.fleet.Get(task.Machine)
	if machine == nil || machine.Addr == "" || machine.Epoch == 0 || !t.workers.mayDeliverStop(job, task) {
		return
	}
	term.directCommands[machine.Name] = append(term.directCommands[machine.Name], Command{
		Kind:    CommandStop,
		Task:    jobstate.TaskName(job.ID, index),
		Attempt: task.Attempt,
		Grace:   task.Grace,
	})
}

// sendDirectCommands sends each machine its queued commands together: hundreds of tasks may
// be stopped in one moment, and each message takes a connection.
func (t *taskManager) sendDirectCommands() {
	term := t.elector.leadership
	for _, name := range sortedKeys(term.directCommands) {
		machine := term.fleet.Get(name)
		if machine == nil {
			continue
		}
		for commands := range slices.Chunk(term.directCommands[name], maxDirectCommands) {
			t.emit(SendCommands{
				Addr:         machine.Addr,
				FencingToken: term.fencingToken,
				Epoch:        machine.Epoch,
				Commands:     commands,
			})
		}
	}
	clear(term.directCommands)
}
