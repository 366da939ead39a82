package balancer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

const (
	slowStartWork      = 80_000 // of a request on one core of a warm endpoint
	slowStartCores     = 2
	slowStartRoundTrip = 300 // to an endpoint, and back again
)

// slowStartFleet is many balancers and their endpoints on a simulated clock. Each endpoint works at a few requests
// side by side, in order, slower while it is cold; requests come at random, and to any balancer alike.
type slowStartFleet struct {
	t         *testing.T
	settings  Settings
	now       Micros
	events    fleetEvents
	random    *rand.Rand
	balancers []*slowStartBalancer
	endpoints map[uint32]*slowStartEndpoint
	lastID    uint64
	served    int
}

type slowStartEndpoint struct {
	startedAt Micros // of its warm-up; 0 for long ago
	freeAt    [slowStartCores]Micros
	inFlight  int
	arrivals  []Micros
}

type fleetEvent struct {
	at Micros
	n  int // those of one instant come in order
	do func()
}

type fleetEvents []fleetEvent

func (h fleetEvents) Len() int { return len(h) }

func (h fleetEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}

func (h fleetEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *fleetEvents) Push(x any) { *h = append(*h, x.(fleetEvent)) }

func (h *fleetEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (f *slowStartFleet) in(delay Micros, do func()) {
	f.lastID++
	heap.Push(&f.events, fleetEvent{f.now + delay, int(f.lastID), do})
}

func (f *slowStartFleet) run(until Micros) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// warmth is what an endpoint's capacity is of a warm one's.
func (f *slowStartFleet) warmth(e *slowStartEndpoint, at Micros) float64 {
	c := &f.settings.Rules
	if e.startedAt == 0 || at-e.startedAt >= c.SlowStartDuration {
		return 1
	}
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*float64(at-e.startedAt)/float64(c.SlowStartDuration)
}

// slowStartBalancer is one of the balancers, and carries out its actions.
type slowStartBalancer struct {
	f *slowStartFleet
	b *Balancer
}

func (c *slowStartBalancer) StartAttempt(id uint64, endpoint uint32, _ Micros) {
	f, e := c.f, c.f.endpoints[endpoint]
	sent, attempt := f.now, len(c.b.requests[id].attempts)-1
	f.in(slowStartRoundTrip, func() {
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
		e.freeAt[core] = start + Micros(work/f.warmth(e, start))
		f.in(e.freeAt[core]-f.now, func() {
			e.inFlight--
			f.in(slowStartRoundTrip, func() {
				f.served++
				c.b.AttemptFinished(f.now, Outcome{ID: id, Attempt: attempt, Endpoint: endpoint, Status: OK, Latency: f.now - sent, RequestDone: true})
			})
		})
	})
}

func (c *slowStartBalancer) SendLoadProbe(endpoint uint32) {
	f, e := c.f, c.f.endpoints[endpoint]
	f.in(slowStartRoundTrip, func() {
		load := []float32{float32(e.inFlight)}
		f.in(slowStartRoundTrip, func() { c.b.LoadProbeResult(f.now, endpoint, OK, 2*slowStartRoundTrip, load) })
	})
}

func (c *slowStartBalancer) SetTimer(delay Micros, token uint32) {
	c.f.in(delay, func() { c.b.TimerFired(c.f.now, token) })
}

func (c *slowStartBalancer) Reject(uint64, Micros) {}

func (c *slowStartBalancer) Fail(uint64) {}

func (c *slowStartBalancer) CancelAttempt(uint64, int) {}

func (c *slowStartBalancer) SendGossip([]byte) {}

func (c *slowStartBalancer) WatchEndpoints(bool) {}

func (c *slowStartBalancer) Log(string, ...LogField) {}

// playSlowStart has an endpoint join beside nine warm ones, another start anew a second later, and a burst of requests come
// some time after: it returns the most that came to either of them within the time that the settings name, as a share
// of what is let pass.
func playSlowStart(t *testing.T, s Settings, balancers int, believed Settings, seed uint64, quiet float64, after Micros) (most float64, served int) {
	t.Helper()
	const joins, burst, lasts = 5 * second, 1.5, 3 * second
	f := &slowStartFleet{t: t, settings: s, random: rand.New(rand.NewPCG(seed, 0xc01d)), endpoints: map[uint32]*slowStartEndpoint{}}
	list := ready(9)
	for _, e := range list {
		f.endpoints[e.ID] = &slowStartEndpoint{}
	}
	for i := range balancers {
		c := &slowStartBalancer{f: f}
		var err error
		if c.b, err = New(believed, seed*1000+uint64(i), c); err != nil {
			t.Fatal(err)
		}
		f.balancers = append(f.balancers, c)
		c.b.Start(0)
		c.b.UpdateEndpoints(0, UpdateFull, list)
	}
	capacity := 9 * slowStartCores * float64(second) / slowStartWork // requests a second
	var come func()
	id := uint64(0)
	come = func() {
		rate := quiet * capacity
		if f.now >= joins+after && f.now < joins+after+lasts {
			rate = burst * capacity
		}
		c := f.balancers[f.random.IntN(balancers)]
		id++
		c.b.RequestArrived(f.now, Request{ID: id, Deadline: f.now + second})
		f.in(1+Micros(f.random.ExpFloat64()*float64(second)/rate), come)
	}
	f.in(1, come)
	for _, cold := range []struct {
		id uint32
		at Micros
	}{{10, joins}, {4, joins + second}} {
		f.in(cold.at, func() {
			f.endpoints[cold.id] = &slowStartEndpoint{startedAt: f.now}
			for _, c := range f.balancers {
				c.b.UpdateEndpoints(f.now, UpdateDelta, []Endpoint{{ID: cold.id, Zone: uint8(cold.id / 2), Weight: 1, StartTime: f.now}})
			}
		})
	}
	f.run(joins + second + after + lasts)
	for _, id := range []uint32{10, 4} {
		e := f.endpoints[id]
		for from, to := 0, 0; from < len(e.arrivals); from++ {
			for to < len(e.arrivals) && e.arrivals[to] < e.arrivals[from]+s.Rules.OverloadDuration {
				to++
			}
			n := s.Rules.OverloadMultiple * f.warmth(e, e.arrivals[from]) * slowStartCores * float64(s.Rules.OverloadDuration) / slowStartWork
			most = max(most, float64(to-from)/(n+2*math.Sqrt(n)+2))
		}
	}
	return most, f.served
}

// maxSumOfBudgets is the part of what is let pass that the balancers may come to: some is kept for networks less even.
const maxSumOfBudgets = 0.6

// What is sent to a cold endpoint by all balancers together stays within its budget of N requests and chance, 2 x root
// of N + 2, with few balancers and many, in a burst out of little traffic or much at any time after its start.
func TestWarmingEndpointBearsTheSumOfAllBalancers(t *testing.T) {
	small, usual := testSettings(), testSettings()
	small.Rules.OverloadMultiple, small.Rules.SlowStartMinCapacity = 1.5, 0.1
	usual.Rules.OverloadMultiple, usual.Rules.OverloadDuration, usual.Rules.SlowStartDuration = 4, 1_500_000, 15*second
	for name, s := range map[string]Settings{"N from 4": small, "N from 30": usual} {
		s.Classes = []Class{{Name: "read", RetrySafety: Idempotent, LatencyObjective: 400_000, ClientTimeout: second, PriorityWeight: 1}}
		for _, balancers := range []int{5, 30} {
			t.Run(fmt.Sprintf("%s, %d balancers", name, balancers), func(t *testing.T) {
				t.Parallel()
				worst, careless, selfish := 0.0, 0.0, 0.0
				s := s // the others run beside this one
				s.Balancers = balancers
				reckless, alone := s, s
				alone.Balancers = 1
				reckless.Rules.SlowStartDuration = 0 // told to these balancers: nothing is cold
				for seed := range uint64(3) {
					for _, quiet := range []float64{0.05, 0.4} {
						for _, after := range []Micros{100_000, second, 3 * second} {
							most, served := playSlowStart(t, s, balancers, s, seed+1, quiet, after)
							if served < 500 {
								t.Fatalf("only %d requests were served", served)
							}
							if worst = max(worst, most); most > maxSumOfBudgets {
								t.Errorf("seed %d, from %.2f to 1.5 of capacity after %.1f s: %.2f of what is let pass",
									seed+1, quiet, float64(after)/float64(second), most)
							}
						}
					}
					most, _ := playSlowStart(t, s, balancers, reckless, seed+1, 0.05, second)
					careless = max(careless, most)
					most, _ = playSlowStart(t, s, balancers, alone, seed+1, 0.4, second)
					selfish = max(selfish, most)
				}
				t.Logf("at most %.2f of what is let pass; %.2f by balancers that know of no cold, %.2f by such as believe to be alone", worst, careless, selfish)
				if s.Rules == small.Rules && (careless <= maxSumOfBudgets || balancers == 30 && selfish <= maxSumOfBudgets) {
					t.Errorf("the check does not see balancers that know of no cold, or of each other: %.2f, %.2f", careless, selfish)
				}
			})
		}
	}
}
