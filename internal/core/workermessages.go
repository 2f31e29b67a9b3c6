package core

// HeartbeatReceived is a worker's heartbeat; the reply to it contains commands.
type HeartbeatReceived struct {
	RequestID uint64
	Heartbeat Heartbeat
	// From is the controller that relayed the heartbeat, "" if it came from the worker itself.
	From string
	// ViaPeer is set if the controller named in From does not reach the leader, so that this
	// controller should relay the heartbeat to the leader.
	ViaPeer bool
}

// RelayHeartbeat relays a heartbeat to the leader or, if ViaPeer is set, to a peer that reaches
// the leader; HeartbeatRelayed is the answer.
type RelayHeartbeat struct {
	RequestID uint64
	To        string
	Heartbeat Heartbeat
	ViaPeer   bool
}

// HeartbeatRelayed is the leader's reply to a relayed heartbeat.
type HeartbeatRelayed struct {
	RequestID uint64
	Answer    Reply
	Err       error
}

// ProbeMachine asks a machine for a heartbeat, to find out whether this controller reaches it;
// MachineProbed is the answer.
type ProbeMachine struct {
	Machine string
	Addr    string
}

// MachineProbed is the result of a probe. Heartbeat is the machine's answer, or nil if it could
// not be read.
type MachineProbed struct {
	Machine   string
	SentAt    int64
	OK        bool
	Heartbeat *Heartbeat
}

// SendCommands sends commands directly to a worker's address, without waiting for its next
// heartbeat. There is no answer to it; later heartbeats show the effect.
type SendCommands struct {
	Addr         string
	FencingToken uint64
	Epoch        uint64
	Commands     []Command
}

// Heartbeat is a worker's report of the state of its machine and tasks.
type Heartbeat struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	// Epoch is the number of the worker's epoch: when the worker's lease expires, all its tasks
	// end and the next epoch begins. Seq counts the heartbeats within an epoch. FencingToken
	// is the highest token that the worker has accepted.
	Epoch, Seq, FencingToken uint64
	// PreemptionNotice is the time in microseconds until the cloud reclaims the machine, or
	// NoPreemptionNotice.
	PreemptionNotice int64
	Tasks            []TaskStatus
}

// NoPreemptionNotice is the PreemptionNotice of a machine for which the cloud has not announced
// a preemption.
const NoPreemptionNotice = -1

// TaskStatus is the status of one task attempt in a heartbeat.
type TaskStatus struct {
	Name         string
	Attempt      uint64
	State        TaskState
	Reason       ExitReason
	Checkpointed bool
}

// TaskState is the state of an attempt on its machine. An unknown state, from a newer worker, is
// treated as TaskFetching.
type TaskState string

// The states of an attempt.
const (
	TaskFetching      TaskState = "fetching"
	TaskWaiting       TaskState = "waiting" // for the other tasks of its gang
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "saving"
	TaskExited        TaskState = "exited"
)

// ExitReason is the reason why an attempt has exited, or empty if it has not.
type ExitReason string

// The reasons for an exit.
const (
	ExitDone    ExitReason = "done"
	ExitError   ExitReason = "error"
	ExitStopped ExitReason = "stopped"
	// ExitPeersLost means that another task of the same gang has exited.
	ExitPeersLost ExitReason = "peers"
	// ExitGangIncomplete means that the rest of the gang was not ready in time.
	ExitGangIncomplete ExitReason = "alone"
	// The worker could not start the attempt: the machine has no room, another attempt of
	// the task is still there, or the worker does not know the task.
	ExitNoRoom      ExitReason = "no_room"
	ExitBusy        ExitReason = "busy"
	ExitUnknownTask ExitReason = "unknown"
)

// Command is a command to a worker.
type Command struct {
	Kind    CommandKind
	Task    string
	Attempt uint32
	Grace   int64 // microseconds
}

// CommandKind is the action that a worker should take on an attempt.
type CommandKind string

// The kinds of commands. CommandForget drops an attempt that has exited.
const (
	CommandStart  CommandKind = "start"
	CommandStop   CommandKind = "stop"
	CommandForget CommandKind = "forget"
)
