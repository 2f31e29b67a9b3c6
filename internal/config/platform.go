package config

import (
	"encoding/json"
	"fmt"
	"os"
)

// Platform is the settings file that the platform provides for one controller.
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

// Services are the addresses of the services that zinclb uses.
type Services struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Deployment has the settings that all controllers of a deployment share.
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
		// Next are the limits that the state service will switch to at some time,
		// without notice. An absent limit does not change.
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

// StateLimits are the limits of the state service on requests, writes, the size of a value
// and the operations of a transaction.
type StateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// UpcomingStateLimits are the future limits of the state service. A nil limit does not
// change.
type UpcomingStateLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Team is a team with its guaranteed quota (CPUs, GPUs) and its limits (CPUsMax, GPUsMax).
// A limit of 0 means no limit if the guarantee for the same resource is 0 too, as for teams
// that have quotas for GPUs only.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Kinds of objectives that affect scheduling.
const (
	// waitObjective applies to the start of a class's tasks, guaranteeObjective to the
	// start of tasks of jobs within their team's guarantee.
	waitObjective      = "wait"
	guaranteeObjective = "guarantee"
)

// Objective is a service-level objective on the start or the end of a class's jobs.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
}

// Load reads and checks the platform's settings file.
func Load(path string) (*Platform, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	var platform Platform
	if err := json.Unmarshal(text, &platform); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return &platform, platform.Check()
}
