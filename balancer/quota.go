package balancer

const (
	quotaSlack = 1.25 // refusals below a fifth say nothing of shares
)

// quotaWeight is what a request of r's tenant is worth on average, given how much of the tenant's traffic
// lies beyond its share. Only this balancer's mix and refusals are known: the whole demand is taken to
// exceed the sum of the allowances as it exceeds what is let in here.
func (b *Balancer) quotaWeight(now Micros, r *request) float64 {
	if int(r.Tenant) >= len(b.tenants) {
		return 1
	}
	var asked, allowed float64
	for i := range b.tenants {
		asked += b.tenants[i].rate(now)
		allowed += b.settings.Tenants[i].Quota
	}
	if allowed <= 0 {
		return 1
	}
	mine := b.tenants[r.Tenant].rate(now) / asked
	inside := min(1, b.settings.Tenants[r.Tenant].Quota/allowed/mine*(1-b.rejectedFraction.value)*quotaSlack)
	return inside + (1-inside)*b.settings.OverQuotaWeight
}
