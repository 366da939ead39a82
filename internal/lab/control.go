package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramblestand/internal/controltraffic"
)

// When control traffic is sampled, on the lab's clock. Sidecars start before the load and probe all endpoints of their
// first list: that burst has ended by startSpanEnd, and its connections are closed by steadySpanStart.
const (
	startSpanEnd      = 10 * time.Second
	steadySpanStart   = 15 * time.Second
	minSteadyDuration = 5 * time.Second // of the steady span
	maxControlCalls   = 16              // sidecars sampled at a time
	controlSlack      = 2 * time.Second // maximum difference of a sidecar's and the lab's time between two samples; else it was restarted
)

// Control is the control traffic of the sidecars by their own counts, in runs with operators: from each process's start
// to startSpanEnd, and from steadySpanStart to the load's end if that is at least minSteadyDuration.
type Control struct {
	Start  ControlSpan  `json:"start"`
	Steady *ControlSpan `json:"steady,omitempty"`
}

// ControlSpan is the means over the sidecars that were not restarted in it.
type ControlSpan struct {
	Sidecars  int                    `json:"sidecars"`
	Seconds   float64                `json:"seconds"`              // mean duration
	WireBytes float64                `json:"wire_bytes_per_s"`     // of a sidecar, all kinds in both directions, with estimated headers
	MaxBytes  float64                `json:"wire_bytes_per_s_max"` // of the sidecar with the maximum
	Kinds     map[string]ControlRate `json:"kinds"`
	CPU       float64                `json:"cpu_share"` // cores used by the process, for all of its work
	// What the kernel counted on the loopback interface meanwhile, of all that used it, without Ethernet's frames,
	// which loopback does not count.
	LoopbackBytes   float64 `json:"loopback_bytes_per_s"`
	LoopbackPackets float64 `json:"loopback_packets_per_s"`
}

// ControlRate is the traffic of one kind, per sidecar and second.
type ControlRate struct {
	Sent          float64 `json:"sent_per_s"` // messages
	SentBytes     float64 `json:"sent_bytes_per_s"`
	Received      float64 `json:"received_per_s"`
	ReceivedBytes float64 `json:"received_bytes_per_s"`
	Connections   float64 `json:"connections_per_s"` // opened, accepted and failed
	Packets       float64 `json:"packets_per_s"`     // estimated
	WireBytes     float64 `json:"wire_bytes_per_s"`  // estimated
}

// controlSample is the control traffic of all sidecars at one time.
type controlSample struct {
	status   map[int]controltraffic.Status // by sidecar
	at       map[int]time.Duration         // when it responded
	cpu      map[int]time.Duration
	loopback [2]uint64 // bytes, packets
}

// measureControl samples all sidecars at the times above. before is the loopback's count before they started.
func (o *operators) measureControl(ctx context.Context, before [2]uint64) *Control {
	end := o.exp.Duration.Duration
	if !o.requests.waitUntil(ctx, min(startSpanEnd, end)) {
		return nil
	}
	start := o.controlSample()
	c := &Control{Start: spanBetween(controlSample{loopback: before}, start)}
	if end < steadySpanStart+minSteadyDuration || !o.requests.waitUntil(ctx, steadySpanStart) {
		return c
	}
	from := o.controlSample()
	if !o.requests.waitUntil(ctx, end) {
		return c
	}
	steady := spanBetween(from, o.controlSample())
	c.Steady = &steady
	return c
}

// controlSample samples all sidecars, maxControlCalls at a time.
func (o *operators) controlSample() controlSample {
	s := controlSample{status: map[int]controltraffic.Status{}, at: map[int]time.Duration{}, cpu: map[int]time.Duration{}}
	var mu sync.Mutex // guards s
	ForEach(o.exp.Fleet.Sidecars, maxControlCalls, func(i int) {
		code, text := o.adminCall(http.MethodGet, i, "/control", "")
		var status controltraffic.Status
		if code != http.StatusOK || json.Unmarshal([]byte(text), &status) != nil {
			return // it is down or not ready yet
		}
		cpu := o.sidecars.cpuTime(i)
		mu.Lock()
		defer mu.Unlock()
		s.status[i], s.at[i], s.cpu[i] = status, o.requests.Elapsed(), cpu
	})
	s.loopback = loopbackSent()
	return s
}

// spanBetween returns the rates between two samples; from an empty one, since each process's start.
func spanBetween(from, to controlSample) ControlSpan {
	s := ControlSpan{Kinds: map[string]ControlRate{}}
	for i, now := range to.status {
		then, ok := from.status[i]
		seconds := now.Seconds - then.Seconds
		off := time.Duration(seconds*float64(time.Second)) - (to.at[i] - from.at[i])
		if from.status != nil && (!ok || off.Abs() > controlSlack) {
			continue // it did not respond, or is another process
		}
		s.Sidecars++
		s.Seconds += seconds
		s.CPU += (to.cpu[i] - from.cpu[i]).Seconds() / seconds
		wire := float64(now.WireBytes-then.WireBytes) / seconds
		s.WireBytes += wire
		s.MaxBytes = max(s.MaxBytes, wire)
		for name, kind := range now.Kinds {
			k, r := kind.Sub(then.Kinds[name]), s.Kinds[name]
			r.Sent += float64(k.Sent.Messages) / seconds
			r.SentBytes += float64(k.Sent.Bytes) / seconds
			r.Received += float64(k.Received.Messages) / seconds
			r.ReceivedBytes += float64(k.Received.Bytes) / seconds
			r.Connections += float64(k.Opened+k.Accepted+k.Failed) / seconds
			r.Packets += float64(k.Sent.Packets+k.Received.Packets) / seconds
			r.WireBytes += float64(k.TotalWireBytes()) / seconds
			s.Kinds[name] = r
		}
	}
	n := float64(max(1, s.Sidecars))
	s.Seconds, s.CPU, s.WireBytes = s.Seconds/n, s.CPU/n, s.WireBytes/n
	for name, r := range s.Kinds {
		s.Kinds[name] = ControlRate{r.Sent / n, r.SentBytes / n, r.Received / n, r.ReceivedBytes / n, r.Connections / n, r.Packets / n, r.WireBytes / n}
	}
	if s.Seconds > 0 {
		s.LoopbackPackets = float64(to.loopback[1]-from.loopback[1]) / s.Seconds
		s.LoopbackBytes = float64(to.loopback[0]-from.loopback[0]) / s.Seconds
	}
	return s
}

// loopbackSent returns the bytes and packets that the loopback interface has sent.
func loopbackSent() (n [2]uint64) {
	text, _ := os.ReadFile("/proc/net/dev")
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "lo:"); ok {
			if fields := strings.Fields(rest); len(fields) > 9 {
				n[0], _ = strconv.ParseUint(fields[8], 10, 64)
				n[1], _ = strconv.ParseUint(fields[9], 10, 64)
			}
		}
	}
	return n
}

// String describes it in two lines.
func (c *Control) String() string {
	line := func(name string, s *ControlSpan) string {
		text := fmt.Sprintf("control, %s of %.1f s, a sidecar: %.0f B/s (maximum %.0f)", name, s.Seconds, s.WireBytes, s.MaxBytes)
		for _, kind := range controltraffic.Kinds {
			text += fmt.Sprintf(", %s %.0f", kind, s.Kinds[kind].WireBytes)
		}
		return text + fmt.Sprintf("; %.2f%% of a core\n", s.CPU*100)
	}
	text := line("start", &c.Start)
	if c.Steady != nil {
		text += line("steady", c.Steady)
	}
	return text
}
