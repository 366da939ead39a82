package simwire

import (
	"fmt"
	"math"
	"strings"

	"bramblestand/balancer"
)

// defaultMaxPollInterval is the longest time between two polls of discovery, in microseconds, if the settings give none. It
// applies to a balancer without a subscription.
const defaultMaxPollInterval balancer.Micros = 10_000_000

// ParseSettings parses and validates a settings text, which consists of path=value lines. A list of objects has its length
// under .count and its items under .0, .1 and so on; the items of a list of plain values are separated by commas. settingKeys
// maps the keys to the balancer's terms. Other keys are ignored.
//
// Its errors are *balancer.SettingError and name the key in the text. These keys are parsed, but no load-balancing decision
// depends on them: position, areas, skus, tick, limits.second-copies, limits.dial-timeout, contract.drain-grace,
// contract.answer-slack, prices.waste, prices.late-fail, goal.worst-tenant, classes[].late-value, classes[].stream and
// tenants[].share.
func ParseSettings(text string) (balancer.Settings, error) {
	t, err := splitSettings(text)
	if err != nil {
		return balancer.Settings{}, err
	}
	settings := balancer.Settings{
		Balancers:        int(t.integer("Balancers", 1)),
		Index:            int(t.integer("Index", 0)),
		Zone:             int(t.integer("Zone", 0)),
		Zones:            itemCount(t.text("Zones")),
		MachineTypes:     itemCount(t.text("MachineTypes")),
		MustSubscribe:    enum(t, "MustSubscribe", false, map[string]bool{"automatic": false, "subscribe": true}),
		Tick:             t.integer("Tick", 0),
		Limits:           parseLimits(t),
		Rules:            parseRules(t),
		Costs:            parseCosts(t),
		Objective:        parseObjective(t),
		OverQuotaWeight:  t.number("OverQuotaWeight", 1),
		PriorityPerWork:  enum(t, "PriorityPerWork", false, map[string]bool{"request": false, "work": true}),
		LoadReportFields: parseLoadReportFields(t),
		Classes:          parseClasses(t),
		Tenants:          parseTenants(t),
	}
	if t.err != nil {
		return settings, t.err
	}
	return settings, withSettingKey(settings.Validate())
}

func parseLimits(t *settingsText) balancer.Limits {
	return balancer.Limits{
		AllowCancel:     t.bool("Limits.AllowCancel", false),
		AllowLoadProbes: t.bool("Limits.AllowLoadProbes", false),
		AllowHedging:    t.bool("Limits.AllowHedging", false),
		AllowRetryAfter: t.bool("Limits.AllowRetryAfter", false),
		AllowGossip:     t.bool("Limits.AllowGossip", false),
		MaxAttempts:     int(t.integer("Limits.MaxAttempts", 1)),
		MaxUnanswered:   int(t.integer("Limits.MaxUnanswered", math.MaxInt32)),
		MaxRetryAfter:   t.integer("Limits.MaxRetryAfter", 0),
		DialTimeout:     t.integer("Limits.DialTimeout", 0),
	}
}

func parseRules(t *settingsText) balancer.Rules {
	return balancer.Rules{
		DrainGrace:           t.integer("Rules.DrainGrace", 0),
		SlowStartMinCapacity: t.number("Rules.SlowStartMinCapacity", 1),
		SlowStartDuration:    t.integer("Rules.SlowStartDuration", 0),
		OverloadMultiple:     t.number("Rules.OverloadMultiple", 1),
		OverloadDuration:     t.integer("Rules.OverloadDuration", 0),
		MaxPollInterval:      t.integer("Rules.MaxPollInterval", defaultMaxPollInterval),
		ResponseSlack:        t.integer("Rules.ResponseSlack", 0),
	}
}

func parseCosts(t *settingsText) balancer.Costs {
	return balancer.Costs{
		CrossZone:     t.number("Costs.CrossZone", 0),
		LoadProbe:     t.number("Costs.LoadProbe", 0),
		GossipMessage: t.number("Costs.GossipMessage", 0),
		WastedWork:    t.number("Costs.WastedWork", 0),
		LateFailure:   t.number("Costs.LateFailure", 0),
	}
}

func parseObjective(t *settingsText) balancer.Objective {
	return balancer.Objective{
		Overall:     t.number("Objective.Overall", 1),
		WorstWindow: t.number("Objective.WorstWindow", 0),
		WorstClass:  t.number("Objective.WorstClass", 0),
		WorstTenant: t.number("Objective.WorstTenant", 0),
	}
}

// loadFields maps the names of a load report's fields. A name that is not listed becomes balancer.LoadFieldUnknown.
var loadFields = map[string]balancer.LoadField{
	"busy_reqs": balancer.LoadFieldInFlight,
	"pending":   balancer.LoadFieldQueueLength,
	"cpu_share": balancer.LoadFieldUtilization,
	"svc_ms":    balancer.LoadFieldServiceTime,
	"served_ps": balancer.LoadFieldThroughput,
	"failed_ps": balancer.LoadFieldErrorRate,
}

// parseLoadReportFields returns the fields of a load report in their order, or nil if endpoints send no load reports.
func parseLoadReportFields(t *settingsText) []balancer.LoadField {
	sendsReports := enumAt(t, reportingKey, false, map[string]bool{"answers": true, "probe": true, "none": false})
	names := t.text("LoadReportFields")
	if !sendsReports || names == "" {
		return nil
	}
	var fields []balancer.LoadField
	for _, name := range strings.Split(names, ",") {
		fields = append(fields, loadFields[name])
	}
	return fields
}

// retrySafeties maps the values of classes[].repeat, which say whether a request of the class may safely be repeated.
var retrySafeties = map[string]balancer.RetrySafety{
	"pure":        balancer.Idempotent,
	"token":       balancer.IdempotentWithKey,
	"side_effect": balancer.NonIdempotent,
}

// dedupScopes maps the values of classes[].group, which say which endpoints together drop repeats of one request.
var dedupScopes = map[string]balancer.DedupScope{
	"all":  balancer.DedupScopeFleet,
	"zone": balancer.DedupScopeZone,
	"cell": balancer.DedupScopePod,
}

// parseClasses reads the request classes, which are required.
func parseClasses(t *settingsText) []balancer.Class {
	t.require(countKey("Classes"))
	var classes []balancer.Class
	for i := range t.listLength("Classes") {
		prefix := fmt.Sprintf("Classes[%d].", i)
		t.require(mustSettingKey(prefix + "LatencyObjective"))
		t.require(mustSettingKey(prefix + "ClientTimeout"))
		t.require(mustSettingKey(prefix + "RetrySafety"))
		classes = append(classes, balancer.Class{
			Name:             t.text(prefix + "Name"),
			RetrySafety:      enum(t, prefix+"RetrySafety", balancer.NonIdempotent, retrySafeties),
			DedupScope:       enum(t, prefix+"DedupScope", balancer.DedupScopePod, dedupScopes),
			DedupWindow:      t.integer(prefix+"DedupWindow", 0),
			LatencyObjective: t.integer(prefix+"LatencyObjective", 0),
			ClientTimeout:    t.integer(prefix+"ClientTimeout", 0),
			PriorityWeight:   t.number(prefix+"PriorityWeight", 1),
			LateWeight:       t.number(prefix+"LateWeight", 0),
			Streaming:        t.bool(prefix+"Streaming", false),
		})
	}
	return classes
}

// parseTenants reads the tenants, which are optional.
func parseTenants(t *settingsText) []balancer.Tenant {
	var tenants []balancer.Tenant
	for i := range t.listLength("Tenants") {
		prefix := fmt.Sprintf("Tenants[%d].", i)
		tenants = append(tenants, balancer.Tenant{
			Name:     t.text(prefix + "Name"),
			Quota:    t.number(prefix+"Quota", 0),
			Fraction: t.number(prefix+"Fraction", 0),
		})
	}
	return tenants
}
