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

// Times on the lab's clock at which control traffic is sampled, and limits of the samples. Sidecars start before the load
// and probe all endpoints of their first list: that burst has ended by startSpanEnd, and its connections are closed by
// steadySpanStart.
const (
	startSpanEnd      = 10 * time.Second
	steadySpanStart   = 15 * time.Second
	minSteadyDuration = 5 * time.Second // minimum duration of the steady span
	maxControlCalls   = 16              // sidecars sampled at a time

	// controlSlack is how far the time between two samples may differ between a sidecar's clock and the lab's. A larger
	// difference means that the sidecar was restarted.
	controlSlack = 2 * time.Second
)

// Control is the control traffic that the sidecars counted themselves, in runs with operators. Start is the span from
// each process's start to startSpanEnd. Steady is the span from steadySpanStart to the load's end, nil if that is shorter
// than minSteadyDuration.
type Control struct {
	Start  ControlSpan  `json:"start"`
	Steady *ControlSpan `json:"steady,omitempty"`
}

// ControlSpan is the control traffic of one span, as means over the sidecars that were not restarted during it.
type ControlSpan struct {
	Sidecars  int                    `json:"sidecars"`
	Seconds   float64                `json:"seconds"`              // mean duration
	WireBytes float64                `json:"wire_bytes_per_s"`     // per sidecar, all kinds in both directions, with estimated headers
	MaxBytes  float64                `json:"wire_bytes_per_s_max"` // maximum over the sidecars
	Kinds     map[string]ControlRate `json:"kinds"`
	CPU       float64                `json:"cpu_share"` // cores used by the sidecar's processes for all of their work
	// What the kernel counted on the loopback interface during the span, for all of its users. Ethernet framing is not
	// included, since loopback does not count it.
	LoopbackBytes   float64 `json:"loopback_bytes_per_s"`
	LoopbackPackets float64 `json:"loopback_packets_per_s"`
}

// ControlRate is the control traffic of one kind, per sidecar and second.
type ControlRate struct {
	Sent          float64 `json:"sent_per_s"` // messages
	SentBytes     float64 `json:"sent_bytes_per_s"`
	Received      float64 `json:"received_per_s"`
	ReceivedBytes float64 `json:"received_bytes_per_s"`
	Connections   float64 `json:"connections_per_s"` // opened, accepted and failed
	Packets       float64 `json:"packets_per_s"`     // estimated
	WireBytes     float64 `json:"wire_bytes_per_s"`  // estimated
}

// controlSample is the control traffic that all sidecars counted up to one time. The maps are by sidecar, and lack those
// that did not respond.
type controlSample struct {
	status   map[int]controltraffic.Status
	at       map[int]time.Duration // time of the response, on the lab's clock
	cpu      map[int]time.Duration // CPU time used so far
	loopback [2]uint64             // bytes and packets sent on the loopback interface
}

// measureControl samples all sidecars at startSpanEnd, at steadySpanStart and at the load's end. before is what the
// loopback interface had sent before the sidecars started. It returns nil if ctx ends before the first sample.
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

// spanBetween returns the rates between two samples. If from has no status, the rates are since each process's start.
func spanBetween(from, to controlSample) ControlSpan {
	s := ControlSpan{Kinds: map[string]ControlRate{}}
	for i, now := range to.status {
		then, ok := from.status[i]
		seconds := now.Seconds - then.Seconds
		difference := time.Duration(seconds*float64(time.Second)) - (to.at[i] - from.at[i])
		if from.status != nil && (!ok || difference.Abs() > controlSlack) {
			continue // it did not respond to both samples, or was restarted between them
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

// loopbackSent returns the numbers of bytes and packets that the loopback interface has sent, 0 if they can't be read.
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

// String formats the control traffic as one line per span.
func (c *Control) String() string {
	line := func(name string, s *ControlSpan) string {
		text := fmt.Sprintf("control traffic per sidecar, %s span of %.1f s: %.0f B/s (maximum %.0f)", name, s.Seconds, s.WireBytes, s.MaxBytes)
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
