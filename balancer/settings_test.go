package balancer

import (
	"errors"
	"testing"
)

func TestNewNamesInvalidSetting(t *testing.T) {
	for _, c := range []struct {
		key        string
		invalidate func(*Settings)
	}{
		{"Balancers", func(s *Settings) { s.Balancers = 0 }},
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[0].LatencyObjective", func(s *Settings) { s.Classes[0].LatencyObjective = 0 }},
		{"Classes[1].DedupWindow", func(s *Settings) { s.Classes[1].DedupWindow = -1 }},
		{"Rules.SlowStartMinCapacity", func(s *Settings) { s.Rules.SlowStartMinCapacity = 0 }},
		{"Limits.MaxAttempts", func(s *Settings) { s.Limits.MaxAttempts = 0 }},
		{"Costs.LoadProbe", func(s *Settings) { s.Costs.LoadProbe = -1 }},
	} {
		s := testSettings()
		c.invalidate(&s)
		_, err := New(s, 1, &recorder{})
		var settingErr *SettingError
		if !errors.As(err, &settingErr) || settingErr.Key != c.key {
			t.Errorf("want an error for %s, got %v", c.key, err)
		}
	}
}
