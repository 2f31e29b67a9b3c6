package core

// Limits for calls to the cloud.
const (
	// callRateShare is the share of the cloud's rate limit that the leader uses.
	callRateShare = 0.85
	// maxCloudCalls is the maximum number of concurrent calls.
	maxCloudCalls = 4
	// listCallShare is the share of the calls that lists may take: machines are listed as often
	// as it allows, within the bounds given by listPageInterval. A list shows which machines
	// were reclaimed without notice.
	listCallShare = 0.1
	// listPageInterval is the minimum time between two lists of the machines. Multiplied by the
	// number of pages of a list it is the maximum time, even if lists then take more calls than
	// listCallShare.
	listPageInterval = 5 * second

	// typesInterval is the interval at which the machine types are listed.
	typesInterval = 120 * second
	// typesRetryGap is the time before a retry after a failure, and the interval at which the
	// machine types are listed while none are known.
	typesRetryGap = 2 * second
)

// scalingState is the state that the scaler keeps while this controller leads.
type scalingState struct {
	callBudget   float64 // number of calls that may be made now
	refilledAt   int64
	callsRunning int

	typesListedAt int64
	listing       bool
	listStartedAt int64
	listFailedAt  int64 // when the last list failed
	listedAt      int64 // when the last list was received
	listings      cloudListings

	scalingOut    map[machineOffer]bool
	refusedUntil  map[machineOffer]int64
	backoff       map[machineOffer]int64 // last backoff time of an offer
	unanswered    []ScaleOut             // unanswered requests, to be repeated with the same names
	requestSerial int
	booting       map[string]bootingMachine

	toScaleIn  []string
	scaledInAt map[string]int64 // when the scale-in of a machine was confirmed

	peaks        map[machinePool]usagePeak
	idleOnDemand int // number of idle on-demand machines at the last count
}

// bootingMachine is a rented machine that has sent no heartbeat yet.
type bootingMachine struct {
	machineOffer
	since         int64
	listedRunning bool // whether the cloud lists it as running
}

// machineOffer is a combination of machine type, zone and kind (spot or on-demand) in which machines
// can be rented.
type machineOffer struct {
	machineType, zone string
	spot              bool
}

func newScalingState(now int64) scalingState {
	return scalingState{
		refilledAt:   now,
		scalingOut:   map[machineOffer]bool{},
		refusedUntil: map[machineOffer]int64{},
		backoff:      map[machineOffer]int64{},
		booting:      map[string]bootingMachine{},
		peaks:        map[machinePool]usagePeak{},
		scaledInAt:   map[string]int64{},
	}
}

// refillCalls adds to the budget the calls that the rate has allowed since the last refill.
func (s *scalingState) refillCalls(now int64, rate float64) {
	s.callBudget = min(s.callBudget+float64(now-s.refilledAt)/1e6*rate, 2*rate)
	s.refilledAt = now
}

// takeCall reports whether a call may be made now, and if so takes it from the budget.
func (s *scalingState) takeCall() bool {
	if s.callBudget < 1 || s.callsRunning >= maxCloudCalls {
		return false
	}
	s.callBudget--
	s.callsRunning++
	return true
}

// scaler rents machines from the cloud when work is waiting, and returns idle, silent and faulty
// machines.
type scaler struct {
	*engine

	cache      *stateCache
	cloud      *cloudCaller
	committer  *committer
	elector    *elector
	membership *membership
	peers      *peerMonitor
	planner    *planner
	prefetcher *prefetcher

	// costAware is set if the cost of machines is one of the operators' objectives.
	costAware bool
}

// cloudTick makes the calls to the cloud that are due.
func (s *scaler) cloudTick() {
	state := &s.elector.leadership.scaling
	rate := s.settings.Cloud.RPS * callRateShare
	state.refillCalls(s.now, rate)
	if s.typesDue() && state.takeCall() {
		state.typesListedAt = s.now
		s.cloud.callCloud(CloudCall{ListTypes: true})
	}
	targets := s.zoneTargets()
	s.scaleInTick(state.takeCall, targets)
	s.listTick(rate)
	s.scaleOutTick(state.takeCall, targets)
}

// typesDue reports whether the machine types must be listed. While none are known, they are listed
// more often.
func (s *scaler) typesDue() bool {
	listedAt := s.elector.leadership.scaling.typesListedAt
	if (len(s.cache.machineTypes) == 0 || listedAt == 0) && s.now-listedAt >= typesRetryGap {
		return true
	}
	return s.now-listedAt >= typesInterval
}

// listTick lists the cloud's machines when that is due. A list takes one call per page, and these
// calls must be rate limited as well: large fleets are listed less often, so that most calls
// remain for scaling out.
func (s *scaler) listTick(rate float64) {
	state := &s.elector.leadership.scaling
	pages := int64(1 + s.elector.leadership.fleet.Len()/ListPage)
	interval := min(pages*listPageInterval, max(listPageInterval, int64(float64(pages)/(rate*listCallShare)*1e6)))
	if state.listing || s.now-state.listStartedAt < interval || !state.takeCall() {
		return
	}
	state.listing, state.listStartedAt = true, s.now
	state.callBudget -= float64(pages - 1)
	s.cloud.callCloud(CloudCall{ListMachines: true, Gap: int64(1e6 / rate)})
}
