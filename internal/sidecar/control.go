package sidecar

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"bramblestand/internal/fleet"
	"bramblestand/internal/fleet/link"
)

// What headers below the payload come to on the wire, in bytes. The frame of Ethernet (14, with check, preamble and gap
// 38 a packet) is left out: Packets tells how many there are.
const (
	headTCP       = 20 + 32 // IPv4, and TCP with its timestamps
	headUDP       = 20 + 8
	segment       = 1500 - headTCP // payload of a full packet
	controlReport = 10             // log lines of what is held for each of what control costs
)

// flow counts one kind of control on connections of this sidecar's: whole messages, and bytes as on the connection,
// heads of HTTP included. A nil flow counts nothing.
type flow struct {
	sent, sentBytes         atomic.Uint64
	received, receivedBytes atomic.Uint64
	opened, accepted        atomic.Uint64 // connections
	failed                  atomic.Uint64 // connections that did not come up
}

func (f *flow) send(bytes int, whole bool) {
	if f != nil {
		count(&f.sent, &f.sentBytes, bytes, whole)
	}
}

func (f *flow) receive(bytes int, whole bool) {
	if f != nil {
		count(&f.received, &f.receivedBytes, bytes, whole)
	}
}

func count(messages, total *atomic.Uint64, bytes int, whole bool) {
	total.Add(uint64(bytes))
	if whole {
		messages.Add(1)
	}
}

// open counts a connection that was dialled.
func (f *flow) open(err error) {
	if f != nil && err == nil {
		f.opened.Add(1)
	} else if f != nil {
		f.failed.Add(1)
	}
}

// countedConn counts the bytes that pass a connection.
type countedConn struct {
	net.Conn
	flow *flow
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.flow.receive(n, false)
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.flow.send(n, false)
	return n, err
}

// count has the calls counted from here on; none may have been made. A nil flow changes nothing.
func (d *discovery) count(f *flow) {
	transport, ok := d.client.Transport.(*http.Transport)
	if f == nil || !ok {
		return
	}
	d.flow = f
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.connect(ctx, network, address)
		f.open(err)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, f}, nil
	}
}

// traced is ctx with the requests counted as they are written, which the transport may do anew on another connection.
func (d *discovery) traced(ctx context.Context) context.Context {
	if d.flow == nil {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		d.flow.send(0, info.Err == nil)
	}})
}

// control counts what this process spends on control, by kind; datagrams are counted by the link. It is kept where
// there are operators to tell.
type control struct {
	since                    time.Time
	probe, discovery, orders flow
}

// ControlKinds are the kinds of control, in the order in which they are told: probes of endpoints, calls of discovery,
// news of probes' answers between sidecars, the fleet's view, operators' calls.
var ControlKinds = []string{"probe", "discovery", "news", "view", "orders"}

// ControlStatus is what operators are told of the cost of control: all since the start of this process.
type ControlStatus struct {
	Seconds float64                `json:"seconds"` // since the start
	Kinds   map[string]ControlKind `json:"kinds"`   // by ControlKinds
	// Both ways and of all kinds, headers included.
	WireBytes uint64 `json:"wire_bytes"`
}

// ControlKind is one kind of control.
type ControlKind struct {
	Sent     ControlCount `json:"sent"`
	Received ControlCount `json:"received"`
	Opened   uint64       `json:"opened"`   // connections opened for it; a probe and a call use each other's
	Accepted uint64       `json:"accepted"` // connections accepted for it
	Failed   uint64       `json:"failed"`   // connections that did not come up
}

// ControlCount is what went one way. Messages and Bytes are counted, Bytes as on the connection with HTTP's heads, or a
// datagram's payload. Packets and WireBytes are reckoned of them, for IPv4 and an MTU of 1,500:
//
//	TCP  data     messages + bytes / 1448
//	     acks     one for each message of the other way
//	     opened   handshake 2 sent, 1 received; close 2 sent, 2 received; accepted the other way round
//	     failed   1 sent, 1 received
//	     wire     bytes + 52 x packets (IPv4 20, TCP 32 with timestamps)
//	UDP  wire     bytes + 28 x datagrams
//
// Ethernet's frame (38 bytes a packet with preamble and gap) is not in it.
type ControlCount struct {
	Messages  uint64 `json:"messages"`
	Bytes     uint64 `json:"bytes"`
	Packets   uint64 `json:"packets"`
	WireBytes uint64 `json:"wire_bytes"`
}

// Wire is the kind's bytes both ways, headers included.
func (k ControlKind) Wire() uint64 { return k.Sent.WireBytes + k.Received.WireBytes }

// Less is what came to pass since then.
func (k ControlKind) Less(then ControlKind) ControlKind {
	less := func(a, b ControlCount) ControlCount {
		return ControlCount{a.Messages - b.Messages, a.Bytes - b.Bytes, a.Packets - b.Packets, a.WireBytes - b.WireBytes}
	}
	return ControlKind{less(k.Sent, then.Sent), less(k.Received, then.Received), k.Opened - then.Opened, k.Accepted - then.Accepted, k.Failed - then.Failed}
}

func (f *flow) kind() ControlKind {
	k := ControlKind{Sent: ControlCount{Messages: f.sent.Load(), Bytes: f.sentBytes.Load()},
		Received: ControlCount{Messages: f.received.Load(), Bytes: f.receivedBytes.Load()},
		Opened:   f.opened.Load(), Accepted: f.accepted.Load(), Failed: f.failed.Load()}
	s, r := &k.Sent, &k.Received
	s.Packets = s.Messages + s.Bytes/segment + r.Messages + 4*k.Opened + 3*k.Accepted + k.Failed
	r.Packets = r.Messages + r.Bytes/segment + s.Messages + 3*k.Opened + 4*k.Accepted + k.Failed
	s.WireBytes, r.WireBytes = s.Bytes+headTCP*s.Packets, r.Bytes+headTCP*r.Packets
	return k
}

// datagrams are those of some of the link's channels.
func datagrams(counts map[link.Channel]link.Count, channels ...link.Channel) (k ControlKind) {
	for _, c := range channels {
		n := counts[c]
		k.Sent.Messages, k.Sent.Bytes = k.Sent.Messages+n.SentDatagrams, k.Sent.Bytes+n.SentBytes
		k.Received.Messages, k.Received.Bytes = k.Received.Messages+n.ReceivedDatagrams, k.Received.Bytes+n.ReceivedBytes
	}
	for _, c := range []*ControlCount{&k.Sent, &k.Received} {
		c.Packets, c.WireBytes = c.Messages, c.Bytes+headUDP*c.Messages
	}
	return k
}

// status tells what was counted so far; f may be nil.
func (c *control) status(f *fleet.Fleet) ControlStatus {
	var counts map[link.Channel]link.Count
	if f != nil {
		counts = f.Counts()
	}
	s := ControlStatus{Seconds: math.Round(time.Since(c.since).Seconds()*1e3) / 1e3, Kinds: map[string]ControlKind{
		"probe": c.probe.kind(), "discovery": c.discovery.kind(), "orders": c.orders.kind(),
		"news": datagrams(counts, link.News), "view": datagrams(counts, link.Packets, link.ToListener, link.ToDialer)}}
	for _, k := range s.Kinds {
		s.WireBytes += k.Wire()
	}
	return s
}

// log records the bytes so far by kind, both ways and with headers.
func (c *control) log(log *slog.Logger, f *fleet.Fleet) {
	s := c.status(f)
	args := []any{"seconds", s.Seconds, "wire_bytes", s.WireBytes}
	for _, name := range ControlKinds {
		args = append(args, name, s.Kinds[name].Wire())
	}
	log.Info("control", args...)
}
