package core

// Shares and bounds of the calls to the cloud.
const (
	// callRateShare is the share of the cloud's call rate that the leader uses.
	callRateShare = 0.85
	// maxCloudCalls is how many calls may be under way at once.
	maxCloudCalls = 4
	// listCallShare is the share of the calls that lists may take to come more often
	// than listPageInterval a page: they show machines that were reclaimed without notice.
	listCallShare    = 0.1
	listPageInterval = 5 * second

	// typesInterval is how often the machine types are asked for, typesRetryGap how soon
	// again where that failed.
	typesInterval = 120 * second
	typesRetryGap = 2 * second
)

// scalingState is what the scaler keeps while this controller leads.
type scalingState struct {
	callBudget   float64 // calls that may be made now
	refilledAt   int64
	callsRunning int

	typesListedAt int64
	listing       bool
	listStartedAt int64
	listFailedAt  int64 // when the last list failed
	listedAt      int64 // when the last list came
	listings      cloudListings

	scalingOut    map[machineOffer]bool
	refusedUntil  map[machineOffer]int64
	backoff       map[machineOffer]int64 // how long an offer was last left alone
	unanswered    []ScaleOut             // requests without an answer, under their names
	requestSerial int
	booting       map[string]bootingMachine

	toScaleIn  []string
	scaledInAt map[string]int64 // machines whose scale-in was answered

	peaks        map[machinePool]usagePeak
	idleOnDemand int // idle on-demand machines when last counted
}

// bootingMachine is a machine of the cloud that has sent no heartbeat yet.
type bootingMachine struct {
	machineOffer
	since int64
	up    bool // listed as running
}

// machineOffer is what kind of machines are rented, and where.
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

// refillCalls adds the calls that have become free since the last time.
func (s *scalingState) refillCalls(now int64, rate float64) {
	s.callBudget = min(s.callBudget+float64(now-s.refilledAt)/1e6*rate, 2*rate)
	s.refilledAt = now
}

// takeCall reports whether a call may be made now, and counts it.
func (s *scalingState) takeCall() bool {
	if s.callBudget < 1 || s.callsRunning >= maxCloudCalls {
		return false
	}
	s.callBudget--
	s.callsRunning++
	return true
}

// scaler rents machines from the cloud where work waits, and returns idle, silent and
// faulty ones.
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

	// costAware: the cost of machines is one of the operators' objectives.
	costAware bool
}

// cloudTick makes the calls of the cloud that are due.
func (s *scaler) cloudTick() {
	state := &s.elector.leadership.scaling
	rate := s.settings.Cloud.RPS * callRateShare
	state.refillCalls(s.now, rate)
	if s.typesDue() && state.takeCall() {
		state.typesListedAt = s.now
		s.cloud.callCloud(CloudCall{ListTypes: true})
	}
	gathers := s.zoneGathers()
	s.scaleInTick(state.takeCall, gathers)
	s.listTick(rate)
	s.scaleOutTick(state.takeCall, gathers)
}

// typesDue reports whether the machine types are to be asked for: often while none are known.
func (s *scaler) typesDue() bool {
	listedAt := s.elector.leadership.scaling.typesListedAt
	if (len(s.cache.machineTypes) == 0 || listedAt == 0) && s.now-listedAt >= typesRetryGap {
		return true
	}
	return s.now-listedAt >= typesInterval
}

// listTick asks the cloud for the list of its machines when that is due.
// A list takes a call for each page, which have to be paced as well:
// large fleets are listed less often, so that most calls stay for scaling out.
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
