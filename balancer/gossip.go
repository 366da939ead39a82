package balancer

import (
	"encoding/binary"
	"fmt"
)

// A gossip message is a version byte followed by one or more entries. Messages may be lost, so each is
// complete in itself.
const (
	gossipVersion    = 1
	gossipEntryBytes = 8
	maxGossipBytes   = 256
)

// gossipEntry is one endpoint's load report in the form that is shared with the other balancers.
type gossipEntry struct {
	endpointID         uint32
	truncatedStartTime uint16 // of the endpoint: reports of an earlier process are ignored
	inFlight           uint8  // capped at 255
	queueLength        uint8  // capped at 255
}

// truncateStartTime returns the low bits of a start time in milliseconds.
func truncateStartTime(at Micros) uint16 { return uint16(at / 1000) }

// clampToByte rounds a count and clamps it to 0..255.
func clampToByte(x float64) uint8 { return uint8(min(max(x+0.5, 0), 255)) }

// encode returns a message with this entry only.
func (g gossipEntry) encode() []byte {
	data := binary.BigEndian.AppendUint32([]byte{gossipVersion}, g.endpointID)
	data = binary.BigEndian.AppendUint16(data, g.truncatedStartTime)
	return append(data, g.inFlight, g.queueLength)
}

// decodeGossip returns the entries of a message. It fails if data is not a message of gossipVersion.
func decodeGossip(data []byte) ([]gossipEntry, error) {
	if len(data) == 0 || len(data) > maxGossipBytes || data[0] != gossipVersion ||
		(len(data)-1)%gossipEntryBytes != 0 {
		return nil, fmt.Errorf("%d bytes are not a gossip message of version %d", len(data), gossipVersion)
	}
	var entries []gossipEntry
	for data = data[1:]; len(data) > 0; data = data[gossipEntryBytes:] {
		entries = append(entries, gossipEntry{
			endpointID:         binary.BigEndian.Uint32(data),
			truncatedStartTime: binary.BigEndian.Uint16(data[4:]),
			inFlight:           data[6],
			queueLength:        data[7],
		})
	}
	return entries, nil
}

// sendGossip shares a load report of e with the other balancers.
func (b *Balancer) sendGossip(e *endpoint, inFlight, queueLength float64) {
	entry := gossipEntry{
		endpointID:         e.ID,
		truncatedStartTime: truncateStartTime(e.StartTime),
		inFlight:           clampToByte(inFlight),
		queueLength:        clampToByte(queueLength),
	}
	b.actions.SendGossip(entry.encode())
}

// ReceiveGossip handles a message from another balancer, which may arrive late. A malformed message is
// logged and dropped. data is read only during the call.
func (b *Balancer) ReceiveGossip(now Micros, data []byte) {
	entries, err := decodeGossip(data)
	if err != nil {
		b.log(now, "gossip message dropped", LogField{"error", err})
		return
	}
	for _, entry := range entries {
		e := b.endpointsByID[entry.endpointID]
		if e == nil || !e.isUsable() || truncateStartTime(e.StartTime) != entry.truncatedStartTime {
			continue
		}
		b.recordLoad(now, e, float64(entry.inFlight))
		b.learnConcurrency(e, float64(entry.inFlight), float64(entry.queueLength))
	}
}
