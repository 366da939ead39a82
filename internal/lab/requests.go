package lab

import (
	"context"
	"sync"
	"time"
)

// Outcome is the result of one request, as its client saw it.
type Outcome string

// The outcomes of a request. Lost, Forged and Unfinished are breaches.
const (
	Served     Outcome = "served"
	Late       Outcome = "late"       // served, after its deadline and latenessTolerance
	Rejected   Outcome = "refused"    // 429 or 503
	Failed     Outcome = "failed"     // any other status
	Unreached  Outcome = "unreached"  // no connection to the sidecar could be opened
	Cut        Outcome = "cut"        // no complete response, since the sidecar was killed or paused
	Lost       Outcome = "lost"       // no complete response without such a fault
	Forged     Outcome = "forged"     // a 200 with a body that no server wrote for this request
	Unfinished Outcome = "unfinished" // no outcome when the run ended
	Excused    Outcome = "excused"    // late, or timed out at its client, because the lab itself ran late
)

// record is what the lab recorded about one request. Times are on the lab's clock.
type record struct {
	sidecar        int
	isOrder        bool // of the class that must never run twice
	sent           time.Duration
	duration       time.Duration
	outcome        Outcome
	clientTimedOut bool      // the client's own timeout expired
	ranAt          []string  // names of the servers that ran it, one for each time
	arrivals       []arrival // at servers, only in runs with operators
}

// arrival is the time of a request's last byte at a server.
type arrival struct {
	id, server string
	at         time.Duration
}

// drainBreach is a request that reached a server longer than removalGrace after its drain began.
type drainBreach struct {
	serverAndID string // server:id
	sidecar     int
	drained, at time.Duration
}

// RequestTable tracks every request by id: what its client saw and which servers
// ran it. It also holds the lab's clock. It is safe for concurrent use.
type RequestTable struct {
	mu              sync.Mutex
	start           time.Time          // the zero of the lab's clock
	records         map[string]*record // by request id
	unknownIDs      []string           // ids that servers received and no client sent, as server:id
	afterDrain      []drainBreach
	recordsArrivals bool                    // whether RecordArrival records anything
	unsent          map[int][]time.Duration // by sidecar, the times at which a request was not sent because the sidecar was down
}

// recordUnsent records that a request was not sent now because its sidecar was down.
func (t *RequestTable) recordUnsent(sidecar int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsent[sidecar] = append(t.unsent[sidecar], t.Elapsed())
}

// NewRequestTable returns an empty table and starts the lab's clock.
func NewRequestTable() *RequestTable {
	return &RequestTable{start: time.Now(), records: map[string]*record{}, unsent: map[int][]time.Duration{}}
}

// Elapsed returns the time on the lab's clock.
func (t *RequestTable) Elapsed() time.Duration { return time.Since(t.start) }

// waitUntil waits until a time on the lab's clock, and reports whether it was reached before ctx ended.
func (t *RequestTable) waitUntil(ctx context.Context, at time.Duration) bool {
	wait := at - t.Elapsed()
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

// nowMicros returns the time on the lab's clock in microseconds.
func (t *RequestTable) nowMicros() int64 { return t.Elapsed().Microseconds() }

// recordSent records a request as sent now, and returns the time.
func (t *RequestTable) recordSent(id string, sidecar int, order bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := t.Elapsed()
	t.records[id] = &record{sidecar: sidecar, isOrder: order, sent: sent, outcome: Unfinished}
	return sent
}

// recordOutcome records the outcome of a request that ends now.
func (t *RequestTable) recordOutcome(id string, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	r.outcome, r.duration = outcome, t.Elapsed()-r.sent
}

// recordClientTimeout records that the client's own timeout of a request expired.
func (t *RequestTable) recordClientTimeout(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records[id].clientTimedOut = true
}

// IsKnown reports whether a client sent this id.
func (t *RequestTable) IsKnown(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[id] != nil
}

// RecordRun records that a server began to run a request.
func (t *RequestTable) RecordRun(id, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[id]; r != nil {
		r.ranAt = append(r.ranAt, server)
	}
}

// RecordUnknownID records that a server received an id that no client sent.
func (t *RequestTable) RecordUnknownID(server, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unknownIDs = append(t.unknownIDs, server+":"+id)
}

// RecordAfterDrain records a request that reached a server longer than removalGrace after its drain began.
func (t *RequestTable) RecordAfterDrain(server, id string, drained, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[id]; r != nil {
		t.afterDrain = append(t.afterDrain, drainBreach{server + ":" + id, r.sidecar, drained.Sub(t.start), at.Sub(t.start)})
	}
}

// RecordArrival records when a request reached a server, if the table records arrivals.
func (t *RequestTable) RecordArrival(server, id string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[id]; r != nil && t.recordsArrivals {
		r.arrivals = append(r.arrivals, arrival{server: server, at: at.Sub(t.start)})
	}
}
