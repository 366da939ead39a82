package balancer

import (
	"testing"
)

func TestNoEndpointMeansRejection(t *testing.T) {
	b, r := start(t, testSettings(), nil)
	b.RequestArrived(1000, requestOf(1, 4, 1000))
	b.RequestArrived(1000, Request{ID: 2, Deadline: 500})
	if len(r.rejected) != 2 || b.unansweredCount != 0 || len(b.requests) != 0 {
		t.Errorf("rejected %v and %d unanswered, want both requests rejected", r.rejected, b.unansweredCount)
	}
}

func TestUnansweredAttemptEndsAtDeadline(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.RequestArrived(1000, requestOf(1, 4, 1000))
	token := b.requests[1].timerToken
	b.TimerFired(1000+second, token)
	if len(r.failed) != 1 || len(r.cancels) != 1 {
		t.Fatalf("failed %v and cancelled %v at the deadline, want one of each", r.failed, r.cancels)
	}
	b.AttemptFinished(2*second, Outcome{ID: 1, Endpoint: 1, Status: OK, Latency: second, RequestDone: true})
	if b.endpoints[0].breaker.accepts != 1 || b.endpoints[0].inFlight != 0 || len(b.requests) != 0 {
		t.Error("the outcome after the deadline did not update the statistics or the request is still in the table")
	}
	b.RequestArrived(3*second, requestOf(2, 0, 3*second))
	b.TimerFired(3*second, token) // of the finished request, whose slot is used by another now
	if len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Error("the timer of a finished request ended another request")
	}
}

func TestStartedResponseIsNeitherAnsweredNorRetried(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	b.RequestArrived(1000, requestOf(1, 0, 1000))
	b.ResponseStarted(2000, 1, 0, 1000)
	b.TimerFired(2*second, b.requests[1].timerToken)
	if len(r.attempts) != 1 || len(r.rejected)+len(r.failed) != 0 {
		t.Error("the request was answered or retried after its response had begun")
	}
	b.AttemptFinished(3*second, Outcome{ID: 1, Endpoint: r.attempts[0].endpoint, Status: OK, Latency: 3 * second, RequestDone: true})
	if len(b.requests) != 0 {
		t.Error("the request is still in the table")
	}
}

// A hedged request would double the work of an endpoint that is slow because it is overloaded.
func TestRequestsAreNotHedged(t *testing.T) {
	b, r := start(t, testSettings(), ready(3))
	b.RequestArrived(1000, requestOf(1, 0, 1000))
	for i, token := range r.timers {
		b.TimerFired(1000+r.delays[i]-1, token)
	}
	b.TimerFired(900_000, r.timers[len(r.timers)-1])
	if len(r.attempts) != 1 {
		t.Errorf("%d attempts, want no second one while the first is outstanding", len(r.attempts))
	}
}

// Every request is accepted once and answered once, even if its fields are invalid or its ID is repeated.
func TestUnusualRequestsAreAnsweredOnce(t *testing.T) {
	for name, c := range map[string]struct {
		list  []Endpoint
		in    Request
		twice bool
	}{
		"class out of range":  {list: ready(2), in: Request{ID: 1, Class: 99, Deadline: second}},
		"tenant out of range": {list: ready(2), in: Request{ID: 1, Tenant: 999, Deadline: second}},
		"deadline past":       {list: ready(2), in: Request{ID: 1, Deadline: 10}},
		"empty list":          {in: Request{ID: 1, Deadline: second}},
		"all draining":        {list: []Endpoint{{ID: 1, State: Draining}}, in: Request{ID: 1, Deadline: second}},
		"repeated id":         {list: ready(2), in: Request{ID: 1, Deadline: second}, twice: true},
		"negative hint":       {list: ready(2), in: Request{ID: 1, Deadline: second, CostHint: -5, HasCostHint: true}},
	} {
		b, r := start(t, testSettings(), c.list)
		b.RequestArrived(1000, c.in)
		if c.twice {
			b.RequestArrived(1000, c.in)
		}
		for i, token := range r.timers {
			if token >= firstRequestTimer {
				b.TimerFired(max(1000+r.delays[i], c.in.Deadline), token)
			}
		}
		if n := len(r.rejected) + len(r.failed); n != 1 || len(r.attempts) > 1 {
			t.Errorf("%s: %d answers and %d attempts, want 1 and at most 1", name, n, len(r.attempts))
		}
	}
}

// A request whose body is still arriving is not in flight at any endpoint, and its time counts from the last
// byte of the body. Once part of the body is consumed, the request is not retried.
func TestUploadIsInFlightFromItsLastByte(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	in := requestOf(1, 0, 1000)
	in.IsUploading = true
	b.RequestArrived(1000, in)
	if len(r.attempts) != 1 {
		t.Fatalf("attempts %v, want one", r.attempts)
	}
	e := b.endpointsByID[r.attempts[0].endpoint]
	if e.inFlight != 0 {
		t.Errorf("%d in flight while the body arrives, want 0", e.inFlight)
	}
	for _, token := range r.timers {
		b.TimerFired(10*second, token)
	}
	if len(r.rejected)+len(r.failed) != 0 {
		t.Fatal("the request was ended while its body was arriving")
	}
	b.BodySent(10*second, 1, 11*second)
	if e.inFlight != 1 {
		t.Errorf("%d in flight after the last byte, want 1", e.inFlight)
	}
	b.TimerFired(11*second, b.requests[1].timerToken)
	if len(r.rejected) != 1 {
		t.Error("the request was not rejected at its deadline")
	}
	b.AttemptFinished(11*second, Outcome{ID: 1, Endpoint: e.ID, Status: Cancelled, RequestDone: true})
	if e.inFlight != 0 || len(e.startTimes) != 0 {
		t.Errorf("%d in flight after the end of the attempt, want 0", e.inFlight)
	}

	b, r = start(t, testSettings(), ready(3))
	in = requestOf(2, 0, 1000)
	in.IsUploading = true
	b.RequestArrived(1000, in)
	b.AttemptFinished(2000, Outcome{ID: 2, Status: ConnectFailed})
	if len(r.attempts) != 2 {
		t.Fatalf("attempts %v, want a retry with the full body", r.attempts)
	}
	b.AttemptFinished(3000, Outcome{ID: 2, Attempt: 1, Status: ConnectFailed, BodyConsumed: true})
	if len(r.attempts) != 2 || len(r.rejected) != 1 {
		t.Errorf("attempts %v, rejected %v; want no second retry and a rejection", r.attempts, r.rejected)
	}
	for id, e := range b.endpointsByID {
		if e.inFlight != 0 {
			t.Errorf("endpoint %d: %d in flight at the end, want 0", id, e.inFlight)
		}
	}
}
