package soak

import (
	"sync"
	"time"
)

// Outcome is what a client saw of a request that it sent in full.
type Outcome string

// The outcomes.
const (
	Served     Outcome = "served"      // a whole response of an endpoint, in time
	Rejected   Outcome = "rejected"    // 429 or 503, in time
	Failed     Outcome = "failed"      // any other status, in time
	Late       Outcome = "late"        // a whole response, after its time and latenessAllowed
	Forged     Outcome = "forged"      // 200 with a body that no endpoint wrote for it
	BrokenOff  Outcome = "broken off"  // a part of a response
	Ended      Outcome = "ended"       // the connection's end in place of a response
	Silent     Outcome = "silent"      // no response in time, on an open connection
	Left       Outcome = "left"        // the client left first
	Unsent     Outcome = "unsent"      // the connection ended before the last byte was written
	unfinished Outcome = "outstanding" // the client waits for the response
)

// request is one request as its client saw it.
type request struct {
	id        string
	kind      requestKind
	isUnsafe  bool      // may not run twice
	isFresh   bool      // the first one on its connection
	startedAt time.Time // before the first byte was written
	sentAt    time.Time // after the last byte was written
	endedAt   time.Time // with the outcome
	outcome   Outcome
}

// arrival is a request at an endpoint.
type arrival struct {
	endpoint  string
	startedAt time.Time // with the end of its head
	isWhole   bool      // its last byte came
}

// ledger keeps the requests of a run and what became of them. It is safe for concurrent use.
type ledger struct {
	mu        sync.Mutex
	requests  map[string]*request
	arrivals  map[string][]*arrival
	brokenOff map[string]bool // by an endpoint, after the response's begin
	unknown   []string        // ids that no client has sent
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*request{}, arrivals: map[string][]*arrival{}, brokenOff: map[string]bool{}}
}

// begin enters a request whose first byte is about to be written.
func (l *ledger) begin(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.startedAt, r.outcome = time.Now(), Unsent
	l.requests[r.id] = r
}

// sent notes that a request's last byte was written.
func (l *ledger) sent(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.sentAt, r.outcome = time.Now(), unfinished
}

// end enters the outcome of a request.
func (l *ledger) end(r *request, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.outcome, r.endedAt = outcome, time.Now()
}

// arrive enters a request at an endpoint, and reports whether a client has sent its id.
func (l *ledger) arrive(id, endpoint string) (a *arrival, isKnown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requests[id] == nil {
		l.unknown = append(l.unknown, endpoint+":"+id)
		return nil, false
	}
	a = &arrival{endpoint: endpoint, startedAt: time.Now()}
	l.arrivals[id] = append(l.arrivals[id], a)
	return a, true
}

// arriveWhole notes that a request's last byte came to an endpoint.
func (l *ledger) arriveWhole(a *arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.isWhole = true
}

// breakOff notes that an endpoint breaks off a response that it has begun.
func (l *ledger) breakOff(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brokenOff[id] = true
}
