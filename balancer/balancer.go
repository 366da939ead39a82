package balancer

import "fmt"

const second Micros = 1_000_000

// Balancer decides for one sidecar. Make one with New.
type Balancer struct {
	s   Settings
	out Actions
	rng source

	processes int // that act for this balancer

	requests map[uint64]*request // every request with an attempt out or no final answer
	slots    []*request          // by timer slot
	free     []*request          // records to use again
	open     int                 // requests without final answer
	held     []*request          // requests that wait for probes

	byID    map[uint32]*endpoint
	bans    map[uint32]Micros // endpoints out by hand, listed or not, and since when
	recalls map[uint32]Micros // called back while not listed, and when they are due
	list    []*endpoint       // known endpoints in the order first heard of
	home    []*endpoint       // those of the own zone
	listed  bool              // discovery has answered since the start
	pool    []*endpoint       // endpoints with a fresh answer
	largest float64           // share of any listed endpoint
	asks    float64           // probes that go with a request, while sparse
	tells   bool              // answers are shared with the other balancers
	sparse  bool              // probes are asked for single requests

	subscribed bool
	askAt      Micros // next call of discovery, unless subscribed by then
	askedAt    Micros // latest call that was asked for
	askWait    Micros

	classes  []classStats
	tenants  []meter // requests taken, by tenant
	zones    [256]zoneStats
	pace     ewma    // of all warm endpoints
	demand   meter   // requests taken
	sentWork meter   // work sent
	refused  ewma    // share of requests refused at arrival
	passOf   int     // requests that seem too late for one that is sent
	credit   float64 // retry budget, in attempts

	waits       ewma      // share of probes that waited in line
	lag         ewma      // share of load reports that must be late
	atWork      [256]ewma // requests that an endpoint of each kind works at side by side, as reports tell
	reportsLate bool
	hinted      bool    // a request's work was hinted at
	trust       float64 // power of a hint that work grows with

	logged map[string]Micros // last line by topic
}

// New returns a balancer, or a *SettingError. Call Start before any other event.
func New(s Settings, seed uint64, out Actions) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		s: s, out: out, rng: source(seed), processes: 1,
		requests: map[uint64]*request{}, byID: map[uint32]*endpoint{}, bans: map[uint32]Micros{},
		recalls: map[uint32]Micros{}, logged: map[string]Micros{},
		classes: make([]classStats, len(s.Classes)), tenants: make([]meter, len(s.Tenants)),
	}
	for i := range b.classes {
		b.classes[i].work = ewma{v: float64(s.Classes[i].LatencyObjective) / 5, seen: true}
	}
	return b, nil
}

// Start begins the balancer's life.
func (b *Balancer) Start(now Micros) {
	b.lag.seen, b.refused.seen = true, true
	b.trust = 0.5
	for i := range b.zones {
		b.zones[i].trend = 1
	}
	b.credit, b.passOf = budgetBurst, passLeast
	b.asks = min(probeMost, askSpend/b.s.Costs.LoadProbe) // a price of 0 asks for the most
	if b.s.MustSubscribe {                                // all may start at once: spread their first calls
		b.askIn(now, 1+b.rng.below(min(b.s.Rules.MaxPollInterval/10, askSpread)))
	}
	if b.s.Limits.AllowLoadProbes {
		b.out.SetTimer(1+b.rng.below(probeGap), tokenProbe)
	}
}

// Timer tokens below firstSlot belong to the balancer; others name a request.
const (
	tokenProbe = iota
	tokenDiscovery
	firstSlot = 16
	slotBits  = 20
)

// TimerFired handles a token given to Actions.Timer.
func (b *Balancer) TimerFired(now Micros, token uint32) {
	switch {
	case token == tokenProbe:
		b.probeRound(now)
	case token == tokenDiscovery:
		b.ask(now)
	case token >= firstSlot:
		slot := int(token&(1<<slotBits-1)) - firstSlot
		if slot >= 0 && slot < len(b.slots) {
			if r := b.slots[slot]; r.token == token && !r.ended && !r.stream {
				b.wake(now, r)
			}
		}
	}
}

// log writes a line for on-call staff, at most one a second for each topic: refusals come in thousands.
func (b *Balancer) log(now Micros, topic, format string, args ...any) {
	if at, ok := b.logged[topic]; ok && now-at < second {
		return
	}
	b.logged[topic] = now
	b.out.Log(fmt.Sprintf(format, args...))
}
