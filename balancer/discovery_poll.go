package balancer

// What discovery knows has to be in force 6 s after discovery can be reached again, and 2 s after the end of
// a call that waited for changes and was not answered. The host gives up a silent call after 4 s, or 1 s
// after its wait: no pause may take as long as what is left.
const (
	maxFirstPollDelay     = second // spreads the first polls of balancers that start together
	firstPollDelayDivisor = 10     // of Rules.MaxPollInterval
	minPollBackoff        = second / 3
	maxPollBackoff        = 5 * second / 2
	maxBackoffDivisor     = 4          // of Rules.MaxPollInterval
	pollTimeout           = 5 * second // after which a poll counts as lost
)

// discoveryPoll is the state of the calls to a discovery that answers only when asked.
type discoveryPoll struct {
	subscribed bool
	nextAt     Micros // of the next poll, unless subscribed by then
	startedAt  Micros // of the latest poll
	backoff    Micros
}

// scheduleFirstPoll arms the first poll.
func (b *Balancer) scheduleFirstPoll(now Micros) {
	delay := min(b.settings.Rules.MaxPollInterval/firstPollDelayDivisor, maxFirstPollDelay)
	b.schedulePoll(now, 1+b.random.below(delay))
}

// schedulePoll arms the next poll.
func (b *Balancer) schedulePoll(now, delay Micros) {
	b.poll.nextAt = now + delay
	b.actions.SetTimer(delay, timerDiscoveryPoll)
}

// pollDiscovery subscribes if that is due. It arms another poll, since the answer may be lost.
func (b *Balancer) pollDiscovery(now Micros) {
	if !b.settings.MustSubscribe || b.poll.subscribed || now < b.poll.nextAt {
		return
	}
	b.actions.WatchEndpoints(true)
	b.poll.startedAt = now
	b.schedulePoll(now, 1+pollTimeout+b.random.below(pollTimeout/2))
}

// backOffPoll schedules a poll after one that failed, with exponential backoff from the start of that
// one, and jitter, so that balancers do not poll in step.
func (b *Balancer) backOffPoll(now Micros) {
	if !b.settings.MustSubscribe {
		return
	}
	longest := min(b.settings.Rules.MaxPollInterval/maxBackoffDivisor, maxPollBackoff)
	b.poll.backoff = max(minPollBackoff, min(2*b.poll.backoff, longest))
	next := b.poll.startedAt + b.poll.backoff/2 + b.random.below(b.poll.backoff)
	b.schedulePoll(now, 1+max(next-now, minPollBackoff/2+b.random.below(minPollBackoff)))
}
