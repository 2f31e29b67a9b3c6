package core

import (
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/upgrade"
)

const second = config.Second

// Settings are what the core needs of both files.
type Settings struct {
	Name        string
	Incarnation string // tells this start of the process from earlier ones
	Peers       []string
	config.Deployment
	Ops config.Operators
	// Program is what this controller is taken to run, nil for this program.
	Program *upgrade.Program
}

// withClockDrift widens a duration by what two steady clocks may differ.
func withClockDrift(d int64) int64 { return d + d/1000 }

// EpochTimeout is after how long without an answer a worker has certainly ended its
// epoch.
func (s *Settings) EpochTimeout() int64 {
	return withClockDrift(config.MicrosOf(s.Workers.LeaseS)) + second
}

// FailoverEpochTimeout is the same for a new leader, as an earlier one may go on answering
// for its authority time.
func (s *Settings) FailoverEpochTimeout() int64 { return s.LeaderAuthorityTime() + s.EpochTimeout() }

// Overdue is for how long a machine may be silent and still be used.
func (s *Settings) Overdue() int64 { return config.MicrosOf(s.Workers.ReportS)*2 + second }
