package balancer

// EndpointSnapshot is what a balancer learned of one endpoint that is still of use after
// a restart of its host: the breaker's latency baselines (microseconds), the
// pace (microseconds per unit of work and crowding) and the share of recent
// failures (0..1).
type EndpointSnapshot struct {
	ID                              uint32
	LatencyBaseline, LatencyCurrent float64
	ServiceTime                     float64
	FailureRate                     float64
}

// Snapshot lists what is worth keeping of every listed endpoint that has been
// heard from, in the order first heard of. It decides nothing.
func (b *Balancer) Snapshot(now Micros) []EndpointSnapshot {
	out := make([]EndpointSnapshot, 0, len(b.endpoints))
	for _, e := range b.endpoints {
		if e.breaker.latencyBaseline > 0 || e.serviceTime.initialized || e.failureRate > 0 {
			out = append(out, EndpointSnapshot{
				ID: e.ID, LatencyBaseline: e.breaker.latencyBaseline, LatencyCurrent: e.breaker.latencyCurrent,
				ServiceTime: e.serviceTime.value * indicator(e.serviceTime.initialized),
				FailureRate: e.currentFailureRate(now),
			})
		}
	}
	return out
}

// Restore takes back what Keep listed before a restart, for endpoints that are
// listed now (a cached list comes first). What it recalls is trusted as half
// aged: the pace and the failures fade as if heard of a while ago, and the
// first answers move the baselines as they would any old ones. Figures that
// are not finite and positive are left out.
func (b *Balancer) Restore(now Micros, kept []EndpointSnapshot) {
	for _, k := range kept {
		e := b.endpointsByID[k.ID]
		if e == nil {
			continue
		}
		if k.LatencyBaseline > 0 && k.LatencyCurrent > 0 && k.LatencyBaseline < 1e12 && k.LatencyCurrent < 1e12 {
			e.breaker.latencyBaseline, e.breaker.latencyCurrent = k.LatencyBaseline, k.LatencyCurrent
		}
		if k.ServiceTime > 0 && k.ServiceTime < 1e12 {
			e.serviceTime, e.serviceTimeAt = ewma{k.ServiceTime, true}, now-serviceTimeLifetime/2
			b.zones[e.Zone].serviceTime.add(k.ServiceTime, groupServiceTimeWeight)
			b.serviceTime.add(k.ServiceTime, groupServiceTimeWeight)
		}
		if k.FailureRate > 0 && k.FailureRate <= 1 {
			e.failureRate, e.failureRateAt = k.FailureRate, now-3*second
		}
	}
}
