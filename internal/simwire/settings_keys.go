package simwire

import (
	"errors"
	"fmt"
	"strings"

	"bramblestand/balancer"
)

// settingKeys maps the fields of balancer.Settings to their keys in a settings text. "[]" stands for an index, which a key
// writes as ".0", ".1" and so on. The rest of this package refers to settings by field; the one exception is reportingKey.
var settingKeys = map[string]string{
	"Balancers":        "peers-total",
	"Index":            "position",
	"Zone":             "zone",
	"Zones":            "areas",
	"MachineTypes":     "skus",
	"MustSubscribe":    "discovery",
	"Tick":             "tick",
	"OverQuotaWeight":  "over-share-worth",
	"PriorityPerWork":  "value-by",
	"LoadReportFields": "reporting.fields",

	"Limits.AllowCancel":     "limits.cancel",
	"Limits.AllowLoadProbes": "limits.probes",
	"Limits.AllowHedging":    "limits.second-copies",
	"Limits.AllowRetryAfter": "limits.retry-after",
	"Limits.AllowGossip":     "limits.may-tell",
	"Limits.MaxAttempts":     "limits.most-tries",
	"Limits.MaxUnanswered":   "limits.most-held",
	"Limits.MaxRetryAfter":   "limits.max-retry-after",
	"Limits.DialTimeout":     "limits.dial-timeout",

	"Rules.DrainGrace":           "contract.drain-grace",
	"Rules.SlowStartMinCapacity": "contract.cold-from",
	"Rules.SlowStartDuration":    "contract.ramp-time",
	"Rules.OverloadMultiple":     "contract.fall-multiple",
	"Rules.OverloadDuration":     "contract.overload-for",
	"Rules.MaxPollInterval":      "contract.ask-within",
	"Rules.ResponseSlack":        "contract.answer-slack",

	"Costs.CrossZone":     "prices.cross-zone",
	"Costs.LoadProbe":     "prices.probe",
	"Costs.GossipMessage": "prices.peer",
	"Costs.WastedWork":    "prices.waste",
	"Costs.LateFailure":   "prices.late-fail",

	"Objective.Overall":     "goal.whole",
	"Objective.WorstWindow": "goal.worst-window",
	"Objective.WorstClass":  "goal.worst-class",
	"Objective.WorstTenant": "goal.worst-tenant",

	"Classes":                    "classes",
	"Classes[].Name":             "classes[].name",
	"Classes[].RetrySafety":      "classes[].repeat",
	"Classes[].DedupScope":       "classes[].group",
	"Classes[].DedupWindow":      "classes[].window",
	"Classes[].LatencyObjective": "classes[].target",
	"Classes[].ClientTimeout":    "classes[].give-up",
	"Classes[].PriorityWeight":   "classes[].credit",
	"Classes[].LateWeight":       "classes[].late-value",
	"Classes[].Streaming":        "classes[].stream",

	"Tenants":            "tenants",
	"Tenants[].Name":     "tenants[].name",
	"Tenants[].Quota":    "tenants[].allowance-per-s",
	"Tenants[].Fraction": "tenants[].share",
}

// reportingKey is the key that says when endpoints send load reports. It has no field in balancer.Settings: if endpoints send
// none, LoadReportFields is nil.
const reportingKey = "reporting.how"

// settingKey returns the key of a field such as "Limits.MaxAttempts" or "Classes[1].DedupWindow".
func settingKey(field string) (key string, isKnown bool) {
	before, rest, hasIndex := strings.Cut(field, "[")
	if !hasIndex {
		key, isKnown = settingKeys[field]
		return key, isKnown
	}
	index, after, _ := strings.Cut(rest, "]")
	key, isKnown = settingKeys[before+"[]"+after]
	return strings.Replace(key, "[]", "."+index, 1), isKnown
}

// mustSettingKey is settingKey for the field names in this package's code. It panics if a field has no key.
func mustSettingKey(field string) string {
	key, isKnown := settingKey(field)
	if !isKnown {
		panic(fmt.Sprintf("no key for the setting %q", field))
	}
	return key
}

// withSettingKey replaces the field in an error of [balancer.Settings.Validate] by its key in the settings text.
func withSettingKey(err error) error {
	var invalid *balancer.SettingError
	if !errors.As(err, &invalid) {
		return err
	}
	key, isKnown := settingKey(invalid.Key)
	if !isKnown {
		return err
	}
	return &balancer.SettingError{Key: key, Value: invalid.Value, Reason: invalid.Reason}
}
