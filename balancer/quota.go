package balancer

// quotaSlack multiplies the admitted fraction, since a small rejected fraction does not mean that quotas are
// used up.
const quotaSlack = 1.25

// quotaWeight returns the weight, 0 to 1, of a request according to its tenant's quota. It is the average
// over the tenant's requests, with 1 for each within the quota and Settings.OverQuotaWeight for each beyond
// it.
//
// A balancer knows only its own requests. It assumes that the demand of the fleet exceeds the sum of the
// quotas by the same factor as its own demand exceeds the requests that it admits.
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
