package lab

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	tickInterval   = 5 * time.Millisecond
	stallThreshold = 30 * time.Millisecond // a timer this late marks a stall of the lab
	maxTimerP99    = 20 * time.Millisecond // with a higher p99 of the timers the whole run is late
)

// lateness measures the delays of the lab's own timers and sends. Late
// responses during its stalls do not count as a sidecar's.
type lateness struct {
	requests *RequestTable

	mu       sync.Mutex
	timers   *hdrhistogram.Histogram // µs
	arrivals *hdrhistogram.Histogram // µs
	stalls   []window                // on the lab's clock, by their ends
}

func newLateness(ledger *RequestTable) *lateness {
	return &lateness{requests: ledger, timers: newHistogram(), arrivals: newHistogram()}
}

// watch measures a periodic timer until ctx ends.
func (l *lateness) watch(ctx context.Context) {
	for ctx.Err() == nil {
		due := l.requests.Elapsed() + tickInterval
		time.Sleep(tickInterval)
		l.record(l.timers, due)
	}
}

// record records an event that was scheduled for due and happens now.
func (l *lateness) record(h *hdrhistogram.Histogram, due time.Duration) {
	now := l.requests.Elapsed()
	l.mu.Lock()
	defer l.mu.Unlock()
	h.RecordValue(max(0, now-due).Microseconds())
	if now-due >= stallThreshold {
		l.stalls = append(l.stalls, window{due, now})
	}
}

// stalledWithin is how much of [from, to] the lab was stalled.
func (l *lateness) stalledWithin(from, to time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum time.Duration
	for _, w := range l.stalls {
		sum += max(0, min(w.to, to)-max(w.from, from))
	}
	return sum
}

// Lateness is the delay of the lab's own timers and sends, in milliseconds.
// StalledMs is the sum of its stalls, which are of 30 ms and more.
type Lateness struct {
	Timers    Percentiles `json:"timers_ms"`
	Arrivals  Percentiles `json:"arrivals_ms"`
	StalledMs float64     `json:"stalled_ms"`
	Late      bool        `json:"late"` // timers' p99 over 20 ms: the times in this result are not reliable
}

// report merges overlapping stalls, so that each counts once, and returns the summary.
func (l *lateness) report() Lateness {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(l.stalls, func(a, b window) int { return int(a.from - b.from) })
	var merged []window
	for _, w := range l.stalls {
		if n := len(merged); n > 0 && w.from <= merged[n-1].to {
			merged[n-1].to = max(merged[n-1].to, w.to)
		} else {
			merged = append(merged, w)
		}
	}
	l.stalls = merged
	r := Lateness{Timers: percentiles(l.timers), Arrivals: percentiles(l.arrivals)}
	for _, w := range merged {
		r.StalledMs += ms(w.to - w.from)
	}
	r.Late = r.Timers.P99 > ms(maxTimerP99)
	return r
}
