// Package wire has the protocols' requests and answers as the emulator sees
// them from the outside: the names of the published protocol stand in its tags
// and nowhere else in the emulator. Durations are seconds, as on the wire.
package wire

import "encoding/json"

// Job is a submission.
type Job struct {
	ID              string   `json:"name_id"`
	Class           string   `json:"herd"`
	Team            string   `json:"steward"`
	Kind            string   `json:"shape"`
	Priority        string   `json:"urgency"`
	Tasks           int      `json:"hands"`
	CPUs            float64  `json:"vcpus"`
	GPUs            float64  `json:"gpus"`
	MemGB           float64  `json:"mem_gb"`
	Image           string   `json:"seedstock"`
	ImageGB         float64  `json:"pull_gb"`
	Types           []string `json:"breeds,omitempty"`
	Zone            *string  `json:"paddock"`
	OneZone         bool     `json:"one_zone"`
	Spread          bool     `json:"scatter"`
	Spot            bool     `json:"borrowed"`
	EstimateS       float64  `json:"expect_s"`
	CheckpointS     float64  `json:"bank_s"`
	CheckpointCostS float64  `json:"bank_cost_s"`
	DeadlineS       *float64 `json:"due_s"`
	DependsOn       []string `json:"awaits,omitempty"`
}

// The kinds of jobs, the final states and the states between.
const (
	Array   = "sweep"
	Gang    = "gang"
	Service = "standing"

	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "withdrawn"
)

// Requests of users besides a Job, and their answer.
type (
	// RawSubmission is the body of a submission that need not be a Job.
	RawSubmission struct{ Body []byte }
	// Poll asks for the state of a job.
	Poll struct{ ID string }
	// Cancel cancels a job.
	Cancel struct{ ID string }
	// ReadyProbe asks whether a controller is ready.
	ReadyProbe struct{}
	// Sweep submits a sweep by its text.
	Sweep struct{ Text string }
	// SweepPoll asks for the state of a sweep.
	SweepPoll struct{ ID string }
	// SweepCancel cancels a sweep.
	SweepCancel struct{ ID string }
	// JobAnswer answers all requests about a job or a sweep.
	JobAnswer struct {
		ID      string `json:"name_id"`
		State   string `json:"status"`
		Done    int    `json:"done"`
		Running int    `json:"running"`
	}
)

// Report is the heartbeat of a worker, with the state of its machine.
type Report struct {
	Machine string   `json:"stoker"`
	Addr    string   `json:"endpoint"`
	Type    string   `json:"breed"`
	Zone    string   `json:"paddock"`
	Spot    bool     `json:"borrowed"`
	Session uint64   `json:"shift"`
	Seq     uint64   `json:"tally"`
	Token   uint64   `json:"baton"`
	NoticeS *float64 `json:"recall_s"`
	Tasks   []Task   `json:"hands"`
}

// Task is one task of a report.
type Task struct {
	Name    string `json:"hand"`
	Attempt uint64 `json:"try"`
	State   string `json:"status"`
	Reason  string `json:"cause,omitempty"`
	Saved   bool   `json:"stored,omitempty"`
}

// The states of a task on its machine.
const (
	Fetching = "fetching"
	Waiting  = "waiting"
	Saving   = "saving"
	Ended    = "ended"
)

// Order is a command to a worker.
type Order struct {
	Op      string  `json:"verb"`
	Task    string  `json:"hand"`
	Attempt uint64  `json:"try"`
	GraceS  float64 `json:"wind_down_s,omitempty"`
}

// HeartbeatAnswer answers a report; Leader is in that with status 421.
type HeartbeatAnswer struct {
	Token  uint64  `json:"baton"`
	Orders []Order `json:"orders"`
	Leader string  `json:"foreman"`
}

// Requests to a worker.
type (
	// WorkerOrders are commands sent to a worker's own address.
	WorkerOrders struct {
		Token   *uint64 `json:"baton"`
		Session *uint64 `json:"shift"`
		Orders  []Order `json:"orders"`
	}
	// Inspect asks a worker for its report.
	Inspect struct{}
)

// Requests to the cloud, and their answers.
type (
	// Types asks for the types of machines.
	Types struct{}
	// MachineType is a type of machines, also in the configuration of the emulator.
	MachineType struct {
		Name      string   `json:"label"`
		CPUs      float64  `json:"vcpus"`
		GPUs      float64  `json:"gpus"`
		MemGB     float64  `json:"mem_gb"`
		CacheGB   float64  `json:"local_gb"`
		FetchRate float64  `json:"fetch_gb_per_s"`
		Price     float64  `json:"price"`
		SpotPrice float64  `json:"market_price"`
		BootS     float64  `json:"boot_s"`
		Zones     []string `json:"paddocks"`
	}
	// TypesAnswer answers Types.
	TypesAnswer struct {
		Types []MachineType `json:"breeds"`
	}
	// Rent asks for machines; Request makes repetitions idempotent.
	Rent struct {
		Request string `json:"hire"`
		Type    string `json:"breed"`
		Zone    string `json:"paddock"`
		Spot    bool   `json:"borrowed"`
		Count   int    `json:"number"`
	}
	// MachineNames answers Rent.
	MachineNames struct {
		Machines []string `json:"stokers"`
	}
	// Release returns machines.
	Release struct{ MachineNames }
	// Machines asks for a page of the list of machines.
	Machines struct {
		After string
		Limit int
	}
	// Listing is a machine in the list.
	Listing struct {
		Name   string  `json:"name_id"`
		Addr   string  `json:"endpoint"`
		Type   string  `json:"breed"`
		Zone   string  `json:"paddock"`
		Spot   bool    `json:"borrowed"`
		Status string  `json:"status"`
		AgeS   float64 `json:"held_s"`
	}
	// MachinesAnswer answers Machines.
	MachinesAnswer struct {
		Machines []Listing `json:"stokers"`
		More     bool      `json:"truncated"`
	}
	// Error is the body of an answer that reports an error.
	Error struct {
		Error string `json:"error"`
	}
)

// Requests to the state service, and their answers.
type (
	// Get reads a key.
	Get struct{ Key string }
	// List reads a page of the keys with a prefix.
	List struct {
		Prefix, After string
		Limit         int
	}
	// Row is a key with its value and revision.
	Row struct {
		Key   string          `json:"path"`
		Value json.RawMessage `json:"data"`
		Stamp uint64          `json:"stamp"`
		Lease uint64          `json:"tenure,omitempty"`
	}
	// Page answers List.
	Page struct {
		Rows     []Row  `json:"rows"`
		More     bool   `json:"truncated"`
		Revision uint64 `json:"ledger"`
	}
	// Cond is the condition that a key has a revision, 0 for a key that does not exist.
	Cond struct {
		Key      string `json:"path"`
		Revision uint64 `json:"stamp"`
	}
	// Write puts or removes a key.
	Write struct {
		Put    string          `json:"put,omitempty"`
		Value  json.RawMessage `json:"data,omitempty"`
		Lease  uint64          `json:"tenure,omitempty"`
		Remove string          `json:"remove,omitempty"`
	}
	// Transaction is a compare-and-swap: its writes are executed if all conditions hold.
	Transaction struct {
		Conditions []Cond  `json:"when"`
		Writes     []Write `json:"writes"`
	}
	// TransactionAnswer answers Transaction; Failed are the keys whose conditions did not hold.
	TransactionAnswer struct {
		Revision uint64   `json:"ledger"`
		Failed   []string `json:"failed,omitempty"`
	}
	// NewLease grants a lease.
	NewLease struct {
		DurationMS int64 `json:"life_ms"`
	}
	// Lease answers NewLease.
	Lease struct {
		Lease uint64 `json:"tenure"`
	}
	// RenewLease renews a lease.
	RenewLease struct{ Lease uint64 }
	// RevokeLease ends a lease and removes its keys.
	RevokeLease struct{ Lease uint64 }
	// Watch asks for the changes of a prefix after a revision, and waits for the first.
	Watch struct {
		Prefix string
		After  uint64
		WaitMS int64
	}
	// Change is a key that was put or removed.
	Change struct {
		Put    string          `json:"put,omitempty"`
		Value  json.RawMessage `json:"data,omitempty"`
		Remove string          `json:"remove,omitempty"`
		Stamp  uint64          `json:"stamp"`
	}
	// WatchAnswer answers Watch.
	WatchAnswer struct {
		Revision uint64   `json:"ledger"`
		Changes  []Change `json:"news"`
	}
)

// Key is the key that a write is about.
func (w Write) Key() string { return w.Put + w.Remove }

// Key is the key that a change is about.
func (c Change) Key() string { return c.Put + c.Remove }
