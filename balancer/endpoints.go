package balancer

import "slices"

// endpoint is the state that a balancer keeps for an endpoint.
type endpoint struct {
	Endpoint
	inUpdate    bool // listed in the update being applied
	banned      bool
	bannedAt    Micros // start of the current or latest ban
	reinstateAt Micros // time from which the next request is sent here after a reinstatement; 0 for none
	slowStart   slowStart

	inFlight   int      // this balancer's attempts in flight
	startTimes []Micros // start times of the attempts in flight, ascending

	probing  bool // a load probe is unanswered
	probedAt Micros
	inPool   bool // in Balancer.probedPool
	report   loadReport

	serviceTime serviceTime
	failures    failureRate
	breaker     breaker
}

// zoneStats holds the statistics of the endpoints of one zone. They are kept by zone because a balancer sends
// little to zones other than its own, and a slow zone does not mean that other zones are slow.
type zoneStats struct {
	roundTrip    ewma // round-trip time, from the lowest latencies of load probes, in microseconds
	baselineLoad ewma // average external load of an endpoint, over all reports
	serviceTime  ewma // service time per unit of work, of endpoints past their slow start
	trend        latencyTrend
}

// UpdateEndpoints handles an update from discovery. UpdateFailed means that discovery failed: the endpoint
// list then stays as it is. Endpoints that a complete list does not contain are removed from use; one with
// attempts in flight is deleted by the first update after they end.
func (b *Balancer) UpdateEndpoints(now Micros, kind UpdateKind, entries []Endpoint) {
	if kind == UpdateFailed {
		b.poll.subscribed = false
		b.log(now, "discovery failed, keeping the endpoint list and polling again")
		b.backOffPoll(now)
		return
	}
	if kind != UpdateCached && b.settings.MustSubscribe {
		b.poll.subscribed, b.poll.backoff = true, 0
	}
	for _, e := range b.endpoints {
		e.inUpdate = false
	}
	// In a fleet with more balancers than endpoints, the load probes of all balancers together would
	// overload a new endpoint.
	probeNew := b.settings.Balancers <= max(len(b.endpoints), len(entries))
	for i := range entries {
		b.applyEndpoint(now, &entries[i], probeNew)
	}
	b.removeEndpoints(kind != UpdateDelta)
	b.localEndpoints = b.localEndpoints[:0]
	for _, e := range b.endpoints {
		if b.isLocal(e) {
			b.localEndpoints = append(b.localEndpoints, e)
		}
	}
	b.hasEndpointList = b.hasEndpointList || kind != UpdateCached || !b.settings.MustSubscribe
}

// applyEndpoint applies one entry of an endpoint update. probeNew tells whether a new or restarted endpoint
// gets a load probe.
func (b *Balancer) applyEndpoint(now Micros, in *Endpoint, probeNew bool) {
	e := b.endpointsByID[in.ID]
	isNew := e == nil
	if isNew {
		e = &endpoint{}
		b.endpointsByID[in.ID] = e
		b.endpoints = append(b.endpoints, e)
	}
	if at, ok := b.bans.takeReinstatement(in.ID); ok {
		e.reinstateAt = at
	}
	isRestarted := !isNew && in.StartTime != 0 && in.StartTime != e.StartTime
	if isRestarted {
		*e = endpoint{inFlight: e.inFlight, reinstateAt: e.reinstateAt}
	}
	startTime := in.StartTime
	if startTime == 0 && isNew && b.hasEndpointList {
		startTime = now // it was added while this balancer was running
	}
	e.Endpoint, e.inUpdate = *in, true
	e.bannedAt, e.banned = b.bans.since[in.ID]
	b.maxWeight = max(b.maxWeight, float64(e.Weight))
	if !isNew && !isRestarted {
		return
	}
	if startTime != 0 && now-startTime < b.settings.Rules.SlowStartDuration {
		// A balancer with few requests takes minutes to earn the budget for one. Each balancer starts with
		// a random part of that budget: if all started at 0, none would send anything during the slow start.
		budget := b.random.float() * slowStartCharge * b.classes[0].meanWork.value
		e.slowStart = slowStart{active: true, startedAt: min(startTime, now), budget: budget, refilledAt: now}
	}
	if probeNew {
		b.sendLoadProbe(now, e)
	}
}

// removeEndpoints deletes removed endpoints that have nothing in flight. isFull means that endpoints missing
// from the update are removed as well.
func (b *Balancer) removeEndpoints(isFull bool) {
	b.endpoints = slices.DeleteFunc(b.endpoints, func(e *endpoint) bool {
		if isFull && !e.inUpdate {
			e.State = Removed
		}
		if e.State != Removed || e.inFlight > 0 {
			return false
		}
		delete(b.endpointsByID, e.ID)
		return true
	})
}

// isLocal reports whether an endpoint is in this balancer's zone.
func (b *Balancer) isLocal(e *endpoint) bool { return int(e.Zone) == b.settings.Zone }

// isUsable reports whether attempts may be started at e: it is ready and not banned.
func (e *endpoint) isUsable() bool { return e.State == Ready && !e.banned }

// addInFlight counts an attempt as in flight. startedAt must not be earlier than that of any counted attempt.
func (e *endpoint) addInFlight(startedAt Micros) {
	e.inFlight++
	e.startTimes = append(e.startTimes, startedAt)
}

// removeInFlight stops counting an attempt that started at startedAt.
func (e *endpoint) removeInFlight(startedAt Micros) {
	e.inFlight--
	if i, ok := slices.BinarySearch(e.startTimes, startedAt); ok {
		e.startTimes = slices.Delete(e.startTimes, i, i+1)
	}
}

// countStartedBetween counts the attempts in flight that started at from or later and before to.
func (e *endpoint) countStartedBetween(from, to Micros) int {
	first, _ := slices.BinarySearch(e.startTimes, from)
	end, _ := slices.BinarySearch(e.startTimes, to)
	return max(0, end-first)
}

// SetProcessCount sets how many processes share this balancer's traffic: during an upgrade there are two.
func (b *Balancer) SetProcessCount(processes int) { b.processCount = processes }

// SetFleetSize replaces Settings.Balancers by the number of balancers of the tier that are alive, this one
// included.
func (b *Balancer) SetFleetSize(alive int) { b.settings.Balancers = max(1, alive) }
