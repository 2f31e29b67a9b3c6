package faketime

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/upgrade"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
)

// upgradePrograms returns the program versions of a rolling upgrade: an older one without
// feature activation, the current one, and a hypothetical next one with an additional feature
// that programs need once it is on.
func upgradePrograms() (older, this, next upgrade.Program) {
	this = upgrade.CurrentProgram()
	older, next = this, this
	older.Version, older.Features = 3, this.Features[:2]
	next.Version++
	next.Features = append(slices.Clone(this.Features), upgrade.Feature{Name: "next", SinceVersion: next.Version, Requires: []upgrade.FeatureName{upgrade.Connectivity}, KeyPrefixes: []string{"next/"}})
	return older, this, next
}

// featureActivations returns the time at which each feature was switched on in the history. It
// fails the test if a feature is switched off, or a key is written while its feature is off.
func featureActivations(t *testing.T, c *Cluster, p upgrade.Program) map[upgrade.FeatureName]int64 {
	t.Helper()
	on := map[upgrade.FeatureName]int64{}
	for _, e := range c.History {
		key, ok := strings.CutPrefix(e.Key, core.Prefix)
		if e.Kind != history.StateChanged || !ok {
			continue
		}
		switch key {
		case "format":
			var v struct{ V int }
			if json.Unmarshal([]byte(e.Value), &v) == nil {
				for _, f := range p.Features {
					if f.Format != 0 && v.V >= f.Format && on[f.Name] == 0 {
						on[f.Name] = e.At
					}
				}
			}
		case "features":
			var v struct {
				On []struct{ N upgrade.FeatureName }
			}
			if json.Unmarshal([]byte(e.Value), &v) != nil {
				continue
			}
			for n := range on {
				if n != upgrade.ProgressLog && n != upgrade.Sweeps && !slices.ContainsFunc(v.On, func(s struct{ N upgrade.FeatureName }) bool { return s.N == n }) {
					t.Errorf("feature %s was switched off, want it to stay on", n)
				}
			}
			for _, s := range v.On {
				if on[s.N] == 0 {
					on[s.N] = e.At
				}
			}
		}
		if f := p.FeatureOfKey(key); f != "" && on[f] == 0 && e.Value != "" {
			t.Errorf("at %d: key %s was written before feature %s was on", e.At, key, f)
		}
	}
	return on
}

// TestRollingUpgrades restarts three controllers with another program version, one at a time in
// every order, either directly or with a rollback after two of them, with a fault shortly before
// the last restart.
func TestRollingUpgrades(t *testing.T) {
	older, this, next := upgradePrograms()
	type step struct {
		node int
		to   *upgrade.Program
	}
	orders := [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}
	extraFaults := []string{"", "leader crashes", "all crash", "leader reaches only the state service", "leader reaches only workers", "leader reaches only peers", "state outage", "leader is frozen"}
	each := 5
	if raceEnabled {
		each = 11
	}
	n := 0
	for _, upgradePath := range []string{"older to this", "with a rollback", "this to next"} {
		for _, order := range orders {
			for _, extraFault := range extraFaults {
				if n++; n%each != 0 {
					continue
				}
				t.Run(fmt.Sprintf("%s/%v/%s", upgradePath, order, extraFault), func(t *testing.T) {
					t.Parallel()
					from, to := &older, &this
					if upgradePath == "this to next" {
						from, to = &this, &next
					}
					plan := []step{{order[0], to}, {order[1], to}, {order[2], to}}
					if upgradePath == "with a rollback" {
						plan = []step{{order[0], to}, {order[1], to}, {order[0], from}, {order[1], from}, {order[0], to}, {order[1], to}, {order[2], to}}
					}
					run := []*upgrade.Program{from, from, from}
					d := newTestRun(uint64(500 + n))
					d.Length = 480 * second
					inject := func(c *Cluster, f environment.Fault) {
						if err := c.InjectFault(f); err != nil {
							t.Error(err)
						}
					}
					c, err := Run(d.Config, Options{Operators: config.Defaults(), Programs: func(node, _ int) upgrade.Program { return *run[node] }, OnStart: func(c *Cluster) {
						for k, s := range plan {
							c.After(int64(60+12*k)*second, func() {
								run[s.node] = s.to
								inject(c, environment.Fault{Kind: "crash", Hosts: []string{environment.ControllerName(s.node)}})
							})
						}
						c.After(int64(60+12*len(plan)-14)*second, func() { // 2 s before the last restart
							lead := c.Leaders()
							switch {
							case extraFault == "state outage":
								inject(c, environment.Fault{Kind: "state_outage", Duration: 20 * second})
							case extraFault == "all crash":
								inject(c, environment.Fault{Kind: "crash"})
							case len(lead) == 0 || extraFault == "":
							case extraFault == "leader crashes":
								inject(c, environment.Fault{Kind: "crash", Hosts: lead})
							case extraFault == "leader is frozen":
								inject(c, environment.Fault{Kind: "freeze", Hosts: lead, Duration: 20 * second})
							default: // the leader keeps only one of its links
								for host, keep := range map[string]string{environment.StateHost: "leader reaches only the state service", "workers": "leader reaches only workers", "controllers": "leader reaches only peers"} {
									if keep != extraFault {
										inject(c, environment.Fault{Kind: "cut", Hosts: lead, To: []string{host}, Duration: 25 * second})
									}
								}
							}
						})
					}})
					if err != nil {
						t.Fatal(err)
					}
					checkRun(t, c)
					last := int64(60+12*(len(plan)-1)) * second
					on := featureActivations(t, c, next)
					if on[upgrade.Connectivity] == 0 {
						t.Errorf("feature %s was never switched on", upgrade.Connectivity)
					}
					if upgradePath != "this to next" && on[upgrade.Connectivity] < last {
						t.Errorf("feature %s was switched on at %d, want after the last restart at %d", upgrade.Connectivity, on[upgrade.Connectivity], last)
					}
					if upgradePath == "this to next" && on["next"] < last {
						t.Errorf("feature next was switched on at %d, want after the last restart at %d", on["next"], last)
					}
				})
			}
		}
	}
}

// TestStraggler checks that a controller that still runs the older program holds back activation
// while it is configured, but not after it is decommissioned. When it comes back, its program
// lacks a feature that is now needed: it has to exit at its start without writing anything.
func TestStraggler(t *testing.T) {
	_, this, next := upgradePrograms()
	run := []*upgrade.Program{&next, &next, &this}
	d := newTestRun(611)
	d.Length = 300 * second
	var reply core.Reply
	restarted := false
	c, err := Run(d.Config, Options{Operators: config.Defaults(), Programs: func(node, _ int) upgrade.Program { return *run[node] }, OnStart: func(c *Cluster) {
		c.After(60*second, func() { c.Kill(c.Controllers[2]) }) // permanently
		c.After(100*second, func() {
			c.Controllers[0].Request(func(req uint64) any {
				return core.SetDecommissioned{RequestID: req, Name: "node-2", Decommissioned: true}
			}, func(r core.Reply) { reply = r })
		})
		c.After(200*second, func() { restarted = true; c.Start(c.Controllers[2]) })
	}})
	if err != nil {
		t.Fatal(err)
	}
	if l := c.Violations(); len(l) > 0 {
		t.Error(strings.Join(l, "\n"))
	}
	on := featureActivations(t, c, next)
	if reply.Status != 200 || on["next"] < 100*second || on["next"] > 110*second {
		t.Errorf("decommissioning: got status %d, want 200; feature next on at %d, want between 100 s and 110 s", reply.Status, on["next"])
	}
	if !restarted || c.Controllers[2].up {
		t.Error("older program still runs although it lacks a needed feature, want it to exit at its start")
	}
	for _, e := range c.History {
		if e.Kind == history.StateChanged && e.At > 200*second && strings.HasSuffix(e.Key, "/node-2") {
			t.Errorf("older program wrote key %s after its restart, want no write", e.Key)
		}
	}
}
