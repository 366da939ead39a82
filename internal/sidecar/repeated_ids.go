package sidecar

import (
	"bramblestand/balancer"
	"bramblestand/internal/dedup"
)

// findPriorAttempt returns the attempt of an earlier request with the same ID of a client, if one may have run and a second execution may
// have an effect of its own. It is called before the request is admitted.
func (r *pendingRequest) findPriorAttempt(l *eventLoop, in *balancer.Request) balancer.PriorAttempt {
	r.mustNotRunTwice = l.cfg.Settings.Classes[in.Class].RetrySafety != balancer.Idempotent
	if !r.mustNotRunTwice {
		return balancer.PriorAttempt{}
	}
	prior, ok := l.attemptsByID.Find(r.clientID())
	if !ok {
		return balancer.PriorAttempt{}
	}
	r.hasSent, r.mayHaveRun = true, true // its record stays: the dedup window began with it
	return balancer.PriorAttempt{MayHaveRun: true, Zone: prior.Zone, Pod: prior.Pod, SentAt: l.clock.micros(prior.SentAt)}
}

// recordSend records that the request is about to be sent, if it must not run twice. The attempt's goroutine calls it.
func (a *attempt) recordSend() {
	r := a.request
	if !r.mustNotRunTwice || r.hasSent {
		return
	}
	r.hasSent = true
	a.loop.attemptsByID.Record(r.clientID(), dedup.Attempt{Zone: a.zone, Pod: a.pod, SentAt: a.loop.clock.wallTime(a.loop.clock.now())})
}

// forgetSend reverts recordSend if the attempt did not run. The attempt's goroutine calls it.
func (a *attempt) forgetSend(status balancer.Status) {
	r := a.request
	if !r.hasSent || r.mayHaveRun {
		return
	}
	if !status.ProvesNotRun() {
		r.mayHaveRun = true
		return
	}
	r.hasSent = false
	a.loop.attemptsByID.Remove(r.clientID())
}
