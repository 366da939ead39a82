package controltraffic

import "bramblestand/internal/datagram"

// Bytes on the wire, for IPv4 and an MTU of 1,500. Ethernet framing, 38 bytes a packet with preamble
// and gap, is left out.
const (
	tcpHeaderBytes  = 20 + 32 // IP, and TCP with timestamps
	udpHeaderBytes  = 20 + 8
	tcpSegmentBytes = 1500 - tcpHeaderBytes // payload of a full packet
)

// Packets of a TCP connection's handshake and close, by the side that dialed and the other.
const (
	dialerPackets   = 2 + 2
	acceptorPackets = 1 + 2
)

// Traffic is what one kind of control traffic came to.
type Traffic struct {
	Sent     Totals `json:"sent"`
	Received Totals `json:"received"`
	Opened   uint64 `json:"opened"`   // connections dialed; a load probe and a request may use each other's
	Accepted uint64 `json:"accepted"` // connections accepted
	Failed   uint64 `json:"failed"`   // connections that could not be established
}

// Totals is the traffic in one direction. Messages and Bytes are counted: Bytes as they pass the
// connection, HTTP headers included, or as the payload of datagrams. Packets and WireBytes are
// estimated from them:
//
//	TCP  data     messages + bytes / 1448
//	     acks     one for each message in the other direction
//	     opened   handshake 2 sent, 1 received; close 2 sent, 2 received; accepted the other way round
//	     failed   1 sent, 1 received
//	     wire     bytes + 52 x packets (IPv4 20, TCP 32 with timestamps)
//	UDP  wire     bytes + 28 x datagrams
type Totals struct {
	Messages  uint64 `json:"messages"`
	Bytes     uint64 `json:"bytes"`
	Packets   uint64 `json:"packets"`
	WireBytes uint64 `json:"wire_bytes"`
}

// TotalWireBytes returns the bytes on the wire in both directions.
func (t Traffic) TotalWireBytes() uint64 { return t.Sent.WireBytes + t.Received.WireBytes }

// Sub returns what was added since an earlier reading.
func (t Traffic) Sub(earlier Traffic) Traffic {
	return Traffic{
		Sent:     t.Sent.sub(earlier.Sent),
		Received: t.Received.sub(earlier.Received),
		Opened:   t.Opened - earlier.Opened,
		Accepted: t.Accepted - earlier.Accepted,
		Failed:   t.Failed - earlier.Failed,
	}
}

func (t Totals) sub(earlier Totals) Totals {
	return Totals{
		Messages:  t.Messages - earlier.Messages,
		Bytes:     t.Bytes - earlier.Bytes,
		Packets:   t.Packets - earlier.Packets,
		WireBytes: t.WireBytes - earlier.WireBytes,
	}
}

// estimateTCP sets packets and bytes on the wire by the formula of Totals.
func (t *Traffic) estimateTCP() {
	sent, received := &t.Sent, &t.Received
	sent.Packets = sent.Messages + sent.Bytes/tcpSegmentBytes + received.Messages +
		dialerPackets*t.Opened + acceptorPackets*t.Accepted + t.Failed
	received.Packets = received.Messages + received.Bytes/tcpSegmentBytes + sent.Messages +
		acceptorPackets*t.Opened + dialerPackets*t.Accepted + t.Failed
	sent.WireBytes = sent.Bytes + tcpHeaderBytes*sent.Packets
	received.WireBytes = received.Bytes + tcpHeaderBytes*received.Packets
}

// datagramTraffic adds up some channels of the datagram transport.
func datagramTraffic(counts map[datagram.Channel]datagram.ChannelCounts, channels ...datagram.Channel) Traffic {
	var t Traffic
	for _, channel := range channels {
		count := counts[channel]
		t.Sent.Messages += count.SentDatagrams
		t.Sent.Bytes += count.SentBytes
		t.Received.Messages += count.ReceivedDatagrams
		t.Received.Bytes += count.ReceivedBytes
	}
	for _, totals := range []*Totals{&t.Sent, &t.Received} {
		totals.Packets = totals.Messages
		totals.WireBytes = totals.Bytes + udpHeaderBytes*totals.Messages
	}
	return t
}
