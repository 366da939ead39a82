package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Sizes and times of crowds and floods.
const (
	floodInterval   = 100 * time.Microsecond // between connections of one kind
	maxFloodHeld    = 150                    // connections of one kind that are kept open
	crowdInterval   = time.Millisecond       // between connections
	crowdRetryPause = 20 * time.Millisecond
)

// crowd opens idle connections and keeps their side open until ctx ends.
func (r *run) crowd(ctx context.Context) {
	var held []net.Conn
	defer func() { closeAll(held) }()
	for len(held) < crowdSize && ctx.Err() == nil && r.mayConnect() {
		conn, err := net.DialTimeout("tcp", r.listen, dialTimeout)
		if err != nil {
			time.Sleep(crowdRetryPause)
			continue
		}
		held = append(held, conn)
		time.Sleep(crowdInterval)
	}
	<-ctx.Done()
}

// flood opens connections of one kind until ctx ends, or none may be opened.
func (r *run) flood(ctx context.Context, kind FloodKind) {
	var held []net.Conn
	defer func() { closeAll(held) }()
	for ctx.Err() == nil && r.mayConnect() {
		conn, err := net.DialTimeout("tcp", r.listen, dialTimeout)
		if err != nil {
			time.Sleep(crowdRetryPause)
			continue
		}
		conn.SetWriteDeadline(time.Now().Add(dialTimeout))
		io.WriteString(conn, kind.text())
		if held = append(held, conn); len(held) > maxFloodHeld {
			held[0].Close()
			held = held[1:]
		}
		time.Sleep(floodInterval)
	}
	<-ctx.Done()
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		conn.Close()
	}
}

// lateness watches how late this program's own goroutines run, for checks of short times.
type lateness struct {
	mu    sync.Mutex
	waits []lateWait
}

// lateWait is a wait that took longer than it should have.
type lateWait struct {
	at   time.Time // its end
	late time.Duration
}

// latenessInterval is the wait that is watched.
const latenessInterval = 5 * time.Millisecond

// watch records late waits until ctx ends.
func (l *lateness) watch(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		time.Sleep(latenessInterval)
		if late := time.Since(start) - latenessInterval; late > latenessInterval {
			l.mu.Lock()
			l.waits = append(l.waits, lateWait{time.Now(), late})
			l.mu.Unlock()
		}
	}
}

// between returns how late this program ran at most in a time span.
func (l *lateness) between(from, to time.Time) (most time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, wait := range l.waits {
		if wait.at.After(from) && wait.at.Add(-wait.late).Before(to) {
			most = max(most, wait.late)
		}
	}
	return most
}
