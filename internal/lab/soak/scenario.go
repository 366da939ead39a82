package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// Limits that the protocol sets on what the platform does.
const (
	maxDeadline       = 3 * time.Second
	killAfterDeadline = 700 * time.Millisecond // SIGKILL follows SIGTERM no earlier than the longest deadline plus this
	minConnectTime    = 200 * time.Millisecond // clients open connections for at least this long after SIGTERM
	maxConnectTime    = 400 * time.Millisecond // and for at most this long
)

// Sizes of a scenario.
const (
	endpointCount  = 4
	clientCount    = 14
	sidecarSockets = 256 // limit of the sidecar's sockets, in its settings
	idleConnCount  = 300 // more idle connections than sidecarSockets allows
)

// Limits of a series of signals.
const (
	minSeriesLength   = 3
	maxSeriesLength   = 10
	maxSeriesLead     = 200 * time.Millisecond // from its first signal to SIGTERM
	maxSeriesInterval = 60 * time.Millisecond
)

// FloodKind is what each connection of a flood sends.
type FloodKind string

// The kinds of floods.
const (
	FloodSilent      FloodKind = "silent" // sends nothing
	FloodPartialHead FloodKind = "partial head"
	FloodInvalid     FloodKind = "invalid request"
	FloodMalformed   FloodKind = "malformed request"
	// FloodFast sends requests without time left as fast as it can, pipelined on some connections and on a new connection each.
	FloodFast FloodKind = "fast"
)

// floodKinds are the kinds of floods of connections.
var floodKinds = []FloodKind{FloodSilent, FloodPartialHead, FloodInvalid, FloodMalformed}

// maxConns returns how many connections are open at the same time. Those of FloodFast are closed at once.
func (k FloodKind) maxConns() int {
	if k == FloodFast {
		return 0
	}
	return maxFloodConns
}

// text returns what each connection sends.
func (k FloodKind) text() string {
	switch k {
	case FloodPartialHead:
		return "GET / HTTP/1.1\r\n"
	case FloodInvalid:
		return "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	case FloodMalformed:
		return "z\r\n\r\n" + strings.Repeat("z", 9000)
	case FloodFast:
		return "GET /read/flood HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: flood\r\nX-Service-Class: read\r\nX-Time-Left-Ms: 0\r\n\r\n"
	default:
		return ""
	}
}

// TimedSignal is a signal that a process gets at a time relative to SIGTERM.
type TimedSignal struct {
	After  time.Duration // time after SIGTERM; negative for before
	Signal syscall.Signal
}

// Scenario is what happens in one run. It depends on the seed alone; when the events really occur varies with the machine.
type Scenario struct {
	Seed        uint64
	Deadline    time.Duration // time that every request has for its response
	LoadTime    time.Duration // time under load before SIGTERM
	ConnectTime time.Duration // how long clients open connections after SIGTERM

	Crash   bool // SIGKILL and a restart in the middle of the load
	Upgrade bool // a second process replaces the first before the last SIGTERM

	HasIdleConns bool // idleConnCount idle connections
	Floods       []FloodKind
	FaultLead    time.Duration // how long before SIGTERM the faults begin
	Hanging      int           // number of endpoints that read requests and never respond
	Breaking     int           // number of endpoints that break connections off without a complete response

	DiscoveryDown bool // discovery does not respond from FaultLead before SIGTERM on
	DrainEndpoint bool // discovery lists an endpoint as draining from FaultLead before SIGTERM on
	BanEndpoint   bool // an operator bans an endpoint FaultLead before SIGTERM
	DrainSidecar  bool // an operator drains the sidecar FaultLead before SIGTERM

	Signals       []TimedSignal // besides SIGTERM and SIGKILL
	SignalAtStart bool          // SIGHUP as soon as a process's admin server responds
}

// Draw returns the random scenario of a seed, which is always the same for a seed.
func Draw(seed uint64) Scenario {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	oneIn := func(n int) bool { return random.IntN(n) == 0 }
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	deadlines := []time.Duration{300, 600, 1000, 2000, 3000} // milliseconds
	s := Scenario{
		Seed:         seed,
		Deadline:     deadlines[random.IntN(len(deadlines))] * time.Millisecond,
		LoadTime:     between(500*time.Millisecond, 1500*time.Millisecond),
		ConnectTime:  between(minConnectTime, maxConnectTime),
		FaultLead:    between(0, 300*time.Millisecond),
		Hanging:      random.IntN(3),
		Breaking:     random.IntN(2),
		HasIdleConns: oneIn(3),
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
	if oneIn(3) {
		s.Signals = append(s.Signals, drawSeries(random, s.Deadline)...)
	}
	if oneIn(4) {
		s.Floods = append(s.Floods, FloodFast)
	}
	return s
}

// drawSeries draws signals that follow each other closely, from before SIGTERM on or after it.
func drawSeries(random *rand.Rand, deadline time.Duration) (signals []TimedSignal) {
	at := time.Duration(random.Int64N(int64(deadline+maxSeriesLead))) - maxSeriesLead
	for range minSeriesLength + random.IntN(maxSeriesLength-minSeriesLength+1) {
		signal := syscall.SIGHUP
		if at >= 0 && random.IntN(2) == 0 { // a SIGTERM before the one that counts would be that one
			signal = syscall.SIGTERM
		}
		signals = append(signals, TimedSignal{at, signal})
		at += time.Duration(random.Int64N(int64(maxSeriesInterval)))
	}
	return signals
}

// killAfter returns how long after SIGTERM SIGKILL follows.
func (s *Scenario) killAfter() time.Duration { return min(s.Deadline, maxDeadline) + killAfterDeadline }

// String describes the scenario in one line.
func (s *Scenario) String() string {
	parts := []string{fmt.Sprintf("seed %d: deadline %v, SIGTERM after %v", s.Seed, s.Deadline, s.LoadTime.Round(time.Millisecond))}
	for _, part := range []struct {
		applies bool
		text    string
	}{
		{s.Crash, "crash"}, {s.Upgrade, "upgrade"}, {s.HasIdleConns, "crowd"}, {len(s.Floods) > 0, fmt.Sprintf("floods %q", s.Floods)},
		{s.Hanging > 0, fmt.Sprintf("%d hang", s.Hanging)}, {s.Breaking > 0, fmt.Sprintf("%d break off", s.Breaking)},
		{s.DiscoveryDown, "discovery down"}, {s.DrainEndpoint, "endpoint drained"}, {s.BanEndpoint, "endpoint banned"},
		{s.DrainSidecar, "sidecar drained"}, {s.SignalAtStart, "SIGHUP at start"}, {len(s.Signals) > 0, fmt.Sprintf("%d more signals", len(s.Signals))},
	} {
		if part.applies {
			parts = append(parts, part.text)
		}
	}
	return strings.Join(parts, ", ")
}
