package balancer

import (
	"testing"
)

func TestTenantOverQuotaWeighsLess(t *testing.T) {
	s := testSettings()
	s.OverQuotaWeight = 0.05
	s.Tenants = []Tenant{{Name: "a", Quota: 50}, {Name: "b", Quota: 50}}
	b, _ := start(t, s, ready(2))
	for i := range Micros(100) {
		b.tenantRates[0].add(i*1000, 1)
		if i%4 == 0 {
			b.tenantRates[1].add(i*1000, 1)
		}
	}
	over, within := &request{Request: Request{Tenant: 0}}, &request{Request: Request{Tenant: 1}}
	b.rejectedFraction.value = 0.5
	if o, w := b.quotaWeight(100_000, over), b.quotaWeight(100_000, within); w != 1 || o > 0.6 {
		t.Errorf("weight %v over the quota and %v within it, want at most 0.6 and 1", o, w)
	}
	if got := b.quotaWeight(100_000, &request{Request: Request{Tenant: 9}}); got != 1 {
		t.Errorf("weight %v of an unknown tenant, want 1", got)
	}
}
