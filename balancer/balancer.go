package balancer

const second Micros = 1_000_000

const (
	// A class's mean work is assumed to be its latency objective divided by initialWorkDivisor until load
	// reports, cost hints or outcomes show it.
	initialWorkDivisor  = 5
	initialHintExponent = 0.5

	maxZones        = 256 // Endpoint.Zone is a byte
	maxMachineTypes = 256 // Endpoint.MachineType is a byte
)

// Balancer makes the decisions of one sidecar. It is created by New and belongs to one goroutine: its
// methods must not be called concurrently or from within Actions.
type Balancer struct {
	settings Settings
	actions  Actions
	random   randomSource

	processCount int // processes that share the traffic of this balancer

	// Requests (requests.go, probe_wait.go).
	requests        map[uint64]*request // unanswered or with an outstanding attempt, by ID
	requestSlots    []*request          // indexed by timer slot
	freeRequests    []*request          // finished requests to reuse
	unansweredCount int
	probeWaiters    []*request // requests waiting for load probes

	// Endpoints (endpoints.go, bans.go, discovery_poll.go).
	endpoints       []*endpoint // in the order of their first listing
	endpointsByID   map[uint32]*endpoint
	localEndpoints  []*endpoint // endpoints in this balancer's zone
	maxWeight       float64     // greatest weight of any endpoint listed so far
	hasEndpointList bool        // discovery has answered since the start
	bans            bans
	poll            discoveryPoll

	// Load probes and reports (load_probes.go, load_estimate.go, late_reports.go).
	probesPerRequest    float64     // load probes per request while probing on demand
	probesOnDemand      bool        // load probes are sent for individual requests, not in rounds
	gossiping           bool        // load reports are shared with the other balancers
	probedPool          []*endpoint // endpoints with a fresh load report
	queuedProbeFraction ewma        // fraction of load probes that waited in a queue
	lateReports         lateReports
	concurrency         [maxMachineTypes]ewma // requests an endpoint serves concurrently, by machine type

	// Estimates (latency_estimate.go, admission.go).
	classes          []classStats
	zones            [maxZones]zoneStats
	serviceTime      ewma      // service time per unit of work, over all endpoints past their slow start
	requestRate      rateMeter // requests received
	startedWork      rateMeter // work of the attempts started, in microseconds
	rejectedFraction ewma      // fraction of requests rejected by their first decision
	hasSeenCostHint  bool
	hintExponent     float64 // expected work scales with the cost hint to this power; 0 to 1

	// Limits (admission.go, quota.go, retry_budget.go).
	forcedAdmission forcedAdmission
	tenantRates     []rateMeter // requests received, by tenant
	retryBudget     retryBudget

	lastLogged map[string]Micros // time of the latest log line, by message
}

// New returns a balancer that acts through actions. The error is a *SettingError. Two balancers with the
// same settings, seed and events request the same actions. The host calls Start before any other method.
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

// Start initializes the estimates and arms the first timers. The host calls it once, before any other event.
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

// Timer tokens below firstRequestTimer belong to the balancer itself. The others identify a request: the
// low bits hold its slot and the high bits count the uses of the slot, so that a timer of an earlier
// request in the same slot matches nothing.
const (
	timerProbeRound = iota
	timerDiscoveryPoll
	firstRequestTimer = 16
	timerSlotBits     = 20
)

// TimerFired handles the expiry of a timer set by Actions.SetTimer.
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

// log writes a log line for the operators, at most once a second for each message.
func (b *Balancer) log(now Micros, message string, fields ...LogField) {
	if at, ok := b.lastLogged[message]; ok && now-at < second {
		return
	}
	b.lastLogged[message] = now
	b.actions.Log(message, fields...)
}
