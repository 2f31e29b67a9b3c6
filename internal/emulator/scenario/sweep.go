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
	submission, err := api.DecodeSweep([]byte(s.Text))
	if err != nil {
		return s, err
	}
	if submission.Invalid != "" {
		return s, errors.New(submission.Invalid)
	}
	s.ID = submission.Plan.ID
	for i, spec := range submission.Plan.Specs {
		j := wire.Job{
			ID: spec.ID, Class: spec.Class, Team: spec.Team, Kind: wireKinds[spec.Kind], Priority: priorities[spec.Priority], Tasks: spec.Tasks,
			CPUs: float64(spec.Need.CPU) / 1000, GPUs: float64(spec.Need.GPU) / 1000, MemGB: float64(spec.Need.Mem) / 1000, Image: spec.Image, ImageGB: float64(spec.ImageMB) / 1000,
			Types: spec.Types, OneZone: spec.OneZone, Spread: spec.Spread, Spot: spec.Spot, EstimateS: float64(spec.Estimate) / 1e6,
			CheckpointS: float64(spec.Checkpoint) / 1e6, CheckpointCostS: float64(spec.Save) / 1e6, DependsOn: spec.Dependencies,
		}
		if spec.Zone != "" {
			j.Zone = &spec.Zone
		}
		if d := float64(spec.Deadline) / 1e6; d > 0 {
			j.DeadlineS = &d
		}
		s.Jobs = append(s.Jobs, j)
		s.Values = append(s.Values, string(submission.Plan.Values[i]))
	}
	return s, nil
}
