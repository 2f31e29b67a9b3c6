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
func upgradePrograms() (older, current, next upgrade.Program) {
	current = upgrade.CurrentProgram()
	older, next = current, current
	older.Version, older.Features = 3, current.Features[:2]
	next.Version++
	next.Features = append(slices.Clone(current.Features), upgrade.Feature{Name: "next", SinceVersion: next.Version, Requires: []upgrade.FeatureName{upgrade.Connectivity}, KeyPrefixes: []string{"next/"}})
	return older, current, next
}

// featureActivations returns the time at which each feature was switched on in the history. It
// fails the test if a feature is switched off, or a key is written while its feature is off.
func featureActivations(t *testing.T, c *Cluster, program upgrade.Program) map[upgrade.FeatureName]int64 {
	t.Helper()
	activatedAt := map[upgrade.FeatureName]int64{}
	for _, e := range c.History {
		key, ok := strings.CutPrefix(e.Key, core.Prefix)
		if e.Kind != history.StateChanged || !ok {
			continue
		}
		switch key {
		case "format":
			var stored struct{ V int }
			if json.Unmarshal([]byte(e.Value), &stored) == nil {
				for _, feature := range program.Features {
					if feature.Format != 0 && stored.V >= feature.Format && activatedAt[feature.Name] == 0 {
						activatedAt[feature.Name] = e.At
					}
				}
			}
		case "features":
			var stored struct {
				On []struct{ N upgrade.FeatureName }
			}
			if json.Unmarshal([]byte(e.Value), &stored) != nil {
				continue
			}
			for name := range activatedAt {
				if name != upgrade.ProgressLog && name != upgrade.Sweeps && !slices.ContainsFunc(stored.On, func(on struct{ N upgrade.FeatureName }) bool { return on.N == name }) {
					t.Errorf("feature %s was switched off, want it to stay on", name)
				}
			}
			for _, on := range stored.On {
				if activatedAt[on.N] == 0 {
					activatedAt[on.N] = e.At
				}
			}
		}
		if feature := program.FeatureOfKey(key); feature != "" && activatedAt[feature] == 0 && e.Value != "" {
			t.Errorf("at %d: key %s was written before feature %s was on, want it written only afterwards", e.At, key, feature)
		}
	}
	return activatedAt
}

// TestRollingUpgrades restarts three controllers with another program version, one at a time,
// either directly or with a rollback after two of them, mostly with a fault shortly before the last
// restart. It runs a sample of the combinations of upgrade paths, orders and faults.
func TestRollingUpgrades(t *testing.T) {
	older, current, next := upgradePrograms()
	type step struct {
		node int
		to   *upgrade.Program
	}
	orders := [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}
	extraFaults := []string{"", "leader crashes", "all crash", "leader reaches only the state service", "leader reaches only workers", "leader reaches only peers", "state outage", "leader is frozen"}
	sampleInterval := 5
	if raceEnabled {
		sampleInterval = 11
	}
	count := 0
	for _, upgradePath := range []string{"older to this", "with a rollback", "this to next"} {
		for _, order := range orders {
			for _, extraFault := range extraFaults {
				if count++; count%sampleInterval != 0 {
					continue
				}
				t.Run(fmt.Sprintf("%s/%v/%s", upgradePath, order, extraFault), func(t *testing.T) {
					t.Parallel()
					from, to := &older, &current
					if upgradePath == "this to next" {
						from, to = &current, &next
					}
					plan := []step{{order[0], to}, {order[1], to}, {order[2], to}}
					if upgradePath == "with a rollback" {
						plan = []step{{order[0], to}, {order[1], to}, {order[0], from}, {order[1], from}, {order[0], to}, {order[1], to}, {order[2], to}}
					}
					programs := []*upgrade.Program{from, from, from}
					d := newTestRun(uint64(500 + count))
					d.Length = 480 * second
					inject := func(c *Cluster, f environment.Fault) {
						if err := c.InjectFault(f); err != nil {
							t.Error(err)
						}
					}
					c, err := Run(d.Config, Options{Operators: config.Defaults(), Programs: func(node, _ int) upgrade.Program { return *programs[node] }, OnStart: func(c *Cluster) {
						for k, restart := range plan {
							c.After(int64(60+12*k)*second, func() {
								programs[restart.node] = restart.to
								inject(c, environment.Fault{Kind: "crash", Hosts: []string{environment.ControllerName(restart.node)}})
							})
						}
						c.After(int64(60+12*len(plan)-14)*second, func() { // 2 s before the last restart
							leaders := c.Leaders()
							switch {
							case extraFault == "state outage":
								inject(c, environment.Fault{Kind: "state_outage", Duration: 20 * second})
							case extraFault == "all crash":
								inject(c, environment.Fault{Kind: "crash"})
							case len(leaders) == 0 || extraFault == "":
							case extraFault == "leader crashes":
								inject(c, environment.Fault{Kind: "crash", Hosts: leaders})
							case extraFault == "leader is frozen":
								inject(c, environment.Fault{Kind: "freeze", Hosts: leaders, Duration: 20 * second})
							default: // the leader keeps only one of its links
								for host, keep := range map[string]string{environment.StateHost: "leader reaches only the state service", "workers": "leader reaches only workers", "controllers": "leader reaches only peers"} {
									if keep != extraFault {
										inject(c, environment.Fault{Kind: "cut", Hosts: leaders, To: []string{host}, Duration: 25 * second})
									}
								}
							}
						})
					}})
					if err != nil {
						t.Fatal(err)
					}
					checkRun(t, c)
					lastRestart := int64(60+12*(len(plan)-1)) * second
					activatedAt := featureActivations(t, c, next)
					if activatedAt[upgrade.Connectivity] == 0 {
						t.Errorf("feature %s was never switched on, want it on at the end", upgrade.Connectivity)
					}
					if upgradePath != "this to next" && activatedAt[upgrade.Connectivity] < lastRestart {
						t.Errorf("feature %s was switched on at %d, want after the last restart at %d", upgrade.Connectivity, activatedAt[upgrade.Connectivity], lastRestart)
					}
					if upgradePath == "this to next" && activatedAt["next"] < lastRestart {
						t.Errorf("feature next was switched on at %d, want after the last restart at %d", activatedAt["next"], lastRestart)
					}
				})
			}
		}
	}
}

// TestStraggler checks that a controller that still runs the older program prevents the activation
// of a new feature while it is configured, but not after it has been decommissioned. When the
// controller starts again, its program lacks a feature that is needed by then, so it has to exit at
// its start without writing anything.
func TestStraggler(t *testing.T) {
	_, current, next := upgradePrograms()
	programs := []*upgrade.Program{&next, &next, &current}
	d := newTestRun(611)
	d.Length = 300 * second
	var reply core.Reply
	restarted := false
	c, err := Run(d.Config, Options{Operators: config.Defaults(), Programs: func(node, _ int) upgrade.Program { return *programs[node] }, OnStart: func(c *Cluster) {
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
	if violations := c.Violations(); len(violations) > 0 {
		t.Error(strings.Join(violations, "\n"))
	}
	activatedAt := featureActivations(t, c, next)
	if reply.Status != 200 || activatedAt["next"] < 100*second || activatedAt["next"] > 110*second {
		t.Errorf("decommissioning: got status %d, want 200; feature next on at %d, want between 100 s and 110 s", reply.Status, activatedAt["next"])
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
