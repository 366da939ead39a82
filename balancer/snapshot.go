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
	out := make([]EndpointSnapshot, 0, len(b.list))
	for _, e := range b.list {
		if e.br.base > 0 || e.pace.seen || e.errs > 0 {
			out = append(out, EndpointSnapshot{
				ID: e.ID, LatencyBaseline: e.br.base, LatencyCurrent: e.br.current,
				ServiceTime: e.pace.v * share(e.pace.seen), FailureRate: e.failing(now),
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
		e := b.byID[k.ID]
		if e == nil {
			continue
		}
		if k.LatencyBaseline > 0 && k.LatencyCurrent > 0 && k.LatencyBaseline < 1e12 && k.LatencyCurrent < 1e12 {
			e.br.base, e.br.current = k.LatencyBaseline, k.LatencyCurrent
		}
		if k.ServiceTime > 0 && k.ServiceTime < 1e12 {
			e.pace, e.paceAt = ewma{k.ServiceTime, true}, now-paceLife/2
			b.zones[e.Zone].pace.add(k.ServiceTime, fleetWeight)
			b.pace.add(k.ServiceTime, fleetWeight)
		}
		if k.FailureRate > 0 && k.FailureRate <= 1 {
			e.errs, e.errAt = k.FailureRate, now-3*second
		}
	}
}
