package balancer

import (
	"testing"
)

func TestDrainingEndpointGetsNothing(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	b.UpdateEndpoints(1000, UpdateDelta, []Endpoint{{ID: 1, State: Draining}})
	b.UpdateEndpoints(1000, UpdateFull, []Endpoint{{ID: 1, State: Draining}, {ID: 3, State: Ready}})
	for id := range uint64(20) {
		b.RequestArrived(2000, requestOf(id, 0, 2000))
	}
	for _, s := range r.attempts {
		if s.endpoint == 1 || s.endpoint == 2 {
			t.Fatalf("an attempt started at endpoint %d, which is draining or removed", s.endpoint)
		}
	}
}
