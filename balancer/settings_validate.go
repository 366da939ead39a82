package balancer

import "fmt"

// Reasons in errors of several settings.
const (
	notNegative = "must not be negative"
	positive    = "must be positive"
	atLeastOne  = "must be at least 1"
)

// validator keeps the first error that it finds. The keys in its errors are field paths, which the codec of
// the settings maps to the keys that operators use.
type validator struct{ firstError *SettingError }

// check records an error for a setting unless valid is true or an error is already recorded.
func (v *validator) check(key string, value any, valid bool, reason string) {
	if !valid && v.firstError == nil {
		v.firstError = &SettingError{Key: key, Value: fmt.Sprint(value), Reason: reason}
	}
}

func (v *validator) checkClass(prefix string, c *Class) {
	v.check(prefix+"RetrySafety", c.RetrySafety, c.RetrySafety <= NonIdempotent, "not a known retry safety")
	v.check(prefix+"DedupScope", c.DedupScope, c.DedupScope <= DedupScopePod, "not a known dedup scope")
	v.check(prefix+"DedupWindow", c.DedupWindow, c.DedupWindow >= 0, notNegative)
	v.check(prefix+"LatencyObjective", c.LatencyObjective, c.LatencyObjective > 0, positive)
	v.check(prefix+"ClientTimeout", c.ClientTimeout, c.ClientTimeout > 0, positive)
	v.check(prefix+"PriorityWeight", c.PriorityWeight, c.PriorityWeight >= 0, notNegative)
	v.check(prefix+"LateWeight", c.LateWeight, c.LateWeight >= 0 && c.LateWeight <= 1, "must be in 0..1")
}

func (v *validator) checkObjective(o *Objective) {
	v.check("Objective.Overall", o.Overall, o.Overall >= 0, notNegative)
	v.check("Objective.WorstWindow", o.WorstWindow, o.WorstWindow >= 0, notNegative)
	v.check("Objective.WorstClass", o.WorstClass, o.WorstClass >= 0, notNegative)
	v.check("Objective.WorstTenant", o.WorstTenant, o.WorstTenant >= 0, notNegative)
}

func (v *validator) checkLimits(l *Limits) {
	v.check("Limits.MaxAttempts", l.MaxAttempts, l.MaxAttempts >= 1, atLeastOne)
	v.check("Limits.MaxUnanswered", l.MaxUnanswered, l.MaxUnanswered >= 1, atLeastOne)
	v.check("Limits.MaxRetryAfter", l.MaxRetryAfter, l.MaxRetryAfter >= 0, notNegative)
	v.check("Limits.DialTimeout", l.DialTimeout, l.DialTimeout >= 0, notNegative)
}

func (v *validator) checkRules(r *Rules) {
	v.check("Rules.DrainGrace", r.DrainGrace, r.DrainGrace >= 0, notNegative)
	v.check("Rules.SlowStartMinCapacity", r.SlowStartMinCapacity,
		r.SlowStartMinCapacity > 0 && r.SlowStartMinCapacity <= 1, "must be in 0..1, not 0")
	v.check("Rules.SlowStartDuration", r.SlowStartDuration, r.SlowStartDuration >= 0, notNegative)
	v.check("Rules.OverloadMultiple", r.OverloadMultiple, r.OverloadMultiple > 0, positive)
	v.check("Rules.OverloadDuration", r.OverloadDuration, r.OverloadDuration >= 0, notNegative)
	v.check("Rules.MaxPollInterval", r.MaxPollInterval, r.MaxPollInterval >= 0, notNegative)
	v.check("Rules.ResponseSlack", r.ResponseSlack, r.ResponseSlack >= 0, notNegative)
}

func (v *validator) checkCosts(c *Costs) {
	v.check("Costs.CrossZone", c.CrossZone, c.CrossZone >= 0, notNegative)
	v.check("Costs.LoadProbe", c.LoadProbe, c.LoadProbe >= 0, notNegative)
	v.check("Costs.GossipMessage", c.GossipMessage, c.GossipMessage >= 0, notNegative)
	v.check("Costs.WastedWork", c.WastedWork, c.WastedWork >= 0, notNegative)
	v.check("Costs.LateFailure", c.LateFailure, c.LateFailure >= 0, notNegative)
}
