package soak

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Sizes and times of idle connections and floods.
const (
	floodInterval    = 100 * time.Microsecond // between two connections of one kind
	maxFloodConns    = 150                    // connections of one kind that are open at the same time
	idleConnInterval = time.Millisecond       // between two idle connections
	dialRetryPause   = 20 * time.Millisecond  // after a dial that failed

	pipelineFloodConns    = 4
	pipelineFloodBurst    = 50               // requests
	pipelineFloodInterval = time.Millisecond // between two bursts
)

// holdIdleConnections opens idleConnCount connections, sends nothing on them, and does not close them until ctx ends.
func (r *run) holdIdleConnections(ctx context.Context) {
	var held []net.Conn
	defer func() { closeAll(held) }()
	for len(held) < idleConnCount && ctx.Err() == nil && r.mayConnect() {
		conn, err := net.DialTimeout("tcp", r.listen, dialTimeout)
		if err != nil {
			time.Sleep(dialRetryPause)
			continue
		}
		held = append(held, conn)
		time.Sleep(idleConnInterval)
	}
	<-ctx.Done()
}

// flood opens connections of one kind until ctx ends or clients may open no more. It closes the oldest beyond those that the kind holds open.
func (r *run) flood(ctx context.Context, kind FloodKind) {
	var held []net.Conn
	defer func() { closeAll(held) }()
	for ctx.Err() == nil && r.mayConnect() {
		conn, err := net.DialTimeout("tcp", r.listen, dialTimeout)
		if err != nil {
			time.Sleep(dialRetryPause)
			continue
		}
		conn.SetWriteDeadline(time.Now().Add(dialTimeout))
		io.WriteString(conn, kind.text())
		if held = append(held, conn); len(held) > kind.maxConns() {
			held[0].Close()
			held = held[1:]
		}
		time.Sleep(floodInterval)
	}
	<-ctx.Done()
}

// floodWithPipelines writes bursts of requests on pipelineFloodConns connections, each without a pause but pipelineFloodInterval, until ctx
// ends or clients may open no more connections.
func (r *run) floodWithPipelines(ctx context.Context) {
	text := strings.Repeat(FloodFast.text(), pipelineFloodBurst)
	var all sync.WaitGroup
	for range pipelineFloodConns {
		all.Add(1)
		go func() {
			defer all.Done()
			for ctx.Err() == nil && r.mayConnect() {
				r.floodConnection(ctx, text)
			}
		}()
	}
	all.Wait()
}

// floodConnection writes a text over and over on one connection until that or ctx ends, and discards the responses.
func (r *run) floodConnection(ctx context.Context, text string) {
	conn, err := net.DialTimeout("tcp", r.listen, dialTimeout)
	if err != nil {
		time.Sleep(dialRetryPause)
		return
	}
	defer conn.Close()
	go io.Copy(io.Discard, conn)
	for ctx.Err() == nil {
		conn.SetWriteDeadline(time.Now().Add(dialTimeout))
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(pipelineFloodInterval)
	}
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		conn.Close()
	}
}

// schedulingDelays records how late this program's own goroutines run, so that checks of short times can allow for it.
type schedulingDelays struct {
	mu     sync.Mutex
	sleeps []delayedSleep
}

// delayedSleep is a sleep that ended late.
type delayedSleep struct {
	at    time.Time     // when it ended
	delay time.Duration // beyond delayCheckInterval
}

// delayCheckInterval is how long watch sleeps at a time, and the shortest delay that it records.
const delayCheckInterval = 5 * time.Millisecond

// watch sleeps repeatedly until ctx ends, and records sleeps that ended late.
func (d *schedulingDelays) watch(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		time.Sleep(delayCheckInterval)
		if delay := time.Since(start) - delayCheckInterval; delay > delayCheckInterval {
			d.mu.Lock()
			d.sleeps = append(d.sleeps, delayedSleep{time.Now(), delay})
			d.mu.Unlock()
		}
	}
}

// largest returns the largest delay that overlaps a time span; 0 if there was none.
func (d *schedulingDelays) largest(from, to time.Time) (most time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.sleeps {
		if s.at.After(from) && s.at.Add(-s.delay).Before(to) {
			most = max(most, s.delay)
		}
	}
	return most
}
