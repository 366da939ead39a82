package balancer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// safetyChecker is the host of a balancer and checks the safety rules on every action.
type safetyChecker struct {
	settings  Settings
	now       Micros
	endpoints map[uint32]Endpoint // as of the latest update
	banned    map[uint32]bool
	requests  map[uint64]*checkedRequest // all so far, finished ones included
	faults    []string
	timers    []pendingTimer
	probes    []uint32
}

type checkedRequest struct {
	request        Request
	answered       int  // number of answers
	clientInformed bool // the client has a response or has left
	attempts       []checkedAttempt
}

type checkedAttempt struct {
	endpoint    Endpoint // as it was when the attempt started
	startedAt   Micros
	sentAt      Micros
	outstanding bool
	mayHaveRun  bool
}

type pendingTimer struct {
	at    Micros
	token uint32
}

func (c *safetyChecker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("at %d: ", c.now)+fmt.Sprintf(format, args...))
}

// isOver reports whether the client has an answer or a response or has left.
func (r *checkedRequest) isOver() bool { return r.answered > 0 || r.clientInformed }

// firstThatMayHaveRun returns the first attempt that may have run, or nil.
func (r *checkedRequest) firstThatMayHaveRun() *checkedAttempt {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return &r.attempts[i]
		}
	}
	return nil
}

func (c *safetyChecker) StartAttempt(id uint64, endpoint uint32, _, sendBefore Micros) {
	r := c.requests[id]
	if r == nil {
		c.fault("attempt for unknown request %d", id)
		return
	}
	e, known := c.endpoints[endpoint]
	class := c.settings.Classes[r.request.Class]
	if r.isOver() {
		c.fault("attempt after the answer to request %d", id)
	}
	if c.banned[endpoint] {
		c.fault("attempt at endpoint %d, which is banned", endpoint)
	}
	if !known || e.State != Ready {
		c.fault("attempt at endpoint %d in state %d", endpoint, e.State)
	}
	if len(r.attempts) >= c.settings.Limits.MaxAttempts {
		c.fault("attempt %d of request %d is over the limit", len(r.attempts), id)
	}
	for _, a := range r.attempts {
		if a.outstanding && !c.settings.Limits.AllowHedging {
			c.fault("hedged request %d", id)
		}
	}
	if first := r.firstThatMayHaveRun(); first != nil && class.RetrySafety != Idempotent {
		isInScope := class.DedupScope == DedupScopeFleet ||
			class.DedupScope == DedupScopeZone && first.endpoint.Zone == e.Zone ||
			class.DedupScope == DedupScopePod && first.endpoint.Pod == e.Pod
		windowEnd := first.sentAt + class.DedupWindow
		if class.RetrySafety == NonIdempotent || !isInScope || c.now > windowEnd || sendBefore == 0 || sendBefore > windowEnd {
			c.fault("retry of request %d (%s) may have a second effect", id, class.Name)
		}
	}
	r.attempts = append(r.attempts, checkedAttempt{endpoint: e, startedAt: c.now, sentAt: c.now, outstanding: true, mayHaveRun: true})
}

// answer counts an answer to a request. It returns nil if the request may not be answered.
func (c *safetyChecker) answer(id uint64) *checkedRequest {
	r := c.requests[id]
	if r == nil || r.isOver() {
		c.fault("answer to request %d, which is unknown or already over", id)
		return nil
	}
	r.answered++
	return r
}

func (c *safetyChecker) Reject(id uint64, _ Micros, _ RejectReason) {
	if r := c.answer(id); r != nil && r.firstThatMayHaveRun() != nil {
		class := c.settings.Classes[r.request.Class]
		if class.RetrySafety == NonIdempotent || class.RetrySafety == IdempotentWithKey && class.DedupScope != DedupScopeFleet {
			c.fault("rejection of request %d (%s), which may have run", id, class.Name)
		}
	}
}

func (c *safetyChecker) Fail(id uint64) { c.answer(id) }

func (c *safetyChecker) CancelAttempt(id uint64, attempt int) {
	if r := c.requests[id]; r == nil || attempt >= len(r.attempts) {
		c.fault("cancellation of attempt %d of request %d, which was never started", attempt, id)
	}
}

func (c *safetyChecker) SetTimer(delay Micros, token uint32) {
	if delay <= 0 {
		c.fault("timer with a delay of %d, which is not positive", delay)
	}
	c.timers = append(c.timers, pendingTimer{c.now + delay, token})
}

func (c *safetyChecker) SendLoadProbe(e uint32) {
	if _, known := c.endpoints[e]; !known {
		c.fault("probe of unknown endpoint %d", e)
	}
	c.probes = append(c.probes, e)
}

func (c *safetyChecker) SendGossip(data []byte) {
	if len(data) == 0 || len(data) > 256 {
		c.fault("gossip message of %d bytes, want 1 to 256", len(data))
	}
}

func (c *safetyChecker) WatchEndpoints(bool) {
	if !c.settings.MustSubscribe {
		c.fault("subscription although updates come without one")
	}
}

func (c *safetyChecker) Log(string, ...LogField) {}

// randomEvents runs valid random events against a balancer whose actions are checked.
type randomEvents struct {
	*safetyChecker
	balancer   *Balancer
	random     *rand.Rand
	list       []Endpoint // all endpoints, as known to discovery
	restarts   int        // remaining restarts of all endpoints at once
	requestIDs []uint64
	maxWaiting int // largest number of requests waiting for load probes
}

// runRandomEvents runs valid random events from a seed and returns the faults that the checker found.
func runRandomEvents(t *testing.T, s Settings, seed int64) []string {
	t.Helper()
	e := &randomEvents{
		safetyChecker: &safetyChecker{settings: s, now: 1_000_000, endpoints: map[uint32]Endpoint{},
			banned: map[uint32]bool{}, requests: map[uint64]*checkedRequest{}},
		random: rand.New(rand.NewSource(seed)),
	}
	var err error
	if e.balancer, err = New(s, uint64(seed), e.safetyChecker); err != nil {
		t.Fatal(err)
	}
	e.balancer.Start(e.now)
	maxPause := 20_000 // between events, in microseconds
	e.list = ready(1 + e.random.Intn(6))
	if s.Balancers > 2 { // one balancer of a large fleet
		maxPause, e.list = 400_000, ready(20+e.random.Intn(60))
	}
	e.restarts = e.random.Intn(3)
	e.update(UpdateCached, slices.Clone(e.list))
	for range 3000 {
		e.now += Micros(e.random.Intn(maxPause))
		e.maxWaiting = max(e.maxWaiting, len(e.balancer.probeWaiters))
		e.fireTimers(0)
		e.step()
	}
	// All unanswered requests must be answered by their deadline.
	for range 400 {
		e.now += 5000
		e.fireTimers(firstRequestTimer)
	}
	for id, r := range e.requests {
		if !r.isOver() {
			e.fault("request %d was never answered", id)
		}
	}
	waits := s.Balancers > 2 && s.Limits.AllowLoadProbes && s.Costs.LoadProbe < onDemandProbeCostLimit
	if waits && e.maxWaiting == 0 {
		e.fault("no request ever waited for load probes: the run does not cover such requests")
	}
	return e.faults
}

// fireTimers fires the timers that are due and whose token is at least minToken.
func (e *randomEvents) fireTimers(minToken uint32) {
	for i := 0; i < len(e.timers); {
		timer := e.timers[i]
		if timer.at > e.now || timer.token < minToken {
			i++
			continue
		}
		e.timers = slices.Delete(e.timers, i, i+1)
		e.balancer.TimerFired(e.now, timer.token)
	}
}

// step runs one random event.
func (e *randomEvents) step() {
	switch n := e.random.Intn(20); {
	case n < 8:
		e.arrive()
	case n < 15 && len(e.requestIDs) > 0:
		e.finishAttempt(e.requests[e.requestIDs[e.random.Intn(len(e.requestIDs))]])
	case n < 16 && len(e.requestIDs) > 0:
		r := e.requests[e.requestIDs[e.random.Intn(len(e.requestIDs))]]
		if r.answered == 0 {
			r.clientInformed = true
		}
		e.balancer.ClientDisconnected(e.now, r.request.ID)
	case n < 18:
		e.answerProbes()
	default:
		e.changeEndpoints()
	}
}

// arrive sends a request to the balancer, sometimes after its deadline.
func (e *randomEvents) arrive() {
	in := Request{ID: uint64(len(e.requestIDs) + 1), Class: uint8(e.random.Intn(len(e.settings.Classes))),
		Deadline: e.now + Micros(e.random.Intn(1_000_000)) - 50_000}
	e.requests[in.ID] = &checkedRequest{request: in}
	e.requestIDs = append(e.requestIDs, in.ID)
	e.balancer.RequestArrived(e.now, in)
}

// randomStatus draws a status, most often OK.
func (e *randomEvents) randomStatus() Status {
	statuses := []Status{OK, OK, OK, Error, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent}
	return statuses[e.random.Intn(len(statuses))]
}

// finishAttempt ends the outstanding attempt of a request, if there is one.
func (e *randomEvents) finishAttempt(r *checkedRequest) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.outstanding {
			continue
		}
		a.outstanding = false
		status := e.randomStatus()
		if status == Rejected || status == ConnectFailed || status == NotSent {
			a.mayHaveRun = false
		}
		if status == OK && !r.isOver() {
			r.clientInformed = true
		}
		a.sentAt = (a.startedAt + e.now) / 2 // connecting took half of the time
		e.balancer.AttemptFinished(e.now, Outcome{ID: r.request.ID, Attempt: i, Endpoint: a.endpoint.ID,
			Status: status, Latency: e.now - a.startedAt, SentAt: a.sentAt, RequestDone: r.isOver()})
		return
	}
}

// answerProbes answers all load probes.
func (e *randomEvents) answerProbes() {
	for _, id := range e.probes {
		load := []float32{float32(e.random.Intn(8)), e.random.Float32() * 2}[:e.random.Intn(3)]
		e.balancer.LoadProbeResult(e.now, id, e.randomStatus(), 500+Micros(e.random.Intn(200_000)), load)
	}
	e.probes = e.probes[:0]
}

// changeEndpoints changes one endpoint or restarts all, and then sends an endpoint update or toggles a ban.
func (e *randomEvents) changeEndpoints() {
	changed := &e.list[e.random.Intn(len(e.list))]
	changed.State = EndpointState(e.random.Intn(3))
	if e.random.Intn(4) == 0 {
		changed.State, changed.StartTime = Ready, e.now-Micros(e.random.Intn(1_000_000))
	}
	if changed.State == Ready && e.random.Intn(4) == 0 {
		changed.Zone = uint8(e.random.Intn(3))
	}
	if e.restarts > 0 && e.random.Intn(50) == 0 {
		e.restarts--
		for i := range e.list {
			e.list[i].State, e.list[i].StartTime = Ready, e.now-Micros(e.random.Intn(1000))
		}
		e.update(UpdateFull, slices.Clone(e.list))
		return
	}
	switch e.random.Intn(7) {
	case 0:
		e.update(UpdateFull, slices.Clone(e.list[:e.random.Intn(len(e.list)+1)]))
	case 1:
		e.update(UpdateFailed, nil)
	case 6:
		e.toggleBan(changed.ID)
	default:
		e.update(UpdateDelta, []Endpoint{*changed, *changed})
	}
}

// update passes an endpoint update to the balancer and to the checker.
func (e *randomEvents) update(kind UpdateKind, entries []Endpoint) {
	if kind != UpdateDelta && kind != UpdateFailed {
		clear(e.endpoints)
	}
	for _, entry := range entries {
		e.endpoints[entry.ID] = entry
	}
	e.balancer.UpdateEndpoints(e.now, kind, entries)
}

// toggleBan bans an endpoint or reinstates it.
func (e *randomEvents) toggleBan(id uint32) {
	e.banned[id] = !e.banned[id]
	if e.banned[id] {
		e.balancer.Ban(e.now, id)
	} else {
		e.balancer.Unban(e.now, id)
	}
}

func TestSafetyRulesUnderRandomEvents(t *testing.T) {
	for seed := range int64(100) {
		s := testSettings()
		s.MustSubscribe = seed%2 == 0
		s.Limits.AllowHedging = seed%3 != 0
		s.Limits.AllowLoadProbes = seed%5 != 0
		s.Limits.MaxAttempts = 1 + int(seed%4)
		if seed >= 40 {
			s.Balancers = []int{300, 1500}[seed%2]
			s.LoadReportFields = [][]LoadField{{LoadFieldInFlight}, {LoadFieldQueueLength, LoadFieldThroughput}, {LoadFieldThroughput, LoadFieldUtilization}, {LoadFieldUnknown}}[seed%4]
			s.Costs = Costs{LoadProbe: []float64{0, 0.002, 0.01, 0.5}[seed/3%4], CrossZone: 0.03}
			s.Tenants = []Tenant{{Name: "one", Quota: 50}, {Name: "two"}}[:seed%3]
			s.Limits.AllowCancel, s.Limits.AllowRetryAfter = seed%3 != 0, seed%4 != 0
		}
		for i, fault := range runRandomEvents(t, s, seed) {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, fault)
			}
		}
	}
}

// The checker itself must detect a violation of each rule.
func TestSafetyCheckerSeesBrokenRules(t *testing.T) {
	fresh := func() *safetyChecker {
		c := &safetyChecker{settings: testSettings(), endpoints: map[uint32]Endpoint{}, requests: map[uint64]*checkedRequest{}}
		for _, e := range ready(4) {
			c.endpoints[e.ID] = e
		}
		for class := range uint8(5) {
			c.requests[uint64(class)] = &checkedRequest{request: requestOf(uint64(class), class, 0)}
		}
		return c
	}
	for name, do := range map[string]func(*safetyChecker){
		"two answers":                    func(c *safetyChecker) { c.Reject(0, 0, RejectLatency); c.Fail(0) },
		"attempt after the answer":       func(c *safetyChecker) { c.Fail(0); c.StartAttempt(0, 1, 0, 0) },
		"attempt at a draining endpoint": func(c *safetyChecker) { c.endpoints[1] = Endpoint{ID: 1, State: Draining}; c.StartAttempt(0, 1, 0, 0) },
		"not idempotent, retried":        func(c *safetyChecker) { c.StartAttempt(4, 1, 0, 0); c.StartAttempt(4, 2, 0, 0) },
		"not idempotent, rejected":       func(c *safetyChecker) { c.StartAttempt(4, 1, 0, 0); c.Reject(4, 0, RejectLatency) },
		"retry outside the zone":         func(c *safetyChecker) { c.StartAttempt(2, 1, 0, 0); c.StartAttempt(2, 3, 0, 0) },
		"retry outside the pod":          func(c *safetyChecker) { c.StartAttempt(3, 1, 0, 0); c.StartAttempt(3, 3, 0, 0) },
		"retry after the window":         func(c *safetyChecker) { c.StartAttempt(1, 1, 0, 0); c.now = second; c.StartAttempt(1, 2, 0, 1) },
		"retry sent after the window": func(c *safetyChecker) {
			c.StartAttempt(1, 1, 0, 0)
			c.StartAttempt(1, 2, 0, c.settings.Classes[1].DedupWindow+1)
		},
		"retry that may be sent at any time": func(c *safetyChecker) { c.StartAttempt(1, 1, 0, 0); c.StartAttempt(1, 2, 0, 0) },
		"too many attempts": func(c *safetyChecker) {
			c.StartAttempt(0, 1, 0, 0)
			c.StartAttempt(0, 2, 0, 0)
			c.StartAttempt(0, 3, 0, 0)
			c.StartAttempt(0, 4, 0, 0)
		},
	} {
		c := fresh()
		if do(c); len(c.faults) == 0 {
			t.Errorf("%s: the checker found no fault", name)
		}
	}
}
