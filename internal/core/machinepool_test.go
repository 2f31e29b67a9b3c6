package core

import (
	"fmt"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// TestPools: where money is weighed spot machines are rented for jobs that may use
// them and ordinary ones for the others, and spare ones by what the load varies
// by; elsewhere ordinary ones come first, and as many as are in use are kept.
func TestPools(t *testing.T) {
	yes, no := true, false
	spot, ordinary := waitingJob{spec: &jobstate.Spec{Need: jobstate.Resources{CPU: 500}, Spot: true}, tasks: 8}, waitingJob{spec: &jobstate.Spec{Need: jobstate.Resources{CPU: 1000}}, tasks: 3}
	cases := []struct {
		name      string
		guarantee float64
		weigh     *bool
		price     float64 // of spot machines; ordinary ones cost 1
		waiting   []waitingJob
		busy      [2]int // ordinary and spot
		refused   bool   // no spot machine can be had
		soldOut   bool   // no ordinary one
		want      string
	}{
		{name: "both wait, no guarantee", price: 0.4, waiting: []waitingJob{spot, ordinary}, want: "3 ordinary, 4 spot"},
		{name: "with a guarantee", guarantee: 1, price: 0.4, waiting: []waitingJob{spot, ordinary}, want: "7 ordinary"},
		{name: "with a guarantee, and weighed", guarantee: 1, weigh: &yes, price: 0.4, waiting: []waitingJob{spot, ordinary}, want: "3 ordinary, 4 spot"},
		{name: "not weighed", weigh: &no, price: 0.4, waiting: []waitingJob{spot, ordinary}, want: "7 ordinary"},
		{name: "spot is no cheaper", price: 1, waiting: []waitingJob{spot, ordinary}, want: "7 ordinary"},
		{name: "spot is no cheaper, and there is nothing else", price: 1, waiting: []waitingJob{spot}, soldOut: true, want: "4 spot"},
		{name: "no spot machine can be had", price: 0.4, waiting: []waitingJob{spot}, refused: true, want: "4 ordinary"},
		{name: "spare ones by the root", price: 0.4, busy: [2]int{36, 9}, want: "6 ordinary, 3 spot"},
		{name: "no spare ordinary ones for want of spot ones", price: 0.4, busy: [2]int{0, 9}, refused: true, want: ""},
		{name: "spare ones by the share", guarantee: 1, price: 0.4, busy: [2]int{20, 9}, want: "29 ordinary"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
			r.tick(6 * second)
			r.c.settings.Teams = []config.Team{{Name: "t", CPUs: tc.guarantee}}
			r.c.settings.Ops.WeighMoney = tc.weigh
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
					got = append(got, fmt.Sprintf("%d %s", x.Count, map[bool]string{false: "ordinary", true: "spot"}[x.Spot]))
				}
			}
			if s := strings.Join(got, ", "); s != tc.want {
				t.Errorf("rents %q, want %q", s, tc.want)
			}
		})
	}
}
