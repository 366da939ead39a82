package balancer

// quotaSlack is what the admitted fraction is multiplied by: a small rejected fraction is no sign of full
// quotas.
const quotaSlack = 1.25

// quotaWeight returns the weight, 0 to 1, of a request by its tenant's quota: the average of 1 for the
// part of the tenant's requests within the quota and Settings.OverQuotaWeight for the rest. A balancer
// knows only its own requests: the demand of the fleet is taken to exceed the sum of quotas as its own
// exceeds what it admits.
func (b *Balancer) quotaWeight(now Micros, r *request) float64 {
	if int(r.Tenant) >= len(b.tenantRates) {
		return 1
	}
	var demand, quotas float64
	for i := range b.tenantRates {
		demand += b.tenantRates[i].rate(now)
		quotas += b.settings.Tenants[i].Quota
	}
	if quotas <= 0 {
		return 1
	}
	demandFraction := b.tenantRates[r.Tenant].rate(now) / demand
	admitted := 1 - b.rejectedFraction.value
	within := min(1, b.settings.Tenants[r.Tenant].Quota/quotas/demandFraction*admitted*quotaSlack)
	return within + (1-within)*b.settings.OverQuotaWeight
}
