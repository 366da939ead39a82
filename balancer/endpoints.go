package balancer

import "slices"

// endpoint is what a balancer knows of an endpoint.
type endpoint struct {
	Endpoint
	inUpdate    bool // named by the update being applied
	banned      bool
	bannedAt    Micros // start of the present ban, or of the last
	reinstateAt Micros // from then on the next request goes there; 0 for none
	slowStart   slowStart

	inFlight   int      // own attempts there
	startTimes []Micros // of the attempts in flight, ascending

	probing  bool // a load probe is unanswered
	probedAt Micros
	inPool   bool // in Balancer.probedPool
	report   loadReport

	serviceTime serviceTime
	failures    failureRate
	breaker     breaker
}

// zoneStats is what a balancer knows of the endpoints of a zone. It is learned by zone because a balancer
// sees little of zones other than its own, and a slow zone is no sign that others are.
type zoneStats struct {
	roundTrip    ewma // least latency of a load probe, in microseconds
	baselineLoad ewma // external load of an endpoint, over all reports
	serviceTime  ewma // per unit of work, of endpoints past their slow start
	trend        latencyTrend
}

// UpdateEndpoints handles what discovery answered, or that it failed (UpdateFailed): the endpoint list
// then stays. Entries that a full list leaves out are removed; those with attempts in flight are
// forgotten later.
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
	// In a fleet with more balancers than endpoints, the probes of all of them would overload a new
	// endpoint.
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

// applyEndpoint takes over an entry of discovery's. probeNew is whether a new or restarted endpoint is
// probed.
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
		startTime = now // it appeared while this balancer watched
	}
	e.Endpoint, e.inUpdate = *in, true
	e.bannedAt, e.banned = b.bans.since[in.ID]
	b.maxWeight = max(b.maxWeight, float64(e.Weight))
	if !isNew && !isRestarted {
		return
	}
	if startTime != 0 && now-startTime < b.settings.Rules.SlowStartDuration {
		// A balancer with few requests takes minutes to earn the budget of one: without a random part of it
		// at the start, none of many would send anything during the slow start.
		budget := b.random.float() * slowStartCharge * b.classes[0].meanWork.value
		e.slowStart = slowStart{active: true, startedAt: min(startTime, now), budget: budget, refilledAt: now}
	}
	if probeNew {
		b.sendLoadProbe(now, e)
	}
}

// removeEndpoints forgets removed endpoints that have nothing in flight. isFull means that endpoints which
// the update did not name are removed.
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

// isUsable reports whether attempts may be started at e at all.
func (e *endpoint) isUsable() bool { return e.State == Ready && !e.banned }

// addInFlight counts an attempt that started at an instant no earlier than those counted already.
func (e *endpoint) addInFlight(startedAt Micros) {
	e.inFlight++
	e.startTimes = append(e.startTimes, startedAt)
}

// removeInFlight ends the count of an attempt that started at an instant.
func (e *endpoint) removeInFlight(startedAt Micros) {
	e.inFlight--
	if i, ok := slices.BinarySearch(e.startTimes, startedAt); ok {
		e.startTimes = slices.Delete(e.startTimes, i, i+1)
	}
}

// countStartedBetween counts the attempts in flight that started at from or later, and before to.
func (e *endpoint) countStartedBetween(from, to Micros) int {
	first, _ := slices.BinarySearch(e.startTimes, from)
	end, _ := slices.BinarySearch(e.startTimes, to)
	return max(0, end-first)
}

// SetProcessCount sets how many processes divide this balancer's traffic, as two do during an upgrade.
func (b *Balancer) SetProcessCount(processes int) { b.processCount = processes }

// SetFleetSize sets how many balancers of the tier are alive, this one included, in place of
// Settings.Balancers.
func (b *Balancer) SetFleetSize(alive int) { b.settings.Balancers = max(1, alive) }
