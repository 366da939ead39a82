package sidecar

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"time"

	"bramblestand/internal/turns"
)

const (
	// acceptRetryDelay is the time between a failed accept and the next one.
	acceptRetryDelay = 5 * time.Millisecond
	// acceptLogInterval is the minimum time between two log lines on failed accepts.
	acceptLogInterval = time.Second
	// acceptsPerTurn is how many connections are accepted in one turn of the processor.
	acceptsPerTurn = 16
)

// clientListener accepts connections until it is closed, and wraps each in a clientConn. A failed accept is retried, whatever the error:
// the system documents many, most of them about a single connection or a passing want of memory or descriptors, and none of them
// concerns the clients that are connected already.
type clientListener struct {
	net.Listener
	clients *clientConns
	log     *slog.Logger
	// answersHalfClosed is set if clients that have closed their sending side still get their responses. Else they count as gone.
	answersHalfClosed bool

	// Used by Accept alone, which only one goroutine calls.
	lastLoggedAt   time.Time
	acceptedInTurn int // connections accepted in the current turn of the processor
}

// Accept waits for the next client. It fails only once the listener is closed.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.acceptOnce()
		switch {
		case err == nil:
			return conn, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			// shutDown sets a deadline to end accepting. The listener is closed here, so that the system refuses further clients.
			return nil, errors.Join(net.ErrClosed, l.Close())
		case errors.Is(err, net.ErrClosed):
			return nil, err
		}
		l.recordFailure(err)
		time.Sleep(acceptRetryDelay)
	}
}

// takeTurn waits for the next turn of the processor once so many connections were accepted: a queue that is always full would otherwise
// hold up the clients that are connected already.
func (l *clientListener) takeTurn() {
	if l.acceptedInTurn++; l.acceptedInTurn >= acceptsPerTurn {
		l.acceptedInTurn = 0
		turns.Accepts.Await()
	}
}

// acceptOnce waits for the next client, or for a failure. Connections whose client has gone are closed here, at a small part of what serving
// one costs: others wait behind them.
func (l *clientListener) acceptOnce() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.takeTurn()
		client, err := newClientConn(conn, l.clients)
		if err != nil {
			return nil, err
		}
		if !l.isGone(client) {
			return client, nil
		}
		l.clients.countEndedUnused()
		conn.Close()
	}
}

// isGone reports whether the client of a new connection has closed it and would not get a response.
func (l *clientListener) isGone(client *clientConn) bool {
	if !client.isPeerClosed() {
		return false
	}
	if !l.answersHalfClosed {
		return true
	}
	unread, isKnown := client.unreadBytes()
	return isKnown && unread == 0
}

// recordFailure counts a failed accept, and logs it unless another one was just logged.
func (l *clientListener) recordFailure(err error) {
	failures := l.clients.countAcceptFailure()
	if time.Since(l.lastLoggedAt) < acceptLogInterval {
		return
	}
	l.lastLoggedAt = time.Now()
	l.log.Warn("accept failed, trying again", "error", err, "failures", failures)
}
