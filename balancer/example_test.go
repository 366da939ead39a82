package balancer_test

import (
	"fmt"

	"bramblestand/balancer"
)

// host prints the actions that a balancer requests; a sidecar carries them out.
type host struct{ sent []uint32 }

func (h *host) StartAttempt(id uint64, endpoint uint32, timeout, sendBefore balancer.Micros) {
	h.sent = append(h.sent, endpoint)
	fmt.Printf("send request %d to endpoint %d\n", id, endpoint)
}
func (h *host) Reject(id uint64, after balancer.Micros, _ balancer.RejectReason) {
	fmt.Printf("reject request %d\n", id)
}
func (h *host) Fail(id uint64)                                  { fmt.Printf("fail request %d\n", id) }
func (h *host) CancelAttempt(id uint64, attempt int)            {}
func (h *host) SetTimer(balancer.Micros, uint32)                {}
func (h *host) SendLoadProbe(endpoint uint32)                   {}
func (h *host) SendGossip(data []byte)                          {}
func (h *host) WatchEndpoints(on bool)                          {}
func (h *host) Log(message string, fields ...balancer.LogField) { fmt.Println(message, fields) }

func Example() {
	settings := balancer.Settings{
		Balancers:        1,
		Classes:          []balancer.Class{{Name: "read", RetrySafety: balancer.Idempotent, LatencyObjective: 200_000, ClientTimeout: 800_000, PriorityWeight: 1}},
		LoadReportFields: []balancer.LoadField{balancer.LoadFieldInFlight},
		Limits:           balancer.Limits{AllowLoadProbes: true, MaxAttempts: 2, MaxUnanswered: 1000},
		Rules:            balancer.Rules{SlowStartMinCapacity: 0.2, SlowStartDuration: 10_000_000, OverloadMultiple: 2.5},
		Objective:        balancer.Objective{Overall: 1},
	}
	h := &host{}
	b, err := balancer.New(settings, 1, h)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Start(0)
	b.UpdateEndpoints(0, balancer.UpdateCached, []balancer.Endpoint{{ID: 7}, {ID: 8}})
	b.LoadProbeResult(1_000, 7, balancer.OK, 500, []float32{2}) // endpoint 7 has two requests in flight,
	b.LoadProbeResult(1_000, 8, balancer.OK, 500, []float32{0}) // endpoint 8 none

	b.RequestArrived(2_000, balancer.Request{ID: 1, Deadline: 802_000})
	b.AttemptFinished(3_000, balancer.Outcome{ID: 1, Endpoint: 8, Status: balancer.Error, Latency: 1_000})
	b.AttemptFinished(40_000, balancer.Outcome{ID: 1, Attempt: 1, Endpoint: 7, Status: balancer.OK, Latency: 37_000, RequestDone: true})

	b.UpdateEndpoints(50_000, balancer.UpdateDelta, []balancer.Endpoint{{ID: 7, State: balancer.Removed}, {ID: 8, State: balancer.Draining}})
	b.RequestArrived(60_000, balancer.Request{ID: 2, Deadline: 860_000})
	// Output:
	// send request 1 to endpoint 8
	// send request 1 to endpoint 7
	// reject request 2
}
