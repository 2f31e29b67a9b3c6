package core

// HeartbeatReceived is a worker's heartbeat; the reply to it has commands.
type HeartbeatReceived struct {
	RequestID uint64
	Heartbeat Heartbeat
	// From is the controller that relays it, "" for the worker itself.
	From string
	// ViaPeer: that controller does not reach the leader, and this one does.
	ViaPeer bool
}

// RelayHeartbeat relays a heartbeat to the leader, or, with ViaPeer, to a peer that
// reaches it; HeartbeatRelayed answers it.
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

// ProbeMachine asks a machine for a heartbeat, to see whether this controller reaches it;
// MachineProbed answers it.
type ProbeMachine struct {
	Machine string
	Addr    string
}

// MachineProbed is how a probe ended; Heartbeat is the machine's answer, if it could be
// read.
type MachineProbed struct {
	Machine   string
	SentAt    int64
	OK        bool
	Heartbeat *Heartbeat
}

// SendCommands sends commands to a worker's own address, without waiting for its next
// heartbeat; nothing answers it, but the heartbeats show what was done.
type SendCommands struct {
	Addr         string
	FencingToken uint64
	Epoch        uint64
	Commands     []Command
}

// Heartbeat is what a worker says of its machine.
type Heartbeat struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	// Epoch counts the worker's incarnations and Seq its heartbeats in one;
	// FencingToken is the highest that it has accepted.
	Epoch, Seq, FencingToken uint64
	// PreemptionNotice is in how many microseconds the cloud takes the machine, or
	// NoPreemptionNotice.
	PreemptionNotice int64
	Tasks            []TaskStatus
}

// NoPreemptionNotice is the PreemptionNotice of a machine that may stay.
const NoPreemptionNotice = -1

// TaskStatus is one task of a heartbeat.
type TaskStatus struct {
	Name         string
	Attempt      uint64
	State        TaskState
	Reason       ExitReason
	Checkpointed bool
}

// TaskState is how far an attempt is on its machine. One that is not known here, of a
// newer worker, counts as TaskFetching.
type TaskState string

// The states of an attempt.
const (
	TaskFetching      TaskState = "fetching"
	TaskWaiting       TaskState = "waiting" // for the other tasks of its gang
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "saving"
	TaskExited        TaskState = "exited"
)

// ExitReason is why an attempt has exited; it is empty for one that has not.
type ExitReason string

// The reasons for an exit.
const (
	ExitDone    ExitReason = "done"
	ExitError   ExitReason = "error"
	ExitStopped ExitReason = "stopped"
	// ExitPeersLost: a task of the same gang has exited.
	ExitPeersLost ExitReason = "peers"
	// ExitGangIncomplete: the rest of the gang has not come in time.
	ExitGangIncomplete ExitReason = "alone"
	// The worker could not start it: the machine has no room, another attempt of the
	// task is still there, or it does not know the task.
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

// CommandKind is what a worker is to do with an attempt.
type CommandKind string

// The kinds of commands. CommandForget drops an attempt that has exited.
const (
	CommandStart  CommandKind = "start"
	CommandStop   CommandKind = "stop"
	CommandForget CommandKind = "forget"
)
