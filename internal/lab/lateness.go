package lab

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	tickInterval   = 5 * time.Millisecond  // interval of the timer that is measured
	stallThreshold = 30 * time.Millisecond // lateness of a timer or send from which on the lab counts as stalled
	maxTimerP99    = 20 * time.Millisecond // if the timers' p99 is higher, the whole run is marked as late
)

// lateness measures the delays of the lab's own timers and sends. Responses
// that are late because of a stall of the lab do not count against a sidecar.
type lateness struct {
	requests *RequestTable

	mu       sync.Mutex              // guards the fields below
	timers   *hdrhistogram.Histogram // delays of a periodic timer, in µs
	arrivals *hdrhistogram.Histogram // delays of sends, in µs
	stalls   []window                // on the lab's clock
}

func newLateness(requests *RequestTable) *lateness {
	return &lateness{requests: requests, timers: newHistogram(), arrivals: newHistogram()}
}

// watch measures the delays of a periodic timer until ctx ends.
func (l *lateness) watch(ctx context.Context) {
	for ctx.Err() == nil {
		due := l.requests.Elapsed() + tickInterval
		time.Sleep(tickInterval)
		l.record(l.timers, due)
	}
}

// record records the delay of an event that was scheduled for due and happens now.
func (l *lateness) record(h *hdrhistogram.Histogram, due time.Duration) {
	now := l.requests.Elapsed()
	l.mu.Lock()
	defer l.mu.Unlock()
	h.RecordValue(max(0, now-due).Microseconds())
	if now-due >= stallThreshold {
		l.stalls = append(l.stalls, window{due, now})
	}
}

// stalledWithin returns for how long within [from, to] the lab was stalled.
func (l *lateness) stalledWithin(from, to time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum time.Duration
	for _, w := range l.stalls {
		sum += max(0, min(w.to, to)-max(w.from, from))
	}
	return sum
}

// Lateness summarizes the delays of the lab's own timers and sends, in
// milliseconds. StalledMs is the total duration of its stalls, which are the
// delays of 30 ms and more.
type Lateness struct {
	Timers    Percentiles `json:"timers_ms"`
	Arrivals  Percentiles `json:"arrivals_ms"`
	StalledMs float64     `json:"stalled_ms"`
	Late      bool        `json:"late"` // the timers' p99 is over 20 ms: the times in this result are not reliable
}

// report returns the summary. It merges overlapping stalls, so that no time counts twice.
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
