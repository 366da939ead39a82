package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// testSettings returns default settings, which tests change as needed.
func testSettings() Settings {
	return Settings{
		Balancers: 2, Zones: 1, MachineTypes: 1, Tick: 5000,
		Classes: []Class{
			{Name: "read", RetrySafety: Idempotent, LatencyObjective: 400_000, ClientTimeout: second, PriorityWeight: 1},
			{Name: "keyed-all", RetrySafety: IdempotentWithKey, DedupScope: DedupScopeFleet, DedupWindow: 500_000, LatencyObjective: 400_000, ClientTimeout: second, PriorityWeight: 1},
			{Name: "keyed-zone", RetrySafety: IdempotentWithKey, DedupScope: DedupScopeZone, DedupWindow: 500_000, LatencyObjective: 400_000, ClientTimeout: second, PriorityWeight: 1},
			{Name: "keyed-pod", RetrySafety: IdempotentWithKey, DedupScope: DedupScopePod, DedupWindow: 500_000, LatencyObjective: 400_000, ClientTimeout: second, PriorityWeight: 1},
			{Name: "write", RetrySafety: NonIdempotent, LatencyObjective: 400_000, ClientTimeout: second, PriorityWeight: 1},
		},
		LoadReportFields: []LoadField{LoadFieldInFlight},
		Limits: Limits{AllowCancel: true, AllowLoadProbes: true, AllowHedging: true, AllowRetryAfter: true,
			MaxAttempts: 3, MaxUnanswered: 1000, MaxRetryAfter: second, DialTimeout: 100_000},
		Rules: Rules{DrainGrace: 500_000, SlowStartMinCapacity: 0.2, SlowStartDuration: 10 * second,
			OverloadMultiple: 2.5, OverloadDuration: second, MaxPollInterval: 10 * second},
		Objective: Objective{Overall: 1},
	}
}

type startedAttempt struct {
	id       uint64
	endpoint uint32
}

// recorder implements Actions and records the actions of a balancer.
type recorder struct {
	attempts   []startedAttempt
	rejected   []uint64
	reasons    []RejectReason // of the rejected requests
	sendBefore []Micros       // of each attempt
	failed     []uint64
	cancels    []uint64
	probes     []uint32
	gossip     [][]byte
	timers     []uint32
	delays     []Micros
	watches    int
	logs       []string
}

func (r *recorder) StartAttempt(id uint64, e uint32, _, sendBefore Micros) {
	r.attempts = append(r.attempts, startedAttempt{id, e})
	r.sendBefore = append(r.sendBefore, sendBefore)
}

func (r *recorder) Reject(id uint64, _ Micros, reason RejectReason) {
	r.rejected, r.reasons = append(r.rejected, id), append(r.reasons, reason)
}

func (r *recorder) Fail(id uint64) { r.failed = append(r.failed, id) }

func (r *recorder) CancelAttempt(id uint64, _ int) { r.cancels = append(r.cancels, id) }

func (r *recorder) SetTimer(delay Micros, token uint32) {
	r.timers, r.delays = append(r.timers, token), append(r.delays, delay)
}

func (r *recorder) SendLoadProbe(e uint32) { r.probes = append(r.probes, e) }

func (r *recorder) SendGossip(data []byte) { r.gossip = append(r.gossip, slices.Clone(data)) }

func (r *recorder) WatchEndpoints(bool) { r.watches++ }

// Log records a log line as a host may write it: the message, then key=value for each field.
func (r *recorder) Log(message string, fields ...LogField) {
	line := message
	for _, field := range fields {
		line += fmt.Sprintf(" %s=%v", field.Key, field.Value)
	}
	r.logs = append(r.logs, line)
}

// ready returns n ready endpoints with IDs from 1. Each pair of endpoints shares a pod and a zone.
func ready(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: uint32(i + 1), Zone: uint8(i / 2), Pod: uint16(i / 2), Weight: 1}
	}
	return list
}

// start returns a started balancer with an endpoint list, and the recorder of its actions.
func start(t *testing.T, s Settings, list []Endpoint) (*Balancer, *recorder) {
	t.Helper()
	r := &recorder{}
	b, err := New(s, 7, r)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	b.UpdateEndpoints(0, UpdateCached, list)
	return b, r
}

func requestOf(id uint64, class uint8, now Micros) Request {
	return Request{ID: id, Class: class, Deadline: now + second}
}

func isNear(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
