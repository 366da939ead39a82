package balancer

import "fmt"

// Micros is an instant or a duration in microseconds. Instants share one
// arbitrary origin chosen by the host; the host's clock never runs backwards.
type Micros = int64

// RetrySafety says what a second run of a request of a class would do.
type RetrySafety uint8

// The three kinds of class.
const (
	Idempotent        RetrySafety = iota // a repeat is harmless
	IdempotentWithKey                    // a group of endpoints drops repeats for a while
	NonIdempotent                        // a repeat would have a second effect
)

// DedupScope is the set of endpoints that drops repeats of a keyed request.
type DedupScope uint8

// The groups of a keyed class.
const (
	DedupScopeFleet DedupScope = iota // every endpoint
	DedupScopeZone                    // the endpoints of one zone
	DedupScopePod                     // the endpoints of one cell
)

// LoadField names one figure of a load report.
type LoadField uint8

// The figures that a load report may carry. FieldOther is one that this
// version does not know; it is skipped.
const (
	LoadFieldUnknown     LoadField = iota
	LoadFieldInFlight              // requests that the endpoint holds
	LoadFieldQueueLength           // requests that wait there
	LoadFieldUtilization           // share of its cores in use
	LoadFieldServiceTime           // recent service time in milliseconds
	LoadFieldThroughput            // requests served a second
	LoadFieldErrorRate             // errors a second
)

// Class describes one class of requests.
type Class struct {
	Name             string
	RetrySafety      RetrySafety
	DedupScope       DedupScope // keyed only
	DedupWindow      Micros     // keyed only: how long the group remembers
	LatencyObjective Micros     // an answer within this time earns the full worth
	ClientTimeout    Micros     // the client's patience over all its tries
	PriorityWeight   float64    // of one request
	LateWeight       float64    // share of the worth earned after the aim
	Streaming        bool       // answers are streamed: Headers announces them
}

// Tenant describes one tenant and its share of the service.
type Tenant struct {
	Name     string
	Quota    float64 // requests a second over all balancers
	Fraction float64
}

// Limits holds what the deployment permits. DialTimeout is checked but no
// decision reads it.
type Limits struct {
	AllowCancel, AllowLoadProbes, AllowHedging, AllowRetryAfter, AllowGossip bool

	MaxAttempts   int    // attempts a request
	MaxUnanswered int    // open requests a balancer
	MaxRetryAfter Micros // the longest wait that clients honour
	DialTimeout   Micros
}

// Rules holds the figures of the rules. DrainGrace and AnswerSlack are
// checked but no decision reads them: nothing new is sent to a draining
// endpoint, and answers leave by the deadline.
type Rules struct {
	DrainGrace           Micros
	SlowStartMinCapacity float64 // an endpoint starts at no less than this share
	SlowStartDuration    Micros  // and is warm no later than this
	OverloadMultiple     float64 // of its present capacity, sent for OverloadFor,
	OverloadDuration     Micros  // makes a cold endpoint fall over
	MaxPollInterval      Micros  // a balancer without subscription must ask this often
	ResponseSlack        Micros
}

// Costs holds what is taken off the result, each for its rate per request.
// No decision reads Waste and LateFail.
type Costs struct {
	CrossZone, LoadProbe, GossipMessage, WastedWork, LateFailure float64
}

// Objective holds the weights of what the users judge. No decision reads WorstTenant.
type Objective struct {
	Overall, WorstWindow, WorstClass, WorstTenant float64
}

// Settings is all that a balancer is told at its start. No decision reads
// Position, Zones and Kinds.
type Settings struct {
	Balancers     int // in this tier, this one included
	Index         int // of this one among them
	Zone          int // of this one
	Zones         int
	MachineTypes  int  // of machines
	MustSubscribe bool // discovery answers only when asked

	Classes          []Class
	Tenants          []Tenant
	LoadReportFields []LoadField // of a load report, in order

	Limits          Limits
	Rules           Rules
	Costs           Costs
	Objective       Objective
	Tick            Micros // the least time between two rounds of events
	OverQuotaWeight float64
	PriorityPerWork bool // worth counts per unit of work, not per request
}

// SettingError names a setting that makes no sense.
type SettingError struct{ Key, Value, Reason string }

// Error says which setting is wrong, and how.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s=%s: %s", e.Key, e.Value, e.Reason)
}

// Validate returns a *SettingError for the first setting that makes no sense.
func (s *Settings) Validate() error {
	var err error
	check := func(ok bool, key string, value any, reason string) {
		if !ok && err == nil {
			err = &SettingError{key, fmt.Sprint(value), reason}
		}
	}
	check(s.Balancers >= 1, "Balancers", s.Balancers, "must be at least 1")
	check(s.Index >= 0, "Position", s.Index, "must not be negative")
	check(s.Zone >= 0, "Zone", s.Zone, "must not be negative")
	check(s.MachineTypes >= 0, "Kinds", s.MachineTypes, "must not be negative")
	check(s.Tick >= 0, "Tick", s.Tick, "must not be negative")
	check(len(s.Classes) > 0, "Classes", "none", "at least one class is needed")
	for i, c := range s.Classes {
		at := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		check(c.RetrySafety <= NonIdempotent, at("Repeat"), c.RetrySafety, "not a known kind")
		check(c.DedupScope <= DedupScopePod, at("Group"), c.DedupScope, "not a known group")
		check(c.DedupWindow >= 0, at("Window"), c.DedupWindow, "must not be negative")
		check(c.LatencyObjective > 0, at("Aim"), c.LatencyObjective, "must be positive")
		check(c.ClientTimeout > 0, at("GiveUp"), c.ClientTimeout, "must be positive")
		check(c.PriorityWeight >= 0, at("Worth"), c.PriorityWeight, "must not be negative")
		check(c.LateWeight >= 0 && c.LateWeight <= 1, at("LateWorth"), c.LateWeight, "must be in 0..1")
	}
	for i, t := range s.Tenants {
		key := fmt.Sprintf("Tenants[%d].Allowance", i)
		check(t.Quota >= 0, key, t.Quota, "must not be negative")
	}
	goal := &s.Objective
	for _, w := range [...]float64{goal.Overall, goal.WorstWindow, goal.WorstClass, goal.WorstTenant} {
		check(w >= 0, "Goal", w, "must not be negative")
	}
	check(s.OverQuotaWeight >= 0, "OverShareWorth", s.OverQuotaWeight, "must not be negative")
	l, c, p := &s.Limits, &s.Rules, &s.Costs
	check(l.MaxAttempts >= 1, "Limits.MaxAttempts", l.MaxAttempts, "must be at least 1")
	check(l.MaxUnanswered >= 1, "Limits.MaxOpen", l.MaxUnanswered, "must be at least 1")
	check(l.MaxRetryAfter >= 0, "Limits.MaxRetryAfter", l.MaxRetryAfter, "must not be negative")
	check(l.DialTimeout >= 0, "Limits.DialTimeout", l.DialTimeout, "must not be negative")
	check(c.DrainGrace >= 0, "Contract.DrainGrace", c.DrainGrace, "must not be negative")
	check(c.SlowStartMinCapacity > 0 && c.SlowStartMinCapacity <= 1, "Contract.ColdFrom",
		c.SlowStartMinCapacity, "must be in 0..1, not 0")
	check(c.SlowStartDuration >= 0, "Contract.RampTime", c.SlowStartDuration, "must not be negative")
	check(c.OverloadMultiple > 0, "Contract.FallMultiple", c.OverloadMultiple, "must be positive")
	check(c.OverloadDuration >= 0, "Contract.OverloadFor", c.OverloadDuration, "must not be negative")
	check(c.MaxPollInterval >= 0, "Contract.AskWithin", c.MaxPollInterval, "must not be negative")
	check(c.ResponseSlack >= 0, "Contract.AnswerSlack", c.ResponseSlack, "must not be negative")
	check(p.CrossZone >= 0, "Prices.CrossZone", p.CrossZone, "must not be negative")
	check(p.LoadProbe >= 0, "Prices.Probe", p.LoadProbe, "must not be negative")
	check(p.GossipMessage >= 0, "Prices.Peer", p.GossipMessage, "must not be negative")
	check(p.WastedWork >= 0, "Prices.Waste", p.WastedWork, "must not be negative")
	check(p.LateFailure >= 0, "Prices.LateFail", p.LateFailure, "must not be negative")
	return err
}
