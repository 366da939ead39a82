package balancer

// What discovery could have told counts as told 6 s after it could be reached again, and 2 s after the end
// of a wait for news. The host gives a silent call up after 4 s, or 1 s past its wait: no pause after it may
// take as long as what is left, whatever the settings name.
const (
	maxFirstPollDelay = second         // at most, of the first calls after all have started at once
	minPollBackoff    = second / 3     // a pause is half to one and a half of this after a call that took long,
	maxPollBackoff    = 5 * second / 2 // and of this at most, from its beginning, after one that failed at once
	pollTimeout       = 5 * second     // a call still out is not given up for another before
)

func (b *Balancer) schedulePoll(now, delay Micros) {
	b.nextPollAt = now + delay
	b.actions.SetTimer(delay, timerDiscoveryPoll)
}

func (b *Balancer) poll(now Micros) {
	if b.settings.MustSubscribe && !b.subscribed && now >= b.nextPollAt {
		b.actions.WatchEndpoints(true)
		b.lastPollAt = now
		// The answer may be lost, and without one we would never hear again.
		b.schedulePoll(now, 1+pollTimeout+b.random.below(pollTimeout/2))
	}
}

// backOffPoll asks discovery again, later each time and never in step with others.
func (b *Balancer) backOffPoll(now Micros) {
	if b.settings.MustSubscribe {
		b.pollBackoff = max(minPollBackoff, min(2*b.pollBackoff, b.settings.Rules.MaxPollInterval/4,
			maxPollBackoff))
		next := b.lastPollAt + b.pollBackoff/2 + b.random.below(b.pollBackoff)
		b.schedulePoll(now, 1+max(next-now, minPollBackoff/2+b.random.below(minPollBackoff)))
	}
}
