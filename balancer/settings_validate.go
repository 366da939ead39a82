package balancer

import "fmt"

// Reasons that several settings share.
const (
	notNegative = "must not be negative"
	positive    = "must be positive"
	atLeastOne  = "must be at least 1"
)

// validator keeps the first error that it finds. Its keys are those that operators know from errors of
// their configuration: the names of their settings in Go's case. They stay, whatever the fields are
// called.
type validator struct{ first *SettingError }

// check notes a setting as invalid unless valid is true.
func (v *validator) check(key string, value any, valid bool, reason string) {
	if !valid && v.first == nil {
		v.first = &SettingError{Key: key, Value: fmt.Sprint(value), Reason: reason}
	}
}

func (v *validator) checkClass(prefix string, c *Class) {
	v.check(prefix+"Repeat", c.RetrySafety, c.RetrySafety <= NonIdempotent, "not a known kind")
	v.check(prefix+"Group", c.DedupScope, c.DedupScope <= DedupScopePod, "not a known group")
	v.check(prefix+"Window", c.DedupWindow, c.DedupWindow >= 0, notNegative)
	v.check(prefix+"Aim", c.LatencyObjective, c.LatencyObjective > 0, positive)
	v.check(prefix+"GiveUp", c.ClientTimeout, c.ClientTimeout > 0, positive)
	v.check(prefix+"Worth", c.PriorityWeight, c.PriorityWeight >= 0, notNegative)
	v.check(prefix+"LateWorth", c.LateWeight, c.LateWeight >= 0 && c.LateWeight <= 1, "must be in 0..1")
}

func (v *validator) checkObjective(o *Objective) {
	v.check("Goal", o.Overall, o.Overall >= 0, notNegative)
	v.check("Goal", o.WorstWindow, o.WorstWindow >= 0, notNegative)
	v.check("Goal", o.WorstClass, o.WorstClass >= 0, notNegative)
	v.check("Goal", o.WorstTenant, o.WorstTenant >= 0, notNegative)
}

func (v *validator) checkLimits(l *Limits) {
	v.check("Limits.MaxAttempts", l.MaxAttempts, l.MaxAttempts >= 1, atLeastOne)
	v.check("Limits.MaxOpen", l.MaxUnanswered, l.MaxUnanswered >= 1, atLeastOne)
	v.check("Limits.MaxRetryAfter", l.MaxRetryAfter, l.MaxRetryAfter >= 0, notNegative)
	v.check("Limits.DialTimeout", l.DialTimeout, l.DialTimeout >= 0, notNegative)
}

func (v *validator) checkRules(r *Rules) {
	v.check("Contract.DrainGrace", r.DrainGrace, r.DrainGrace >= 0, notNegative)
	v.check("Contract.ColdFrom", r.SlowStartMinCapacity,
		r.SlowStartMinCapacity > 0 && r.SlowStartMinCapacity <= 1, "must be in 0..1, not 0")
	v.check("Contract.RampTime", r.SlowStartDuration, r.SlowStartDuration >= 0, notNegative)
	v.check("Contract.FallMultiple", r.OverloadMultiple, r.OverloadMultiple > 0, positive)
	v.check("Contract.OverloadFor", r.OverloadDuration, r.OverloadDuration >= 0, notNegative)
	v.check("Contract.AskWithin", r.MaxPollInterval, r.MaxPollInterval >= 0, notNegative)
	v.check("Contract.AnswerSlack", r.ResponseSlack, r.ResponseSlack >= 0, notNegative)
}

func (v *validator) checkCosts(c *Costs) {
	v.check("Prices.CrossZone", c.CrossZone, c.CrossZone >= 0, notNegative)
	v.check("Prices.Probe", c.LoadProbe, c.LoadProbe >= 0, notNegative)
	v.check("Prices.Peer", c.GossipMessage, c.GossipMessage >= 0, notNegative)
	v.check("Prices.Waste", c.WastedWork, c.WastedWork >= 0, notNegative)
	v.check("Prices.LateFail", c.LateFailure, c.LateFailure >= 0, notNegative)
}
