package sidecar

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"bramblestand/balancer"
)

// EventCosts is the number of events that the balancer has handled and the CPU time that it has used for them, by kind of event.
// The CPU time is that of the event loop's thread during the calls of the balancer.
type EventCosts struct {
	Events  [eventKinds]int64
	CPUTime [eventKinds]time.Duration
}

// EventKind is a kind of balancer event. It is an index of the arrays in EventCosts.
type EventKind int

// The kinds of events whose costs are measured.
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

// MeasureEventCosts turns on the measurement of the costs of events. It must be called before Run.
func (h *Hollow) MeasureEventCosts() {
	h.loop.balancer = &meteredBalancer{loadBalancer: h.loop.balancer}
}

// EventCosts returns the costs so far, or zeros if they are not measured. Its error is that of postUrgent.
func (h *Hollow) EventCosts() (costs EventCosts, err error) {
	err = h.loop.postUrgent(func(balancer.Micros) {
		if m, ok := h.loop.balancer.(*meteredBalancer); ok {
			costs = m.EventCosts
		}
	})
	return costs, err
}

// meteredBalancer measures the costs of a balancer's events. Only the loop's goroutine calls it.
type meteredBalancer struct {
	loadBalancer
	EventCosts
}

// measure runs call, which handles one event, and adds its cost to the event's kind.
func (m *meteredBalancer) measure(kind EventKind, call func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	startedAt := threadCPUTime()
	call()
	m.CPUTime[kind] += threadCPUTime() - startedAt
	m.Events[kind]++
}

// threadCPUTime returns the CPU time of the calling thread, or 0 if the system has no clock for it.
func threadCPUTime() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// RequestArrived passes the event to the balancer and measures its cost.
func (m *meteredBalancer) RequestArrived(now balancer.Micros, in balancer.Request) {
	m.measure(EventRequest, func() { m.loadBalancer.RequestArrived(now, in) })
}

// AttemptFinished passes the event to the balancer and measures its cost.
func (m *meteredBalancer) AttemptFinished(now balancer.Micros, o balancer.Outcome) {
	m.measure(EventOutcome, func() { m.loadBalancer.AttemptFinished(now, o) })
}

// TimerFired passes the event to the balancer and measures its cost.
func (m *meteredBalancer) TimerFired(now balancer.Micros, token uint32) {
	m.measure(EventTimer, func() { m.loadBalancer.TimerFired(now, token) })
}

// LoadProbeResult passes the event to the balancer and measures its cost.
func (m *meteredBalancer) LoadProbeResult(now balancer.Micros, endpoint uint32, status balancer.Status, latency balancer.Micros, load []float32) {
	m.measure(EventLoadProbe, func() { m.loadBalancer.LoadProbeResult(now, endpoint, status, latency, load) })
}

// UpdateEndpoints passes the event to the balancer and measures its cost.
func (m *meteredBalancer) UpdateEndpoints(now balancer.Micros, kind balancer.UpdateKind, entries []balancer.Endpoint) {
	m.measure(EventEndpointUpdate, func() { m.loadBalancer.UpdateEndpoints(now, kind, entries) })
}

// ReceiveGossip passes the event to the balancer and measures its cost.
func (m *meteredBalancer) ReceiveGossip(now balancer.Micros, data []byte) {
	m.measure(EventGossip, func() { m.loadBalancer.ReceiveGossip(now, data) })
}
