package balancer

const second Micros = 1_000_000

const (
	// Until an endpoint reports or a request is hinted, the work of a class is taken for this part of its
	// latency objective.
	initialWorkDivisor  = 5
	initialHintExponent = 0.5

	maxZones        = 256 // Endpoint.Zone is a byte
	maxMachineTypes = 256 // Endpoint.MachineType is a byte
)

// Balancer makes the decisions of one sidecar. It is made by New and belongs to one goroutine: its
// methods may not be called concurrently, nor from within Actions.
type Balancer struct {
	settings Settings
	actions  Actions
	random   randomSource

	processCount int // processes that divide the traffic of this balancer

	// Requests (requests.go, probe_wait.go).
	requests        map[uint64]*request // those unanswered or with an outstanding attempt, by ID
	requestSlots    []*request          // by timer slot
	freeRequests    []*request          // records to reuse
	unansweredCount int
	probeWaiters    []*request // requests that wait for load probes

	// Endpoints (endpoints.go, bans.go, discovery_poll.go).
	endpoints       []*endpoint // in the order in which they were first listed
	endpointsByID   map[uint32]*endpoint
	localEndpoints  []*endpoint // those of this balancer's zone
	maxWeight       float64     // of any endpoint ever listed
	hasEndpointList bool        // discovery has answered since the start
	bans            bans
	poll            discoveryPoll

	// Load probes and reports (load_probes.go, load_estimate.go, late_reports.go).
	probesPerRequest    float64     // load probes sent for one request while probing on demand
	probesOnDemand      bool        // load probes are sent for single requests, not in rounds
	gossiping           bool        // load reports are shared with the other balancers
	probedPool          []*endpoint // endpoints with a fresh load report
	queuedProbeFraction ewma        // fraction of load probes that waited in a queue
	lateReports         lateReports
	concurrency         [maxMachineTypes]ewma // requests that an endpoint serves at a time, by machine type

	// Estimates (latency_estimate.go, admission.go).
	classes          []classStats
	zones            [maxZones]zoneStats
	serviceTime      ewma      // per unit of work, over all endpoints past their slow start
	requestRate      rateMeter // requests received
	startedWork      rateMeter // work of the attempts started, in microseconds
	rejectedFraction ewma      // of the requests, by the first decision on each
	hasSeenCostHint  bool
	hintExponent     float64 // work grows with a cost hint to this power, 0 to 1

	// Limits (admission.go, quota.go, retry_budget.go).
	forcedAdmission forcedAdmission
	tenantRates     []rateMeter // requests received, by tenant
	retryBudget     retryBudget

	lastLogged map[string]Micros // by message
}

// New returns a balancer that acts through actions, or a *SettingError. Two balancers of the same
// settings, seed and events act the same. The host calls Start before any other event.
func New(settings Settings, seed uint64, actions Actions) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:      settings,
		actions:       actions,
		random:        randomSource(seed),
		processCount:  1,
		requests:      map[uint64]*request{},
		endpointsByID: map[uint32]*endpoint{},
		bans:          newBans(),
		classes:       make([]classStats, len(settings.Classes)),
		tenantRates:   make([]rateMeter, len(settings.Tenants)),
		lastLogged:    map[string]Micros{},
	}
	for i := range b.classes {
		work := float64(settings.Classes[i].LatencyObjective) / initialWorkDivisor
		b.classes[i].meanWork = ewma{value: work, initialized: true}
	}
	return b, nil
}

// Start arms the first timers. The host calls it once, before any other event.
func (b *Balancer) Start(now Micros) {
	b.lateReports.fraction.initialized = true
	b.rejectedFraction.initialized = true
	b.hintExponent = initialHintExponent
	for i := range b.zones {
		b.zones[i].trend.value = 1
	}
	b.retryBudget.tokens = maxRetryTokens
	b.forcedAdmission.interval = minForcedAdmissionInterval
	b.probesPerRequest = min(maxProbesPerRequest, onDemandProbeCostLimit/b.settings.Costs.LoadProbe)
	if b.settings.MustSubscribe {
		b.scheduleFirstPoll(now)
	}
	if b.settings.Limits.AllowLoadProbes {
		b.actions.SetTimer(1+b.random.below(maxProbeRoundInterval), timerProbeRound)
	}
}

// Timer tokens below firstRequestTimer belong to the balancer. The others name a request: the low bits
// its slot, the high bits how often the slot was used, so that a timer of an earlier request finds
// nothing.
const (
	timerProbeRound = iota
	timerDiscoveryPoll
	firstRequestTimer = 16
	timerSlotBits     = 20
)

// TimerFired handles the end of a timer that Actions.SetTimer asked for.
func (b *Balancer) TimerFired(now Micros, token uint32) {
	switch {
	case token == timerProbeRound:
		b.probeRound(now)
	case token == timerDiscoveryPoll:
		b.pollDiscovery(now)
	case token >= firstRequestTimer:
		if r := b.requestByTimer(token); r != nil {
			b.requestTimerFired(now, r)
		}
	}
}

// log records an event for the staff on call, at most once a second for each message.
func (b *Balancer) log(now Micros, message string, fields ...LogField) {
	if at, ok := b.lastLogged[message]; ok && now-at < second {
		return
	}
	b.lastLogged[message] = now
	b.actions.Log(message, fields...)
}
