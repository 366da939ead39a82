package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// Limits of what the protocol lets the platform do.
const (
	maxDeadline       = 3 * time.Second
	killAfterDeadline = 700 * time.Millisecond // SIGKILL follows SIGTERM at the longest deadline and this, at the earliest
	minConnectTime    = 200 * time.Millisecond // clients open connections for that long after SIGTERM
	maxConnectTime    = 400 * time.Millisecond
)

// Sizes of a scenario.
const (
	endpointCount  = 4
	clientCount    = 14
	sidecarSockets = 256
	crowdSize      = 300 // idle connections, more than the descriptors allow
)

// FloodKind is what each connection of a flood sends.
type FloodKind string

// The kinds of floods.
const (
	FloodSilent      FloodKind = "silent"
	FloodPartialHead FloodKind = "partial head"
	FloodInvalid     FloodKind = "invalid request"
	FloodMalformed   FloodKind = "malformed request"
)

var floodKinds = []FloodKind{FloodSilent, FloodPartialHead, FloodInvalid, FloodMalformed}

// text returns what is sent.
func (k FloodKind) text() string {
	switch k {
	case FloodPartialHead:
		return "GET / HTTP/1.1\r\n"
	case FloodInvalid:
		return "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	case FloodMalformed:
		return "z\r\n\r\n" + strings.Repeat("z", 9000)
	default:
		return ""
	}
}

// TimedSignal is a signal to a process.
type TimedSignal struct {
	After  time.Duration // after SIGTERM; negative for before
	Signal syscall.Signal
}

// Scenario is what happens in one run. Its times vary with the machine; what is drawn does not.
type Scenario struct {
	Seed     uint64
	Deadline time.Duration // of every request
	Load     time.Duration // before the end begins
	Connect  time.Duration // clients open connections for that long after SIGTERM

	Crash   bool // kill -9 and a restart in the middle of the load
	Upgrade bool // a second process takes over before the end

	HasCrowd  bool
	Floods    []FloodKind
	FaultLead time.Duration // endpoints' faults begin that long before SIGTERM
	Hanging   int           // endpoints that read requests and stay silent
	Breaking  int           // endpoints that break connections off instead of responding

	DiscoveryDown bool // silent from just before SIGTERM
	DrainEndpoint bool // a list that drains an endpoint is in flight at SIGTERM
	BanEndpoint   bool // an operator bans one before SIGTERM
	DrainSidecar  bool // an operator drains the sidecar before SIGTERM

	Signals       []TimedSignal
	SignalAtStart bool // SIGHUP as soon as a process has an admin address
}

// Draw draws the scenario of a seed.
func Draw(seed uint64) Scenario {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	oneIn := func(n int) bool { return random.IntN(n) == 0 }
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	deadlines := []time.Duration{300, 600, 1000, 2000, 3000} // milliseconds
	s := Scenario{
		Seed:      seed,
		Deadline:  deadlines[random.IntN(len(deadlines))] * time.Millisecond,
		Load:      between(500*time.Millisecond, 1500*time.Millisecond),
		Connect:   between(minConnectTime, maxConnectTime),
		FaultLead: between(0, 300*time.Millisecond),
		Hanging:   random.IntN(3),
		Breaking:  random.IntN(2),
		HasCrowd:  oneIn(3),
	}
	if oneIn(3) {
		for _, kind := range floodKinds {
			if oneIn(2) {
				s.Floods = append(s.Floods, kind)
			}
		}
	}
	s.Crash, s.Upgrade = oneIn(6), oneIn(5)
	s.DiscoveryDown, s.DrainEndpoint = oneIn(4), oneIn(3)
	s.BanEndpoint, s.DrainSidecar = oneIn(4), oneIn(5)
	s.SignalAtStart = oneIn(4)
	for range random.IntN(3) {
		s.Signals = append(s.Signals, TimedSignal{-between(0, 200*time.Millisecond), syscall.SIGHUP})
	}
	for range random.IntN(3) {
		s.Signals = append(s.Signals, TimedSignal{between(0, s.Deadline), []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[random.IntN(2)]})
	}
	return s
}

// killAfter returns when SIGKILL follows SIGTERM.
func (s *Scenario) killAfter() time.Duration { return min(s.Deadline, maxDeadline) + killAfterDeadline }

// String describes the scenario in a line.
func (s *Scenario) String() string {
	parts := []string{fmt.Sprintf("seed %d: deadline %v, SIGTERM after %v", s.Seed, s.Deadline, s.Load.Round(time.Millisecond))}
	for _, part := range []struct {
		isOn bool
		text string
	}{
		{s.Crash, "crash"}, {s.Upgrade, "upgrade"}, {s.HasCrowd, "crowd"}, {len(s.Floods) > 0, fmt.Sprintf("floods %q", s.Floods)},
		{s.Hanging > 0, fmt.Sprintf("%d hang", s.Hanging)}, {s.Breaking > 0, fmt.Sprintf("%d break off", s.Breaking)},
		{s.DiscoveryDown, "discovery down"}, {s.DrainEndpoint, "endpoint drained"}, {s.BanEndpoint, "endpoint banned"},
		{s.DrainSidecar, "sidecar drained"}, {s.SignalAtStart, "SIGHUP at start"}, {len(s.Signals) > 0, fmt.Sprintf("%d more signals", len(s.Signals))},
	} {
		if part.isOn {
			parts = append(parts, part.text)
		}
	}
	return strings.Join(parts, ", ")
}
