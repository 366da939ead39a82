package balancer

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// checker hosts a balancer and asserts the rules on every action.
type checker struct {
	s        Settings
	now      Micros
	states   map[uint32]Endpoint
	banned   map[uint32]bool
	cold     map[uint32]Micros   // endpoint: told start
	coldWork map[uint32]float64  // requests sent while cold
	reqs     map[uint64]*checked // open and ended
	bad      []string
	timers   []pending
	probes   []uint32
}

type checked struct {
	in             Request
	answered       int
	clientInformed bool // it was told that the request is over
	attempts       []checkedAttempt
}

type checkedAttempt struct {
	ep          Endpoint
	at          Micros
	outstanding bool
	mayHaveRun  bool
}

type pending struct {
	at    Micros
	token uint32
}

func (c *checker) fault(format string, args ...any) {
	c.bad = append(c.bad, fmt.Sprintf("at %d: ", c.now)+fmt.Sprintf(format, args...))
}

func (r *checked) bound() *checkedAttempt {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return &r.attempts[i]
		}
	}
	return nil
}

func (c *checker) StartAttempt(id uint64, endpoint uint32, _ Micros) {
	r := c.reqs[id]
	if r == nil {
		c.fault("send for unknown request %d", id)
		return
	}
	e, known := c.states[endpoint]
	class := c.s.Classes[r.in.Class]
	if r.answered > 0 || r.clientInformed {
		c.fault("send after the end of %d", id)
	}
	if c.banned[endpoint] {
		c.fault("send to endpoint %d, which is banned", endpoint)
	}
	if !known || e.State != Ready {
		c.fault("send to endpoint %d in state %d", endpoint, e.State)
	}
	if len(r.attempts) >= c.s.Limits.MaxAttempts {
		c.fault("attempt %d of %d", len(r.attempts), id)
	}
	for _, a := range r.attempts {
		if a.outstanding && !c.s.Limits.AllowHedging {
			c.fault("second copy of %d", id)
		}
	}
	if b := r.bound(); b != nil && class.RetrySafety != Idempotent {
		same := class.DedupScope == DedupScopeFleet || class.DedupScope == DedupScopeZone && b.ep.Zone == e.Zone ||
			class.DedupScope == DedupScopePod && b.ep.Pod == e.Pod
		if class.RetrySafety == NonIdempotent || !same || c.now > b.at+class.DedupWindow {
			c.fault("repeat of %d (%s) may have a second effect", id, class.Name)
		}
	}
	if _, cold := c.cold[endpoint]; cold {
		c.coldWork[endpoint]++
	}
	r.attempts = append(r.attempts, checkedAttempt{ep: e, at: c.now, outstanding: true, mayHaveRun: true})
}

func (c *checker) final(id uint64) *checked {
	r := c.reqs[id]
	if r == nil || r.answered > 0 || r.clientInformed {
		c.fault("final answer for %d, which is not open", id)
		return nil
	}
	r.answered++
	return r
}

func (c *checker) Reject(id uint64, _ Micros) {
	if r := c.final(id); r != nil && r.bound() != nil {
		class := c.s.Classes[r.in.Class]
		if class.RetrySafety == NonIdempotent || class.RetrySafety == IdempotentWithKey && class.DedupScope != DedupScopeFleet {
			c.fault("refusal of %d (%s), which may have run", id, class.Name)
		}
	}
}

func (c *checker) Fail(id uint64) { c.final(id) }

func (c *checker) CancelAttempt(id uint64, attempt int) {
	if r := c.reqs[id]; r == nil || attempt >= len(r.attempts) {
		c.fault("cancel of attempt %d of %d, never made", attempt, id)
	}
}

func (c *checker) SetTimer(delay Micros, token uint32) {
	if delay <= 0 {
		c.fault("timer delay %d", delay)
	}
	c.timers = append(c.timers, pending{c.now + delay, token})
}

func (c *checker) SendLoadProbe(e uint32) {
	if _, known := c.states[e]; !known {
		c.fault("probe of unknown endpoint %d", e)
	}
	c.probes = append(c.probes, e)
}

func (c *checker) SendGossip(data []byte) {
	if len(data) == 0 || len(data) > 256 {
		c.fault("message of %d bytes", len(data))
	}
}

func (c *checker) WatchEndpoints(bool) {
	if !c.s.MustSubscribe {
		c.fault("subscription where changes come unasked")
	}
}

func (c *checker) Log(string, ...LogField) {}

// play runs legal random events from a seed and returns the faults found.
func play(t *testing.T, s Settings, seed int64) []string {
	t.Helper()
	rnd := rand.New(rand.NewSource(seed))
	c := &checker{s: s, now: 1_000_000, states: map[uint32]Endpoint{}, banned: map[uint32]bool{}, cold: map[uint32]Micros{},
		coldWork: map[uint32]float64{}, reqs: map[uint64]*checked{}}
	b, err := New(s, uint64(seed), c)
	if err != nil {
		t.Fatal(err)
	}
	members := func(kind UpdateKind, entries []Endpoint) {
		if kind != UpdateDelta && kind != UpdateFailed {
			clear(c.states)
		}
		for _, e := range entries {
			c.states[e.ID] = e
		}
		b.UpdateEndpoints(c.now, kind, entries)
	}
	b.Start(c.now)
	pause := 20_000 // at most, between events
	list := ready(1 + rnd.Intn(6))
	if s.Balancers > 2 { // a sliver of a large fleet
		pause, list = 400_000, ready(20+rnd.Intn(60))
	}
	starts := rnd.Intn(3) // of all at once, cold
	held := 0
	members(UpdateCached, slices.Clone(list))
	var open []uint64
	next := uint64(1)
	statuses := []Status{OK, OK, OK, Error, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent}
	for range 3000 {
		c.now += Micros(rnd.Intn(pause))
		held = max(held, len(b.probeWaiters))
		for i := 0; i < len(c.timers); {
			if p := c.timers[i]; p.at <= c.now {
				c.timers = slices.Delete(c.timers, i, i+1)
				b.TimerFired(c.now, p.token)
				continue
			}
			i++
		}
		switch n := rnd.Intn(20); {
		case n < 8:
			in := Request{ID: next, Class: uint8(rnd.Intn(len(s.Classes))),
				Deadline: c.now + Micros(rnd.Intn(1_000_000)) - 50_000}
			next++
			c.reqs[in.ID] = &checked{in: in}
			open = append(open, in.ID)
			b.RequestArrived(c.now, in)
		case n < 15 && len(open) > 0:
			at := rnd.Intn(len(open))
			r := c.reqs[open[at]]
			for i := range r.attempts {
				a := &r.attempts[i]
				if !a.outstanding {
					continue
				}
				a.outstanding = false
				status := statuses[rnd.Intn(len(statuses))]
				if status == Rejected || status == ConnectFailed || status == NotSent {
					a.mayHaveRun = false
				}
				if status == OK && r.answered == 0 && !r.clientInformed {
					r.clientInformed = true
				}
				settled := r.answered > 0 || r.clientInformed
				b.AttemptFinished(c.now, Outcome{ID: r.in.ID, Attempt: i, Endpoint: a.ep.ID, Status: status,
					Latency: c.now - a.at, RequestDone: settled})
				break
			}
		case n < 16 && len(open) > 0:
			r := c.reqs[open[rnd.Intn(len(open))]]
			if r.answered == 0 {
				r.clientInformed = true
			}
			b.ClientDisconnected(c.now, r.in.ID)
		case n < 18:
			for _, e := range c.probes {
				load := []float32{float32(rnd.Intn(8)), rnd.Float32() * 2}[:rnd.Intn(3)]
				b.LoadProbeResult(c.now, e, statuses[rnd.Intn(len(statuses))], 500+Micros(rnd.Intn(200_000)), load)
			}
			c.probes = c.probes[:0]
		default:
			e := &list[rnd.Intn(len(list))]
			e.State = EndpointState(rnd.Intn(3))
			if rnd.Intn(4) == 0 {
				e.State, e.StartTime = Ready, c.now-Micros(rnd.Intn(1_000_000))
			}
			if e.State == Ready && rnd.Intn(4) == 0 {
				e.Zone = uint8(rnd.Intn(3))
			}
			if starts > 0 && rnd.Intn(50) == 0 {
				starts--
				for i := range list {
					list[i].State, list[i].StartTime = Ready, c.now-Micros(rnd.Intn(1000))
				}
				members(UpdateFull, slices.Clone(list))
				continue
			}
			switch rnd.Intn(7) {
			case 6:
				if c.banned[e.ID] = !c.banned[e.ID]; c.banned[e.ID] {
					b.Ban(c.now, e.ID)
				} else {
					b.Unban(c.now, e.ID)
				}
			case 0:
				members(UpdateFull, slices.Clone(list[:rnd.Intn(len(list)+1)]))
			case 1:
				members(UpdateFailed, nil)
			default:
				members(UpdateDelta, []Endpoint{*e, *e})
			}
		}
	}
	// All that is still open must be answered by its deadline.
	for range 400 {
		c.now += 5000
		for i := 0; i < len(c.timers); {
			if p := c.timers[i]; p.at <= c.now && p.token >= firstRequestTimer {
				c.timers = slices.Delete(c.timers, i, i+1)
				b.TimerFired(c.now, p.token)
				continue
			}
			i++
		}
	}
	for id, r := range c.reqs {
		if r.answered == 0 && !r.clientInformed {
			c.fault("request %d never got a final answer", id)
		}
	}
	if s.Balancers > 2 && s.Limits.AllowLoadProbes && s.Costs.LoadProbe < onDemandProbeCostLimit && held == 0 {
		c.fault("no request ever waited for probes: the run says nothing of those that do")
	}
	return c.bad
}

func TestRulesUnderRandomEvents(t *testing.T) {
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
		for i, bad := range play(t, s, seed) {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, bad)
			}
		}
	}
}

// The checker itself must see each rule broken.
func TestCheckerSeesBrokenRules(t *testing.T) {
	fresh := func() *checker {
		c := &checker{s: testSettings(), states: map[uint32]Endpoint{}, reqs: map[uint64]*checked{}}
		for _, e := range ready(4) {
			c.states[e.ID] = e
		}
		for class := range uint8(5) {
			c.reqs[uint64(class)] = &checked{in: request0(uint64(class), class, 0)}
		}
		return c
	}
	for name, do := range map[string]func(*checker){
		"two final answers":      func(c *checker) { c.Reject(0, 0); c.Fail(0) },
		"send after the end":     func(c *checker) { c.Fail(0); c.StartAttempt(0, 1, 0) },
		"send to the drained":    func(c *checker) { c.states[1] = Endpoint{ID: 1, State: Draining}; c.StartAttempt(0, 1, 0) },
		"unsafe sent twice":      func(c *checker) { c.StartAttempt(4, 1, 0); c.StartAttempt(4, 2, 0) },
		"unsafe refused":         func(c *checker) { c.StartAttempt(4, 1, 0); c.Reject(4, 0) },
		"keyed outside its zone": func(c *checker) { c.StartAttempt(2, 1, 0); c.StartAttempt(2, 3, 0) },
		"keyed outside its cell": func(c *checker) { c.StartAttempt(3, 1, 0); c.StartAttempt(3, 3, 0) },
		"keyed after its window": func(c *checker) { c.StartAttempt(1, 1, 0); c.now = second; c.StartAttempt(1, 2, 0) },
		"too many attempts": func(c *checker) {
			c.StartAttempt(0, 1, 0)
			c.StartAttempt(0, 2, 0)
			c.StartAttempt(0, 3, 0)
			c.StartAttempt(0, 4, 0)
		},
	} {
		c := fresh()
		if do(c); len(c.bad) == 0 {
			t.Errorf("%s: not seen", name)
		}
	}
}

// Each kind of effect against each outcome of its first attempt.
func TestLedger(t *testing.T) {
	never := map[Status]bool{Rejected: true, ConnectFailed: true, NotSent: true}
	for class := range uint8(5) {
		for status := Error; status <= NotSent; status++ {
			s := testSettings()
			b, r := start(t, s, ready(4)) // endpoints 1, 2 share a zone and a cell; so do 3, 4
			b.RequestArrived(1000, request0(1, class, 1000))
			a := b.requests[1].attempts[0]
			b.AttemptFinished(2000, Outcome{ID: 1, Endpoint: a.endpoint.ID, Status: status, Latency: 1000})
			sends := len(r.sends)
			switch kind := s.Classes[class]; {
			case kind.RetrySafety == NonIdempotent && !never[status]:
				if sends != 1 || len(r.failed) != 1 {
					t.Errorf("unsafe, status %d: %d sends, %d failed", status, sends, len(r.failed))
				}
			case sends != 2:
				t.Errorf("class %d status %d: %d sends, 2 wanted", class, status, sends)
			case kind.RetrySafety == IdempotentWithKey && kind.DedupScope != DedupScopeFleet && !never[status]:
				if (r.sends[0].endpoint-1)/2 != (r.sends[1].endpoint-1)/2 {
					t.Errorf("class %d status %d left its group", class, status)
				}
			}
		}
	}
}

func TestWindowCountsFromFirstThatMayHaveRun(t *testing.T) {
	s := testSettings()
	s.Limits.AllowHedging = false
	b, r := start(t, s, ready(2))
	b.RequestArrived(1000, request0(1, 3, 1000))
	first := r.sends[0].endpoint
	b.AttemptFinished(1000+s.Classes[3].DedupWindow, Outcome{ID: 1, Endpoint: first, Status: Reset})
	if len(r.sends) != 1 || len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Errorf("after the window: sends %v, failed %v, refused %v", r.sends, r.failed, r.rejected)
	}
}

func TestNoEndpointMeansRefusal(t *testing.T) {
	b, r := start(t, testSettings(), nil)
	b.RequestArrived(1000, request0(1, 4, 1000))
	b.RequestArrived(1000, Request{ID: 2, Deadline: 500})
	if len(r.rejected) != 2 || b.unansweredCount != 0 || len(b.requests) != 0 {
		t.Errorf("refused %v, open %d", r.rejected, b.unansweredCount)
	}
}

func TestUnansweredAttemptEndsAtTheDeadline(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.RequestArrived(1000, request0(1, 4, 1000))
	token := b.requests[1].timerToken
	b.TimerFired(1000+second, token)
	if len(r.failed) != 1 || len(r.cancels) != 1 {
		t.Fatalf("failed %v, cancelled %v", r.failed, r.cancels)
	}
	b.AttemptFinished(2*second, Outcome{ID: 1, Endpoint: 1, Status: OK, Latency: second, RequestDone: true})
	if b.endpoints[0].breaker.accepts != 1 || b.endpoints[0].inFlight != 0 || len(b.requests) != 0 {
		t.Error("a late outcome must still feed the statistics")
	}
	b.RequestArrived(3*second, request0(2, 0, 3*second))
	b.TimerFired(3*second, token) // of the ended request, whose slot is in use again
	if len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Error("an old timer ended another request")
	}
}

func TestDrainingGetsNothing(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	b.UpdateEndpoints(1000, UpdateDelta, []Endpoint{{ID: 1, State: Draining}})
	b.UpdateEndpoints(1000, UpdateFull, []Endpoint{{ID: 1, State: Draining}, {ID: 3, State: Ready}})
	for id := range uint64(20) {
		b.RequestArrived(2000, request0(id, 0, 2000))
	}
	for _, s := range r.sends {
		if s.endpoint == 1 || s.endpoint == 2 {
			t.Fatalf("sent to %d", s.endpoint)
		}
	}
}

// slowStartSends counts sends to a cold endpoint over the overload window just
// after its start, beside nine warm ones under a steady load.
func slowStartSends(t *testing.T, rate int, colds int) (cold []int, warm float64) {
	t.Helper()
	s := testSettings()
	list := ready(10)
	b, r := start(t, s, list)
	id, seen := uint64(0), 0
	counts := map[uint32]int{}
	run := func(from, to Micros) {
		for now := from; now < to; now += second / Micros(rate) {
			for e := range uint32(12) {
				b.LoadProbeResult(now, e+1, OK, 500, []float32{0})
			}
			id++
			b.RequestArrived(now, request0(id, 0, now))
			for ; seen < len(r.sends); seen++ {
				counts[r.sends[seen].endpoint]++
				b.AttemptFinished(now, Outcome{ID: r.sends[seen].id, Endpoint: r.sends[seen].endpoint, Status: OK,
					Latency: 30_000, RequestDone: true})
			}
		}
	}
	run(0, 5*second)
	clear(counts)
	for i := range colds {
		b.UpdateEndpoints(5*second, UpdateDelta, []Endpoint{{ID: uint32(11 + i), State: Ready, StartTime: 5 * second}})
	}
	run(5*second, 6*second)
	for e, n := range counts {
		if e >= 11 {
			cold = append(cold, n)
		} else {
			warm += float64(n) / 10
		}
	}
	return cold, warm
}

func TestColdEndpointGetsItsRampShare(t *testing.T) {
	for _, c := range []struct{ rate, colds int }{{100, 1}, {500, 1}, {500, 2}, {2000, 2}} {
		cold, warm := slowStartSends(t, c.rate, c.colds)
		for _, n := range cold {
			// Warmth goes from 0.2 to 0.28 in this second; one request may round up.
			if float64(n) > 0.28*warm+1 {
				t.Errorf("rate %d: a cold endpoint got %d, a warm one %.1f", c.rate, n, warm)
			}
		}
	}
}

func TestOneServerFleetRestarts(t *testing.T) {
	b, r := start(t, testSettings(), ready(1)[:1])
	b.UpdateEndpoints(second, UpdateDelta, []Endpoint{{ID: 1, State: Ready, StartTime: second}})
	for i := range uint64(400) {
		now := second + Micros(i)*10_000
		b.RequestArrived(now, request0(i, 0, now))
		if n := len(r.sends); n > 0 && b.requests[i] != nil {
			b.AttemptFinished(now, Outcome{ID: i, Endpoint: 1, Status: OK, Latency: 10_000, RequestDone: true})
		}
	}
	if n := len(r.sends); n < 20 || n > 250 {
		t.Errorf("%d of 400 sent to the only, cold, endpoint", n)
	}
}

func TestSubscriptionIsAskedForAgain(t *testing.T) {
	s := testSettings()
	s.MustSubscribe = true
	b, r := start(t, s, ready(2))
	now := Micros(0)
	fire := func() {
		for i, token := range r.timers {
			if token == timerDiscoveryPoll {
				now += r.delays[i]
				r.timers, r.delays = nil, nil
				b.TimerFired(now, timerDiscoveryPoll)
				return
			}
		}
		t.Fatal("no timer for discovery")
	}
	fire()
	for n := 1; n < 8; n++ {
		if r.watches != n {
			t.Fatalf("%d calls, %d wanted", r.watches, n)
		}
		before := now
		if n%2 == 0 {
			b.UpdateEndpoints(now, UpdateFailed, nil)
		} // else the answer is lost
		fire()
		if now-before > s.Rules.MaxPollInterval {
			t.Fatalf("asked only after %d", now-before)
		}
	}
	if len(b.endpoints) != 2 {
		t.Error("a failed call changed the list")
	}
	b.UpdateEndpoints(now, UpdateDelta, nil)
	n := r.watches
	b.TimerFired(now+100*second, timerDiscoveryPoll)
	if r.watches != n {
		t.Error("asked again while subscribed")
	}
}

func TestStreamIsLeftAlone(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	b.RequestArrived(1000, request0(1, 0, 1000))
	b.ResponseStarted(2000, 1, 0, 1000)
	b.TimerFired(2*second, b.requests[1].timerToken)
	if len(r.sends) != 1 || len(r.rejected)+len(r.failed) != 0 {
		t.Error("a stream that began was given an end or a copy")
	}
	b.AttemptFinished(3*second, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 3 * second, RequestDone: true})
	if len(b.requests) != 0 {
		t.Error("record kept")
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() *recorder {
		b, r := start(t, testSettings(), ready(5))
		for i := range uint64(200) {
			now := Micros(i) * 7000
			b.RequestArrived(now, request0(i, uint8(i%5), now))
			if i%3 == 0 {
				b.TimerFired(now, timerProbeRound)
				b.LoadProbeResult(now, uint32(i%5+1), OK, 500, []float32{float32(i % 4)})
			}
			last := r.sends[len(r.sends)-1]
			b.AttemptFinished(now, Outcome{ID: last.id, Endpoint: last.endpoint, Status: Status(i % 7), Latency: 3000})
		}
		return r
	}
	if a, b := fmt.Sprint(run()), fmt.Sprint(run()); a != b {
		t.Error("two runs differ")
	}
}

func TestSteadyStateDoesNotAllocate(t *testing.T) {
	b, r := start(t, testSettings(), ready(5))
	id := uint64(0)
	once := func() {
		id++
		r.sends, r.timers, r.delays = r.sends[:0], r.timers[:0], r.delays[:0]
		b.RequestArrived(1000, request0(id, 0, 1000))
		b.AttemptFinished(2000, Outcome{ID: id, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 1000, RequestDone: true})
	}
	for range 100 {
		once()
	}
	if n := testing.AllocsPerRun(200, once); n > 0.1 {
		t.Errorf("%v allocations a request", n)
	}
}

// A second copy doubles the work of an endpoint that is slow because it has too much.
func TestNoSecondCopies(t *testing.T) {
	b, r := start(t, testSettings(), ready(3))
	b.RequestArrived(1000, request0(1, 0, 1000))
	for i, token := range r.timers {
		b.TimerFired(1000+r.delays[i]-1, token)
	}
	b.TimerFired(900_000, r.timers[len(r.timers)-1])
	if len(r.sends) != 1 {
		t.Errorf("%d sends while the first is out", len(r.sends))
	}
}

// Staff must learn why requests are refused, in one line a second and not in thousands.
func TestRefusalsAreToldOnceASecond(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.LoadProbeResult(1000, 1, OK, 500, []float32{50})
	for id := range uint64(200) {
		now := second + 5000*Micros(id)
		b.LoadProbeResult(now, 1, OK, 500, []float32{50})
		b.RequestArrived(now, request0(id, 0, now))
	}
	if len(r.rejected) < 150 {
		t.Fatalf("only %d refused", len(r.rejected))
	}
	if len(r.logs) != 1 || !strings.Contains(r.logs[0], "predicted latency over budget endpoint=1 ") {
		t.Errorf("log: %q", r.logs)
	}
}

// Whatever is odd about a request, it is taken once and answered once.
func TestOddRequestsAreAnsweredOnce(t *testing.T) {
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
		"hint without sense":  {list: ready(2), in: Request{ID: 1, Deadline: second, CostHint: -5, HasCostHint: true}},
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
		if n := len(r.rejected) + len(r.failed); n != 1 || len(r.sends) > 1 {
			t.Errorf("%s: %d final answers, %d sends", name, n, len(r.sends))
		}
	}
}

// A request whose body still comes is in flight nowhere, and its time runs from its last byte. Once part of the body
// is gone it is not sent again.
func TestUploads(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	in := request0(1, 0, 1000)
	in.IsUploading = true
	b.RequestArrived(1000, in)
	if len(r.sends) != 1 {
		t.Fatalf("sent %v, want one", r.sends)
	}
	e := b.endpointsByID[r.sends[0].endpoint]
	if e.inFlight != 0 {
		t.Errorf("in flight while its body comes: %d", e.inFlight)
	}
	for _, token := range r.timers {
		b.TimerFired(10*second, token)
	}
	if len(r.rejected)+len(r.failed) != 0 {
		t.Fatal("ended while its body comes")
	}
	b.BodySent(10*second, 1, 11*second)
	if e.inFlight != 1 {
		t.Errorf("in flight after its last byte: %d", e.inFlight)
	}
	b.TimerFired(11*second, b.requests[1].timerToken)
	if len(r.rejected) != 1 {
		t.Error("not ended when its time is up")
	}
	b.AttemptFinished(11*second, Outcome{ID: 1, Endpoint: e.ID, Status: Cancelled, RequestDone: true})
	if e.inFlight != 0 || len(e.startTimes) != 0 {
		t.Errorf("in flight after its end: %d", e.inFlight)
	}

	b, r = start(t, testSettings(), ready(3))
	in = request0(2, 0, 1000)
	in.IsUploading = true
	b.RequestArrived(1000, in)
	b.AttemptFinished(2000, Outcome{ID: 2, Status: ConnectFailed})
	if len(r.sends) != 2 {
		t.Fatalf("sent %v, want a second try with the whole body", r.sends)
	}
	b.AttemptFinished(3000, Outcome{ID: 2, Attempt: 1, Status: ConnectFailed, BodyConsumed: true})
	if len(r.sends) != 2 || len(r.rejected) != 1 {
		t.Errorf("sent %v, refused %v; want no third try and a refusal", r.sends, r.rejected)
	}
	for id, e := range b.endpointsByID {
		if e.inFlight != 0 {
			t.Errorf("endpoint %d: %d in flight at the end", id, e.inFlight)
		}
	}
}
