package core

import (
	"fmt"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestMachinePools: where cost is an objective spot machines are rented for jobs that may
// use them and on-demand ones for the others, and spare ones by what the load varies
// by; elsewhere on-demand ones come first, and as many as are in use are kept.
func TestMachinePools(t *testing.T) {
	yes, no := true, false
	spot, onDemand := waitingJob{spec: &jobstate.Spec{Need: jobstate.Resources{CPU: 500}, Spot: true}, tasks: 8}, waitingJob{spec: &jobstate.Spec{Need: jobstate.Resources{CPU: 1000}}, tasks: 3}
	cases := []struct {
		name      string
		guarantee float64
		costs     *bool
		price     float64 // of spot machines; on-demand ones cost 1
		waiting   []waitingJob
		busy      [2]int // on-demand and spot
		refused   bool   // no spot machine can be had
		soldOut   bool   // no on-demand one
		want      string
	}{
		{name: "both wait, no guarantee", price: 0.4, waiting: []waitingJob{spot, onDemand}, want: "3 on-demand, 4 spot"},
		{name: "with a guarantee", guarantee: 1, price: 0.4, waiting: []waitingJob{spot, onDemand}, want: "7 on-demand"},
		{name: "with a guarantee, and cost an objective", guarantee: 1, costs: &yes, price: 0.4, waiting: []waitingJob{spot, onDemand}, want: "3 on-demand, 4 spot"},
		{name: "cost is none", costs: &no, price: 0.4, waiting: []waitingJob{spot, onDemand}, want: "7 on-demand"},
		{name: "spot is no cheaper", price: 1, waiting: []waitingJob{spot, onDemand}, want: "7 on-demand"},
		{name: "spot is no cheaper, and there is nothing else", price: 1, waiting: []waitingJob{spot}, soldOut: true, want: "4 spot"},
		{name: "no spot machine can be had", price: 0.4, waiting: []waitingJob{spot}, refused: true, want: "4 on-demand"},
		{name: "spare ones by the root", price: 0.4, busy: [2]int{36, 9}, want: "6 on-demand, 3 spot"},
		{name: "no spare on-demand ones for want of spot ones", price: 0.4, busy: [2]int{0, 9}, refused: true, want: ""},
		{name: "spare ones by the share", guarantee: 1, price: 0.4, busy: [2]int{20, 9}, want: "29 on-demand"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newLeaderHarness(t)
			r.tick(6 * second)
			r.c.settings.Teams = []config.Team{{Name: "t", CPUs: tc.guarantee}}
			r.c.settings.Ops.WeighMoney = tc.costs
			r.c.scaler.costAware = r.c.settings.WeighsCost(&r.c.settings.Ops)
			r.c.cache.machineTypes = []fleet.Type{{Name: "c", Cap: jobstate.Resources{CPU: 1000, Mem: 1000}, Zones: []string{"a"}, Price: 1, SpotPrice: tc.price}}
			r.c.elector.leadership.planning.waitingJobs = tc.waiting
			j := jobstate.NewJob(&jobstate.Spec{ID: "busy", Team: "t", Tasks: 100})
			for kind, n := range tc.busy {
				for i := range n {
					m := r.c.workers.getOrAddMachine(fmt.Sprintf("m-%d-%d", kind, i))
					m.Type, m.Spot, m.LastHeartbeat = "c", kind == 1, r.now
					m.AddPlacement(fleet.TaskRef{Job: j, Index: i})
				}
			}
			s := &r.c.elector.leadership.scaling
			s.scalingOut, s.unanswered = map[machineOffer]bool{}, nil
			if tc.refused {
				s.refusedUntil[machineOffer{"c", "a", true}] = r.now + second
			}
			if tc.soldOut {
				s.refusedUntil[machineOffer{"c", "a", false}] = r.now + second
			}
			r.c.effects = nil
			r.c.scaler.scaleOutTick(func() bool { return true }, nil)
			var got []string
			for _, e := range r.c.effects {
				if x, ok := e.(ScaleOut); ok {
					got = append(got, fmt.Sprintf("%d %s", x.Count, map[bool]string{false: "on-demand", true: "spot"}[x.Spot]))
				}
			}
			if s := strings.Join(got, ", "); s != tc.want {
				t.Errorf("scales out %q, want %q", s, tc.want)
			}
		})
	}
}
