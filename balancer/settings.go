package balancer

import "fmt"

// Micros is an instant or a duration in microseconds. Instants share one arbitrary origin chosen by the
// host; the host's clock never runs backwards.
type Micros = int64

// RetrySafety classifies the effect of executing a request twice.
type RetrySafety uint8

// The kinds of retry safety.
const (
	Idempotent        RetrySafety = iota // no effect beyond that of one execution
	IdempotentWithKey                    // no further effect within the class's dedup scope and window
	NonIdempotent                        // the second execution has an effect of its own
)

// DedupScope is the set of endpoints that drop duplicates of a request with the same key.
type DedupScope uint8

// The dedup scopes.
const (
	DedupScopeFleet DedupScope = iota // all endpoints
	DedupScopeZone                    // the endpoints of one zone
	DedupScopePod                     // the endpoints of one pod
)

// LoadField names one value of a load report.
type LoadField uint8

// The values that a load report may contain. LoadFieldUnknown stands for a value that this version does not
// know; it is skipped.
const (
	LoadFieldUnknown     LoadField = iota
	LoadFieldInFlight              // requests in flight at the endpoint, queued ones included
	LoadFieldQueueLength           // requests that wait in its queue
	LoadFieldUtilization           // fraction of its cores in use
	LoadFieldServiceTime           // recent service time in milliseconds
	LoadFieldThroughput            // requests served per second
	LoadFieldErrorRate             // errors per second
)

// Class describes one class of requests.
type Class struct {
	Name             string
	RetrySafety      RetrySafety
	DedupScope       DedupScope // for IdempotentWithKey
	DedupWindow      Micros     // for IdempotentWithKey: how long duplicates are dropped
	LatencyObjective Micros     // from the arrival of the request, or the end of its body
	ClientTimeout    Micros     // for all attempts together
	PriorityWeight   float64    // value of a response within the latency objective
	LateWeight       float64    // 0 to 1: fraction of PriorityWeight for a late response; no decision reads it
	Streaming        bool       // responses are streamed; no decision reads it, see ResponseStarted
}

// Tenant describes one tenant and its quota. No decision reads Name or Fraction.
type Tenant struct {
	Name     string
	Quota    float64 // requests per second over all balancers
	Fraction float64 // the tenant's fraction of the service
}

// Limits holds what the deployment permits. No decision reads DialTimeout or AllowHedging: hedged requests
// would double the work of an endpoint that is slow because it is overloaded.
type Limits struct {
	AllowCancel     bool
	AllowLoadProbes bool
	AllowHedging    bool
	AllowRetryAfter bool
	AllowGossip     bool

	MaxAttempts   int    // per request
	MaxUnanswered int    // unanswered requests of this balancer above which new ones are rejected
	MaxRetryAfter Micros // longest Retry-After that clients honour
	DialTimeout   Micros
}

// Rules holds the parameters of the service's rules. No decision reads DrainGrace or ResponseSlack, because
// no new request is sent to a draining endpoint and requests are answered by their deadline.
type Rules struct {
	DrainGrace           Micros
	SlowStartMinCapacity float64 // fraction of its full capacity that an endpoint has at least at its start
	SlowStartDuration    Micros  // time after which it has its full capacity
	// An endpoint in its slow start fails if the work sent to it within OverloadDuration is more than
	// OverloadMultiple times its present capacity.
	OverloadMultiple float64
	OverloadDuration Micros
	MaxPollInterval  Micros // longest time between polls while not subscribed; bounds first delay and backoff
	ResponseSlack    Micros
}

// Costs holds what each event of a kind takes off the score of a run, relative to the 1 that a request served
// in time adds. No decision reads WastedWork or LateFailure.
type Costs struct {
	CrossZone     float64
	LoadProbe     float64 // 0 for free
	GossipMessage float64 // for a message of maxGossipBytes
	WastedWork    float64
	LateFailure   float64
}

// Objective holds the weights of the measures by which the service is judged. No decision reads WorstTenant.
type Objective struct {
	Overall     float64
	WorstWindow float64
	WorstClass  float64
	WorstTenant float64
}

// Settings configures a balancer. No decision reads Index, Zones, MachineTypes or Tick.
type Settings struct {
	Balancers     int // number of balancers of this tier, this one included; SetFleetSize changes it
	Index         int // of this balancer in the tier
	Zone          int // of this balancer
	Zones         int
	MachineTypes  int
	MustSubscribe bool // discovery sends endpoint updates only after WatchEndpoints

	Classes          []Class // at least one
	Tenants          []Tenant
	LoadReportFields []LoadField // in the order of a load report

	Limits          Limits
	Rules           Rules
	Costs           Costs
	Objective       Objective
	Tick            Micros  // least time between two rounds of events
	OverQuotaWeight float64 // weight of a request beyond its tenant's quota, relative to one within it
	PriorityPerWork bool    // PriorityWeight counts per unit of work, not per request
}

// SettingError describes an invalid setting: its key, its value and why it is invalid. In errors of Validate
// the key is the path of the field, such as Limits.MaxAttempts or Classes[1].DedupWindow.
type SettingError struct{ Key, Value, Reason string }

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s=%s: %s", e.Key, e.Value, e.Reason)
}

// Validate returns a *SettingError for the first invalid setting, or nil.
func (s *Settings) Validate() error {
	var v validator
	v.check("Balancers", s.Balancers, s.Balancers >= 1, atLeastOne)
	v.check("Index", s.Index, s.Index >= 0, notNegative)
	v.check("Zone", s.Zone, s.Zone >= 0, notNegative)
	v.check("MachineTypes", s.MachineTypes, s.MachineTypes >= 0, notNegative)
	v.check("Tick", s.Tick, s.Tick >= 0, notNegative)
	v.check("Classes", "none", len(s.Classes) > 0, "at least one class is needed")
	for i := range s.Classes {
		v.checkClass(fmt.Sprintf("Classes[%d].", i), &s.Classes[i])
	}
	for i, tenant := range s.Tenants {
		v.check(fmt.Sprintf("Tenants[%d].Quota", i), tenant.Quota, tenant.Quota >= 0, notNegative)
	}
	v.checkObjective(&s.Objective)
	v.check("OverQuotaWeight", s.OverQuotaWeight, s.OverQuotaWeight >= 0, notNegative)
	v.checkLimits(&s.Limits)
	v.checkRules(&s.Rules)
	v.checkCosts(&s.Costs)
	if v.firstError == nil {
		return nil
	}
	return v.firstError
}
