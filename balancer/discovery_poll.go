package balancer

// What discovery could have told counts as told 6 s after it could be reached again, and 2 s after the end
// of a wait for news. The host gives a silent call up after 4 s, or 1 s past its wait: no pause after it may
// take as long as what is left, whatever the settings name.
const (
	askSpread = second         // at most, of the first calls after all have started at once
	askLeast  = second / 3     // a pause is half to one and a half of this after a call that took long,
	askMost   = 5 * second / 2 // and of this at most, from its beginning, after one that failed at once
	askLasts  = 5 * second     // a call still out is not given up for another before
)

func (b *Balancer) askIn(now, delay Micros) {
	b.askAt = now + delay
	b.out.SetTimer(delay, tokenDiscovery)
}

func (b *Balancer) ask(now Micros) {
	if b.s.MustSubscribe && !b.subscribed && now >= b.askAt {
		b.out.WatchEndpoints(true)
		b.askedAt = now
		// The answer may be lost, and without one we would never hear again.
		b.askIn(now, 1+askLasts+b.rng.below(askLasts/2))
	}
}

// retryAsk asks discovery again, later each time and never in step with others.
func (b *Balancer) retryAsk(now Micros) {
	if b.s.MustSubscribe {
		b.askWait = max(askLeast, min(2*b.askWait, b.s.Rules.MaxPollInterval/4, askMost))
		next := b.askedAt + b.askWait/2 + b.rng.below(b.askWait)
		b.askIn(now, 1+max(next-now, askLeast/2+b.rng.below(askLeast)))
	}
}
