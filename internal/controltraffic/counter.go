// Package controltraffic counts the control traffic of a sidecar: load probes, discovery, gossip, membership and admin
// calls. It counts the messages and bytes of each kind and estimates the bytes on the wire from them. Nothing is counted if
// no admin address is configured.
package controltraffic

import (
	"net"
	"sync/atomic"
)

// Counter counts one kind of control traffic on TCP connections: complete messages, and all bytes read and written,
// including HTTP headers. It is safe for concurrent use. The Add methods of a nil Counter do nothing.
type Counter struct {
	sentMessages, sentBytes         atomic.Uint64
	receivedMessages, receivedBytes atomic.Uint64
	dialed, accepted                atomic.Uint64 // TCP connections
	dialsFailed                     atomic.Uint64 // TCP connections that could not be established
}

// AddSent adds bytes that were written. If messageDone is true, they completed a message.
func (c *Counter) AddSent(bytes int, messageDone bool) {
	if c != nil {
		add(&c.sentMessages, &c.sentBytes, bytes, messageDone)
	}
}

// AddReceived adds bytes that were read. If messageDone is true, they completed a message.
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

// AddDial adds a connection that was dialed or, if err is not nil, one that could not be established.
func (c *Counter) AddDial(err error) {
	switch {
	case c == nil:
	case err == nil:
		c.dialed.Add(1)
	default:
		c.dialsFailed.Add(1)
	}
}

// AddAccepted adds an accepted connection.
func (c *Counter) AddAccepted() {
	if c != nil {
		c.accepted.Add(1)
	}
}

// Traffic returns the traffic counted so far, including the estimated packets and bytes on the wire.
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

// Conn wraps a connection and counts its bytes.
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
