package balancer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// safetyChecker hosts a balancer and asserts the rules on every action.
type safetyChecker struct {
	settings Settings
	now      Micros
	states   map[uint32]Endpoint
	banned   map[uint32]bool
	cold     map[uint32]Micros          // endpoint: told start
	coldWork map[uint32]float64         // requests sent while cold
	requests map[uint64]*checkedRequest // open and ended
	faults   []string
	timers   []pendingTimer
	probes   []uint32
}

type checkedRequest struct {
	request        Request
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

type pendingTimer struct {
	at    Micros
	token uint32
}

func (c *safetyChecker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("at %d: ", c.now)+fmt.Sprintf(format, args...))
}

func (r *checkedRequest) bound() *checkedAttempt {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return &r.attempts[i]
		}
	}
	return nil
}

func (c *safetyChecker) StartAttempt(id uint64, endpoint uint32, _ Micros) {
	r := c.requests[id]
	if r == nil {
		c.fault("send for unknown request %d", id)
		return
	}
	e, known := c.states[endpoint]
	class := c.settings.Classes[r.request.Class]
	if r.answered > 0 || r.clientInformed {
		c.fault("send after the end of %d", id)
	}
	if c.banned[endpoint] {
		c.fault("send to endpoint %d, which is banned", endpoint)
	}
	if !known || e.State != Ready {
		c.fault("send to endpoint %d in state %d", endpoint, e.State)
	}
	if len(r.attempts) >= c.settings.Limits.MaxAttempts {
		c.fault("attempt %d of %d", len(r.attempts), id)
	}
	for _, a := range r.attempts {
		if a.outstanding && !c.settings.Limits.AllowHedging {
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

func (c *safetyChecker) final(id uint64) *checkedRequest {
	r := c.requests[id]
	if r == nil || r.answered > 0 || r.clientInformed {
		c.fault("final answer for %d, which is not open", id)
		return nil
	}
	r.answered++
	return r
}

func (c *safetyChecker) Reject(id uint64, _ Micros) {
	if r := c.final(id); r != nil && r.bound() != nil {
		class := c.settings.Classes[r.request.Class]
		if class.RetrySafety == NonIdempotent || class.RetrySafety == IdempotentWithKey && class.DedupScope != DedupScopeFleet {
			c.fault("refusal of %d (%s), which may have run", id, class.Name)
		}
	}
}

func (c *safetyChecker) Fail(id uint64) { c.final(id) }

func (c *safetyChecker) CancelAttempt(id uint64, attempt int) {
	if r := c.requests[id]; r == nil || attempt >= len(r.attempts) {
		c.fault("cancel of attempt %d of %d, never made", attempt, id)
	}
}

func (c *safetyChecker) SetTimer(delay Micros, token uint32) {
	if delay <= 0 {
		c.fault("timer delay %d", delay)
	}
	c.timers = append(c.timers, pendingTimer{c.now + delay, token})
}

func (c *safetyChecker) SendLoadProbe(e uint32) {
	if _, known := c.states[e]; !known {
		c.fault("probe of unknown endpoint %d", e)
	}
	c.probes = append(c.probes, e)
}

func (c *safetyChecker) SendGossip(data []byte) {
	if len(data) == 0 || len(data) > 256 {
		c.fault("message of %d bytes", len(data))
	}
}

func (c *safetyChecker) WatchEndpoints(bool) {
	if !c.settings.MustSubscribe {
		c.fault("subscription where changes come unasked")
	}
}

func (c *safetyChecker) Log(string, ...LogField) {}

// playRandomEvents runs legal random events from a seed and returns the faults found.
func playRandomEvents(t *testing.T, s Settings, seed int64) []string {
	t.Helper()
	rnd := rand.New(rand.NewSource(seed))
	c := &safetyChecker{settings: s, now: 1_000_000, states: map[uint32]Endpoint{}, banned: map[uint32]bool{}, cold: map[uint32]Micros{},
		coldWork: map[uint32]float64{}, requests: map[uint64]*checkedRequest{}}
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
			c.requests[in.ID] = &checkedRequest{request: in}
			open = append(open, in.ID)
			b.RequestArrived(c.now, in)
		case n < 15 && len(open) > 0:
			at := rnd.Intn(len(open))
			r := c.requests[open[at]]
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
				b.AttemptFinished(c.now, Outcome{ID: r.request.ID, Attempt: i, Endpoint: a.ep.ID, Status: status,
					Latency: c.now - a.at, RequestDone: settled})
				break
			}
		case n < 16 && len(open) > 0:
			r := c.requests[open[rnd.Intn(len(open))]]
			if r.answered == 0 {
				r.clientInformed = true
			}
			b.ClientDisconnected(c.now, r.request.ID)
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
	for id, r := range c.requests {
		if r.answered == 0 && !r.clientInformed {
			c.fault("request %d never got a final answer", id)
		}
	}
	if s.Balancers > 2 && s.Limits.AllowLoadProbes && s.Costs.LoadProbe < onDemandProbeCostLimit && held == 0 {
		c.fault("no request ever waited for probes: the run says nothing of those that do")
	}
	return c.faults
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
		for i, bad := range playRandomEvents(t, s, seed) {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, bad)
			}
		}
	}
}

// The checker itself must see each rule broken.
func TestSafetyCheckerSeesBrokenRules(t *testing.T) {
	fresh := func() *safetyChecker {
		c := &safetyChecker{settings: testSettings(), states: map[uint32]Endpoint{}, requests: map[uint64]*checkedRequest{}}
		for _, e := range ready(4) {
			c.states[e.ID] = e
		}
		for class := range uint8(5) {
			c.requests[uint64(class)] = &checkedRequest{request: requestOf(uint64(class), class, 0)}
		}
		return c
	}
	for name, do := range map[string]func(*safetyChecker){
		"two final answers":      func(c *safetyChecker) { c.Reject(0, 0); c.Fail(0) },
		"send after the end":     func(c *safetyChecker) { c.Fail(0); c.StartAttempt(0, 1, 0) },
		"send to the drained":    func(c *safetyChecker) { c.states[1] = Endpoint{ID: 1, State: Draining}; c.StartAttempt(0, 1, 0) },
		"unsafe sent twice":      func(c *safetyChecker) { c.StartAttempt(4, 1, 0); c.StartAttempt(4, 2, 0) },
		"unsafe refused":         func(c *safetyChecker) { c.StartAttempt(4, 1, 0); c.Reject(4, 0) },
		"keyed outside its zone": func(c *safetyChecker) { c.StartAttempt(2, 1, 0); c.StartAttempt(2, 3, 0) },
		"keyed outside its cell": func(c *safetyChecker) { c.StartAttempt(3, 1, 0); c.StartAttempt(3, 3, 0) },
		"keyed after its window": func(c *safetyChecker) { c.StartAttempt(1, 1, 0); c.now = second; c.StartAttempt(1, 2, 0) },
		"too many attempts": func(c *safetyChecker) {
			c.StartAttempt(0, 1, 0)
			c.StartAttempt(0, 2, 0)
			c.StartAttempt(0, 3, 0)
			c.StartAttempt(0, 4, 0)
		},
	} {
		c := fresh()
		if do(c); len(c.faults) == 0 {
			t.Errorf("%s: not seen", name)
		}
	}
}
