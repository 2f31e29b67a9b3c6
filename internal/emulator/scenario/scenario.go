// Package scenario reads emulator scenarios from protobuf text files and reports every
// invalid field by name.
package scenario

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	pb "github.com/zinclb/zinclb/internal/emulator/scenario/scenariopb"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// Scenario is an environment configuration with a name and objectives.
type Scenario struct {
	Name string
	environment.Config
	Objectives []history.Objective
}

// Load reads a scenario file. A seed other than 0 overrides the seed in the file.
func Load(path string, seed uint64) (*Scenario, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	s, err := Parse(b, seed)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// reader converts the fields of a scenario and collects the errors in them.
type reader struct{ errs []error }

func (r *reader) addError(field, format string, args ...any) {
	r.errs = append(r.errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
}

// number returns a number, or its default if it is missing. A number out of bounds is an
// error.
func (r *reader) number(field string, value *float64, defaultValue, low, high float64) float64 {
	if value == nil {
		return defaultValue
	}
	if !(*value >= low && *value <= high) {
		r.addError(field, "%v is not within %v and %v", *value, low, high)
		return defaultValue
	}
	return *value
}

func (r *reader) seconds(field string, value *float64, defaultValue float64) int64 {
	return config.MicrosOf(r.number(field, value, defaultValue, 0, 1e6))
}

func (r *reader) count(field string, value *int32, defaultValue, low, high int32) int {
	if value == nil {
		return int(defaultValue)
	}
	if *value < low || *value > high {
		r.addError(field, "%d is not within %d and %d", *value, low, high)
		return int(defaultValue)
	}
	return int(*value)
}

// Parse reads the text of a scenario. A seed other than 0 overrides the seed in the text.
func Parse(text []byte, seed uint64) (*Scenario, error) {
	var m pb.Scenario
	if err := prototext.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	// Missing messages get default values for all their fields.
	for _, part := range []proto.Message{m.Controllers, m.Network, m.State, m.Cloud, m.Workers} {
		if !part.ProtoReflect().IsValid() {
			descriptor := part.ProtoReflect().Descriptor().Name()
			field := m.ProtoReflect().Descriptor().Fields().ByName(protoreflect.Name(strings.ToLower(string(descriptor))))
			m.ProtoReflect().Mutable(field)
		}
	}
	r := &reader{}
	s := &Scenario{Name: m.GetName()}
	s.Seed = max(m.GetSeed(), 1)
	if seed != 0 {
		s.Seed = seed
	}
	s.Length = r.seconds("length_s", m.LengthS, 300)
	if s.Length == 0 {
		r.addError("length_s", "must be positive")
	}
	r.platform(&m, s)
	r.machines(&m, s)
	for i, aim := range m.Aim {
		field := fmt.Sprintf("aim[%d]", i)
		if !slices.Contains([]string{"wait", "complete", "deadline", "accept", "served"}, aim.GetKind()) {
			r.addError(field+".kind", "%q is none of wait, complete, deadline, accept and served", aim.GetKind())
		}
		if aim.GetTeam() != "" && (aim.GetKind() != "served" || aim.GetClass() != "") {
			r.addError(field+".team", "only allowed for kind served and without a class")
		}
		s.Objectives = append(s.Objectives, history.Objective{Kind: aim.GetKind(), Class: aim.GetClass(), Team: aim.GetTeam(), Within: r.seconds(field+".within_s", aim.WithinS, 0), Share: r.number(field+".share", aim.Share, 0, 0, 1)})
		if aim.GetKind() == "served" {
			continue // the controllers' settings have no such objective
		}
		s.Params.Objectives = append(s.Params.Objectives, config.Objective{Kind: aim.GetKind(), Class: aim.GetClass(), WithinS: aim.GetWithinS()})
	}
	if len(r.errs) == 0 { // the steps below need valid machines
		r.drawJobs(&m, s)
		r.faults(&m, s)
	}
	if len(r.errs) > 0 {
		return nil, errors.Join(r.errs...)
	}
	return s, nil
}

// platform reads the fields that are also part of the controllers' settings.
func (r *reader) platform(m *pb.Scenario, s *Scenario) {
	r.controllers(m.GetControllers(), s)
	r.network(m.GetNetwork(), s)
	r.regions(m, s)
	r.stateService(m.GetState(), s)
	r.cloud(m.GetCloud(), s)
	r.workers(m.GetWorkers(), s)
	s.ClockDrift, s.StrayRequestRate = 0.0005, 0.1
	r.teams(m.Team, s)
}

func (r *reader) controllers(c *pb.Controllers, s *Scenario) {
	p := &s.Params
	p.Size = r.count("controllers.count", c.Count, 3, 1, 40)
	if p.Zones = c.GetZones(); len(p.Zones) == 0 {
		p.Zones = []string{"a", "b"}
	}
	s.RestartTime = r.seconds("controllers.restart_s", c.RestartS, 4)
	p.Limits.CoreShare = r.number("controllers.core_share", c.CoreShare, 1, 0.01, 64)
	p.Limits.MemMB = r.number("controllers.mem_mb", c.MemMb, 256, 32, 1e6)
	p.Limits.Sockets = r.count("controllers.sockets", c.Sockets, 1000, 32, 1e6)
	p.ClockErrorMS = r.number("controllers.clock_error_ms", c.ClockErrorMs, 100, 0, 1e6)
}

func (r *reader) network(n *pb.Network, s *Scenario) {
	s.Network = environment.Network{
		SameZone: int64(1000 * r.number("network.near_ms", n.NearMs, 0.4, 0.001, 1e4)), CrossZone: int64(1000 * r.number("network.far_ms", n.FarMs, 0.8, 0.001, 1e4)),
		Jitter: r.number("network.jitter", n.Jitter, 0.25, 0, 1), Loss: r.number("network.loss", n.Loss, 0, 0, 0.5),
	}
}

func (r *reader) stateService(service *pb.State, s *Scenario) {
	p := &s.Params
	p.State.RPS = r.number("state.rps", service.Rps, 200, 1, 1e6)
	p.State.WriteRPS = r.number("state.write_rps", service.WriteRps, 100, 1, 1e6)
	p.State.ValueKB = r.number("state.value_kb", service.ValueKb, 8, 1, 64)
	p.State.TxnOps = r.count("state.txn_ops", service.TxnOps, 48, 4, 10_000)
	s.StateDelay = int64(1000 * r.number("state.latency_ms", service.LatencyMs, 3, 0, 1e4))
	s.AnswerLoss = r.number("state.lost_answers", service.LostAnswers, 0, 0, 0.5)
	if next := service.GetNext(); next != nil {
		p.State.Next = &config.UpcomingStateLimits{RPS: next.Rps, WriteRPS: next.WriteRps, ValueKB: next.ValueKb}
		if next.TxnOps != nil {
			ops := r.count("state.next.txn_ops", next.TxnOps, 4, 4, 10_000)
			p.State.Next.TxnOps = &ops
		}
	}
}

func (r *reader) cloud(c *pb.Cloud, s *Scenario) {
	p := &s.Params
	p.Cloud.RPS = r.number("cloud.rps", c.Rps, 5, 0.1, 1e6)
	p.Cloud.ListLagS = r.number("cloud.list_lag_s", c.ListLagS, 2, 0, 600)
	s.CloudDelay = int64(1000 * r.number("cloud.latency_ms", c.LatencyMs, 100, 0, 1e4))
	s.Boot = environment.Boot{Slow: r.number("cloud.slow_boots", c.SlowBoots, 0, 0, 1), Never: r.number("cloud.failed_boots", c.FailedBoots, 0, 0, 1)}
	s.Spot = environment.Spot{PerHour: r.number("cloud.taken_per_hour", c.TakenPerHour, 0, 0, 1e4), Notice: r.seconds("cloud.notice_s", c.NoticeS, 10), SilentShare: r.number("cloud.silent", c.Silent, 0, 0, 1)}
}

func (r *reader) workers(w *pb.Workers, s *Scenario) {
	p := &s.Params
	p.Workers.ReportS = r.number("workers.report_s", w.ReportS, 2.5, 0.2, 600)
	p.Workers.LeaseS = r.number("workers.lease_s", w.LeaseS, 16, 2, 600)
	p.Workers.GangWaitS = r.number("workers.gang_wait_s", w.GangWaitS, 30, 1, 600)
	p.Workers.GangPeerS = r.number("workers.gang_peer_s", w.GangPeerS, 4, 0.5, 600)
	p.Workers.CancelS = r.number("workers.cancel_s", w.CancelS, 36, 4, 3600)
	if p.Workers.CancelS <= p.Workers.LeaseS*1.01+2 {
		r.addError("workers.cancel_s", "%v leaves no time beyond lease_s %v", p.Workers.CancelS, p.Workers.LeaseS)
	}
}

func (r *reader) teams(teams []*pb.Team, s *Scenario) {
	p := &s.Params
	seen := map[string]bool{}
	for i, team := range teams {
		field := fmt.Sprintf("team[%d]", i)
		if team.GetName() == "" || seen[team.GetName()] {
			r.addError(field+".name", "missing or used twice")
		}
		seen[team.GetName()] = true
		p.Teams = append(p.Teams, config.Team{
			Name: team.GetName(), CPUs: r.number(field+".cpus", team.Cpus, 0, 0, 1e7), CPUsMax: r.number(field+".cpus_max", team.CpusMax, 0, 0, 1e7),
			GPUs: r.number(field+".gpus", team.Gpus, 0, 0, 1e7), GPUsMax: r.number(field+".gpus_max", team.GpusMax, 0, 0, 1e7),
		})
	}
	if len(p.Teams) == 0 {
		r.addError("team", "at least one is needed")
	}
}

// regions reads the region of each zone, the delay between regions and the home region.
func (r *reader) regions(m *pb.Scenario, s *Scenario) {
	network := &s.Network
	network.Regions = map[string]string{}
	names := map[string]bool{}
	for i, region := range m.Region {
		field := fmt.Sprintf("region[%d]", i)
		if region.GetName() == "" || names[region.GetName()] {
			r.addError(field+".name", "missing or used twice")
		}
		names[region.GetName()] = true
		for _, zone := range region.Zones {
			switch {
			case !slices.Contains(s.Params.Zones, zone):
				r.addError(field+".zones", "no zone is called %q", zone)
			case network.Regions[zone] != "":
				r.addError(field+".zones", "%q is in %q already", zone, network.Regions[zone])
			}
			network.Regions[zone] = region.GetName()
		}
	}
	if remote := m.GetNetwork().RemoteMs; remote != nil {
		network.CrossRegion = int64(1000 * r.number("network.remote_ms", remote, 0, 0.001, 1e4))
	}
	if network.HomeRegion = m.GetNetwork().GetHome(); network.HomeRegion != "" && !names[network.HomeRegion] {
		r.addError("network.home", "no region is called %q", network.HomeRegion)
	}
}

func (r *reader) machines(m *pb.Scenario, s *Scenario) {
	for i, t := range m.MachineType {
		field := fmt.Sprintf("machine_type[%d]", i)
		if t.GetName() == "" || slices.ContainsFunc(s.Types, func(other wire.MachineType) bool { return other.Name == t.GetName() }) {
			r.addError(field+".name", "missing or used twice")
		}
		x := wire.MachineType{
			Name: t.GetName(), CPUs: r.number(field+".cpus", t.Cpus, 8, 0.1, 1e4), GPUs: r.number(field+".gpus", t.Gpus, 0, 0, 1e3), MemGB: r.number(field+".memory_gb", t.MemoryGb, 32, 0.1, 1e5),
			CacheGB: r.number(field+".cache_gb", t.CacheGb, 50, 0, 1e5), FetchRate: r.number(field+".fetch_gb_per_s", t.FetchGbPerS, 0.5, 0.001, 1e3),
			Price: r.number(field+".price", t.Price, 1, 0, 1e5), BootS: r.number(field+".boot_s", t.BootS, 20, 0, 3600), Zones: t.Zones,
		}
		x.SpotPrice = r.number(field+".spot_price", t.SpotPrice, x.Price*0.4, 0, 1e5)
		for _, zone := range t.Zones {
			if !slices.Contains(s.Params.Zones, zone) {
				r.addError(field+".zones", "no zone is called %q", zone)
			}
		}
		if len(x.Zones) == 0 {
			x.Zones = s.Params.Zones
		}
		s.Types = append(s.Types, x)
	}
	if len(s.Types) == 0 {
		r.addError("machine_type", "at least one is needed")
	}
	for i, x := range m.Machines {
		field := fmt.Sprintf("machines[%d]", i)
		t := slices.IndexFunc(s.Types, func(other wire.MachineType) bool { return other.Name == x.GetType() })
		if t < 0 {
			r.addError(field+".type", "no type is called %q", x.GetType())
		} else if !slices.Contains(s.Types[t].Zones, x.GetZone()) {
			r.addError(field+".zone", "%q is not a zone of that type", x.GetZone())
		}
		up, spotUp := r.count(field+".up", x.Up, 0, 0, 10_000), r.count(field+".spot_up", x.SpotUp, 0, 0, 10_000)
		s.Capacity = append(s.Capacity, environment.Capacity{Type: x.GetType(), Zone: x.GetZone(), Count: r.count(field+".count", x.Count, 0, 0, 10_000), Spot: r.count(field+".spot", x.Spot, 0, 0, 10_000)})
		for _, initial := range []environment.InitialMachines{{Type: x.GetType(), Zone: x.GetZone(), Count: up}, {Type: x.GetType(), Zone: x.GetZone(), Spot: true, Count: spotUp}} {
			if initial.Count > 0 {
				s.Machines = append(s.Machines, initial)
			}
		}
	}
}

// faults reads the sweeps and the faults, and checks that an environment can be created from the
// scenario.
func (r *reader) faults(m *pb.Scenario, s *Scenario) {
	for i, x := range m.Sweep {
		field := fmt.Sprintf("sweep[%d]", i)
		sweep, err := Expand(environment.Sweep{
			At: r.seconds(field+".at_s", x.AtS, 1), Cancel: r.seconds(field+".cancel_s", x.CancelS, 0), Run: r.seconds(field+".run_s", x.RunS, 5),
			Times: r.count(field+".times", x.Times, 1, 1, 1000), Text: x.GetText(),
		})
		if err != nil {
			r.addError(field+".text", "%v", err)
		}
		s.Sweeps = append(s.Sweeps, sweep)
	}
	for i, x := range m.Fault {
		field := fmt.Sprintf("fault[%d]", i)
		s.Faults = append(s.Faults, r.fault(field, x))
	}
	if len(r.errs) == 0 {
		if _, err := environment.New(s.Config, nil); err != nil {
			r.addError("scenario", "%v", err)
		}
	}
}

func (r *reader) fault(field string, message *pb.Fault) environment.Fault {
	kind := environment.FaultKind(message.GetKind())
	if !kind.Known() {
		r.addError(field+".kind", "%q is none of %v", kind, environment.FaultKinds())
	}
	fault := environment.Fault{
		At: r.seconds(field+".at_s", message.AtS, 0), Duration: r.seconds(field+".for_s", message.ForS, 0), Kind: kind, Hosts: message.Hosts, To: message.To,
		Count: r.count(field+".count", message.Count, 0, 0, 100_000), Share: r.number(field+".share", message.Share, 0, 0, 1), Factor: r.number(field+".factor", message.Factor, 0, 0, 1e4), Class: message.GetClass(), LoseOnlyResponses: message.GetAtOnce(), UntilNextLeader: message.GetForNext(), PartitionMode: environment.PartitionMode{Reset: message.GetResets(), Refuse: message.GetRefuses(), OneWay: message.GetOneWay()},
	}
	if loss := message.GetLose(); loss != nil {
		fault.TransactionLoss = &environment.TransactionLoss{Prefix: loss.GetPrefix(), Skip: r.count(field+".lose.skip", loss.Skip, 0, 0, 1e6), Outcome: environment.LossOutcome(loss.GetHow()), Delay: r.seconds(field+".lose.late_s", loss.LateS, 0)}
	}
	return fault
}

// ParseFault reads a single fault for a running environment. It does not check the names
// that the fault refers to.
func ParseFault(text []byte) (environment.Fault, error) {
	var m pb.Fault
	if err := prototext.Unmarshal(text, &m); err != nil {
		return environment.Fault{}, fmt.Errorf("fault: %w", err)
	}
	r := &reader{}
	f := r.fault("fault", &m)
	return f, errors.Join(r.errs...)
}
