// Command 3 plays a short day on which half of the pin servers hang for some seconds, and later the other half, while some requests
// are long. It checks that every request that was written whole gets a final answer at the latest half a second after its time.
package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramblestand/review/world"
)

const (
	servers  = 20
	sidecars = 2
	rate     = 60 // requests per second
	duration = 42 * time.Second

	longShare = 0.5     // of the requests
	minLong   = 9 << 19 // bytes
	maxLong   = 8 << 20

	hangsFor = 12 * time.Second

	// grace is how long after its time a request may get its final answer: half a second, and 50 ms as all limits on sockets.
	grace = 550 * time.Millisecond
	// look is how long a client looks for the answer, to see what becomes of the request.
	look = 20 * time.Second
)

// hangsAt are the times at which one half of the pin servers begins to hang, and the other half.
var hangsAt = [2]time.Duration{5 * time.Second, 25 * time.Second}

func main() { world.Main(110*time.Second, run) }

func run(o world.Options) (int, error) {
	fleet, err := world.NewFleet(o, servers)
	if err != nil {
		return 0, err
	}
	defer fleet.Close()
	var hangs [2]atomic.Bool
	for i, s := range fleet.Servers {
		s.Work = func() time.Duration { return time.Duration(60+rand.IntN(80)) * time.Millisecond }
		s.Hangs = hangs[i%2].Load
	}
	if err := fleet.Start(sidecars, world.Settings()); err != nil {
		return 0, err
	}
	for half, at := range hangsAt {
		if !o.Trouble {
			break
		}
		time.AfterFunc(at, func() { fleet.Record.Say("half of the pin servers hang"); hangs[half].Store(true) })
		time.AfterFunc(at+hangsFor, func() { fleet.Record.Say("they go on"); hangs[half].Store(false) })
	}
	var mu sync.Mutex
	answered, unwritten, late, wrong := 0, 0, 0, 0
	statuses := map[int]int{}
	sent := fleet.Load(rate, duration, func(r *world.Request) {
		r.Wait = look
		if fleet.Random.Float64() < longShare {
			r.Body = make([]byte, minLong+fleet.Random.IntN(maxLong-minLong))
		}
	}, func(r world.Request, a world.Answer) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case a.LastByteAt.IsZero():
			unwritten++
		case a.IsOpen || a.Took() > r.TimeLeft+grace:
			late++
			fleet.Record.Say("LOST      %s, %d bytes: status %d after %.2f s, not within %.2f s (still open: %t)", r.ID, len(r.Body), a.Status,
				a.Took().Seconds(), (r.TimeLeft + grace).Seconds(), a.IsOpen)
		default:
			answered++
			statuses[a.Status]++
			if a.Status == 200 && !strings.HasPrefix(string(a.Body), "saved "+r.ID+" at ") {
				wrong++
			}
		}
	})
	fleet.Record.Say("%d requests sent, %d answered in time %v, %d never written whole, %d without a final answer in time",
		sent, answered, statuses, unwritten, late)
	if err := fleet.SidecarsRun(); err != nil {
		return 0, err
	}
	if late > 0 || wrong > 0 {
		return world.ExitBroken, nil
	}
	return world.ExitHeld, nil
}
