package scenario

import (
	"errors"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

var (
	wireKinds  = map[jobstate.Kind]string{jobstate.Array: wire.Array, jobstate.Gang: wire.Gang, jobstate.Service: wire.Service}
	priorities = []string{jobstate.Idle: "idle", jobstate.Normal: "normal", jobstate.Urgent: "urgent", jobstate.Production: "production"}
)

// Expand sets the ID, the runs and their parameter values of a sweep from its text. An
// environment submits only the text; it needs the runs to poll for them and to check the history.
func Expand(s environment.Sweep) (environment.Sweep, error) {
	sub, err := api.DecodeSweep([]byte(s.Text))
	if err != nil {
		return s, err
	}
	if sub.Invalid != "" {
		return s, errors.New(sub.Invalid)
	}
	s.ID = sub.Plan.ID
	for i, x := range sub.Plan.Specs {
		j := wire.Job{
			ID: x.ID, Class: x.Class, Team: x.Team, Kind: wireKinds[x.Kind], Priority: priorities[x.Priority], Tasks: x.Tasks,
			CPUs: float64(x.Need.CPU) / 1000, GPUs: float64(x.Need.GPU) / 1000, MemGB: float64(x.Need.Mem) / 1000, Image: x.Image, ImageGB: float64(x.ImageMB) / 1000,
			Types: x.Types, OneZone: x.OneZone, Spread: x.Spread, Spot: x.Spot, EstimateS: float64(x.Estimate) / 1e6,
			CheckpointS: float64(x.Checkpoint) / 1e6, CheckpointCostS: float64(x.Save) / 1e6, DependsOn: x.Dependencies,
		}
		if x.Zone != "" {
			j.Zone = &x.Zone
		}
		if d := float64(x.Deadline) / 1e6; d > 0 {
			j.DeadlineS = &d
		}
		s.Jobs = append(s.Jobs, j)
		s.Values = append(s.Values, string(sub.Plan.Values[i]))
	}
	return s, nil
}
