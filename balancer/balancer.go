package balancer

import "fmt"

const second Micros = 1_000_000

// Balancer decides for one sidecar. Make one with New.
type Balancer struct {
	settings Settings
	actions  Actions
	random   randomSource

	processCount int // that act for this balancer

	requests        map[uint64]*request // every request with an attempt out or no final answer
	requestSlots    []*request          // by timer slot
	freeRequests    []*request          // records to use again
	unansweredCount int                 // requests without final answer
	probeWaiters    []*request          // requests that wait for probes

	endpointsByID         map[uint32]*endpoint
	bannedSince           map[uint32]Micros // endpoints out by hand, listed or not, and since when
	pendingReinstatements map[uint32]Micros // called back while not listed, and when they are due
	endpoints             []*endpoint       // known endpoints in the order first heard of
	localEndpoints        []*endpoint       // those of the own zone
	hasEndpointList       bool              // discovery has answered since the start
	probedPool            []*endpoint       // endpoints with a fresh answer
	maxWeight             float64           // share of any listed endpoint
	probesPerRequest      float64           // probes that go with a request, while sparse
	gossiping             bool              // answers are shared with the other balancers
	probesOnDemand        bool              // probes are asked for single requests

	subscribed  bool
	nextPollAt  Micros // next call of discovery, unless subscribed by then
	lastPollAt  Micros // latest call that was asked for
	pollBackoff Micros

	classes                 []classStats
	tenants                 []rateMeter // requests taken, by tenant
	zones                   [256]zoneStats
	serviceTime             ewma      // of all warm endpoints
	requestRate             rateMeter // requests taken
	startedWork             rateMeter // work sent
	rejectedFraction        ewma      // share of requests refused at arrival
	forcedAdmissionInterval int       // requests that seem too late for one that is sent
	retryTokens             float64   // retry budget, in attempts

	queuedProbeFraction ewma // share of probes that waited in line
	lateReportFraction  ewma // share of load reports that must be late
	// requests that an endpoint of each kind works at side by side, as reports tell
	concurrencyByType [256]ewma
	reportsAreLate    bool
	hasSeenCostHint   bool    // a request's work was hinted at
	hintExponent      float64 // power of a hint that work grows with

	lastLogged map[string]Micros // last line by topic
}

// New returns a balancer, or a *SettingError. Call Start before any other event.
func New(s Settings, seed uint64, out Actions) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: s, actions: out, random: randomSource(seed), processCount: 1,
		requests: map[uint64]*request{}, endpointsByID: map[uint32]*endpoint{}, bannedSince: map[uint32]Micros{},
		pendingReinstatements: map[uint32]Micros{}, lastLogged: map[string]Micros{},
		classes: make([]classStats, len(s.Classes)), tenants: make([]rateMeter, len(s.Tenants)),
	}
	for i := range b.classes {
		b.classes[i].meanWork = ewma{value: float64(s.Classes[i].LatencyObjective) / 5, initialized: true}
	}
	return b, nil
}

// Start begins the balancer's life.
func (b *Balancer) Start(now Micros) {
	b.lateReportFraction.initialized, b.rejectedFraction.initialized = true, true
	b.hintExponent = 0.5
	for i := range b.zones {
		b.zones[i].trend = 1
	}
	b.retryTokens, b.forcedAdmissionInterval = maxRetryTokens, minForcedAdmissionInterval
	// a price of 0 asks for the most
	b.probesPerRequest = min(maxProbesPerRequest, onDemandProbeCostLimit/b.settings.Costs.LoadProbe)
	// all may start at once: spread their first calls
	if b.settings.MustSubscribe {
		b.schedulePoll(now, 1+b.random.below(min(b.settings.Rules.MaxPollInterval/10, maxFirstPollDelay)))
	}
	if b.settings.Limits.AllowLoadProbes {
		b.actions.SetTimer(1+b.random.below(maxProbeRoundInterval), timerProbeRound)
	}
}

// Timer tokens below firstSlot belong to the balancer; others name a request.
const (
	timerProbeRound = iota
	timerDiscoveryPoll
	firstRequestTimer = 16
	timerSlotBits     = 20
)

// TimerFired handles a token given to Actions.Timer.
func (b *Balancer) TimerFired(now Micros, token uint32) {
	switch {
	case token == timerProbeRound:
		b.probeRound(now)
	case token == timerDiscoveryPoll:
		b.poll(now)
	case token >= firstRequestTimer:
		slot := int(token&(1<<timerSlotBits-1)) - firstRequestTimer
		if slot >= 0 && slot < len(b.requestSlots) {
			if r := b.requestSlots[slot]; r.timerToken == token && !r.answered && !r.streaming {
				b.requestTimerFired(now, r)
			}
		}
	}
}

// log writes a line for on-call staff, at most one a second for each topic: refusals come in thousands.
func (b *Balancer) log(now Micros, topic, format string, args ...any) {
	if at, ok := b.lastLogged[topic]; ok && now-at < second {
		return
	}
	b.lastLogged[topic] = now
	b.actions.Log(fmt.Sprintf(format, args...))
}
