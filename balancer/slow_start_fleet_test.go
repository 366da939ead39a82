package balancer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

const (
	slowStartWork   = 80_000 // mean service time on one core of a warm endpoint, in microseconds
	slowStartCores  = 2
	slowStartOneWay = 300 // network delay to an endpoint, and of the response, in microseconds
)

// slowStartFleet simulates many balancers and their endpoints on a virtual clock. Each endpoint serves
// slowStartCores requests concurrently, in order of arrival, and more slowly during its slow start. Requests
// arrive at random times at random balancers.
type slowStartFleet struct {
	settings  Settings
	now       Micros
	events    fleetEvents
	random    *rand.Rand
	balancers []*slowStartBalancer
	endpoints map[uint32]*slowStartEndpoint
	sequence  int    // number of the latest event
	requests  uint64 // requests sent so far
	served    int
}

type slowStartEndpoint struct {
	startedAt Micros // start of its slow start; 0 for long ago
	freeAt    [slowStartCores]Micros
	inFlight  int
	arrivals  []Micros
}

type fleetEvent struct {
	at       Micros
	sequence int // orders events at the same time
	handle   func()
}

type fleetEvents []fleetEvent

func (h fleetEvents) Len() int { return len(h) }

func (h fleetEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h fleetEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *fleetEvents) Push(x any) { *h = append(*h, x.(fleetEvent)) }

func (h *fleetEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// after schedules an event after a delay.
func (f *slowStartFleet) after(delay Micros, do func()) {
	f.sequence++
	heap.Push(&f.events, fleetEvent{f.now + delay, f.sequence, do})
}

// run runs all events up to a time.
func (f *slowStartFleet) run(until Micros) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.handle()
	}
	f.now = until
}

// capacityFraction returns an endpoint's capacity at a time, as a fraction of its full capacity.
func (f *slowStartFleet) capacityFraction(e *slowStartEndpoint, at Micros) float64 {
	rules := &f.settings.Rules
	if e.startedAt == 0 || at-e.startedAt >= rules.SlowStartDuration {
		return 1
	}
	from := rules.SlowStartMinCapacity
	return from + (1-from)*float64(at-e.startedAt)/float64(rules.SlowStartDuration)
}

// slowStartBalancer is the host of one balancer of the fleet.
type slowStartBalancer struct {
	fleet    *slowStartFleet
	balancer *Balancer
}

func (c *slowStartBalancer) StartAttempt(id uint64, endpoint uint32, _, _ Micros) {
	f, e := c.fleet, c.fleet.endpoints[endpoint]
	sent, attempt := f.now, len(c.balancer.requests[id].attempts)-1
	f.after(slowStartOneWay, func() {
		e.arrivals = append(e.arrivals, f.now)
		e.inFlight++
		core := 0
		for i := range e.freeAt {
			if e.freeAt[i] < e.freeAt[core] {
				core = i
			}
		}
		start := max(f.now, e.freeAt[core])
		work := slowStartWork * (0.5 + f.random.ExpFloat64()/2)
		e.freeAt[core] = start + Micros(work/f.capacityFraction(e, start))
		f.after(e.freeAt[core]-f.now, func() {
			e.inFlight--
			f.after(slowStartOneWay, func() {
				f.served++
				c.balancer.AttemptFinished(f.now, Outcome{ID: id, Attempt: attempt, Endpoint: endpoint, Status: OK,
					Latency: f.now - sent, RequestDone: true})
			})
		})
	})
}

func (c *slowStartBalancer) SendLoadProbe(endpoint uint32) {
	f, e := c.fleet, c.fleet.endpoints[endpoint]
	f.after(slowStartOneWay, func() {
		load := []float32{float32(e.inFlight)}
		f.after(slowStartOneWay, func() { c.balancer.LoadProbeResult(f.now, endpoint, OK, 2*slowStartOneWay, load) })
	})
}

func (c *slowStartBalancer) SetTimer(delay Micros, token uint32) {
	c.fleet.after(delay, func() { c.balancer.TimerFired(c.fleet.now, token) })
}

func (c *slowStartBalancer) Reject(uint64, Micros, RejectReason) {}

func (c *slowStartBalancer) Fail(uint64) {}

func (c *slowStartBalancer) CancelAttempt(uint64, int) {}

func (c *slowStartBalancer) SendGossip([]byte) {}

func (c *slowStartBalancer) WatchEndpoints(bool) {}

func (c *slowStartBalancer) Log(string, ...LogField) {}

// slowStartRun describes a simulation in which an endpoint joins nine warm ones at joinAt, one of these restarts
// a second later, and a burst of requests begins burstAt after the join.
type slowStartRun struct {
	endpointSettings Settings // slow-start rules that the endpoints follow
	balancerSettings Settings // settings of the balancers, which may differ
	balancers        int
	seed             uint64
	quietLoad        float64 // load before the burst, as a fraction of the capacity of the warm endpoints
	burstAt          Micros  // time from the join to the burst
}

// The timing and the load of a slowStartRun.
const (
	joinAt        = 5 * second
	burstLoad     = 1.5 // fraction of the capacity of the warm endpoints
	burstDuration = 3 * second
	joiningID     = 10
	restartingID  = 4
)

// run runs the simulation. It returns the highest load of the two endpoints in their slow start, as described at
// highestLoad, and the number of requests served.
func (run slowStartRun) run(t *testing.T) (highest float64, served int) {
	t.Helper()
	f := &slowStartFleet{settings: run.endpointSettings, random: rand.New(rand.NewPCG(run.seed, 0xc01d)),
		endpoints: map[uint32]*slowStartEndpoint{}}
	list := ready(9)
	for _, e := range list {
		f.endpoints[e.ID] = &slowStartEndpoint{}
	}
	for i := range run.balancers {
		host := &slowStartBalancer{fleet: f}
		var err error
		if host.balancer, err = New(run.balancerSettings, run.seed*1000+uint64(i), host); err != nil {
			t.Fatal(err)
		}
		f.balancers = append(f.balancers, host)
		host.balancer.Start(0)
		host.balancer.UpdateEndpoints(0, UpdateFull, list)
	}
	capacity := 9 * slowStartCores * float64(second) / slowStartWork // requests per second
	f.after(1, func() { run.arrive(f, capacity) })
	f.after(joinAt, func() { f.startEndpoint(joiningID) })
	f.after(joinAt+second, func() { f.startEndpoint(restartingID) })
	f.run(joinAt + second + run.burstAt + burstDuration)
	for _, id := range []uint32{joiningID, restartingID} {
		highest = max(highest, f.highestLoad(f.endpoints[id]))
	}
	return highest, f.served
}

// arrive sends a request to a random balancer and schedules the next one.
func (run slowStartRun) arrive(f *slowStartFleet, capacity float64) {
	rate := run.quietLoad * capacity
	if burst := joinAt + run.burstAt; f.now >= burst && f.now < burst+burstDuration {
		rate = burstLoad * capacity
	}
	host := f.balancers[f.random.IntN(run.balancers)]
	f.requests++
	host.balancer.RequestArrived(f.now, Request{ID: f.requests, Deadline: f.now + second})
	f.after(1+Micros(f.random.ExpFloat64()*float64(second)/rate), func() { run.arrive(f, capacity) })
}

// startEndpoint starts or restarts an endpoint and updates all balancers.
func (f *slowStartFleet) startEndpoint(id uint32) {
	f.endpoints[id] = &slowStartEndpoint{startedAt: f.now}
	entry := Endpoint{ID: id, Zone: uint8(id / 2), Weight: 1, StartTime: f.now}
	for _, host := range f.balancers {
		host.balancer.UpdateEndpoints(f.now, UpdateDelta, []Endpoint{entry})
	}
}

// highestLoad returns the largest number of requests that arrived at an endpoint within any overload duration, as
// a fraction of the number allowed for its capacity at the beginning of that time.
func (f *slowStartFleet) highestLoad(e *slowStartEndpoint) float64 {
	rules, highest := &f.settings.Rules, 0.0
	for from, to := 0, 0; from < len(e.arrivals); from++ {
		for to < len(e.arrivals) && e.arrivals[to] < e.arrivals[from]+rules.OverloadDuration {
			to++
		}
		budget := rules.OverloadMultiple * f.capacityFraction(e, e.arrivals[from]) * slowStartCores *
			float64(rules.OverloadDuration) / slowStartWork
		highest = max(highest, float64(to-from)/(budget+2*math.Sqrt(budget)+2))
	}
	return highest
}

// maxSumOfBudgets is the fraction of the allowed load that all balancers together may reach. The rest is a margin
// for uneven network delays.
const maxSumOfBudgets = 0.6

// The requests that all balancers together send to an endpoint in its slow start must stay within its budget of N
// requests plus a margin for random variation, 2 x root of N + 2. The test covers few and many balancers, and bursts after
// light and heavy traffic at several times after the start.
func TestWarmingEndpointBearsTheSumOfAllBalancers(t *testing.T) {
	small, large := testSettings(), testSettings()
	small.Rules.OverloadMultiple, small.Rules.SlowStartMinCapacity = 1.5, 0.1
	large.Rules.OverloadMultiple, large.Rules.OverloadDuration, large.Rules.SlowStartDuration = 4, 1_500_000, 15*second
	for name, s := range map[string]Settings{"N from 4": small, "N from 30": large} {
		s.Classes = []Class{{Name: "read", RetrySafety: Idempotent, LatencyObjective: 400_000, ClientTimeout: second,
			PriorityWeight: 1}}
		for _, balancers := range []int{5, 30} {
			t.Run(fmt.Sprintf("%s, %d balancers", name, balancers), func(t *testing.T) {
				t.Parallel()
				s := s // the subtests run in parallel
				s.Balancers = balancers
				highest := checkSumOfBudgets(t, s, balancers)
				withoutSlowStart, alone := s, s
				withoutSlowStart.Rules.SlowStartDuration = 0
				alone.Balancers = 1
				maxWithoutSlowStart, maxBelievedAlone := 0.0, 0.0
				for seed := range uint64(3) {
					run := slowStartRun{endpointSettings: s, balancers: balancers, seed: seed + 1, burstAt: second}
					run.balancerSettings, run.quietLoad = withoutSlowStart, 0.05
					load, _ := run.run(t)
					maxWithoutSlowStart = max(maxWithoutSlowStart, load)
					run.balancerSettings, run.quietLoad = alone, 0.4
					load, _ = run.run(t)
					maxBelievedAlone = max(maxBelievedAlone, load)
				}
				t.Logf("at most %.2f of the allowed load; %.2f by balancers without slow start, "+
					"%.2f by balancers with a fleet size of 1", highest, maxWithoutSlowStart, maxBelievedAlone)
				isSeen := maxWithoutSlowStart > maxSumOfBudgets && (balancers != 30 || maxBelievedAlone > maxSumOfBudgets)
				if s.Rules == small.Rules && !isSeen {
					t.Errorf("the check does not detect balancers without slow start (%.2f), or with a fleet "+
						"size of 1 (%.2f)", maxWithoutSlowStart, maxBelievedAlone)
				}
			})
		}
	}
}

// checkSumOfBudgets simulates bursts after light and heavy traffic at several times, checks the highest load of
// each run and returns the highest of all.
func checkSumOfBudgets(t *testing.T, s Settings, balancers int) float64 {
	t.Helper()
	highest := 0.0
	for seed := range uint64(3) {
		for _, quietLoad := range []float64{0.05, 0.4} {
			for _, burstAt := range []Micros{100_000, second, 3 * second} {
				run := slowStartRun{endpointSettings: s, balancerSettings: s, balancers: balancers, seed: seed + 1,
					quietLoad: quietLoad, burstAt: burstAt}
				load, served := run.run(t)
				if served < 500 {
					t.Fatalf("only %d requests were served, want at least 500", served)
				}
				if load > maxSumOfBudgets {
					t.Errorf("seed %d, from %.2f to 1.5 of capacity after %.1f s: %.2f of the allowed load",
						seed+1, quietLoad, float64(burstAt)/float64(second), load)
				}
				highest = max(highest, load)
			}
		}
	}
	return highest
}
