// Package wire has the messages that controllers of different versions exchange,
// and maps them to and from the core's types.
//
// The messages are sent as gob, which matches fields by their names and silently
// drops a field that the other side does not have. So a name here is fixed for good,
// whatever the field is called in the core, and a field is added but never renamed,
// retyped or given another meaning. The types' own names are not matched.
//
// A field that is missing in a message is zero: older versions do not send it. A
// pointer that is nil is not sent, one to a zero struct is. Times are microseconds.
package wire

// PingArgs asks whether a controller is there.
type PingArgs struct {
	// From is the name of the sender.
	From string
	// Need says that the sender knows too few machines.
	Need bool
	// Boot is the incarnation of the sender.
	Boot string
	// Ask is the read lease that the sender asks for.
	Ask *Question
	// Tell is what the sender knows to be cancelled.
	Tell *Page
}

// PingReply says that it is there, and what it knows.
type PingReply struct {
	Name string
	News PeerNews
}

// BeatArgs is a worker's heartbeat that is relayed to the leader.
type BeatArgs struct {
	// From is the name of the controller that relays it.
	From   string
	Report Report
	// Onward says that the sender can't reach the leader. A version that does not
	// know it answers that it does not lead.
	Onward bool
}

// AskArgs is a request that is forwarded: one of them all. A version that does not
// know the request reads an empty one, and says so.
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

// Reply answers a BeatArgs or an AskArgs.
//
// Versions before this type sent the core's reply, which also has a field Ops. No
// request that is forwarded is answered with it, so the name stays unused.
type Reply struct {
	Req    uint64
	Status int
	// Retry is in seconds.
	Retry int
	Error string
	Job   *JobState
	Sweep *SweepState
	Runs  *SweepPage
	News  *PeerNews
	Cloud *CloudAnswer
	Gone  *GoneState
	View  *View
	// Token and Orders answer a heartbeat.
	Token  uint64
	Orders []Order
	// Leader is where a misdirected heartbeat should go.
	Leader string
}

// Question asks a controller for a read lease on the cancellations that it has
// confirmed.
type Question struct {
	Boot    string
	Upto    uint64
	Applied uint64
}

// Page is a part of the cancellations that a controller knows.
type Page struct {
	Boot        string
	After, Upto uint64
	Cancelled   []string
	More, Whole bool
}

// Ack answers a Page.
type Ack struct {
	Holds   bool
	Boot    string
	Upto    uint64
	Applied uint64
}

// PeerNews is the status that a controller sends its peers.
type PeerNews struct {
	// Token and Leader are of the newest leadership that is known.
	Token  uint64
	Leader string
	// StateAge is how long ago the state service last answered.
	StateAge int64
	// Cancelled are cancellations for a leader that does not know Vouch.
	Cancelled []string
	Vouch     *Page
	Ack       *Ack
	// Version is the format that the controller can write, Features what it has.
	Version  int
	Features []string
	// Lowered says that the limits of the state service have fallen.
	Lowered  bool
	Reach    *Reach
	Machines []Machine
}

// Reach is what a controller reaches.
type Reach struct {
	Boot string
	// Workers has for each zone how many eighths of its machines are reached.
	Workers map[string]int
	Peers   []string
	Cloud   bool
	Flaps   bool
}

// Machine is where a worker is.
type Machine struct {
	Name, Addr, Zone string
}

// Report is a worker's heartbeat with the status of its tasks.
type Report struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	Session, Seq, Token       uint64
	// Notice is how long the machine is left, -1 if no notice was given.
	Notice int64
	Tasks  []TaskReport
}

// TaskReport is the status of a task.
type TaskReport struct {
	Name    string
	Attempt uint64
	State   string
	Why     string
	Saved   bool
}

// Order is a command to a worker.
type Order struct {
	Op      string
	Task    string
	Attempt uint32
	Grace   int64
}

// Submit submits a job.
type Submit struct {
	Req    uint64
	Handed bool
	Spec   *Spec
	// Invalid says why only the id of the job could be read.
	Invalid string
}

// Spec is what a user wants run.
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

// Vec is an amount of each resource.
type Vec struct {
	CPU, GPU, Mem int64
}

// Status asks for the state of a job.
type Status struct {
	Req    uint64
	Handed bool
	ID     string
}

// Cancel cancels a job.
type Cancel struct {
	Req    uint64
	Handed bool
	ID     string
}

// CloudFor is a leader's call of the cloud that a peer is to make for it.
type CloudFor struct {
	Req   uint64
	Token uint64
	Call  CloudCall
}

// CloudCall is a call of the cloud: one of the four.
type CloudCall struct {
	Types, List bool
	// Gap is the time between two pages of a list.
	Gap     int64
	Rent    *Rent
	Release []string
}

// Rent asks for machines under the name of a request.
type Rent struct {
	Name, Type, Zone string
	Spot             bool
	Count            int
	// Until is a time of the sender's clock: it says nothing to the receiver.
	Until int64
	Token uint64
}

// ViewFor asks a leader for what has changed after a revision.
type ViewFor struct {
	Req   uint64
	After uint64
	Need  int
}

// HandedSweep submits a sweep.
type HandedSweep struct {
	ID, Stored, Invalid string
}

// SweepStatus asks for the state of a sweep.
type SweepStatus struct {
	Req    uint64
	ID     string
	Handed bool
}

// SweepRuns asks for at most Most runs of a sweep from number After on.
type SweepRuns struct {
	Req         uint64
	ID          string
	After, Most int
	Handed      bool
}

// CancelSweep cancels a sweep.
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

// SweepPage is some runs of a sweep; Next is where to go on, 0 at the end.
type SweepPage struct {
	Runs []SweepRun
	Next int
}

// SweepRun is a run of a sweep. Values is JSON.
type SweepRun struct {
	Number    int
	ID, State string
	Values    []byte
	Sets      []int
}

// CloudAnswer is how a CloudCall ended; Status is 0 if nobody knows.
type CloudAnswer struct {
	Status int
	Types  []MachineType
	List   []Listing
	// Names are of the machines that were rented.
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

// Listing is a machine as the cloud lists it.
type Listing struct {
	Name, Addr, Type, Zone, Status string
	Spot                           bool
	Age                            int64
}

// GoneState says whether operators take a controller for gone.
type GoneState struct {
	Name string
	Gone bool
}

// View is what has changed after a revision up to Ledger.
type View struct {
	Ledger  uint64
	Changes []Change
	// Granted are writes that the asker may make on the leader's budget.
	Granted int
}

// Change is the new value of a key, or its removal.
type Change struct {
	Key     string
	Value   []byte
	Stamp   uint64
	Removed bool
}
