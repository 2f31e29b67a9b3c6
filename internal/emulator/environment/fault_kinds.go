package environment

import (
	"maps"
	"slices"
)

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults, as scenarios name them.
const (
	FaultCrash                  FaultKind = "crash"
	FaultRollingRestart         FaultKind = "roll"
	FaultFreeze                 FaultKind = "freeze"
	FaultPartition              FaultKind = "cut"
	FaultStateOutage            FaultKind = "state_outage"
	FaultStateCold              FaultKind = "state_cold"
	FaultStateRefuse            FaultKind = "state_refuse"
	FaultStateSlow              FaultKind = "state_slow"
	FaultStateLimits            FaultKind = "state_limits"
	FaultStateLose              FaultKind = "state_lose"
	FaultLateWrites             FaultKind = "late_writes"
	FaultLateLeases             FaultKind = "late_leases"
	FaultCloudOutage            FaultKind = "cloud_outage"
	FaultCloudRefuse            FaultKind = "cloud_refuse"
	FaultCloudCapacity          FaultKind = "cloud_capacity"
	FaultCloudSlow              FaultKind = "cloud_slow"
	FaultSpotWave               FaultKind = "spot_wave"
	FaultMachineDie             FaultKind = "machine_die"
	FaultMachineHang            FaultKind = "machine_hang"
	FaultMachineSilent          FaultKind = "machine_silent"
	FaultMachineFaulty          FaultKind = "machine_faulty"
	FaultMachineCommandsBlocked FaultKind = "machine_deaf"
	FaultWorkerRestart          FaultKind = "machine_back"
	FaultWorkerReset            FaultKind = "machine_anew"
	FaultMachineReportsBlocked  FaultKind = "machine_mute"
	FaultReportCopies           FaultKind = "report_copies"
	FaultAnswerCopies           FaultKind = "answer_copies"
	FaultCancelNow              FaultKind = "cancel_now"
	FaultCancelAtEnd            FaultKind = "cancel_at_end"
	FaultProbes                 FaultKind = "close_looks"
	FaultInvalidRequests        FaultKind = "odd_requests"
)

// faultType has the help text and the implementation of a kind of fault.
type faultType struct {
	help    string
	prepare prepareFault
}

// faultTypes has the implementation of each kind of fault.
var faultTypes = map[FaultKind]faultType{
	FaultCrash:                  {help: "controllers end, and are started again, after For if that is given", prepare: controllerFault(crashControllers)},
	FaultRollingRestart:         {help: "controllers are restarted one after the other, For apart", prepare: controllerFault(restartInTurn)},
	FaultFreeze:                 {help: "controllers are suspended", prepare: controllerFault(freezeControllers)},
	FaultPartition:              {help: "no message passes between Hosts and To", prepare: preparePartition},
	FaultStateOutage:            {help: "the state service answers nobody", prepare: stateOutage(false)},
	FaultStateCold:              {help: "the state service answers nobody, and has compacted earlier changes when it is back", prepare: stateOutage(true)},
	FaultStateRefuse:            {help: "the state service refuses controllers", prepare: controllerFault(refuseControllers)},
	FaultStateSlow:              {help: "the state service takes Factor times as long", prepare: slowdown(func(env *Environment) *float64 { return &env.state.slowFactor })},
	FaultStateLimits:            {help: "the state service's limits fall to those announced", prepare: lowerStateLimits},
	FaultStateLose:              {help: "a transaction is lost, or its answer", prepare: loseTransaction},
	FaultLateWrites:             {help: "Share of the transactions get no answer and are executed 2 to 12 s later, or at once", prepare: lateRequests(func(env *Environment) *float64 { return &env.state.delayedWriteShare })},
	FaultLateLeases:             {help: "the same of renewals, new leases and revoked ones", prepare: lateRequests(func(env *Environment) *float64 { return &env.state.delayedLeaseShare })},
	FaultCloudOutage:            {help: "the cloud's interface is down", prepare: toggle(func(env *Environment, on bool) { env.cloud.down = on })},
	FaultCloudRefuse:            {help: "the cloud has no machine to give", prepare: toggle(func(env *Environment, on bool) { env.cloud.refusing = on })},
	FaultCloudCapacity:          {help: "the cloud has only Share of its capacity", prepare: limitCapacity},
	FaultCloudSlow:              {help: "machines take Factor times as long to come up", prepare: slowdown(func(env *Environment) *float64 { return &env.cloud.bootFactor })},
	FaultSpotWave:               {help: "Share of the spot machines are reclaimed", prepare: machineFault(func(m *machine, _ Fault) func() { m.env.cloud.reclaim(m); return nil })},
	FaultMachineDie:             {help: "machines stop for good", prepare: machineFault(func(m *machine, _ Fault) func() { m.env.cloud.fail(m); return nil })},
	FaultMachineHang:            {help: "machines hang", prepare: machineFault(func(m *machine, _ Fault) func() { m.hang(); return m.resume })},
	FaultMachineSilent:          {help: "machines are partitioned from everybody", prepare: machineFault(isolateMachine)},
	FaultMachineFaulty:          {help: "machines fail every task", prepare: machineFault(func(m *machine, _ Fault) func() { m.faulty = true; return func() { m.faulty = false } })},
	FaultMachineCommandsBlocked: {help: "machines' reports arrive, and no answer or command reaches them", prepare: machineFault(blockCommands)},
	FaultWorkerRestart:          {help: "machines lose their tasks and are back after For; their reports' numbers go on", prepare: restartMachines},
	FaultWorkerReset:            {help: "machines lose their tasks and are back after For; their reports' numbers begin anew", prepare: restartMachines},
	FaultMachineReportsBlocked:  {help: "machines reach no controller, while direct commands reach them", prepare: machineFault(func(m *machine, _ Fault) func() { m.reportsBlocked = true; return func() { m.reportsBlocked = false } })},
	FaultReportCopies:           {help: "copies of Share of the reports come again, up to Factor leases late, or to all controllers as the next leader begins", prepare: copyReports},
	FaultAnswerCopies:           {help: "copies of Share of the answers to reports reach their worker again, up to 4 s after the report", prepare: copyAnswers},
	FaultCancelNow:              {help: "Count jobs that have long to go are cancelled within a fifth of a second; eight of their machines hang for For", prepare: cancelJobsNow},
	FaultCancelAtEnd:            {help: "Share of the jobs that end are cancelled, asked about and submitted again at that moment", prepare: cancelJobsAtEnd},
	FaultProbes:                 {help: "users ask at all controllers within milliseconds after each acceptance and each end", prepare: toggle(func(env *Environment, on bool) { env.balancer.probeAfterAnswers = on })},
	FaultInvalidRequests:        {help: "users repeat submissions, cancel what is done, and send jobs that can't run or lack a field", prepare: sendInvalidRequests},
}

// FaultKinds returns all kinds of faults, sorted.
func FaultKinds() []FaultKind { return slices.Sorted(maps.Keys(faultTypes)) }

// Known reports whether k is an existing kind of fault.
func (k FaultKind) Known() bool { return faultTypes[k].prepare != nil }

// Help returns a one-line description of the kind of fault.
func (k FaultKind) Help() string { return faultTypes[k].help }
