package balancer

// Kept is what a balancer learned of one endpoint that is still of use after
// a restart of its host: the breaker's latency baselines (microseconds), the
// pace (microseconds per unit of work and crowding) and the share of recent
// failures (0..1).
type Kept struct {
	ID            uint32
	Base, Current float64
	Pace          float64
	Errs          float64
}

// Keep lists what is worth keeping of every listed endpoint that has been
// heard from, in the order first heard of. It decides nothing.
func (b *Balancer) Keep(now Micros) []Kept {
	out := make([]Kept, 0, len(b.list))
	for _, e := range b.list {
		if e.br.base > 0 || e.pace.seen || e.errs > 0 {
			out = append(out, Kept{ID: e.ID, Base: e.br.base, Current: e.br.current, Pace: e.pace.v * share(e.pace.seen), Errs: e.failing(now)})
		}
	}
	return out
}

// Recall takes back what Keep listed before a restart, for endpoints that are
// listed now (a cached list comes first). What it recalls is trusted as half
// aged: the pace and the failures fade as if heard of a while ago, and the
// first answers move the baselines as they would any old ones. Figures that
// are not finite and positive are left out.
func (b *Balancer) Recall(now Micros, kept []Kept) {
	for _, k := range kept {
		e := b.byID[k.ID]
		if e == nil {
			continue
		}
		if k.Base > 0 && k.Current > 0 && k.Base < 1e12 && k.Current < 1e12 {
			e.br.base, e.br.current = k.Base, k.Current
		}
		if k.Pace > 0 && k.Pace < 1e12 {
			e.pace, e.paceAt = ewma{k.Pace, true}, now-paceLife/2
			b.zones[e.Zone].pace.add(k.Pace, fleetWeight)
			b.pace.add(k.Pace, fleetWeight)
		}
		if k.Errs > 0 && k.Errs <= 1 {
			e.errs, e.errAt = k.Errs, now-3*second
		}
	}
}
