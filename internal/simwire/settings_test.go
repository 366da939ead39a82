package simwire

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"bramblestand/balancer"
)

const validSettings = `areas=a,b
classes.count=2
classes.0.name=x
classes.0.give-up=500000
classes.0.repeat=pure
classes.0.target=250000
classes.1.give-up=600000
classes.1.group=zone
classes.1.repeat=token
classes.1.target=300000
classes.1.window=400000
contract.cold-from=0.14
contract.ramp-time=23000000
discovery=subscribe
future.key=whatever
goal.whole=0.6
limits.most-tries=3
limits.probes=true
prices.probe=0.002
reporting.fields=busy_reqs,served_ps,brand_new
reporting.how=probe
tenants.count=1
tenants.0.allowance-per-s=137.0
tenants.0.name=t
value-by=work
`

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings(validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Classes) != 2 || s.Classes[1].RetrySafety != balancer.IdempotentWithKey ||
		s.Classes[1].DedupScope != balancer.DedupScopeZone || s.Classes[1].DedupWindow != 400000 || !s.MustSubscribe ||
		!s.PriorityPerWork || s.Zones != 2 || s.Limits.MaxAttempts != 3 || s.Objective.Overall != 0.6 ||
		s.Tenants[0].Quota != 137 || s.Costs.LoadProbe != 0.002 {
		t.Errorf("parsed %+v, want the values of the text", s)
	}
	if len(s.LoadReportFields) != 3 || s.LoadReportFields[0] != balancer.LoadFieldInFlight ||
		s.LoadReportFields[2] != balancer.LoadFieldUnknown {
		t.Errorf("load report fields %v, want three: a known one first and an unknown one last", s.LoadReportFields)
	}
	if _, err := balancer.New(s, 1, nil); err != nil {
		t.Errorf("balancer.New rejects the settings: %v", err)
	}
	if s, err = ParseSettings(strings.Replace(validSettings, "how=probe", "how=none", 1)); err != nil || s.LoadReportFields != nil {
		t.Errorf("with reporting.how=none: fields %v, error %v; want neither", s.LoadReportFields, err)
	}
}

func TestParseSettingsNamesTheKeyAtFault(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{"classes.count=2", "classes.count=3", "classes.count"},
		{"classes.count=2\n", "", "classes.count"},
		{"classes.count=2", "classes.count=-1", "classes.count"},
		{"repeat=pure", "repeat=sometimes", "classes.0.repeat"},
		{"classes.0.target=250000\n", "", "classes.0.target"},
		{"window=400000", "window=soon", "classes.1.window"},
		{"cold-from=0.14", "cold-from=NaN", "contract.cold-from"},
		{"probes=true", "probes=maybe", "limits.probes"},
		{"discovery=subscribe", "discovery=magic", "discovery"},
		{"value-by=work", "no pair", "line 25"},
		{"window=400000", "window=-1", "classes.1.window"},
		{"limits.most-tries=3", "limits.most-tries=0", "limits.most-tries"},
		{"cold-from=0.14", "cold-from=0", "contract.cold-from"},
		{"allowance-per-s=137.0", "allowance-per-s=-1", "tenants.0.allowance-per-s"},
		{"goal.whole=0.6", "goal.whole=-1", "goal.whole"},
	} {
		text := strings.Replace(validSettings, c.old, c.new, 1)
		_, err := ParseSettings(text)
		var invalid *balancer.SettingError
		if !errors.As(err, &invalid) || invalid.Key != c.key {
			t.Errorf("with %q in place of %q: error %v, want a SettingError for the key %q", c.new, c.old, err, c.key)
		}
	}
}

// Every field of balancer.Settings has a key and every key has a field. Without a key, the error for an invalid setting could
// not name the key at fault.
func TestEverySettingHasAKey(t *testing.T) {
	fields := map[string]bool{}
	addFields(fields, reflect.TypeFor[balancer.Settings](), "")
	for field := range fields {
		if _, ok := settingKeys[field]; !ok {
			t.Errorf("the field %s of balancer.Settings has no key", field)
		}
	}
	for field := range settingKeys {
		if !fields[field] {
			t.Errorf("balancer.Settings has no field %s, but settingKeys has a key for it", field)
		}
	}
}

// addFields adds the path of each field of a structure to fields.
func addFields(fields map[string]bool, structure reflect.Type, prefix string) {
	for i := range structure.NumField() {
		field := structure.Field(i)
		path := prefix + field.Name
		switch {
		case field.Type.Kind() == reflect.Struct:
			addFields(fields, field.Type, path+".")
			continue
		case field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct:
			addFields(fields, field.Type.Elem(), path+"[].")
		}
		fields[path] = true
	}
}
