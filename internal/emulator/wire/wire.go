// Package wire defines the requests and responses of the published protocols as the
// emulator uses them. The field names of the published protocol appear in the JSON tags
// of this package and nowhere else in the emulator. Durations are in seconds, as on the wire.
package wire

import "encoding/json"

// Job is the body of a job submission.
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

// Kinds and states of jobs.
const (
	Array   = "sweep"
	Gang    = "gang"
	Service = "standing"

	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "withdrawn"
)

// User requests other than a Job, and the response to them.
type (
	// RawSubmission is a submission with an arbitrary body, which need not be a valid Job.
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
	// JobAnswer is the response to every request about a job or a sweep.
	JobAnswer struct {
		ID      string `json:"name_id"`
		State   string `json:"status"`
		Done    int    `json:"done"`
		Running int    `json:"running"`
	}
)

// Report is a worker heartbeat that carries the state of its machine.
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

// Task is the state of one task in a Report.
type Task struct {
	Name    string `json:"hand"`
	Attempt uint64 `json:"try"`
	State   string `json:"status"`
	Reason  string `json:"cause,omitempty"`
	Saved   bool   `json:"stored,omitempty"`
}

// States of a task on its machine, in addition to Running.
const (
	Fetching = "fetching"
	Waiting  = "waiting"
	Saving   = "saving"
	Ended    = "ended"
)

// Order is a command that a controller sends to a worker.
type Order struct {
	Op      string  `json:"verb"`
	Task    string  `json:"hand"`
	Attempt uint64  `json:"try"`
	GraceS  float64 `json:"wind_down_s,omitempty"`
}

// HeartbeatAnswer is the response to a Report. Leader is set in responses with status 421.
type HeartbeatAnswer struct {
	Token  uint64  `json:"baton"`
	Orders []Order `json:"orders"`
	Leader string  `json:"foreman"`
}

// Requests to a worker.
type (
	// WorkerOrders carries commands that are sent to the worker's own address.
	WorkerOrders struct {
		Token   *uint64 `json:"baton"`
		Session *uint64 `json:"shift"`
		Orders  []Order `json:"orders"`
	}
	// Inspect asks a worker for its current Report.
	Inspect struct{}
)

// Requests to the cloud, and the responses to them.
type (
	// Types requests the list of machine types.
	Types struct{}
	// MachineType describes a machine type. The emulator configuration uses it too.
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
	// TypesAnswer is the response to Types.
	TypesAnswer struct {
		Types []MachineType `json:"breeds"`
	}
	// Rent requests machines. Request is the idempotency key of repeated requests.
	Rent struct {
		Request string `json:"hire"`
		Type    string `json:"breed"`
		Zone    string `json:"paddock"`
		Spot    bool   `json:"borrowed"`
		Count   int    `json:"number"`
	}
	// MachineNames is the response to Rent, and the body of Release.
	MachineNames struct {
		Machines []string `json:"stokers"`
	}
	// Release returns machines.
	Release struct{ MachineNames }
	// Machines requests one page of the list of rented machines.
	Machines struct {
		After string
		Limit int
	}
	// ListedMachine is an entry of the list of rented machines.
	ListedMachine struct {
		Name   string  `json:"name_id"`
		Addr   string  `json:"endpoint"`
		Type   string  `json:"breed"`
		Zone   string  `json:"paddock"`
		Spot   bool    `json:"borrowed"`
		Status string  `json:"status"`
		AgeS   float64 `json:"held_s"`
	}
	// MachinesAnswer is the response to Machines.
	MachinesAnswer struct {
		Machines []ListedMachine `json:"stokers"`
		More     bool            `json:"truncated"`
	}
	// Error is the body of an error response.
	Error struct {
		Error string `json:"error"`
	}
)

// Requests to the state service, and the responses to them.
type (
	// Get reads a key.
	Get struct{ Key string }
	// List reads one page of the keys that have a prefix.
	List struct {
		Prefix, After string
		Limit         int
	}
	// Row is a key with its value and revision.
	Row struct {
		Key      string          `json:"path"`
		Value    json.RawMessage `json:"data"`
		Revision uint64          `json:"stamp"`
		Lease    uint64          `json:"tenure,omitempty"`
	}
	// Page is the response to List.
	Page struct {
		Rows     []Row  `json:"rows"`
		More     bool   `json:"truncated"`
		Revision uint64 `json:"ledger"`
	}
	// Condition requires that a key has the given revision; revision 0 requires that the key does
	// not exist.
	Condition struct {
		Key      string `json:"path"`
		Revision uint64 `json:"stamp"`
	}
	// Write puts or removes one key.
	Write struct {
		Put    string          `json:"put,omitempty"`
		Value  json.RawMessage `json:"data,omitempty"`
		Lease  uint64          `json:"tenure,omitempty"`
		Remove string          `json:"remove,omitempty"`
	}
	// Transaction is a compare-and-swap: its writes are executed if all conditions hold.
	Transaction struct {
		Conditions []Condition `json:"when"`
		Writes     []Write     `json:"writes"`
	}
	// TransactionAnswer is the response to Transaction. Failed lists the keys whose
	// conditions did not hold.
	TransactionAnswer struct {
		Revision uint64   `json:"ledger"`
		Failed   []string `json:"failed,omitempty"`
	}
	// NewLease requests a lease.
	NewLease struct {
		DurationMS int64 `json:"life_ms"`
	}
	// Lease is the response to NewLease.
	Lease struct {
		Lease uint64 `json:"tenure"`
	}
	// RenewLease renews a lease.
	RenewLease struct{ Lease uint64 }
	// RevokeLease revokes a lease and removes the keys attached to it.
	RevokeLease struct{ Lease uint64 }
	// Watch requests the changes to keys with a prefix after a revision, and waits up to
	// WaitMS for the first one.
	Watch struct {
		Prefix string
		After  uint64
		WaitMS int64
	}
	// Change is one key that was put or removed.
	Change struct {
		Put      string          `json:"put,omitempty"`
		Value    json.RawMessage `json:"data,omitempty"`
		Remove   string          `json:"remove,omitempty"`
		Revision uint64          `json:"stamp"`
	}
	// WatchAnswer is the response to Watch.
	WatchAnswer struct {
		Revision uint64   `json:"ledger"`
		Changes  []Change `json:"news"`
	}
)

// Key returns the key that the write puts or removes.
func (w Write) Key() string { return w.Put + w.Remove }

// Key returns the key that was put or removed.
func (c Change) Key() string { return c.Put + c.Remove }
