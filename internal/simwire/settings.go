package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"bramblestand/balancer"
)

// settingsText holds the pairs of a config text and the first error met.
type settingsText struct {
	values map[string]string
	err    error
}

// parseValue returns the value of a key, parsed; a key that is absent gives def.
func parseValue[T any](t *settingsText, key string, def T, what string, parse func(string) (T, error)) T {
	text, ok := t.values[key]
	if !ok {
		return def
	}
	v, err := parse(text)
	if err != nil {
		if t.err == nil {
			t.err = &balancer.SettingError{Key: key, Value: text, Reason: "not " + what}
		}
		return def
	}
	return v
}

func (t *settingsText) number(key string, def float64) float64 {
	return parseValue(t, key, def, "a finite number", func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
			err = strconv.ErrRange
		}
		return v, err
	})
}

func (t *settingsText) integer(key string, def int64) int64 {
	return parseValue(t, key, def, "a whole number", func(s string) (int64, error) {
		return strconv.ParseInt(s, 10, 64)
	})
}

func (t *settingsText) bool(key string, def bool) bool {
	return parseValue(t, key, def, "true or false", strconv.ParseBool)
}

// enum returns the meaning of a word; what an unlisted word means is an error.
func enum[T any](t *settingsText, key string, def T, words map[string]T) T {
	return parseValue(t, key, def, "a known word", func(s string) (T, error) {
		if v, ok := words[s]; ok {
			return v, nil
		}
		return def, strconv.ErrSyntax
	})
}

// listLength returns the length of a list of objects, each of which must be there.
func (t *settingsText) listLength(key string, required bool) int {
	if _, ok := t.values[key+".count"]; !ok && required && t.err == nil {
		t.err = &balancer.SettingError{Key: key + ".count", Value: "", Reason: "is missing"}
	}
	n := t.integer(key+".count", 0)
	if n < 0 || n > 256 {
		if t.err == nil {
			t.err = &balancer.SettingError{Key: key + ".count", Value: strconv.FormatInt(n, 10), Reason: "out of range"}
		}
		return 0
	}
	for i := range int(n) {
		found := false
		for k := range t.values {
			if strings.HasPrefix(k, fmt.Sprintf("%s.%d.", key, i)) {
				found = true
				break
			}
		}
		if !found && t.err == nil {
			t.err = &balancer.SettingError{Key: key + ".count", Value: strconv.FormatInt(n, 10),
				Reason: fmt.Sprintf("%s.%d is missing", key, i)}
		}
	}
	return int(n)
}

// itemCount counts the comma-separated items of a list of plain values.
func itemCount(text string) int {
	if text == "" {
		return 0
	}
	return strings.Count(text, ",") + 1
}

var loadFields = map[string]balancer.LoadField{
	"busy_reqs": balancer.LoadFieldInFlight, "pending": balancer.LoadFieldQueueLength, "cpu_share": balancer.LoadFieldUtilization,
	"svc_ms": balancer.LoadFieldServiceTime, "served_ps": balancer.LoadFieldThroughput, "failed_ps": balancer.LoadFieldErrorRate,
}

// ParseSettings reads the config text of a begin record. Keys that it does not
// know are skipped. Errors are *balancer.SettingError and name the key on the wire.
func ParseSettings(text string) (balancer.Settings, error) {
	t := &settingsText{values: map[string]string{}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return balancer.Settings{}, &balancer.SettingError{Key: fmt.Sprintf("line %d", i+1), Value: line,
				Reason: "not of the form path=value"}
		}
		t.values[key] = value
	}
	s := balancer.Settings{
		Balancers:     int(t.integer("peers-total", 1)),
		Index:         int(t.integer("position", 0)),
		Zone:          int(t.integer("zone", 0)),
		Zones:         itemCount(t.values["areas"]),
		MachineTypes:  itemCount(t.values["skus"]),
		MustSubscribe: enum(t, "discovery", false, map[string]bool{"automatic": false, "subscribe": true}),
		Tick:          t.integer("tick", 0),
		Limits: balancer.Limits{
			AllowCancel:     t.bool("limits.cancel", false),
			AllowLoadProbes: t.bool("limits.probes", false),
			AllowHedging:    t.bool("limits.second-copies", false),
			AllowRetryAfter: t.bool("limits.retry-after", false),
			AllowGossip:     t.bool("limits.may-tell", false),
			MaxAttempts:     int(t.integer("limits.most-tries", 1)),
			MaxUnanswered:   int(t.integer("limits.most-held", math.MaxInt32)),
			MaxRetryAfter:   t.integer("limits.max-retry-after", 0),
			DialTimeout:     t.integer("limits.dial-timeout", 0),
		},
		Rules: balancer.Rules{
			DrainGrace:           t.integer("contract.drain-grace", 0),
			SlowStartMinCapacity: t.number("contract.cold-from", 1),
			SlowStartDuration:    t.integer("contract.ramp-time", 0),
			OverloadMultiple:     t.number("contract.fall-multiple", 1),
			OverloadDuration:     t.integer("contract.overload-for", 0),
			MaxPollInterval:      t.integer("contract.ask-within", 10_000_000),
			ResponseSlack:        t.integer("contract.answer-slack", 0),
		},
		Costs: balancer.Costs{
			CrossZone:     t.number("prices.cross-zone", 0),
			LoadProbe:     t.number("prices.probe", 0),
			GossipMessage: t.number("prices.peer", 0),
			WastedWork:    t.number("prices.waste", 0),
			LateFailure:   t.number("prices.late-fail", 0),
		},
		Objective: balancer.Objective{
			Overall:     t.number("goal.whole", 1),
			WorstWindow: t.number("goal.worst-window", 0),
			WorstClass:  t.number("goal.worst-class", 0),
			WorstTenant: t.number("goal.worst-tenant", 0),
		},
		OverQuotaWeight: t.number("over-share-worth", 1),
		PriorityPerWork: enum(t, "value-by", false,
			map[string]bool{"request": false, "work": true}),
	}
	how := enum(t, "reporting.how", "none", map[string]string{"answers": "answers", "probe": "probe", "none": "none"})
	if fields := t.values["reporting.fields"]; how != "none" && fields != "" {
		for _, f := range strings.Split(fields, ",") {
			s.LoadReportFields = append(s.LoadReportFields, loadFields[f])
		}
	}
	for i := range t.listLength("classes", true) {
		at := fmt.Sprintf("classes.%d.", i)
		for _, key := range [...]string{"target", "give-up", "repeat"} {
			if _, ok := t.values[at+key]; !ok && t.err == nil {
				t.err = &balancer.SettingError{Key: at + key, Value: "", Reason: "is missing"}
			}
		}
		s.Classes = append(s.Classes, balancer.Class{
			Name: t.values[at+"name"],
			RetrySafety: enum(t, at+"repeat", balancer.NonIdempotent, map[string]balancer.RetrySafety{
				"pure": balancer.Idempotent, "token": balancer.IdempotentWithKey, "side_effect": balancer.NonIdempotent}),
			DedupScope: enum(t, at+"group", balancer.DedupScopePod, map[string]balancer.DedupScope{
				"all": balancer.DedupScopeFleet, "zone": balancer.DedupScopeZone, "cell": balancer.DedupScopePod}),
			DedupWindow:      t.integer(at+"window", 0),
			LatencyObjective: t.integer(at+"target", 0),
			ClientTimeout:    t.integer(at+"give-up", 0),
			PriorityWeight:   t.number(at+"credit", 1),
			LateWeight:       t.number(at+"late-value", 0),
			Streaming:        t.bool(at+"stream", false),
		})
	}
	for i := range t.listLength("tenants", false) {
		at := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, balancer.Tenant{
			Name:     t.values[at+"name"],
			Quota:    t.number(at+"allowance-per-s", 0),
			Fraction: t.number(at+"share", 0),
		})
	}
	return s, t.err
}
