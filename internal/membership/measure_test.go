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
	measureTo    = flag.String("measure", "", "write the figures of simulated fleets, as distributions over seeds, to this JSON file")
	measureSeeds = flag.Int("seeds", 30, "seeds a figure, with -measure")
	measureOnly  = flag.Int("size", 0, "members of the fleets, with -measure; 0 for 5, 50 and 300")
)

// figures are values over seeds, by name.
type figures struct {
	mu     sync.Mutex
	values map[string][]float64
}

func (f *figures) add(name string, v float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.values[name] = append(f.values[name], v)
}

// spread is a figure's distribution.
type spread struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"` // of fewer than 100 values the largest
	Max  float64 `json:"max"`
	Runs int     `json:"runs"`
}

func (f *figures) spreads() map[string]spread {
	all := map[string]spread{}
	for name, v := range f.values {
		slices.Sort(v)
		all[name] = spread{v[len(v)/2], v[min(len(v)-1, len(v)*99/100)], v[len(v)-1], len(v)}
	}
	return all
}

// sent is what all links sent, in datagrams and bytes, over all channels.
func (s *sim) sent() (datagrams, bytes, held float64) {
	for _, n := range s.running(nil) {
		counts, _ := n.link.Counts()
		for _, c := range counts {
			datagrams, bytes, held = datagrams+float64(c.SentDatagrams), bytes+float64(c.SentBytes), held+float64(c.RateLimited)
		}
	}
	return
}

const measurePatience = 10 * time.Minute

// measure plays one seed: cold start, calm, a crash, a return, half against
// half for a minute, healed. Losses are on from the start.
func measure(s *sim, f *figures, name string) {
	n := len(s.nodes)
	took := func(what string, d time.Duration) { f.add(name+" "+what+"_s", d.Seconds()) }
	s.startAll()
	took("cold_start", s.settles("cold start", s.running(nil), measurePatience))
	time.Sleep(30 * time.Second) // what it began with is told to all
	d0, b0, _ := s.sent()
	time.Sleep(time.Minute)
	d1, b1, _ := s.sent()
	f.add(name+" calm_datagrams_per_s", (d1-d0)/float64(n)/60)
	f.add(name+" calm_bytes_per_s", (b1-b0)/float64(n)/60)
	last := s.nodes[n-1]
	last.end(false)
	took("crash_known", s.settles("crash", s.running(nil), measurePatience))
	last.start(Options{})
	took("return", s.settles("return", s.running(nil), measurePatience))
	if n > 5 {
		s.set(func(a, b int) bool { return a < n/2 != (b < n/2) }, s.bad)
		both := s.settles("half", s.running(func(i int) bool { return i < n/2 }), measurePatience)
		both += s.settles("other half", s.running(func(i int) bool { return i >= n/2 }), measurePatience)
		took("split", both)
		time.Sleep(max(0, time.Minute-both))
		s.set(nil, s.bad)
		took("healed", s.settles("healed", s.running(nil), measurePatience))
	}
	_, _, held := s.sent()
	f.add(name+" held_back_datagrams_per_member", held/float64(n))
}

// falseRemovals counts removals of living members from settled views in the given time, at a loss and delays to 200 ms.
func falseRemovals(s *sim, f *figures, name string, loss float64, lasts time.Duration) {
	s.bad = impairment{loss: loss, delay: 200 * time.Millisecond}
	s.startAll()
	s.settles("cold start", s.running(nil), measurePatience)
	time.Sleep(20 * time.Second)
	before := map[int]uint64{}
	for _, n := range s.nodes {
		before[n.number] = n.view.StableView().Epoch
	}
	time.Sleep(lasts)
	moves := 0.0
	for _, n := range s.nodes {
		moves += float64(n.view.StableView().Epoch - before[n.number])
	}
	f.add(name+" view_moves_per_member_hour", moves/float64(len(s.nodes))/lasts.Hours())
	f.add(name+" member_minutes", float64(len(s.nodes))*lasts.Minutes())
}

// TestMeasure records distributions over seeds; it judges nothing but that fleets settle.
func TestMeasure(t *testing.T) {
	if *measureTo == "" {
		t.Skip("without -measure")
	}
	f := &figures{values: map[string][]float64{}}
	t.Run("all", func(t *testing.T) {
		for seed := range uint64(*measureSeeds) {
			for _, n := range []int{5, 50, 300} {
				if *measureOnly > 0 && n != *measureOnly {
					continue
				}
				for _, loss := range []float64{0, 0.01, 0.05, 0.2} {
					if n == 300 && loss != 0 && loss != 0.05 {
						continue
					}
					name := fmt.Sprintf("%d members, loss %v:", n, loss)
					t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
						t.Parallel()
						inSim(t, seed, n, func(s *sim) {
							s.bad = impairment{loss: loss, delay: 2 * time.Millisecond}
							measure(s, f, name)
						})
					})
				}
			}
			for _, loss := range []float64{0.05, 0.2} {
				if *measureOnly > 0 && *measureOnly != 50 {
					continue
				}
				name := fmt.Sprintf("50 members, loss %v, delays to 200ms:", loss)
				t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
					t.Parallel()
					inSim(t, seed, 50, func(s *sim) { falseRemovals(s, f, name, loss, 5*time.Minute) })
				})
			}
		}
	})
	text, err := json.MarshalIndent(f.spreads(), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(*measureTo, append(text, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}
