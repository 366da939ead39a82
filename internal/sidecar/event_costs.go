package sidecar

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"bramblestand/balancer"
)

// EventCosts is the processor time that the balancer has used, by kind of event. It is the time of the event loop's thread within
// the balancer's calls.
type EventCosts struct {
	Events  [eventKinds]int64
	CPUTime [eventKinds]time.Duration
}

// EventKind is a kind of the balancer's events, an index of EventCosts.
type EventKind int

// The kinds whose costs are measured.
const (
	EventRequest EventKind = iota
	EventOutcome
	EventTimer
	EventLoadProbe
	EventEndpointUpdate
	EventGossip
	eventKinds
)

// EventKindNames are the names of the kinds in the lab's recorded results.
var EventKindNames = [eventKinds]string{"request", "outcome", "timer", "probed", "members", "told"}

// MeasureEventCosts has the costs of the balancer's events measured. It must be called before Run.
func (h *Hollow) MeasureEventCosts() {
	h.loop.balancer = &meteredBalancer{loadBalancer: h.loop.balancer}
}

// EventCosts returns the costs until now, none if they are not measured, or postUrgent's error.
func (h *Hollow) EventCosts() (costs EventCosts, err error) {
	err = h.loop.postUrgent(func(balancer.Micros) {
		if m, ok := h.loop.balancer.(*meteredBalancer); ok {
			costs = m.EventCosts
		}
	})
	return costs, err
}

// meteredBalancer measures the events of a balancer. The loop's goroutine alone calls it.
type meteredBalancer struct {
	loadBalancer
	EventCosts
}

// measure adds the cost of a call to its kind of event.
func (m *meteredBalancer) measure(kind EventKind, call func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := threadCPUTime()
	call()
	m.CPUTime[kind] += threadCPUTime() - began
	m.Events[kind]++
}

// threadCPUTime returns the processor time of the calling thread, 0 where the system has no such clock.
func threadCPUTime() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// RequestArrived measures and passes on the event.
func (m *meteredBalancer) RequestArrived(now balancer.Micros, in balancer.Request) {
	m.measure(EventRequest, func() { m.loadBalancer.RequestArrived(now, in) })
}

// AttemptFinished measures and passes on the event.
func (m *meteredBalancer) AttemptFinished(now balancer.Micros, o balancer.Outcome) {
	m.measure(EventOutcome, func() { m.loadBalancer.AttemptFinished(now, o) })
}

// TimerFired measures and passes on the event.
func (m *meteredBalancer) TimerFired(now balancer.Micros, token uint32) {
	m.measure(EventTimer, func() { m.loadBalancer.TimerFired(now, token) })
}

// LoadProbeResult measures and passes on the event.
func (m *meteredBalancer) LoadProbeResult(now balancer.Micros, endpoint uint32, status balancer.Status, latency balancer.Micros, load []float32) {
	m.measure(EventLoadProbe, func() { m.loadBalancer.LoadProbeResult(now, endpoint, status, latency, load) })
}

// UpdateEndpoints measures and passes on the event.
func (m *meteredBalancer) UpdateEndpoints(now balancer.Micros, kind balancer.UpdateKind, entries []balancer.Endpoint) {
	m.measure(EventEndpointUpdate, func() { m.loadBalancer.UpdateEndpoints(now, kind, entries) })
}

// ReceiveGossip measures and passes on the event.
func (m *meteredBalancer) ReceiveGossip(now balancer.Micros, data []byte) {
	m.measure(EventGossip, func() { m.loadBalancer.ReceiveGossip(now, data) })
}
