// Package controltraffic counts the control traffic of a sidecar: load probes, discovery, gossip,
// membership and the operators' calls. Each is counted in messages and bytes, and what that comes to
// on the wire is estimated from those. Nothing is counted where there is no operators' address.
package controltraffic

import (
	"net"
	"sync/atomic"
)

// Counter counts one kind of control traffic on TCP connections: complete messages, and the bytes
// that pass a connection, HTTP headers included. It is safe for use by several goroutines; the
// methods of a nil Counter do nothing.
type Counter struct {
	sentMessages, sentBytes         atomic.Uint64
	receivedMessages, receivedBytes atomic.Uint64
	dialed, accepted                atomic.Uint64 // connections
	dialsFailed                     atomic.Uint64
}

// AddSent adds bytes that were written; messageDone says that a message was complete with them.
func (c *Counter) AddSent(bytes int, messageDone bool) {
	if c != nil {
		add(&c.sentMessages, &c.sentBytes, bytes, messageDone)
	}
}

// AddReceived adds bytes that were read; messageDone says that a message was complete with them.
func (c *Counter) AddReceived(bytes int, messageDone bool) {
	if c != nil {
		add(&c.receivedMessages, &c.receivedBytes, bytes, messageDone)
	}
}

func add(messages, totalBytes *atomic.Uint64, bytes int, messageDone bool) {
	totalBytes.Add(uint64(bytes))
	if messageDone {
		messages.Add(1)
	}
}

// AddDial adds a connection that was dialed, or one that could not be established where err is not nil.
func (c *Counter) AddDial(err error) {
	switch {
	case c == nil:
	case err == nil:
		c.dialed.Add(1)
	default:
		c.dialsFailed.Add(1)
	}
}

// AddAccepted adds a connection that was accepted.
func (c *Counter) AddAccepted() {
	if c != nil {
		c.accepted.Add(1)
	}
}

// Traffic returns what was counted so far, with the estimates.
func (c *Counter) Traffic() Traffic {
	t := Traffic{
		Sent:     Totals{Messages: c.sentMessages.Load(), Bytes: c.sentBytes.Load()},
		Received: Totals{Messages: c.receivedMessages.Load(), Bytes: c.receivedBytes.Load()},
		Opened:   c.dialed.Load(),
		Accepted: c.accepted.Load(),
		Failed:   c.dialsFailed.Load(),
	}
	t.estimateTCP()
	return t
}

// Conn is a connection whose bytes are counted.
type Conn struct {
	net.Conn
	Counter *Counter
}

// Read reads from the connection and counts the bytes.
func (c Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Counter.AddReceived(n, false)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Counter.AddSent(n, false)
	return n, err
}
