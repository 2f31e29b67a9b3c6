package core

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// maxDirectCommands is the maximum number of commands in one message to a machine.
const maxDirectCommands = 200

// queueDirectStop queues a stop that is sent directly to the worker's address, which is faster
// than the answer to its next heartbeat. This is safe however late the stop arrives: an attempt
// that was once commanded to stop is never wanted again. The stop of a task that is no longer
// wanted may be sent even by a leader that was replaced and does not know it yet.
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

// sendDirectCommands sends each machine its queued commands in as few messages as possible:
// hundreds of tasks may be stopped at once, and each message takes a connection.
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
