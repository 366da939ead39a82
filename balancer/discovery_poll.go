package balancer

// An endpoint update has to take effect within 6 s after discovery becomes reachable again, and within 2 s
// after the end of a call that waited for changes and got no answer. The host abandons a call without an
// answer after 4 s, or 1 s after the end of its wait. Each pause between polls is shorter than the time that
// this leaves.
const (
	maxFirstPollDelay     = second // spreads the first polls of balancers that start together
	firstPollDelayDivisor = 10     // of Rules.MaxPollInterval
	minPollBackoff        = second / 3
	maxPollBackoff        = 5 * second / 2
	maxBackoffDivisor     = 4          // of Rules.MaxPollInterval
	pollTimeout           = 5 * second // time after which an unanswered poll counts as lost
)

// discoveryPoll is the state of polling a discovery service that sends updates only to subscribers.
type discoveryPoll struct {
	subscribed bool
	nextAt     Micros // time of the next poll, which is skipped if subscribed by then
	startedAt  Micros // start of the latest poll
	backoff    Micros // 0 after a success
}

// scheduleFirstPoll arms the first poll.
func (b *Balancer) scheduleFirstPoll(now Micros) {
	delay := min(b.settings.Rules.MaxPollInterval/firstPollDelayDivisor, maxFirstPollDelay)
	b.schedulePoll(now, 1+b.random.below(delay))
}

// schedulePoll arms the next poll after a delay.
func (b *Balancer) schedulePoll(now, delay Micros) {
	b.poll.nextAt = now + delay
	b.actions.SetTimer(delay, timerDiscoveryPoll)
}

// pollDiscovery subscribes if a poll is due. It arms another poll, since the answer may be lost.
func (b *Balancer) pollDiscovery(now Micros) {
	if !b.settings.MustSubscribe || b.poll.subscribed || now < b.poll.nextAt {
		return
	}
	b.actions.WatchEndpoints(true)
	b.poll.startedAt = now
	b.schedulePoll(now, 1+pollTimeout+b.random.below(pollTimeout/2))
}

// backOffPoll schedules the next poll after a failed one. The exponential backoff counts from the start of
// the failed poll, and jitter keeps balancers from polling at the same time.
func (b *Balancer) backOffPoll(now Micros) {
	if !b.settings.MustSubscribe {
		return
	}
	longest := min(b.settings.Rules.MaxPollInterval/maxBackoffDivisor, maxPollBackoff)
	b.poll.backoff = max(minPollBackoff, min(2*b.poll.backoff, longest))
	next := b.poll.startedAt + b.poll.backoff/2 + b.random.below(b.poll.backoff)
	b.schedulePoll(now, 1+max(next-now, minPollBackoff/2+b.random.below(minPollBackoff)))
}
