package simwire

import (
	"fmt"
	"math"
	"strings"

	"bramblestand/balancer"
)

// defaultMaxPollInterval applies where the settings do not say how often a balancer without a subscription must poll.
const defaultMaxPollInterval balancer.Micros = 10_000_000

// ParseSettings reads a settings text: lines of path=value, where a list of objects gives its length under .count and its
// items under .0, .1 and so on, and a list of plain values is separated by commas. The functions below it map the keys to
// the balancer's terms. Keys that they do not name are skipped.
//
// Its errors are *balancer.SettingError and name the key in the text. Whether values make sense together is for
// [balancer.Settings.Validate] to say. No decision reads position, areas, skus, limits.dial-timeout, contract.drain-grace,
// contract.answer-slack, prices.waste, prices.late-fail and goal.worst-tenant.
func ParseSettings(text string) (balancer.Settings, error) {
	t, err := splitSettings(text)
	if err != nil {
		return balancer.Settings{}, err
	}
	settings := balancer.Settings{
		Balancers:        int(t.integer("peers-total", 1)),
		Index:            int(t.integer("position", 0)),
		Zone:             int(t.integer("zone", 0)),
		Zones:            itemCount(t.values["areas"]),
		MachineTypes:     itemCount(t.values["skus"]),
		MustSubscribe:    enum(t, "discovery", false, map[string]bool{"automatic": false, "subscribe": true}),
		Tick:             t.integer("tick", 0),
		Limits:           parseLimits(t),
		Rules:            parseRules(t),
		Costs:            parseCosts(t),
		Objective:        parseObjective(t),
		OverQuotaWeight:  t.number("over-share-worth", 1),
		PriorityPerWork:  enum(t, "value-by", false, map[string]bool{"request": false, "work": true}),
		LoadReportFields: parseLoadReportFields(t),
		Classes:          parseClasses(t),
		Tenants:          parseTenants(t),
	}
	return settings, t.err
}

func parseLimits(t *settingsText) balancer.Limits {
	return balancer.Limits{
		AllowCancel:     t.bool("limits.cancel", false),
		AllowLoadProbes: t.bool("limits.probes", false),
		AllowHedging:    t.bool("limits.second-copies", false),
		AllowRetryAfter: t.bool("limits.retry-after", false),
		AllowGossip:     t.bool("limits.may-tell", false),
		MaxAttempts:     int(t.integer("limits.most-tries", 1)),
		MaxUnanswered:   int(t.integer("limits.most-held", math.MaxInt32)),
		MaxRetryAfter:   t.integer("limits.max-retry-after", 0),
		DialTimeout:     t.integer("limits.dial-timeout", 0),
	}
}

func parseRules(t *settingsText) balancer.Rules {
	return balancer.Rules{
		DrainGrace:           t.integer("contract.drain-grace", 0),
		SlowStartMinCapacity: t.number("contract.cold-from", 1),
		SlowStartDuration:    t.integer("contract.ramp-time", 0),
		OverloadMultiple:     t.number("contract.fall-multiple", 1),
		OverloadDuration:     t.integer("contract.overload-for", 0),
		MaxPollInterval:      t.integer("contract.ask-within", defaultMaxPollInterval),
		ResponseSlack:        t.integer("contract.answer-slack", 0),
	}
}

func parseCosts(t *settingsText) balancer.Costs {
	return balancer.Costs{
		CrossZone:     t.number("prices.cross-zone", 0),
		LoadProbe:     t.number("prices.probe", 0),
		GossipMessage: t.number("prices.peer", 0),
		WastedWork:    t.number("prices.waste", 0),
		LateFailure:   t.number("prices.late-fail", 0),
	}
}

func parseObjective(t *settingsText) balancer.Objective {
	return balancer.Objective{
		Overall:     t.number("goal.whole", 1),
		WorstWindow: t.number("goal.worst-window", 0),
		WorstClass:  t.number("goal.worst-class", 0),
		WorstTenant: t.number("goal.worst-tenant", 0),
	}
}

// loadFields maps the names of a load report's figures. Others are balancer.LoadFieldUnknown.
var loadFields = map[string]balancer.LoadField{
	"busy_reqs": balancer.LoadFieldInFlight,
	"pending":   balancer.LoadFieldQueueLength,
	"cpu_share": balancer.LoadFieldUtilization,
	"svc_ms":    balancer.LoadFieldServiceTime,
	"served_ps": balancer.LoadFieldThroughput,
	"failed_ps": balancer.LoadFieldErrorRate,
}

// parseLoadReportFields returns the figures of a load report in their order, nil where endpoints send no reports.
func parseLoadReportFields(t *settingsText) []balancer.LoadField {
	sendsReports := enum(t, "reporting.how", false, map[string]bool{"answers": true, "probe": true, "none": false})
	names := t.values["reporting.fields"]
	if !sendsReports || names == "" {
		return nil
	}
	var fields []balancer.LoadField
	for _, name := range strings.Split(names, ",") {
		fields = append(fields, loadFields[name])
	}
	return fields
}

// retrySafeties maps what a repeated request of a class does.
var retrySafeties = map[string]balancer.RetrySafety{
	"pure":        balancer.Idempotent,
	"token":       balancer.IdempotentWithKey,
	"side_effect": balancer.NonIdempotent,
}

// dedupScopes maps which endpoints drop the repeats of a request.
var dedupScopes = map[string]balancer.DedupScope{
	"all":  balancer.DedupScopeFleet,
	"zone": balancer.DedupScopeZone,
	"cell": balancer.DedupScopePod,
}

// parseClasses reads the request classes, which must be there.
func parseClasses(t *settingsText) []balancer.Class {
	t.require("classes.count")
	var classes []balancer.Class
	for i := range t.listLength("classes") {
		prefix := fmt.Sprintf("classes.%d.", i)
		t.require(prefix + "target")
		t.require(prefix + "give-up")
		t.require(prefix + "repeat")
		classes = append(classes, balancer.Class{
			Name:             t.values[prefix+"name"],
			RetrySafety:      enum(t, prefix+"repeat", balancer.NonIdempotent, retrySafeties),
			DedupScope:       enum(t, prefix+"group", balancer.DedupScopePod, dedupScopes),
			DedupWindow:      t.integer(prefix+"window", 0),
			LatencyObjective: t.integer(prefix+"target", 0),
			ClientTimeout:    t.integer(prefix+"give-up", 0),
			PriorityWeight:   t.number(prefix+"credit", 1),
			LateWeight:       t.number(prefix+"late-value", 0),
			Streaming:        t.bool(prefix+"stream", false),
		})
	}
	return classes
}

// parseTenants reads the tenants, of which there may be none.
func parseTenants(t *settingsText) []balancer.Tenant {
	var tenants []balancer.Tenant
	for i := range t.listLength("tenants") {
		prefix := fmt.Sprintf("tenants.%d.", i)
		tenants = append(tenants, balancer.Tenant{
			Name:     t.values[prefix+"name"],
			Quota:    t.number(prefix+"allowance-per-s", 0),
			Fraction: t.number(prefix+"share", 0),
		})
	}
	return tenants
}
