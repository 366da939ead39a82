package sidecar

import (
	"context"
	"runtime"
	"runtime/metrics"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/datagram"
	"bramblestand/internal/turns"
)

// Intervals of the log lines on the sidecar's state.
const (
	statusLogInterval     = time.Second
	statusesPerControlLog = 10 // control traffic is logged with every tenth status line
)

// logStatusPeriodically logs the status, and at longer intervals the control traffic, until ctx ends.
func (s *server) logStatusPeriodically(ctx context.Context) {
	ticker := time.NewTicker(statusLogInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ticker.C:
			s.loop.post(s.logStatus)
			if s.loop.controlTraffic != nil && n%statusesPerControlLog == 0 {
				s.loop.controlTraffic.Log(s.loop.log, s.loop.datagramCounts())
			}
		case <-ctx.Done():
			return
		}
	}
}

// logStatus logs the counts of requests, connections, queued events and goroutines. The loop's goroutine calls it.
func (s *server) logStatus(balancer.Micros) {
	clients := s.clients.counts()
	open, idle := s.loop.upstream.ConnectionCounts()
	attributes := []any{"requests_taken", s.loop.lastRequestID, "requests", len(s.loop.requests),
		"clients_accepted", clients.accepted, "clients_new", clients.unused, "clients_active", clients.active,
		"clients_idle", clients.idle, "clients_out_of_step", clients.outOfStep, "heads_rejected", clients.headsRejected, "accepts_failed", clients.acceptsFailed,
		"clients_ended_unused", clients.endedUnused,
		"request_bytes", s.clients.memory.used(), "heap_live_bytes", heapLiveBytes(), "memory_bytes", memoryBytes(), "upstream_open", open, "upstream_idle", idle,
		"max_unread", s.clients.unread.take(), "turns_awaited", turns.Clients.Waiting(),
		"log_lines_suppressed", s.clients.logShares.suppressed.Load(), "events", len(s.loop.events), "goroutines", runtime.NumGoroutine()}
	for class, count := range clients.evicted {
		attributes = append(attributes, "clients_evicted_"+evictionClass(class).String(), count)
	}
	attributes = append(attributes, s.loop.rejections.attributes()...)
	attributes = append(attributes, s.requests.brokenOff.attributes()...)
	s.loop.log.Info("status", attributes...)
}

// memoryBytes returns how much memory the Go runtime holds and has not returned to the system, garbage included.
func memoryBytes() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// heapLiveBytes returns how much of the heap was in use at the end of the last garbage collection.
func heapLiveBytes() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// datagramCounts returns the datagram counts of each channel since the start, or nil if the sidecar has no fleet or has not
// joined it yet. Any goroutine may call it.
func (l *eventLoop) datagramCounts() map[datagram.Channel]datagram.ChannelCounts {
	if f := l.fleet.Load(); f != nil {
		return f.Counts()
	}
	return nil
}
