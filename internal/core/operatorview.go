package core

import "github.com/zinclb/zinclb/internal/core/upgrade"

// QueryOperatorView requests the operators' view. It changes nothing.
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
	// ReadsLeft is what is left of its share of reads, ReadsBy the controller from which
	// it reads the state, "" for the state service.
	ReadsLeft  float64         `json:"reads_left"`
	ReadsBy    string          `json:"reads_by"`
	CallsLeft  float64         `json:"cloud_calls_left"`
	Peers      []PeerView      `json:"peers"`
	Partitions []PartitionView `json:"partitions"`
	Queues     []QueueView     `json:"queues,omitempty"`
	Machines   MachinesView    `json:"machines"`
	Jobs       int             `json:"unfinished_jobs"`
	// AnswersForS is how long a leader may still answer workers without newer proof of
	// its authority, below 0 when that is over.
	AnswersForS float64 `json:"answers_for_s,omitempty"`
	// Awaiting counts the unfinished jobs that wait for their dependencies.
	Awaiting int `json:"awaiting_jobs"`
	// UnstoredEnds counts the jobs whose ends are known and not known to be stored: it goes
	// to 0 within seconds on every controller. Ends has what led to them.
	UnstoredEnds int       `json:"unstored_ends"`
	Ends         EndCounts `json:"ends"`
	// Format is the version of stored data, LimitsLowered says that the announced lower
	// limits of the state service hold already.
	Format        int  `json:"format"`
	LimitsLowered bool `json:"state_limits_fallen"`
	// Conditions say in words what needs an operator's attention.
	Conditions []string `json:"troubles"`
	// Features are this program's; Members has what each controller advertises.
	Features []FeatureView         `json:"features"`
	Members  map[string]MemberView `json:"members"`
	Reach    ConnectivityView      `json:"reach"`
	// Latencies are those of users' requests in this process since its start.
	Latencies []LatencyView `json:"latencies,omitempty"`
}

// FeatureView is a feature, and what holds it back if it is not on.
type FeatureView struct {
	Name string   `json:"name"`
	On   bool     `json:"on"`
	Held []string `json:"held_back,omitempty"`
}

// MemberView is what a controller advertises: its program, 0 for one that does not say,
// the newest format that it reads, its features and those that its operators hold back.
type MemberView struct {
	Program  int                   `json:"program"`
	Format   int                   `json:"format"`
	Features []upgrade.FeatureName `json:"features,omitempty"`
	Held     []upgrade.FeatureName `json:"holds_back,omitempty"`
}

// ConnectivityView is what this controller knows of its own links and the others'.
type ConnectivityView struct {
	Links []LinkView `json:"links"`
	// Matrix has what each controller that could lead advertises.
	Matrix map[string]ConnectivityRowView `json:"matrix"`
	// SteppedAside is when this controller last stepped down in favour of another.
	SteppedAside *LeadershipTransferView `json:"gave_way,omitempty"`
}

// LinkView is one link.
type LinkView struct {
	Link string `json:"link"`
	// State is up, slow, flapping, refusing, lost or unknown.
	State string `json:"state"`
	// AgeS is how long ago the link last worked, -1 for never.
	AgeS float64 `json:"proven_s_ago"`
}

// ConnectivityRowView is what a controller reaches: eighths of each zone's machines, and
// how many of them it would serve as the leader, through others too; the controllers that
// answer it; the cloud.
type ConnectivityRowView struct {
	Workers map[string]int `json:"workers_eighths"`
	Leading map[string]int `json:"as_leader_eighths"`
	Peers   []string       `json:"peers"`
	Cloud   bool           `json:"cloud"`
}

// LeadershipTransferView is how a leader last stepped down in favour of another.
type LeadershipTransferView struct {
	To     string  `json:"to"`
	Reason string  `json:"why"`
	AgeS   float64 `json:"s_ago"`
}

// LatencyView is how long a users' call took to be answered, in ms.
type LatencyView struct {
	Call    string  `json:"call"`
	Answers int64   `json:"answers"`
	Mean    float64 `json:"mean_ms"`
	P50     float64 `json:"p50_ms"`
	P95     float64 `json:"p95_ms"`
	P99     float64 `json:"p99_ms"`
	Max     float64 `json:"max_ms"`
}

// PeerView is another controller.
type PeerView struct {
	Name string `json:"name"`
	Up   bool   `json:"up"`
}

// PartitionView is a partition of the machines and its holder.
type PartitionView struct {
	Holder string `json:"holder"`
	// Ends is the hash before which the partition ends.
	Ends     uint32 `json:"ends"`
	Machines int    `json:"machines"`
}

// QueueView is a queue and its pivot.
type QueueView struct {
	Waiting int     `json:"waiting_jobs"`
	Tasks   int     `json:"waiting_tasks"`
	Pivot   string  `json:"pivot,omitempty"`
	StartsS float64 `json:"pivot_starts_in_s,omitempty"`
	WaitsS  float64 `json:"pivot_waits_s,omitempty"`
	Reason  string  `json:"why,omitempty"`
}

// MachinesView counts machines by what they are doing.
type MachinesView struct {
	Busy        int `json:"busy"`
	Idle        int `json:"idle"`
	Prefetching int `json:"warming"`
	Silent      int `json:"silent"`
	// NotReceiving counts those that send heartbeats but can't receive answers.
	NotReceiving int `json:"deaf"`
	Draining     int `json:"draining"`
	Booting      int `json:"booting"`
}
