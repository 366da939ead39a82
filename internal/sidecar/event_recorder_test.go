package sidecar

import (
	"sync"

	"bramblestand/balancer"
)

// Names of events in eventRecorder.events.
const (
	eventOutcome      = "outcome"
	eventTimer        = "timer"
	eventDisconnected = "disconnected"
)

// minRequestTimer is the smallest timer token that belongs to a request.
const minRequestTimer = 1 << 20

// eventRecorder passes all events on to the balancer and records some of them. The loop's goroutine calls the methods that pass
// events on.
type eventRecorder struct {
	loadBalancer

	mu          sync.Mutex // guards the fields below
	outcomes    []balancer.Outcome
	events      []string // names as above, in order
	updateKinds []balancer.UpdateKind
	probes      []balancer.Status // status of each load probe
	loads       [][]float32       // load report of each load probe
}

func (r *eventRecorder) AttemptFinished(now balancer.Micros, o balancer.Outcome) {
	r.record(func() {
		r.outcomes = append(r.outcomes, o)
		r.events = append(r.events, eventOutcome)
	})
	r.loadBalancer.AttemptFinished(now, o)
}

func (r *eventRecorder) TimerFired(now balancer.Micros, token uint32) {
	if token >= minRequestTimer {
		r.record(func() { r.events = append(r.events, eventTimer) })
	}
	r.loadBalancer.TimerFired(now, token)
}

func (r *eventRecorder) ClientDisconnected(now balancer.Micros, id uint64) {
	r.record(func() { r.events = append(r.events, eventDisconnected) })
	r.loadBalancer.ClientDisconnected(now, id)
}

func (r *eventRecorder) UpdateEndpoints(now balancer.Micros, kind balancer.UpdateKind, entries []balancer.Endpoint) {
	r.loadBalancer.UpdateEndpoints(now, kind, entries)
	r.record(func() { r.updateKinds = append(r.updateKinds, kind) })
}

func (r *eventRecorder) LoadProbeResult(now balancer.Micros, id uint32, status balancer.Status, latency balancer.Micros, load []float32) {
	r.record(func() { r.probes, r.loads = append(r.probes, status), append(r.loads, load) })
	r.loadBalancer.LoadProbeResult(now, id, status, latency, load)
}

// record runs add with r.mu held.
func (r *eventRecorder) record(add func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add()
}

// statuses returns the statuses of the attempts' outcomes so far.
func (r *eventRecorder) statuses() []balancer.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses := make([]balancer.Status, 0, len(r.outcomes))
	for _, outcome := range r.outcomes {
		statuses = append(statuses, outcome.Status)
	}
	return statuses
}

// updates returns how many updates of a kind the balancer has received.
func (r *eventRecorder) updates(kind balancer.UpdateKind) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, k := range r.updateKinds {
		if k == kind {
			count++
		}
	}
	return count
}
