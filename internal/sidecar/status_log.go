package sidecar

import (
	"context"
	"runtime"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/datagram"
)

// Log lines of the sidecar's state.
const (
	statusLogInterval  = time.Second
	controlLogInterval = 10 // control traffic is logged with every tenth status
)

// logStatusPeriodically logs the sidecar's connections, requests and goroutines until ctx ends.
func (s *server) logStatusPeriodically(ctx context.Context) {
	ticker := time.NewTicker(statusLogInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ticker.C:
			s.loop.post(s.logStatus)
			if s.loop.controlTraffic != nil && n%controlLogInterval == 0 {
				s.loop.controlTraffic.Log(s.loop.log, s.loop.datagramCounts())
			}
		case <-ctx.Done():
			return
		}
	}
}

// logStatus logs the counts. The event loop calls it.
func (s *server) logStatus(balancer.Micros) {
	clients := s.clients.counts()
	open, idle := s.loop.upstream.ConnectionCounts()
	attributes := []any{"requests_taken", s.loop.lastRequestID, "requests", len(s.loop.requests),
		"clients_accepted", clients.accepted, "clients_new", clients.unused, "clients_active", clients.active,
		"clients_idle", clients.idle, "upstream_open", open, "upstream_idle", idle,
		"events", len(s.loop.events), "goroutines", runtime.NumGoroutine()}
	for class, count := range clients.evicted {
		attributes = append(attributes, "clients_evicted_"+evictionClass(class).String(), count)
	}
	attributes = append(attributes, s.loop.rejections.attributes()...)
	s.loop.log.Info("status", attributes...)
}

// datagramCounts returns the datagrams by channel since the start; nil where there is no transport, or not yet. Any
// goroutine may call it.
func (l *eventLoop) datagramCounts() map[datagram.Channel]datagram.ChannelCounts {
	if f := l.fleet.Load(); f != nil {
		return f.Counts()
	}
	return nil
}
