// Package wire defines the messages that controllers of different versions exchange,
// and converts them to and from the core's types.
//
// The messages are encoded with gob, which matches fields by name and silently drops a
// field that the receiver does not have. Field names in this package are therefore
// fixed, even if the core calls the field differently: fields may be added, but must
// not be renamed, retyped or given another meaning. The names of the types are not
// matched.
//
// A field that is missing in a message is zero, because older versions do not send it.
// A nil pointer is not sent; a pointer to a zero struct is. Times and durations are in
// microseconds unless noted otherwise.
package wire

// PingArgs is a ping, the request for a controller's status.
type PingArgs struct {
	// From is the name of the sender.
	From string
	// Need means that the sender knows too few machines to probe.
	Need bool
	// Boot is the incarnation of the sender.
	Boot string
	// Ask is the sender's request for a read lease.
	Ask *Question
	// Tell has cancellations that the sender knows.
	Tell *Page
}

// PingReply is the response to a ping: the controller's name and status.
type PingReply struct {
	Name string
	News PeerNews
}

// BeatArgs is a worker's heartbeat that is relayed to the leader.
type BeatArgs struct {
	// From is the name of the controller that relays the heartbeat.
	From   string
	Report Report
	// Onward means that the sender can't reach the leader, so that the receiver has to
	// pass the heartbeat on. A version that does not know the field answers that it is
	// not the leader.
	Onward bool
}

// AskArgs is a forwarded request. Exactly one field is set. A version that does not know
// the request decodes an empty AskArgs and answers with peer.ErrEmptyRequest.
type AskArgs struct {
	Submit *Submit
	Status *Status
	Cancel *Cancel
	Cloud  *CloudFor
	View   *ViewFor

	Sweep       *HandedSweep
	SweepStatus *SweepStatus
	SweepRuns   *SweepRuns
	CancelSweep *CancelSweep
}

// Reply is the response to a BeatArgs or an AskArgs.
//
// Versions without this type sent the core's reply, which also has a field Ops. No answer
// to a forwarded request sets that field, and no field here may have the name Ops.
type Reply struct {
	Req    uint64
	Status int
	// Retry is the time after which the request may be retried, in seconds.
	Retry int
	Error string
	Job   *JobState
	Sweep *SweepState
	Runs  *SweepPage
	News  *PeerNews
	Cloud *CloudAnswer
	Gone  *GoneState
	View  *View
	// Token and Orders are the fencing token and the commands that answer a heartbeat.
	Token  uint64
	Orders []Order
	// Leader is the controller to which a misdirected heartbeat should be sent.
	Leader string
}

// Question is a request for a read lease on the cancellations that a controller has
// confirmed, see readlease.GrantRequest.
type Question struct {
	// Boot is the incarnation of the grantor whose cancellations are known up to Upto.
	Boot string
	Upto uint64
	// Applied is the revision up to which the stored state is known.
	Applied uint64
}

// Page is a part of the cancellations that a controller knows, see
// readlease.CancellationPage.
type Page struct {
	// Boot is the incarnation of the grantor.
	Boot string
	// The page has the cancellations with numbers above After and up to Upto.
	After, Upto uint64
	Cancelled   []string
	// More means that there are further pages. Whole means that with this page the
	// confirmed cancellations of this and all earlier incarnations are known; otherwise
	// only those of this incarnation are.
	More, Whole bool
}

// Ack is the response to a Page, see readlease.HolderAck.
type Ack struct {
	// Holds means that the sender holds, or may still obtain, a read lease of the
	// grantor.
	Holds bool
	// Boot is the incarnation of the grantor whose cancellations are known up to Upto.
	Boot string
	Upto uint64
	// Applied is the revision up to which the stored state is known.
	Applied uint64
}

// PeerNews is the status that a controller sends its peers.
type PeerNews struct {
	// Token and Leader are the fencing token and the name of the newest known leader.
	Token  uint64
	Leader string
	// StateAge is the time since the last response of the state service.
	StateAge int64
	// Cancelled has recent cancellations for a leader whose version does not know Vouch.
	Cancelled []string
	// Vouch is the read lease that answers the Ask of a ping, and Ack the answer to its
	// Tell.
	Vouch *Page
	Ack   *Ack
	// Version is the newest stored format that the controller can write, and Features are
	// the features that the controller supports.
	Version  int
	Features []string
	// Lowered means that the limits of the state service have been lowered.
	Lowered bool
	// Reach is the connectivity of the controller.
	Reach *Reach
	// Machines has some known machines, for a sender whose ping has Need set.
	Machines []Machine
}

// Reach is the connectivity of a controller, see connectivity.Advertisement.
type Reach struct {
	// Boot is the incarnation of the controller.
	Boot string
	// Workers is the fraction of reachable machines of each zone, in eighths.
	Workers map[string]int
	// Peers are the reachable controllers.
	Peers []string
	// Cloud means that the cloud is reachable.
	Cloud bool
	// Flaps means that the connectivity is flapping.
	Flaps bool
}

// Machine is the location of a worker.
type Machine struct {
	Name, Addr, Zone string
}

// Report is a worker's heartbeat with the status of its tasks.
type Report struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	// Session is the worker's epoch, Seq the number of the heartbeat in it, and Token
	// the highest fencing token that the worker has accepted.
	Session, Seq, Token uint64
	// Notice is the time until the cloud preempts the machine, or -1 if there is no
	// preemption notice.
	Notice int64
	Tasks  []TaskReport
}

// TaskReport is the status of a task.
type TaskReport struct {
	Name    string
	Attempt uint64
	State   string
	// Why is the reason of the task's exit.
	Why string
	// Saved means that the task has written a checkpoint.
	Saved bool
}

// Order is a command to a worker.
type Order struct {
	Op      string
	Task    string
	Attempt uint32
	Grace   int64
}

// Submit is the submission of a job.
//
// In this and the other requests, Req is the request ID and Handed means that the
// request was forwarded by a peer.
type Submit struct {
	Req    uint64
	Handed bool
	Spec   *Spec
	// Invalid is the reason why only the ID of the job could be decoded.
	Invalid string
}

// Spec is the specification of a job.
type Spec struct {
	ID         string
	Class      string
	Team       string
	Kind       string
	Priority   int
	Tasks      int
	Need       Vec
	Types      []string
	Zone       string
	OneZone    bool
	Spread     bool
	Spot       bool
	Image      string
	ImageMB    int64
	Estimate   int64
	Checkpoint int64
	Save       int64
	Deadline   int64
	Awaits     []string
	Sweep      string
	Run        int
}

// Vec is an amount of each resource, see jobstate.Resources.
type Vec struct {
	CPU, GPU, Mem int64
}

// Status is a query for the state of a job.
type Status struct {
	Req    uint64
	Handed bool
	ID     string
}

// Cancel is the cancellation of a job.
type Cancel struct {
	Req    uint64
	Handed bool
	ID     string
}

// CloudFor is a leader's request to a peer to make a cloud call.
type CloudFor struct {
	Req   uint64
	Token uint64
	Call  CloudCall
}

// CloudCall is a cloud call. Exactly one of Types, List, Rent and Release is set.
type CloudCall struct {
	// Types lists the machine types, and List the machines.
	Types, List bool
	// Gap is the pause between two pages of a list.
	Gap int64
	// Rent requests new machines.
	Rent *Rent
	// Release has the names of the machines to return.
	Release []string
}

// Rent is a request for machines. Name is the name of the request.
type Rent struct {
	Name, Type, Zone string
	Spot             bool
	Count            int
	// Until is a deadline on the sender's clock. It has no meaning for the receiver.
	Until int64
	Token uint64
}

// ViewFor is a follower's request for the changes after revision After.
type ViewFor struct {
	Req   uint64
	After uint64
	// Need is the number of writes that the follower lacks for its users' requests.
	Need int
}

// HandedSweep is the forwarded submission of a sweep. Stored is the packed sweep, and
// Invalid the reason why it can't be accepted, if there is one.
type HandedSweep struct {
	ID, Stored, Invalid string
}

// SweepStatus is a query for the state of a sweep.
type SweepStatus struct {
	Req    uint64
	ID     string
	Handed bool
}

// SweepRuns is a query for at most Most runs of a sweep, beginning with the run of number
// After.
type SweepRuns struct {
	Req         uint64
	ID          string
	After, Most int
	Handed      bool
}

// CancelSweep is the cancellation of a sweep.
type CancelSweep struct {
	Req    uint64
	ID     string
	Handed bool
}

// JobState is the state of a job.
type JobState struct {
	ID            string
	State         string
	Done, Running int
}

// SweepState is the state of a sweep.
type SweepState struct {
	ID, State                      string
	Runs, Created, Done, Withdrawn int
}

// SweepPage is a page of the runs of a sweep. Next is the number of the first run on the
// next page, or 0 on the last page.
type SweepPage struct {
	Runs []SweepRun
	Next int
}

// SweepRun is a run of a sweep. Values is encoded as JSON.
type SweepRun struct {
	Number    int
	ID, State string
	Values    []byte
	Sets      []int
}

// CloudAnswer is the result of a CloudCall. Status is 0 if the outcome is unknown.
type CloudAnswer struct {
	Status int
	Types  []MachineType
	List   []Listing
	// Names are the names of the new machines.
	Names []string
}

// MachineType is a machine type of the cloud. Prices are per hour.
type MachineType struct {
	Name      string
	Cap       Vec
	FetchRate int64
	CacheMB   int64
	Price     float64
	SpotPrice float64
	Boot      int64
	Zones     []string
}

// Listing is an entry of the cloud's list of machines.
type Listing struct {
	Name, Addr, Type, Zone, Status string
	Spot                           bool
	Age                            int64
}

// GoneState states whether operators have marked a controller as decommissioned.
type GoneState struct {
	Name string
	Gone bool
}

// View is the leader's response to a ViewFor: the changes up to revision Ledger.
type View struct {
	Ledger  uint64
	Changes []Change
	// Granted is the number of writes that the follower may make on the leader's budget.
	Granted int
	// Ordered is set by a leader whose log of changes is in the order of their revisions.
	Ordered bool
}

// Change is the new value of a key at revision Stamp, or its removal.
type Change struct {
	Key     string
	Value   []byte
	Stamp   uint64
	Removed bool
}
