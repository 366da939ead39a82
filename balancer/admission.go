package balancer

import "math"

const (
	minForcedAdmissionInterval = 10  // requests that seem too late: one of so many is sent all the same,
	maxForcedAdmissionInterval = 640 // and one of so many after passes that earned nothing
	// of what the aim leaves may be waited by the class of most value: latencies vary
	maxWaitFraction = 0.6
	minWaitFraction = 0.2 // and by any
	// worth counts more in the worst windows, and those are when requests are refused
	worstWindowGain = 4.0
)

// classStats is what a balancer knows of a class.
type classStats struct {
	meanWork        ewma      // mean work of a request
	arrivals        rateMeter // requests taken
	inTimeFraction  ewma      // share answered in time
	forcedAt        Micros    // last request sent although it seemed too late
	lateSinceForced int       // requests that seemed too late since then
}

// latencyBudget is the longest predicted latency at which r is still sent to e: its time there without
// a queue, and
// a part of what the aim leaves for waiting. Classes of little value for their work give way first.
func (b *Balancer) latencyBudget(now Micros, r *request, e *endpoint) float64 {
	alone := b.zones[e.Zone].roundTrip.value + r.work*b.slowdown(now, e)*e.expectedServiceTime(now, b)
	share := max(minWaitFraction, maxWaitFraction*r.priority)
	if b.reportsAreLate || !b.mayReject(r) {
		// The least loaded endpoint is not known, and averages must not refuse what it would serve; or nobody
		// may be told to come back, and what is not sent again is lost.
		share = 1
	}
	spare := float64(b.classOf(r).LatencyObjective) - float64(now-r.arrivedAt) - alone
	return min(alone+share*spare, float64(r.Deadline-now))
}

// classPriority ranks r's class, 0 to 1, by the goal's gain from a unit of its work: worth, and more if
// served worst.
func (b *Balancer) classPriority(now Micros, r *request) float64 {
	var work, worth float64
	worst := 1.0
	for i := range b.classes {
		c := &b.classes[i]
		rate := c.arrivals.rate(now)
		work += rate * c.meanWork.value
		worth += rate * b.priorityWeight(i)
		worst = min(worst, c.inTimeFraction.valueOr(1))
	}
	var top, own float64
	for i := range b.classes {
		c := &b.classes[i]
		part := c.arrivals.rate(now) * c.meanWork.value / work
		v := (b.settings.Objective.Overall + worstWindowGain*b.settings.Objective.WorstWindow) *
			b.priorityWeight(i) / c.meanWork.value * work / worth
		v += b.settings.Objective.WorstClass / max(0.05, part) * math.Exp((worst-c.inTimeFraction.valueOr(1))/0.1)
		top = max(top, v)
		own += v * indicator(i == int(r.Class))
	}
	if !(top > 0) {
		return 1 // no worth was set
	}
	return own / top * b.quotaWeight(now, r)
}

func (b *Balancer) priorityWeight(class int) float64 {
	return b.settings.Classes[class].PriorityWeight * (1 +
		(b.classes[class].meanWork.value-1)*indicator(b.settings.PriorityPerWork))
}

// recordTimeliness learns whether a request's answer came while it was wanted.
func (b *Balancer) recordTimeliness(now Micros, r *request, answered bool) {
	if answered && now-r.arrivedAt <= b.classOf(r).LatencyObjective {
		r.inTime = 1
		b.forcedAdmissionInterval = minForcedAdmissionInterval
		if r.forced { // a jam may be over: to tell so by one pass a second would take many seconds more
			b.classes[r.Class].forcedAt = 0
		}
	} else if r.forced {
		// a jam needs rest: what is passed into it only keeps it
		b.forcedAdmissionInterval = min(2*b.forcedAdmissionInterval, maxForcedAdmissionInterval)
	}
}
