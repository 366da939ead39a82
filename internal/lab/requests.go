package lab

import (
	"context"
	"sync"
	"time"
)

// Outcome is what became of one request, as the client beside its sidecar saw it.
type Outcome string

// The outcomes of a request. Lost and Forged break the rules; Cut is a
// request in the hands of a sidecar that was killed or paused meanwhile.
const (
	Served     Outcome = "served"
	Late       Outcome = "late"    // served, after its time and 50 ms
	Refused    Outcome = "refused" // 429 or 503
	Failed     Outcome = "failed"  // any other status
	Unreached  Outcome = "unreached"
	Cut        Outcome = "cut"
	Lost       Outcome = "lost"
	Forged     Outcome = "forged" // a 200 whose body no server made for this request
	Unfinished Outcome = "unfinished"
	Excused    Outcome = "excused" // late, or given up by its client, as the lab itself ran late
)

type record struct {
	sidecar int
	order   bool // of the class that must never run twice
	sent    time.Duration
	took    time.Duration
	outcome Outcome
	waited  bool      // its client gave up waiting
	ranAt   []string  // servers that ran it
	came    []arrival // at servers, where the run has operators
}

// arrival is a request's last byte at a server.
type arrival struct {
	id, server string
	at         time.Duration
}

// drainBreach is a request that came to a server over 1.5 s into its drain.
type drainBreach struct {
	text        string // server:id
	sidecar     int
	drained, at time.Duration
}

// Ledger tracks every request by id: what the client saw and which servers
// ran it. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	start      time.Time
	records    map[string]*record
	strange    []string // ids that no client sent, as server:id
	afterDrain []drainBreach
	arrivals   bool                    // record them
	missed     map[int][]time.Duration // by sidecar, when a request was not sent as it was not up
}

// miss records a request that was not sent now, as the sidecar was not up.
func (l *Ledger) miss(sidecar int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missed[sidecar] = append(l.missed[sidecar], l.Since())
}

// NewLedger starts the lab's clock.
func NewLedger() *Ledger {
	return &Ledger{start: time.Now(), records: map[string]*record{}, missed: map[int][]time.Duration{}}
}

// Since is the lab's clock: the time since the ledger began.
func (l *Ledger) Since() time.Duration { return time.Since(l.start) }

// until waits for a time of the lab's clock, and tells whether it came before ctx ended.
func (l *Ledger) until(ctx context.Context, at time.Duration) bool {
	wait := at - l.Since()
	if wait <= 0 {
		return true
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// micros is the lab's clock in microseconds.
func (l *Ledger) micros() int64 { return l.Since().Microseconds() }

// open records a request as sent now, and gives the time.
func (l *Ledger) open(id string, sidecar int, order bool) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := l.Since()
	l.records[id] = &record{sidecar: sidecar, order: order, sent: sent, outcome: Unfinished}
	return sent
}

func (l *Ledger) close(id string, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[id]
	r.outcome, r.took = outcome, l.Since()-r.sent
}

// gaveUp records that a client's own time ran out.
func (l *Ledger) gaveUp(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[id].waited = true
}

// Known tells whether a client sent this id.
func (l *Ledger) Known(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[id] != nil
}

// Ran records that a server began to run a request.
func (l *Ledger) Ran(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[id]; r != nil {
		r.ranAt = append(r.ranAt, server)
	}
}

// Strange records an id that no client sent.
func (l *Ledger) Strange(server, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.strange = append(l.strange, server+":"+id)
}

// AfterDrain records a request that came to a server over 1.5 s into its drain.
func (l *Ledger) AfterDrain(server, id string, drained, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[id]; r != nil {
		l.afterDrain = append(l.afterDrain, drainBreach{server + ":" + id, r.sidecar, drained.Sub(l.start), at.Sub(l.start)})
	}
}

// Came records when a request came to a server.
func (l *Ledger) Came(server, id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[id]; r != nil && l.arrivals {
		r.came = append(r.came, arrival{server: server, at: at.Sub(l.start)})
	}
}
