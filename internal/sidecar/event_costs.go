package sidecar

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"bramblestand/balancer"
)

// EventCosts is processor time of the module by the event that it handled, of the thread that did: no other process's, and
// none of the loop's around it.
type EventCosts struct {
	Events  [eventKinds]int64
	CPUTime [eventKinds]time.Duration
}

const (
	EventRequest = iota
	EventOutcome
	EventTimer
	EventLoadProbe
	EventEndpointUpdate
	EventGossip
	eventKinds
)

// EventKindNames are the kinds of event, in Effort's order.
var EventKindNames = [eventKinds]string{"request", "outcome", "timer", "probed", "members", "told"}

// meteredBalancer is a balancer whose events are timed. The loop's goroutine alone calls it.
type meteredBalancer struct {
	loadBalancer
	EventCosts
}

func (m *meteredBalancer) measure(kind int, do func()) {
	runtime.LockOSThread()
	from := threadCPUTime()
	do()
	m.CPUTime[kind] += threadCPUTime() - from
	m.Events[kind]++
	runtime.UnlockOSThread()
}

func threadCPUTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

func (m *meteredBalancer) RequestArrived(now balancer.Micros, in balancer.Request) {
	m.measure(EventRequest, func() { m.loadBalancer.RequestArrived(now, in) })
}

func (m *meteredBalancer) AttemptFinished(now balancer.Micros, o balancer.Outcome) {
	m.measure(EventOutcome, func() { m.loadBalancer.AttemptFinished(now, o) })
}

func (m *meteredBalancer) TimerFired(now balancer.Micros, token uint32) {
	m.measure(EventTimer, func() { m.loadBalancer.TimerFired(now, token) })
}

func (m *meteredBalancer) LoadProbeResult(now balancer.Micros, endpoint uint32, status balancer.Status, latency balancer.Micros, load []float32) {
	m.measure(EventLoadProbe, func() { m.loadBalancer.LoadProbeResult(now, endpoint, status, latency, load) })
}

func (m *meteredBalancer) UpdateEndpoints(now balancer.Micros, kind balancer.UpdateKind, entries []balancer.Endpoint) {
	m.measure(EventEndpointUpdate, func() { m.loadBalancer.UpdateEndpoints(now, kind, entries) })
}

func (m *meteredBalancer) ReceiveGossip(now balancer.Micros, data []byte) {
	m.measure(EventGossip, func() { m.loadBalancer.ReceiveGossip(now, data) })
}

// EventCosts tells what the module's events took, where Meter was called before Run.
func (h *Hollow) EventCosts() (e EventCosts, err error) {
	err = h.loop.postUrgent(func(balancer.Micros) {
		if m, ok := h.loop.balancer.(*meteredBalancer); ok {
			e = m.EventCosts
		}
	})
	return e, err
}

// MeasureEventCosts has the module's events timed from here on.
func (h *Hollow) MeasureEventCosts() {
	h.loop.balancer = &meteredBalancer{loadBalancer: h.loop.balancer}
}
