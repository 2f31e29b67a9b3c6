package core

import "github.com/zinclb/zinclb/internal/core/upgrade"

// QueryOperatorView requests the operators' view. It does not change any state.
type QueryOperatorView struct{ RequestID uint64 }

// OperatorView is one controller's view of the service, for operators.
type OperatorView struct {
	Controller   string  `json:"controller"`
	Leader       string  `json:"leader"`
	FencingToken uint64  `json:"token"`
	Leading      bool    `json:"leading"`
	Synced       bool    `json:"synced"`
	Revision     uint64  `json:"revision"`
	StateAgeS    float64 `json:"state_silent_s"`
	WritesLeft   float64 `json:"writes_left"`
	// ReadsLeft is the remaining budget of this controller's share of reads. ReadsBy is the
	// controller from which it reads the state, "" if it reads from the state service.
	ReadsLeft float64 `json:"reads_left"`
	ReadsBy   string  `json:"reads_by"`
	// ReorderedReads counts, since this controller's start, the answers with changes of the
	// stored state that did not list these in the order in which they were made.
	ReorderedReads uint64          `json:"reordered_reads"`
	CallsLeft      float64         `json:"cloud_calls_left"`
	Peers          []PeerView      `json:"peers"`
	Partitions     []PartitionView `json:"partitions"`
	Queues         []QueueView     `json:"queues,omitempty"`
	Machines       MachinesView    `json:"machines"`
	Jobs           int             `json:"unfinished_jobs"`
	// AnswersForS is the time for which a leader may still answer workers without newer proof
	// of its authority, in seconds; it is negative if that time has passed.
	AnswersForS float64 `json:"answers_for_s,omitempty"`
	// Awaiting counts the unfinished jobs that wait for their dependencies.
	Awaiting int `json:"awaiting_jobs"`
	// UnstoredEnds is the number of jobs that are known to have ended, but whose ends are not
	// yet known to be stored. It returns to 0 within seconds on every controller. Ends counts
	// how ends were learned and looked up.
	UnstoredEnds int       `json:"unstored_ends"`
	Ends         EndCounts `json:"ends"`
	// Format is the version of stored data. LimitsLowered is set if the announced lower
	// limits of the state service are already in force.
	Format        int  `json:"format"`
	LimitsLowered bool `json:"state_limits_fallen"`
	// Conditions describe what needs an operator's attention.
	Conditions []string `json:"troubles"`
	// Features are the features of this program; Members has what each controller
	// advertises.
	Features []FeatureView         `json:"features"`
	Members  map[string]MemberView `json:"members"`
	Reach    ConnectivityView      `json:"reach"`
	// Latencies are the response times of users' requests since this process started.
	Latencies []LatencyView `json:"latencies,omitempty"`
}

// FeatureView is a feature and, if it is not enabled, the reasons for that.
type FeatureView struct {
	Name string   `json:"name"`
	On   bool     `json:"on"`
	Held []string `json:"held_back,omitempty"`
}

// MemberView is what a controller advertises: its program version (0 if it advertises none),
// the newest format that it can read, its features, and the features that its operators
// withhold.
type MemberView struct {
	Program  int                   `json:"program"`
	Format   int                   `json:"format"`
	Features []upgrade.FeatureName `json:"features,omitempty"`
	Held     []upgrade.FeatureName `json:"holds_back,omitempty"`
}

// ConnectivityView is what this controller knows of its own links and those of the other
// controllers.
type ConnectivityView struct {
	Links []LinkView `json:"links"`
	// Matrix has the advertised connectivity of each controller that could lead.
	Matrix map[string]ConnectivityRowView `json:"matrix"`
	// SteppedAside describes how this controller last stepped down in favour of another.
	SteppedAside *LeadershipTransferView `json:"gave_way,omitempty"`
}

// LinkView is the state of one link.
type LinkView struct {
	Link string `json:"link"`
	// State is up, slow, flapping, refusing, lost or unknown.
	State string `json:"state"`
	// AgeS is the time since the link last worked, in seconds, or -1 for never.
	AgeS float64 `json:"proven_s_ago"`
}

// ConnectivityRowView is what a controller reaches: the share of each zone's machines, in eighths;
// the share that it would serve as the leader, including machines reached through other
// controllers; the controllers that respond to it; and whether it reaches the cloud.
type ConnectivityRowView struct {
	Workers map[string]int `json:"workers_eighths"`
	Leading map[string]int `json:"as_leader_eighths"`
	Peers   []string       `json:"peers"`
	Cloud   bool           `json:"cloud"`
}

// LeadershipTransferView describes how a leader last stepped down in favour of another.
type LeadershipTransferView struct {
	To     string  `json:"to"`
	Reason string  `json:"why"`
	AgeS   float64 `json:"s_ago"`
}

// LatencyView has the response times of one kind of user request, in ms.
type LatencyView struct {
	Call    string  `json:"call"`
	Answers int64   `json:"answers"`
	Mean    float64 `json:"mean_ms"`
	P50     float64 `json:"p50_ms"`
	P95     float64 `json:"p95_ms"`
	P99     float64 `json:"p99_ms"`
	Max     float64 `json:"max_ms"`
}

// PeerView is another controller, and whether it responds.
type PeerView struct {
	Name string `json:"name"`
	Up   bool   `json:"up"`
}

// PartitionView is a partition of the machines and its holder.
type PartitionView struct {
	Holder string `json:"holder"`
	// Ends is the upper bound of the name hashes of the partition's machines.
	Ends     uint32 `json:"ends"`
	Machines int    `json:"machines"`
}

// QueueView is a queue and its pivot, the job at its head.
type QueueView struct {
	Waiting int     `json:"waiting_jobs"`
	Tasks   int     `json:"waiting_tasks"`
	Pivot   string  `json:"pivot,omitempty"`
	StartsS float64 `json:"pivot_starts_in_s,omitempty"`
	WaitsS  float64 `json:"pivot_waits_s,omitempty"`
	Reason  string  `json:"why,omitempty"`
}

// MachinesView has the number of machines in each state.
type MachinesView struct {
	Busy        int `json:"busy"`
	Idle        int `json:"idle"`
	Prefetching int `json:"warming"`
	Silent      int `json:"silent"`
	// NotReceiving counts machines that send heartbeats but can't receive responses.
	NotReceiving int `json:"deaf"`
	Draining     int `json:"draining"`
	Booting      int `json:"booting"`
}
