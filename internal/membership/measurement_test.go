//go:build go1.25

package membership

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

var (
	measureFile  = flag.String("measure", "", "write measurements of simulated fleets, as distributions over seeds, to this JSON file")
	measureSeeds = flag.Int("seeds", 30, "seeds per measurement, with -measure")
	measureSize  = flag.Int("size", 0, "members per fleet, with -measure; 0 for 5, 50 and 300")
)

// measurements holds the values of each measurement, one per seed, by name.
type measurements struct {
	valuesMu sync.Mutex
	values   map[string][]float64
}

func (f *measurements) add(name string, v float64) {
	f.valuesMu.Lock()
	defer f.valuesMu.Unlock()
	f.values[name] = append(f.values[name], v)
}

// distribution summarizes the values of one measurement.
type distribution struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"` // the largest value if there are at most 100
	Max  float64 `json:"max"`
	Runs int     `json:"runs"`
}

func (f *measurements) distributions() map[string]distribution {
	all := map[string]distribution{}
	for name, v := range f.values {
		slices.Sort(v)
		all[name] = distribution{v[len(v)/2], v[min(len(v)-1, len(v)*99/100)], v[len(v)-1], len(v)}
	}
	return all
}

// traffic is the number of datagrams and bytes sent, and of datagrams not sent because of the rate limit.
type traffic struct{ datagrams, bytes, rateLimited float64 }

// sent returns the traffic of all running nodes, over all channels.
func (s *simulation) sent() traffic {
	var sum traffic
	for _, n := range s.runningNodes(nil) {
		counts, _ := n.transport.Counts()
		for _, c := range counts {
			sum.datagrams += float64(c.SentDatagrams)
			sum.bytes += float64(c.SentBytes)
			sum.rateLimited += float64(c.RateLimited)
		}
	}
	return sum
}

const measureTimeout = 10 * time.Minute

// measure runs one seed: cold start, a minute without changes, a crash, the
// return of the crashed node and, in fleets of more than 5, a partition of at
// least a minute that then heals. The loss rate applies from the start.
func measure(s *simulation, f *measurements, name string) {
	n := len(s.nodes)
	record := func(what string, d time.Duration) { f.add(name+" "+what+"_s", d.Seconds()) }
	s.startAll()
	record("cold_start", s.awaitStable("cold start", s.runningNodes(nil), measureTimeout))
	time.Sleep(30 * time.Second) // until the gossip of the start has ended
	before := s.sent()
	time.Sleep(time.Minute)
	after := s.sent()
	f.add(name+" calm_datagrams_per_s", (after.datagrams-before.datagrams)/float64(n)/60)
	f.add(name+" calm_bytes_per_s", (after.bytes-before.bytes)/float64(n)/60)
	last := s.nodes[n-1]
	last.stop(false)
	record("crash_known", s.awaitStable("crash", s.runningNodes(nil), measureTimeout))
	last.start(Options{})
	record("return", s.awaitStable("return", s.runningNodes(nil), measureTimeout))
	if n > 5 {
		s.setNetwork(func(a, b int) bool { return a < n/2 != (b < n/2) }, s.impairment)
		both := s.awaitStable("half", s.runningNodes(func(i int) bool { return i < n/2 }), measureTimeout)
		both += s.awaitStable("other half", s.runningNodes(func(i int) bool { return i >= n/2 }), measureTimeout)
		record("split", both)
		time.Sleep(max(0, time.Minute-both))
		s.setNetwork(nil, s.impairment)
		record("healed", s.awaitStable("healed", s.runningNodes(nil), measureTimeout))
	}
	f.add(name+" held_back_datagrams_per_member", s.sent().rateLimited/float64(n))
}

// measureFalseRemovals records how often stable views change within a duration while no member stops, on a network with a
// loss rate and delays of up to 200 ms. Each change is due to the removal of an alive member or its return.
func measureFalseRemovals(s *simulation, f *measurements, name string, loss float64, duration time.Duration) {
	s.impairment = impairment{loss: loss, delay: 200 * time.Millisecond}
	s.startAll()
	s.awaitStable("cold start", s.runningNodes(nil), measureTimeout)
	time.Sleep(20 * time.Second)
	before := map[int]uint64{}
	for _, n := range s.nodes {
		before[n.number] = n.agent.StableView().Epoch
	}
	time.Sleep(duration)
	changes := 0.0
	for _, n := range s.nodes {
		changes += float64(n.agent.StableView().Epoch - before[n.number])
	}
	f.add(name+" view_moves_per_member_hour", changes/float64(len(s.nodes))/duration.Hours())
	f.add(name+" member_minutes", float64(len(s.nodes))*duration.Minutes())
}

// TestMeasure writes distributions over seeds to a file. It fails only if a fleet does not become stable.
func TestMeasure(t *testing.T) {
	if *measureFile == "" {
		t.Skip("runs only with -measure")
	}
	f := &measurements{values: map[string][]float64{}}
	t.Run("all", func(t *testing.T) {
		for seed := range uint64(*measureSeeds) {
			for _, n := range []int{5, 50, 300} {
				if *measureSize > 0 && n != *measureSize {
					continue
				}
				for _, loss := range []float64{0, 0.01, 0.05, 0.2} {
					if n == 300 && loss != 0 && loss != 0.05 {
						continue
					}
					name := fmt.Sprintf("%d members, loss %v:", n, loss)
					t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
						t.Parallel()
						inSimulation(t, seed, n, func(s *simulation) {
							s.impairment = impairment{loss: loss, delay: 2 * time.Millisecond}
							measure(s, f, name)
						})
					})
				}
			}
			for _, loss := range []float64{0.05, 0.2} {
				if *measureSize > 0 && *measureSize != 50 {
					continue
				}
				name := fmt.Sprintf("50 members, loss %v, delays to 200ms:", loss)
				t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
					t.Parallel()
					inSimulation(t, seed, 50, func(s *simulation) { measureFalseRemovals(s, f, name, loss, 5*time.Minute) })
				})
			}
		}
	})
	text, err := json.MarshalIndent(f.distributions(), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(*measureFile, append(text, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}
