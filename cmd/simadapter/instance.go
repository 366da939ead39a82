package main

import (
	"fmt"

	"bramblestand/balancer"
	"bramblestand/internal/simwire"
)

// instance is one sidecar of the simulated fleet: a balancer and an implementation of balancer.Actions, which writes the
// balancer's actions to the reply of the batch.
type instance struct {
	reply    *simwire.Reply     // the host's; the host selects this instance in it before it passes an event
	balancer *balancer.Balancer // nil before a start, after a stop and after a fault
}

var _ balancer.Actions = (*instance)(nil)

// handle passes an event to the balancer. It reports a panic of the balancer on the wire.
func (i *instance) handle(now balancer.Micros, event *simwire.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			i.balancer = nil
			i.reply.ReportFault(fmt.Sprintf("panic in %v: %v", event.Code, cause))
		}
	}()
	switch {
	case event.Code == simwire.EventStart:
		i.start(now, &event.Start)
	case event.Code == simwire.EventStop:
		i.balancer = nil
	case i.balancer != nil:
		dispatch(i.balancer, now, event)
	}
}

// start replaces the balancer by a new one without any state.
func (i *instance) start(now balancer.Micros, start *simwire.Start) {
	i.balancer = nil
	settings, err := simwire.ParseSettings(start.SettingsText)
	if err == nil {
		i.balancer, err = balancer.New(settings, start.Seed, i)
	}
	if err != nil {
		i.reply.ReportFault(err.Error())
		return
	}
	i.balancer.Start(now)
}

// dispatch calls the balancer's method for an event.
func dispatch(b *balancer.Balancer, now balancer.Micros, event *simwire.Event) {
	switch event.Code {
	case simwire.EventEndpointUpdate:
		b.UpdateEndpoints(now, event.EndpointUpdate.Kind, event.EndpointUpdate.Endpoints)
	case simwire.EventRequest:
		b.RequestArrived(now, event.Request)
	case simwire.EventResponseStarted:
		started := &event.ResponseStarted
		b.ResponseStarted(now, started.RequestID, started.Attempt, started.Latency)
	case simwire.EventAttemptFinished:
		b.AttemptFinished(now, event.Outcome)
	case simwire.EventClientDisconnected:
		b.ClientDisconnected(now, event.RequestID)
	case simwire.EventTimerFired:
		b.TimerFired(now, event.TimerToken)
	case simwire.EventLoadProbeResult:
		result := &event.LoadProbeResult
		b.LoadProbeResult(now, result.Endpoint, result.Status, result.Latency, result.LoadReport)
	case simwire.EventGossip:
		b.ReceiveGossip(now, event.Gossip.Message)
	}
}

// StartAttempt sends a request to an endpoint. The simulator sends it at once, so that it is never too late for it.
func (i *instance) StartAttempt(id uint64, endpoint uint32, timeout, _ balancer.Micros) {
	i.reply.StartAttempt(id, endpoint, timeout)
}

// Reject sends the final answer to a request, with the promise that a retry is harmless.
func (i *instance) Reject(id uint64, retryAfter balancer.Micros, _ balancer.RejectReason) {
	i.reply.Reject(id, retryAfter)
}

// Fail sends the final answer to a request, without a promise about whether the request took effect.
func (i *instance) Fail(id uint64) { i.reply.Fail(id) }

// CancelAttempt stops waiting for an attempt.
func (i *instance) CancelAttempt(id uint64, attempt int) { i.reply.CancelAttempt(id, attempt) }

// SetTimer requests a timer event after delay.
func (i *instance) SetTimer(delay balancer.Micros, token uint32) { i.reply.SetTimer(delay, token) }

// SendLoadProbe requests an endpoint's load report.
func (i *instance) SendLoadProbe(endpoint uint32) { i.reply.SendLoadProbe(endpoint) }

// SendGossip sends data to all other instances.
func (i *instance) SendGossip(data []byte) { i.reply.SendGossip(simwire.AllPeers, data) }

// WatchEndpoints starts or ends the subscription to discovery's changes.
func (i *instance) WatchEndpoints(on bool) { i.reply.WatchEndpoints(on) }

// Log adds a line to the report of the simulator's run: the message, then key=value for each field.
func (i *instance) Log(message string, fields ...balancer.LogField) {
	line := message
	for _, field := range fields {
		line += fmt.Sprintf(" %s=%v", field.Key, field.Value)
	}
	i.reply.Log(line)
}
