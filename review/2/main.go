// Command 2 plays a short day on which a few answers without a length never end, and checks that every client gets a final answer,
// or sees that the answer was broken off, at the latest half a second after its time.
package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramblestand/review/world"
)

const (
	servers  = 15
	sidecars = 2
	rate     = 100 // requests per second
	duration = 20 * time.Second

	noLengthShare = 0.1  // of the answers, have no length
	endlessShare  = 0.01 // of the answers, have no length and never end

	// grace is how long after its time a request may get its final answer: half a second, and 50 ms as all limits on sockets.
	grace = 550 * time.Millisecond
	// look is how long a client keeps its connection open to see what becomes of the request.
	look = 15 * time.Second
)

func main() { world.Main(100*time.Second, run) }

func run(o world.Options) (int, error) {
	fleet, err := world.NewFleet(o, servers)
	if err != nil {
		return 0, err
	}
	defer fleet.Close()
	var endless atomic.Int64
	for _, s := range fleet.Servers {
		s.Work = func() time.Duration { return time.Duration(60+rand.IntN(80)) * time.Millisecond }
		s.Answer = func(c *world.ServerConn, id string) bool {
			body := s.Body(id)
			switch draw := rand.Float64(); {
			case draw < endlessShare && o.Trouble:
				fleet.Record.Add("endless   %s at %s", id, s.Host.Name)
				writeEndless(c, body, endless.Add(1)%2 == 0)
				return false
			case draw < endlessShare+noLengthShare:
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", body)
				return false // the end of the connection is the end of the answer
			}
			return c.WriteAnswer(body)
		}
	}
	if err := fleet.Start(sidecars, world.Settings()); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	whole, brokenOff, late, wrong := 0, 0, 0, 0
	sent := fleet.Load(rate, duration, func(r *world.Request) { r.Wait = look }, func(r world.Request, a world.Answer) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case a.LastByteAt.IsZero():
			return // never written whole
		case a.IsOpen || a.Took() > r.TimeLeft+grace:
			late++
			fleet.Record.Say("LOST      %s: status %d, %q of the body, no end within %.2f s (%.2f s, still open: %t)", r.ID, a.Status, a.Body,
				(r.TimeLeft + grace).Seconds(), a.Took().Seconds(), a.IsOpen)
		case !a.IsWhole:
			brokenOff++
		default:
			whole++
			if a.Status == 200 && !strings.HasPrefix(string(a.Body), "saved "+r.ID+" at ") {
				wrong++
			}
		}
	})
	fleet.Record.Say("%d requests sent, %d answered whole and in time, %d broken off in time, %d answers that never end, %d without a final answer",
		sent, whole, brokenOff, endless.Load(), late)
	if err := fleet.SidecarsRun(); err != nil {
		return 0, err
	}
	if late > 0 || wrong > 0 {
		return world.ExitBroken, nil
	}
	return world.ExitHeld, nil
}

// writeEndless writes an answer without a length that stops amid its body: for good, or to go on with a byte a second. It returns
// when the sidecar has closed the connection.
func writeEndless(c *world.ServerConn, body string, dribble bool) {
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", body[:len(body)/2]); err != nil {
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.Read(make([]byte, 1))
	}()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-closed:
			return
		case <-ticker.C:
			if dribble {
				c.Write([]byte("."))
			}
		}
	}
}
