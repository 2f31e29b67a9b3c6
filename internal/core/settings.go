package core

import (
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

const second = config.Second

// Settings are the core's settings from the deployment file and the operators file.
type Settings struct {
	Name        string
	Incarnation string   // unique ID of this start of the process
	Peers       []string // names of the other controllers
	config.Deployment
	Ops config.Operators
	// Program describes the program that this controller runs, nil for the current one.
	Program *upgrade.Program
}

// withClockDrift extends a duration by the maximum drift between two monotonic clocks during it,
// 1 part in 1000.
func withClockDrift(d int64) int64 { return d + d/1000 }

// EpochTimeout is the time without an answer after which a worker has certainly ended its
// epoch.
func (s *Settings) EpochTimeout() int64 {
	return withClockDrift(config.MicrosOf(s.Workers.LeaseS)) + second
}

// FailoverEpochTimeout is EpochTimeout for a new leader, which also has to wait because an
// earlier leader may continue to answer for its authority time.
func (s *Settings) FailoverEpochTimeout() int64 { return s.LeaderAuthorityTime() + s.EpochTimeout() }

// MaxHeartbeatAge is the longest time without a heartbeat for which a machine is still used.
func (s *Settings) MaxHeartbeatAge() int64 { return config.MicrosOf(s.Workers.ReportS)*2 + second }
