package config

import (
	"errors"
	"fmt"
	"net"
)

// Limits on the values of settings.
const (
	maxSetting = 1e9
	minTxnOps  = 4
	minSockets = 32
	// cancel_s must be greater than lease_s times cancelMarginFactor, plus
	// cancelMarginSeconds.
	cancelMarginFactor  = 1.01
	cancelMarginSeconds = 2
)

// checker collects the errors in settings. Each error begins with the name that the field
// has in the settings file.
type checker struct{ errs []error }

func (c *checker) fail(format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf(format, args...))
}

func (c *checker) addr(field, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		c.fail("%s: %q is no host:port", field, value)
	}
}

func (c *checker) positive(field string, value float64) {
	if !(value > 0) || value > maxSetting {
		c.fail("%s: %v must be positive", field, value)
	}
}

// optionalPositive is like positive for a setting that may be missing.
func (c *checker) optionalPositive(field string, value *float64) {
	if value != nil {
		c.positive(field, *value)
	}
}

func (c *checker) txnOps(field string, value int) {
	if value < minTxnOps {
		c.fail("%s: %d is less than %d", field, value, minTxnOps)
	}
}

// Check returns an error that names every invalid field.
func (p *Platform) Check() error {
	var c checker
	if p.Name == "" {
		c.fail("label: missing")
	}
	c.addr("front", p.UserAddr)
	c.addr("back", p.PeerAddr)
	c.addr("outside.cloud", p.Services.Cloud)
	c.addr("outside.state", p.Services.State)
	c.peers(p.Name, p.Peers)
	c.workers(&p.Deployment)
	c.state(&p.Deployment)
	c.positive("settings.cloud.rps", p.Deployment.Cloud.RPS)
	c.resources(&p.Deployment)
	if len(p.Deployment.Zones) == 0 {
		c.fail("settings.zones: empty")
	}
	c.teams(p.Deployment.Teams)
	return errors.Join(c.errs...)
}

// peers checks the other controllers. Their names must be unique and differ from own.
func (c *checker) peers(own string, peers []Peer) {
	seen := map[string]bool{own: true}
	for i, peer := range peers {
		c.addr(fmt.Sprintf("members[%d].peer_addr", i), peer.Addr)
		if peer.Name == "" || seen[peer.Name] {
			c.fail("members[%d].label: missing or used twice", i)
		}
		seen[peer.Name] = true
	}
}

func (c *checker) workers(d *Deployment) {
	w := d.Workers
	c.positive("settings.workers.report_s", w.ReportS)
	c.positive("settings.workers.lease_s", w.LeaseS)
	c.positive("settings.workers.gang_wait_s", w.GangWaitS)
	c.positive("settings.workers.gang_peer_s", w.GangPeerS)
	c.positive("settings.workers.cancel_s", w.CancelS)
	if w.CancelS <= w.LeaseS*cancelMarginFactor+cancelMarginSeconds {
		c.fail("settings.workers.cancel_s: %v leaves no time beyond lease_s %v", w.CancelS, w.LeaseS)
	}
}

func (c *checker) state(d *Deployment) {
	s := d.State
	c.positive("settings.state.rps", s.RPS)
	c.positive("settings.state.write_rps", s.WriteRPS)
	c.positive("settings.state.value_kb", s.ValueKB)
	c.txnOps("settings.state.txn_ops", s.TxnOps)
	next := s.Next
	if next == nil {
		return
	}
	c.optionalPositive("settings.state.next.rps", next.RPS)
	c.optionalPositive("settings.state.next.write_rps", next.WriteRPS)
	c.optionalPositive("settings.state.next.value_kb", next.ValueKB)
	if next.TxnOps != nil {
		c.txnOps("settings.state.next.txn_ops", *next.TxnOps)
	}
}

func (c *checker) resources(d *Deployment) {
	limits := d.Limits
	c.positive("settings.resources.mem_mb", limits.MemMB)
	c.positive("settings.resources.core_share", limits.CoreShare)
	if limits.Sockets < minSockets {
		c.fail("settings.resources.sockets: %d is less than %d", limits.Sockets, minSockets)
	}
}

// teams checks the teams. Their names must be unique.
func (c *checker) teams(teams []Team) {
	seen := map[string]bool{}
	for i, team := range teams {
		if team.Name == "" || seen[team.Name] {
			c.fail("settings.teams[%d].name: missing or used twice", i)
		}
		seen[team.Name] = true
		if team.CPUs < 0 || team.GPUs < 0 || team.CPUsMax < 0 || team.GPUsMax < 0 {
			c.fail("settings.teams[%d]: negative amount", i)
		}
	}
}
