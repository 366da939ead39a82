package sidecar

import (
	"sync"

	"bramblestand/balancer"
)

// eventRecorder passes everything on to the balancer and keeps what it was told.
type eventRecorder struct {
	loadBalancer
	mu          sync.Mutex
	outcomes    []balancer.Outcome
	events      []string
	updateKinds []balancer.UpdateKind
	probes      []balancer.Status
	loads       [][]float32
}

func (s *eventRecorder) AttemptFinished(now balancer.Micros, o balancer.Outcome) {
	s.record(func() {
		s.outcomes = append(s.outcomes, o)
		s.events = append(s.events, "outcome")
	})
	s.loadBalancer.AttemptFinished(now, o)
}

func (s *eventRecorder) TimerFired(now balancer.Micros, token uint32) {
	if token >= 1<<20 { // names a request
		s.record(func() { s.events = append(s.events, "timer") })
	}
	s.loadBalancer.TimerFired(now, token)
}

func (s *eventRecorder) ClientDisconnected(now balancer.Micros, id uint64) {
	s.record(func() { s.events = append(s.events, "gone") })
	s.loadBalancer.ClientDisconnected(now, id)
}

func (s *eventRecorder) UpdateEndpoints(now balancer.Micros, kind balancer.UpdateKind, entries []balancer.Endpoint) {
	s.loadBalancer.UpdateEndpoints(now, kind, entries)
	s.record(func() { s.updateKinds = append(s.updateKinds, kind) })
}

func (s *eventRecorder) LoadProbeResult(now balancer.Micros, id uint32, status balancer.Status, latency balancer.Micros, load []float32) {
	s.record(func() { s.probes, s.loads = append(s.probes, status), append(s.loads, load) })
	s.loadBalancer.LoadProbeResult(now, id, status, latency, load)
}

func (s *eventRecorder) record(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// statuses returns how the attempts ended so far.
func (s *eventRecorder) statuses() (all []balancer.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.outcomes {
		all = append(all, o.Status)
	}
	return all
}

// updates returns how many updates of a kind the balancer was given.
func (s *eventRecorder) updates(kind balancer.UpdateKind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, k := range s.updateKinds {
		if k == kind {
			count++
		}
	}
	return count
}
