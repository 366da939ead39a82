package balancer

// maxRestoredMicros bounds the times that Restore accepts, in microseconds.
const maxRestoredMicros = 1e12

// EndpointSnapshot is the learned state of one endpoint that is useful after a restart of the host.
type EndpointSnapshot struct {
	ID              uint32
	LatencyBaseline float64 // of the breaker, in microseconds; 0 for none
	LatencyCurrent  float64 // of the breaker, in microseconds
	ServiceTime     float64 // time per unit of work and contention; 0 for none
	FailureRate     float64 // fraction of recent attempts that failed, 0 to 1
}

// Snapshot returns the learned state of each endpoint that has any, in list order. It has no effect on
// decisions.
func (b *Balancer) Snapshot(now Micros) []EndpointSnapshot {
	snapshots := make([]EndpointSnapshot, 0, len(b.endpoints))
	for _, e := range b.endpoints {
		if e.breaker.latencyBaseline <= 0 && !e.serviceTime.average.initialized && e.failures.value <= 0 {
			continue
		}
		average := &e.serviceTime.average
		snapshots = append(snapshots, EndpointSnapshot{
			ID:              e.ID,
			LatencyBaseline: e.breaker.latencyBaseline,
			LatencyCurrent:  e.breaker.latencyCurrent,
			ServiceTime:     average.value * indicator(average.initialized),
			FailureRate:     e.failures.current(now),
		})
	}
	return snapshots
}

// Restore applies a Snapshot to the endpoints that are listed now: the host calls UpdateEndpoints with the
// cached list first. A restored service time counts as half its lifetime old, and a restored failure rate as
// one half-life old. Values that are not finite and positive are ignored.
func (b *Balancer) Restore(now Micros, snapshots []EndpointSnapshot) {
	for i := range snapshots {
		if e := b.endpointsByID[snapshots[i].ID]; e != nil {
			b.restoreEndpoint(now, e, &snapshots[i])
		}
	}
}

func (b *Balancer) restoreEndpoint(now Micros, e *endpoint, s *EndpointSnapshot) {
	if isRestorable(s.LatencyBaseline) && isRestorable(s.LatencyCurrent) {
		e.breaker.latencyBaseline, e.breaker.latencyCurrent = s.LatencyBaseline, s.LatencyCurrent
	}
	if isRestorable(s.ServiceTime) {
		e.serviceTime.average = ewma{value: s.ServiceTime, initialized: true}
		e.serviceTime.updatedAt = now - serviceTimeLifetime/2
		b.zones[e.Zone].serviceTime.add(s.ServiceTime, groupServiceTimeWeight)
		b.serviceTime.add(s.ServiceTime, groupServiceTimeWeight)
	}
	if s.FailureRate > 0 && s.FailureRate <= 1 {
		e.failures = failureRate{value: s.FailureRate, updatedAt: now - failureHalfLife}
	}
}

// isRestorable reports whether a time is positive and below maxRestoredMicros; false for NaN.
func isRestorable(micros float64) bool { return micros > 0 && micros < maxRestoredMicros }
