package soak

import (
	"sync"
	"time"
)

// Outcome is how a request ended, as its client saw it.
type Outcome string

// The outcomes. In time means within the deadline and latenessAllowed.
const (
	Served       Outcome = "served"      // a complete response of an endpoint, in time
	Rejected     Outcome = "rejected"    // status 429 or 503, in time
	Failed       Outcome = "failed"      // any other status, in time
	Late         Outcome = "late"        // a complete response, but not in time
	Forged       Outcome = "forged"      // status 200 with a body that no endpoint wrote for the request
	BrokenOff    Outcome = "broken off"  // the response ended before it was complete
	Ended        Outcome = "ended"       // the connection ended without a response
	Silent       Outcome = "silent"      // the connection stayed open, with no response in time
	Disconnected Outcome = "left"        // the client disconnected before the response
	Unsent       Outcome = "unsent"      // the connection ended before the whole request was written
	unfinished   Outcome = "outstanding" // the client still waits for the response
)

// request is one request as its client saw it.
type request struct {
	id        string
	kind      requestKind
	isUnsafe  bool      // must not run twice
	isFresh   bool      // the first request on its connection
	startedAt time.Time // before the first byte was written
	sentAt    time.Time // after the last byte was written
	endedAt   time.Time // when the outcome was recorded
	outcome   Outcome
}

// arrival is a request that reached an endpoint.
type arrival struct {
	endpoint   string
	startedAt  time.Time // when its header was complete
	isComplete bool      // its whole body was received
}

// recorder records the requests of a run, their outcomes and their arrivals at endpoints. It is safe for concurrent use.
type recorder struct {
	mu        sync.Mutex
	requests  map[string]*request
	arrivals  map[string][]*arrival
	brokenOff map[string]bool // by request id: an endpoint broke the response off after its begin
	unknown   []string        // endpoint and id of requests that no client has sent
}

func newRecorder() *recorder {
	return &recorder{requests: map[string]*request{}, arrivals: map[string][]*arrival{}, brokenOff: map[string]bool{}}
}

// recordStart adds a request whose first byte is about to be written.
func (rec *recorder) recordStart(r *request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.startedAt, r.outcome = time.Now(), Unsent
	rec.requests[r.id] = r
}

// recordSent records that a request was written in full.
func (rec *recorder) recordSent(r *request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.sentAt, r.outcome = time.Now(), unfinished
}

// recordOutcome records the outcome of a request.
func (rec *recorder) recordOutcome(r *request, outcome Outcome) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.outcome, r.endedAt = outcome, time.Now()
}

// recordArrival records that a request has reached an endpoint, and reports whether a client has sent its id.
func (rec *recorder) recordArrival(id, endpoint string) (a *arrival, isKnown bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.requests[id] == nil {
		rec.unknown = append(rec.unknown, endpoint+":"+id)
		return nil, false
	}
	a = &arrival{endpoint: endpoint, startedAt: time.Now()}
	rec.arrivals[id] = append(rec.arrivals[id], a)
	return a, true
}

// recordComplete records that an endpoint has received the whole request.
func (rec *recorder) recordComplete(a *arrival) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	a.isComplete = true
}

// recordBreakOff records that an endpoint breaks off a response that it has begun.
func (rec *recorder) recordBreakOff(id string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.brokenOff[id] = true
}
