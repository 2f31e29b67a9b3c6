package config

import (
	"encoding/json"
	"fmt"
	"os"
)

// Platform is the settings file that the platform hands over.
type Platform struct {
	Name       string     `json:"label"`
	Zone       string     `json:"site"`
	UserAddr   string     `json:"front"`
	PeerAddr   string     `json:"back"`
	Peers      []Peer     `json:"members"`
	Services   Services   `json:"outside"`
	Deployment Deployment `json:"settings"`
}

// Peer is another controller.
type Peer struct {
	Name string `json:"label"`
	Zone string `json:"site"`
	Addr string `json:"peer_addr"`
}

// Services has the addresses of the services that zinclb uses.
type Services struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Deployment is what holds for the whole deployment.
type Deployment struct {
	Size  int      `json:"size"`
	Zones []string `json:"zones"`
	Teams []Team   `json:"teams"`
	// Objectives are the service-level objectives, by class of jobs.
	Objectives []Objective `json:"objectives"`
	Workers    struct {
		ReportS   float64 `json:"report_s"`
		LeaseS    float64 `json:"lease_s"`
		GangWaitS float64 `json:"gang_wait_s"`
		GangPeerS float64 `json:"gang_peer_s"`
		CancelS   float64 `json:"cancel_s"`
	} `json:"workers"`
	State struct {
		StateLimits
		// Next are the limits that the state service will have from some
		// moment on, without notice; what is absent does not change.
		Next *UpcomingStateLimits `json:"next"`
	} `json:"state"`
	Cloud struct {
		RPS      float64 `json:"rps"`
		ListLagS float64 `json:"list_lag_s"`
	} `json:"cloud"`
	Limits struct {
		CoreShare float64 `json:"core_share"`
		MemMB     float64 `json:"mem_mb"`
		Sockets   int     `json:"sockets"`
	} `json:"resources"`
	ClockErrorMS float64 `json:"clock_error_ms"`
}

// StateLimits are what the state service takes.
type StateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// UpcomingStateLimits are limits to come.
type UpcomingStateLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Team has a quota that is guaranteed and a limit. A limit of 0 is no limit at all when
// the guarantee of that resource is 0 too, as for teams that only count GPUs.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Kinds of objectives that scheduling depends on.
const (
	// waitObjective is on the starts of a class's tasks, guaranteeObjective on those of
	// jobs within their team's guarantee.
	waitObjective      = "wait"
	guaranteeObjective = "guarantee"
)

// Objective is a service-level objective on the starts or ends of a class's jobs.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
}

// Load reads and checks the platform's file.
func Load(path string) (*Platform, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	var p Platform
	if err := json.Unmarshal(b, &p); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return &p, p.Check()
}
