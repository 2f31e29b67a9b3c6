// Package config reads and checks the two files of settings: the platform's
// JSON, which says where this controller runs and with what limits, and the
// operators' own, in protobuf text format.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/prototext"

	"github.com/zinclb/zinclb/internal/config/operatorpb"
)

// Micros is a time or a duration in whole microseconds.
type Micros = int64

// Second is a second in Micros.
const Second Micros = 1_000_000

// MicrosOf converts the wire's decimal seconds.
func MicrosOf(s float64) Micros { return Micros(s * 1e6) }

// Platform is the settings file that the platform hands over.
type Platform struct {
	Name       string     `json:"label"`
	Zone       string     `json:"site"`
	UserAddr   string     `json:"front"`
	PeerAddr   string     `json:"back"`
	Peers      []Peer     `json:"members"`
	Services   Services   `json:"outside"`
	Deployment Deployment `json:"settings"`
}

// Peer is another controller.
type Peer struct {
	Name string `json:"label"`
	Zone string `json:"site"`
	Addr string `json:"peer_addr"`
}

// Services has the addresses of the services that zinclb uses.
type Services struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Deployment is what holds for the whole deployment.
type Deployment struct {
	Size  int      `json:"size"`
	Zones []string `json:"zones"`
	Teams []Team   `json:"teams"`
	// Objectives are what the operators aim at, by class of jobs.
	Objectives []Objective `json:"objectives"`
	Workers    struct {
		ReportS   float64 `json:"report_s"`
		LeaseS    float64 `json:"lease_s"`
		GangWaitS float64 `json:"gang_wait_s"`
		GangPeerS float64 `json:"gang_peer_s"`
		CancelS   float64 `json:"cancel_s"`
	} `json:"workers"`
	State struct {
		StateLimits
		// Next are the limits that the state service will have from some
		// moment on, without notice; what is absent does not change.
		Next *UpcomingStateLimits `json:"next"`
	} `json:"state"`
	Cloud struct {
		RPS      float64 `json:"rps"`
		ListLagS float64 `json:"list_lag_s"`
	} `json:"cloud"`
	Limits struct {
		CoreShare float64 `json:"core_share"`
		MemMB     float64 `json:"mem_mb"`
		Sockets   int     `json:"sockets"`
	} `json:"resources"`
	ClockErrorMS float64 `json:"clock_error_ms"`
}

// StateLimits are what the state service takes.
type StateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// UpcomingStateLimits are limits to come.
type UpcomingStateLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// StrictestStateLimits are the smaller ones of the limits of now and of those to come.
func (p *Deployment) StrictestStateLimits() StateLimits {
	l := p.State.StateLimits
	n := p.State.Next
	if n == nil {
		return l
	}
	less := func(to *float64, v *float64) {
		if v != nil {
			*to = min(*to, *v)
		}
	}
	less(&l.RPS, n.RPS)
	less(&l.WriteRPS, n.WriteRPS)
	less(&l.ValueKB, n.ValueKB)
	if n.TxnOps != nil {
		l.TxnOps = min(l.TxnOps, *n.TxnOps)
	}
	return l
}

// Team has a guarantee and a limit; a limit of 0 is no limit at all when the
// guarantee of that resource is 0 too, as for teams that only count GPUs.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Team finds a team by its name, nil if there is none.
func (p *Deployment) Team(name string) *Team {
	if i := slices.IndexFunc(p.Teams, func(t Team) bool { return t.Name == name }); i >= 0 {
		return &p.Teams[i]
	}
	return nil
}

// Operators are the checked operators' settings.
type Operators struct {
	ShortCutoff, LongCutoff, Term, Trial, IdleReturn, LeaderLease Micros

	SpareShare float64
	Sweeps     bool
	// Reach: leadership follows what controllers reach.
	Reach bool
	// WeighMoney, nil for where no team has a guarantee: see Frugal.
	WeighMoney *bool
	// HoldFeatures are features that this controller holds back.
	HoldFeatures []string
}

// Load reads and checks the platform's file.
func Load(path string) (*Platform, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	var p Platform
	if err := json.Unmarshal(b, &p); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return &p, p.Check()
}

// Check names every field that can't be right.
func (p *Platform) Check() error {
	var errs []error
	bad := func(format string, a ...any) { errs = append(errs, fmt.Errorf(format, a...)) }
	addr := func(field, v string) {
		if _, _, err := net.SplitHostPort(v); err != nil {
			bad("%s: %q is no host:port", field, v)
		}
	}
	if p.Name == "" {
		bad("label: missing")
	}
	addr("front", p.UserAddr)
	addr("back", p.PeerAddr)
	addr("outside.cloud", p.Services.Cloud)
	addr("outside.state", p.Services.State)
	seen := map[string]bool{p.Name: true}
	for i, m := range p.Peers {
		addr(fmt.Sprintf("members[%d].peer_addr", i), m.Addr)
		if m.Name == "" || seen[m.Name] {
			bad("members[%d].label: missing or used twice", i)
		}
		seen[m.Name] = true
	}
	positive := func(field string, v float64) {
		if !(v > 0) || v > 1e9 {
			bad("%s: %v must be positive", field, v)
		}
	}
	w := p.Deployment.Workers
	positive("settings.workers.report_s", w.ReportS)
	positive("settings.workers.lease_s", w.LeaseS)
	positive("settings.workers.gang_wait_s", w.GangWaitS)
	positive("settings.workers.gang_peer_s", w.GangPeerS)
	positive("settings.workers.cancel_s", w.CancelS)
	if w.CancelS <= w.LeaseS*1.01+2 {
		bad("settings.workers.cancel_s: %v leaves no time beyond lease_s %v", w.CancelS, w.LeaseS)
	}
	positive("settings.state.rps", p.Deployment.State.RPS)
	positive("settings.state.write_rps", p.Deployment.State.WriteRPS)
	positive("settings.state.value_kb", p.Deployment.State.ValueKB)
	if p.Deployment.State.TxnOps < 4 {
		bad("settings.state.txn_ops: %d is less than 4", p.Deployment.State.TxnOps)
	}
	if n := p.Deployment.State.Next; n != nil {
		next := func(field string, v *float64) {
			if v != nil {
				positive("settings.state.next."+field, *v)
			}
		}
		next("rps", n.RPS)
		next("write_rps", n.WriteRPS)
		next("value_kb", n.ValueKB)
		if n.TxnOps != nil && *n.TxnOps < 4 {
			bad("settings.state.next.txn_ops: %d is less than 4", *n.TxnOps)
		}
	}
	positive("settings.cloud.rps", p.Deployment.Cloud.RPS)
	positive("settings.resources.mem_mb", p.Deployment.Limits.MemMB)
	positive("settings.resources.core_share", p.Deployment.Limits.CoreShare)
	if p.Deployment.Limits.Sockets < 32 {
		bad("settings.resources.sockets: %d is less than 32", p.Deployment.Limits.Sockets)
	}
	if len(p.Deployment.Zones) == 0 {
		bad("settings.zones: empty")
	}
	teams := map[string]bool{}
	for i, t := range p.Deployment.Teams {
		if t.Name == "" || teams[t.Name] {
			bad("settings.teams[%d].name: missing or used twice", i)
		}
		teams[t.Name] = true
		if t.CPUs < 0 || t.GPUs < 0 || t.CPUsMax < 0 || t.GPUsMax < 0 {
			bad("settings.teams[%d]: negative amount", i)
		}
	}
	return errors.Join(errs...)
}

// Objective is an aim on the starts or ends of a class's jobs.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
}

// StartWithin is the shortest time within which tasks of a class should start,
// 0 if nobody says so. A job within its team's guarantee has that one's too.
func (p *Deployment) StartWithin(class string, guaranteed bool) Micros {
	var least Micros
	for _, o := range p.Objectives {
		if o.Kind == "wait" && o.Class == class || o.Kind == "guarantee" && guaranteed {
			if w := MicrosOf(o.WithinS); w > 0 && (least == 0 || w < least) {
				least = w
			}
		}
	}
	return least
}

// StartTimeMatters says whether it matters to anybody when tasks of a class start,
// rather than when they are done. Without objectives it does.
func (p *Deployment) StartTimeMatters(class string) bool {
	return len(p.Objectives) == 0 || slices.ContainsFunc(p.Objectives, func(o Objective) bool { return o.Kind == "wait" && o.Class == class })
}

// WeighsCost says whether money is weighed. A guarantee is room that a team may count
// on at once, which is what spare machines are for; where nobody has one, they
// are kept for what varies from moment to moment.
func (p *Deployment) WeighsCost(o *Operators) bool {
	if o.WeighMoney != nil {
		return *o.WeighMoney
	}
	return !slices.ContainsFunc(p.Teams, func(t Team) bool { return t.CPUs > 0 || t.GPUs > 0 })
}

// LeaderAuthorityTime is how long a controller without proof of its token still answers
// reports. A task of a cancelled job can outlive its cancellation by hold and
// a worker's lease, so both with their margins must fit into cancel_s; it
// takes half of the room there is, so that a release can still be tried.
func (p *Deployment) LeaderAuthorityTime() Micros {
	return MicrosOf((p.Workers.CancelS - p.Workers.LeaseS*1.002 - 2) * 0.55)
}

// Defaults are the operators' settings where no file says otherwise.
func Defaults() Operators {
	return Operators{
		ShortCutoff: 60 * Second, LongCutoff: 600 * Second, Term: 10 * Second, Trial: 180 * Second,
		IdleReturn: 40 * Second, LeaderLease: 3 * Second, SpareShare: 1, Reach: true,
	}
}

// LoadOperators reads the operators' file; an empty path gives the defaults.
func LoadOperators(path string) (Operators, error) {
	if path == "" {
		return Defaults(), nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return Operators{}, fmt.Errorf("read operators' settings: %w", err)
	}
	return ParseOperators(b)
}

// isFeatureName says whether a text may name a feature. Which there are is not asked: a
// file may hold back one that only a newer program has.
func isFeatureName(s string) bool {
	return s != "" && len(s) <= 40 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

// ParseOperators checks the text of an operators' file.
func ParseOperators(text []byte) (Operators, error) {
	o := Defaults()
	var pb operatorpb.Operators
	if err := prototext.Unmarshal(text, &pb); err != nil {
		return o, fmt.Errorf("operators' settings: %w", err)
	}
	var errs []error
	secs := func(name string, v *float64, to *Micros, lo, hi float64) {
		if v == nil {
			return
		}
		if !(*v >= lo && *v <= hi) {
			errs = append(errs, fmt.Errorf("%s: %v is not within %v and %v", name, *v, lo, hi))
			return
		}
		*to = MicrosOf(*v)
	}
	secs("short_cutoff_s", pb.ShortCutoffS, &o.ShortCutoff, 1, 86400)
	secs("long_cutoff_s", pb.LongCutoffS, &o.LongCutoff, 1, 864000)
	secs("term_s", pb.TermS, &o.Term, 2, 60)
	secs("trial_s", pb.TrialS, &o.Trial, 10, 3600)
	secs("idle_return_s", pb.IdleReturnS, &o.IdleReturn, 10, 86400)
	secs("leader_lease_s", pb.LeaderLeaseS, &o.LeaderLease, 1, 30)
	if v := pb.SpareShare; v != nil {
		if !(*v >= 0 && *v <= 10) {
			errs = append(errs, fmt.Errorf("spare_share: %v is not within 0 and 10", *v))
		}
		o.SpareShare = *v
	}
	for i, n := range pb.HoldFeatures {
		if !isFeatureName(n) {
			errs = append(errs, fmt.Errorf("hold_features[%d]: %q is no name of a feature", i, n))
		}
	}
	o.HoldFeatures = pb.HoldFeatures
	o.Sweeps = pb.GetSweeps()
	o.WeighMoney = pb.WeighMoney
	if pb.Reach != nil {
		o.Reach = *pb.Reach
	}
	if o.LongCutoff < o.ShortCutoff {
		errs = append(errs, errors.New("long_cutoff_s: less than short_cutoff_s"))
	}
	return o, errors.Join(errs...)
}
