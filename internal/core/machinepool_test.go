package core

import (
	"fmt"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestMachinePools checks the number and kind of rented machines. If cost is an objective, spot
// machines are rented for jobs that may use them and on-demand machines for the others, and the
// number of spare machines follows the variation of the load. Otherwise on-demand machines are
// rented first, and the number of spare machines is the configured share of the machines in use,
// which is 1 by default.
func TestMachinePools(t *testing.T) {
	yes, no := true, false
	spot, onDemand := waitingJob{spec: &jobstate.Spec{Need: jobstate.Resources{CPU: 500}, Spot: true}, tasks: 8}, waitingJob{spec: &jobstate.Spec{Need: jobstate.Resources{CPU: 1000}}, tasks: 3}
	cases := []struct {
		name                string
		guarantee           float64
		weighsCost          *bool
		price               float64 // price of spot machines; on-demand machines cost 1
		waiting             []waitingJob
		busy                [2]int // numbers of busy on-demand and spot machines
		spotUnavailable     bool   // no spot machines are available
		onDemandUnavailable bool   // no on-demand machines are available
		want                string
	}{
		{name: "both kinds of jobs, no guarantee", price: 0.4, waiting: []waitingJob{spot, onDemand}, want: "3 on-demand, 4 spot"},
		{name: "guarantee", guarantee: 1, price: 0.4, waiting: []waitingJob{spot, onDemand}, want: "7 on-demand"},
		{name: "guarantee, cost is an objective", guarantee: 1, weighsCost: &yes, price: 0.4, waiting: []waitingJob{spot, onDemand}, want: "3 on-demand, 4 spot"},
		{name: "cost is not an objective", weighsCost: &no, price: 0.4, waiting: []waitingJob{spot, onDemand}, want: "7 on-demand"},
		{name: "spot is not cheaper", price: 1, waiting: []waitingJob{spot, onDemand}, want: "7 on-demand"},
		{name: "spot is not cheaper, no on-demand machines available", price: 1, waiting: []waitingJob{spot}, onDemandUnavailable: true, want: "4 spot"},
		{name: "no spot machines available", price: 0.4, waiting: []waitingJob{spot}, spotUnavailable: true, want: "4 on-demand"},
		{name: "spares by the square root", price: 0.4, busy: [2]int{36, 9}, want: "6 on-demand, 3 spot"},
		{name: "no on-demand spares in place of unavailable spot machines", price: 0.4, busy: [2]int{0, 9}, spotUnavailable: true, want: ""},
		{name: "spares by the configured share", guarantee: 1, price: 0.4, busy: [2]int{20, 9}, want: "29 on-demand"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newLeaderHarness(t)
			h.tick(6 * second)
			h.core.settings.Teams = []config.Team{{Name: "t", CPUs: tc.guarantee}}
			h.core.settings.Ops.WeighMoney = tc.weighsCost
			h.core.scaler.costAware = h.core.settings.WeighsCost(&h.core.settings.Ops)
			h.core.cache.machineTypes = []fleet.Type{{Name: "c", Cap: jobstate.Resources{CPU: 1000, Mem: 1000}, Zones: []string{"a"}, Price: 1, SpotPrice: tc.price}}
			h.core.elector.leadership.planning.waitingJobs = tc.waiting
			j := jobstate.NewJob(&jobstate.Spec{ID: "busy", Team: "t", Tasks: 100})
			for kind, n := range tc.busy {
				for i := range n {
					m := h.core.workers.getOrAddMachine(fmt.Sprintf("m-%d-%d", kind, i))
					m.Type, m.Spot, m.LastHeartbeat = "c", kind == 1, h.now
					m.AddPlacement(fleet.TaskRef{Job: j, Index: i})
				}
			}
			scaling := &h.core.elector.leadership.scaling
			scaling.scalingOut, scaling.unanswered = map[machineOffer]bool{}, nil
			if tc.spotUnavailable {
				scaling.refusedUntil[machineOffer{"c", "a", true}] = h.now + second
			}
			if tc.onDemandUnavailable {
				scaling.refusedUntil[machineOffer{"c", "a", false}] = h.now + second
			}
			h.core.effects = nil
			h.core.scaler.scaleOutTick(func() bool { return true }, nil)
			var got []string
			for _, effect := range h.core.effects {
				if request, ok := effect.(ScaleOut); ok {
					got = append(got, fmt.Sprintf("%d %s", request.Count, map[bool]string{false: "on-demand", true: "spot"}[request.Spot]))
				}
			}
			if s := strings.Join(got, ", "); s != tc.want {
				t.Errorf("scale-out requests: got %q, want %q", s, tc.want)
			}
		})
	}
}
