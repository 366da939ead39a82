package balancer

import (
	"fmt"
	"testing"
)

func TestSameEventsSameActions(t *testing.T) {
	run := func() *recorder {
		b, r := start(t, testSettings(), ready(5))
		for i := range uint64(200) {
			now := Micros(i) * 7000
			b.RequestArrived(now, requestOf(i, uint8(i%5), now))
			if i%3 == 0 {
				b.TimerFired(now, timerProbeRound)
				b.LoadProbeResult(now, uint32(i%5+1), OK, 500, []float32{float32(i % 4)})
			}
			last := r.attempts[len(r.attempts)-1]
			b.AttemptFinished(now, Outcome{ID: last.id, Endpoint: last.endpoint, Status: Status(i % 7), Latency: 3000})
		}
		return r
	}
	if a, b := fmt.Sprint(run()), fmt.Sprint(run()); a != b {
		t.Error("two runs with the same events led to different actions")
	}
}

func TestRequestDoesNotAllocate(t *testing.T) {
	b, r := start(t, testSettings(), ready(5))
	id := uint64(0)
	once := func() {
		id++
		r.attempts, r.timers, r.delays = r.attempts[:0], r.timers[:0], r.delays[:0]
		b.RequestArrived(1000, requestOf(id, 0, 1000))
		b.AttemptFinished(2000, Outcome{ID: id, Endpoint: r.attempts[0].endpoint, Status: OK, Latency: 1000, RequestDone: true})
	}
	for range 100 {
		once()
	}
	if n := testing.AllocsPerRun(200, once); n > 0.1 {
		t.Errorf("%v allocations per request, want at most 0.1", n)
	}
}
