package controltraffic

import (
	"log/slog"
	"math"
	"net"
	"sync/atomic"
	"time"

	"bramblestand/internal/fleet"
	"bramblestand/internal/fleet/link"
)

// What headers below the payload come to on the wire, in bytes. The frame of Ethernet (14, with check, preamble and gap
// 38 a packet) is left out: Packets tells how many there are.
const (
	tcpHeaderBytes  = 20 + 32 // IPv4, and TCP with its timestamps
	udpHeaderBytes  = 20 + 8
	tcpSegmentBytes = 1500 - tcpHeaderBytes // payload of a full packet
)

// Counter counts one kind of control on connections of this sidecar's: whole messages, and bytes as on the connection,
// heads of HTTP included. A nil flow counts nothing.
type Counter struct {
	sentMessages, sentBytes         atomic.Uint64
	receivedMessages, receivedBytes atomic.Uint64
	dialed, accepted                atomic.Uint64 // connections
	dialsFailed                     atomic.Uint64 // connections that did not come up
}

func (f *Counter) AddSent(bytes int, whole bool) {
	if f != nil {
		addMessage(&f.sentMessages, &f.sentBytes, bytes, whole)
	}
}

func (f *Counter) AddReceived(bytes int, whole bool) {
	if f != nil {
		addMessage(&f.receivedMessages, &f.receivedBytes, bytes, whole)
	}
}

func addMessage(messages, total *atomic.Uint64, bytes int, whole bool) {
	total.Add(uint64(bytes))
	if whole {
		messages.Add(1)
	}
}

// AddDial counts a connection that was dialled.
func (f *Counter) AddDial(err error) {
	if f != nil && err == nil {
		f.dialed.Add(1)
	} else if f != nil {
		f.dialsFailed.Add(1)
	}
}

// AddAccepted counts a connection that was accepted.
func (f *Counter) AddAccepted() {
	if f != nil {
		f.accepted.Add(1)
	}
}

// Conn counts the bytes that pass a connection.
type Conn struct {
	net.Conn
	Counter *Counter
}

func (c Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Counter.AddReceived(n, false)
	return n, err
}

func (c Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Counter.AddSent(n, false)
	return n, err
}

// Accounting counts what this process spends on control, by kind; datagrams are counted by the link. It is kept where
// there are operators to tell.
type Accounting struct {
	Started                      time.Time
	LoadProbes, Discovery, Admin Counter
}

// Kinds are the kinds of control, in the order in which they are told: probes of endpoints, calls of discovery,
// news of probes' answers between sidecars, the fleet's view, operators' calls.
var Kinds = []string{"probe", "discovery", "news", "view", "orders"}

// Status is what operators are told of the cost of control: all since the start of this process.
type Status struct {
	Seconds float64                `json:"seconds"` // since the start
	Kinds   map[string]Traffic `json:"kinds"`   // by ControlKinds
	// Both ways and of all kinds, headers included.
	WireBytes uint64 `json:"wire_bytes"`
}

// Traffic is one kind of control.
type Traffic struct {
	Sent     Totals `json:"sent"`
	Received Totals `json:"received"`
	Opened   uint64           `json:"opened"`   // connections opened for it; a probe and a call use each other's
	Accepted uint64           `json:"accepted"` // connections accepted for it
	Failed   uint64           `json:"failed"`   // connections that did not come up
}

// Totals is what went one way. Messages and Bytes are counted, Bytes as on the connection with HTTP's heads, or a
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
type Totals struct {
	Messages  uint64 `json:"messages"`
	Bytes     uint64 `json:"bytes"`
	Packets   uint64 `json:"packets"`
	WireBytes uint64 `json:"wire_bytes"`
}

// TotalWireBytes is the kind's bytes both ways, headers included.
func (k Traffic) TotalWireBytes() uint64 { return k.Sent.WireBytes + k.Received.WireBytes }

// Sub is what came to pass since then.
func (k Traffic) Sub(then Traffic) Traffic {
	less := func(a, b Totals) Totals {
		return Totals{a.Messages - b.Messages, a.Bytes - b.Bytes, a.Packets - b.Packets, a.WireBytes - b.WireBytes}
	}
	return Traffic{less(k.Sent, then.Sent), less(k.Received, then.Received), k.Opened - then.Opened, k.Accepted - then.Accepted, k.Failed - then.Failed}
}

func (f *Counter) Traffic() Traffic {
	k := Traffic{Sent: Totals{Messages: f.sentMessages.Load(), Bytes: f.sentBytes.Load()},
		Received: Totals{Messages: f.receivedMessages.Load(), Bytes: f.receivedBytes.Load()},
		Opened:   f.dialed.Load(), Accepted: f.accepted.Load(), Failed: f.dialsFailed.Load()}
	s, r := &k.Sent, &k.Received
	s.Packets = s.Messages + s.Bytes/tcpSegmentBytes + r.Messages + 4*k.Opened + 3*k.Accepted + k.Failed
	r.Packets = r.Messages + r.Bytes/tcpSegmentBytes + s.Messages + 3*k.Opened + 4*k.Accepted + k.Failed
	s.WireBytes, r.WireBytes = s.Bytes+tcpHeaderBytes*s.Packets, r.Bytes+tcpHeaderBytes*r.Packets
	return k
}

// datagramTraffic are those of some of the link's channels.
func datagramTraffic(counts map[link.Channel]link.Count, channels ...link.Channel) (k Traffic) {
	for _, c := range channels {
		n := counts[c]
		k.Sent.Messages, k.Sent.Bytes = k.Sent.Messages+n.SentDatagrams, k.Sent.Bytes+n.SentBytes
		k.Received.Messages, k.Received.Bytes = k.Received.Messages+n.ReceivedDatagrams, k.Received.Bytes+n.ReceivedBytes
	}
	for _, c := range []*Totals{&k.Sent, &k.Received} {
		c.Packets, c.WireBytes = c.Messages, c.Bytes+udpHeaderBytes*c.Messages
	}
	return k
}

// Status tells what was counted so far; f may be nil.
func (c *Accounting) Status(f *fleet.Fleet) Status {
	var counts map[link.Channel]link.Count
	if f != nil {
		counts = f.Counts()
	}
	s := Status{Seconds: math.Round(time.Since(c.Started).Seconds()*1e3) / 1e3, Kinds: map[string]Traffic{
		"probe": c.LoadProbes.Traffic(), "discovery": c.Discovery.Traffic(), "orders": c.Admin.Traffic(),
		"news": datagramTraffic(counts, link.News), "view": datagramTraffic(counts, link.Packets, link.ToListener, link.ToDialer)}}
	for _, k := range s.Kinds {
		s.WireBytes += k.TotalWireBytes()
	}
	return s
}

// Log records the bytes so far by kind, both ways and with headers.
func (c *Accounting) Log(log *slog.Logger, f *fleet.Fleet) {
	s := c.Status(f)
	args := []any{"seconds", s.Seconds, "wire_bytes", s.WireBytes}
	for _, name := range Kinds {
		args = append(args, name, s.Kinds[name].TotalWireBytes())
	}
	log.Info("control", args...)
}
