package controltraffic

import "bramblestand/internal/datagram"

// Header and payload sizes in bytes, for IPv4 and an MTU of 1,500. Ethernet framing, which adds 38 bytes to each packet with
// preamble and inter-packet gap, is not counted.
const (
	tcpHeaderBytes  = 20 + 32               // IP header, and TCP header with timestamps
	udpHeaderBytes  = 20 + 8                // IP header and UDP header
	tcpSegmentBytes = 1500 - tcpHeaderBytes // payload of a full packet
)

// Packets that each side of a TCP connection sends during the handshake and the close.
const (
	dialerPackets   = 2 + 2 // by the side that dialed
	acceptorPackets = 1 + 2 // by the side that accepted
)

// Traffic holds the counts of one kind of control traffic.
type Traffic struct {
	Sent     Totals `json:"sent"`
	Received Totals `json:"received"`
	Opened   uint64 `json:"opened"`   // connections dialed; load probes and requests share connections
	Accepted uint64 `json:"accepted"` // connections accepted
	Failed   uint64 `json:"failed"`   // connections that could not be established
}

// Totals holds the traffic in one direction. Messages and Bytes are counted. Bytes are those read from or written to a
// connection, including HTTP headers, or the payload of datagrams. Packets and WireBytes are estimated:
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

// Sub returns the traffic since an earlier reading.
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

// estimateTCP sets Packets and WireBytes by the formula for TCP in the comment of Totals.
func (t *Traffic) estimateTCP() {
	sent, received := &t.Sent, &t.Received
	sent.Packets = sent.Messages + sent.Bytes/tcpSegmentBytes + received.Messages +
		dialerPackets*t.Opened + acceptorPackets*t.Accepted + t.Failed
	received.Packets = received.Messages + received.Bytes/tcpSegmentBytes + sent.Messages +
		acceptorPackets*t.Opened + dialerPackets*t.Accepted + t.Failed
	sent.WireBytes = sent.Bytes + tcpHeaderBytes*sent.Packets
	received.WireBytes = received.Bytes + tcpHeaderBytes*received.Packets
}

// datagramTraffic returns the sum of the given channels of the datagram transport.
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
