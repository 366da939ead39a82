package balancer

import (
	"encoding/binary"
	"fmt"
)

// Balancers tell each other what their probes were answered. A message is a version and one or more answers;
// it goes by a path that may lose it, so that each stands for itself.
const (
	gossipVersion    = 1
	gossipEntryBytes = 8 // of one answer: id, start, requests held, requests waiting
	maxGossipBytes   = 256
)

// gossipEntry is one probe's answer as it is told.
type gossipEntry struct {
	endpointID uint32
	// low bits of the endpoint's start in milliseconds: news of an earlier life is of no use
	startMark             uint16
	inFlight, queueLength uint8
}

func startTimeMark(at Micros) uint16 { return uint16(at / 1000) }

// clampToByte fits a load figure into its byte.
func clampToByte(x float64) uint8 { return uint8(min(max(x+0.5, 0), 255)) }

func (n gossipEntry) encode() []byte {
	data := binary.BigEndian.AppendUint32([]byte{gossipVersion}, n.endpointID)
	data = binary.BigEndian.AppendUint16(data, n.startMark)
	return append(data, n.inFlight, n.queueLength)
}

// decodeGossip reads a message, or says why it cannot be one.
func decodeGossip(data []byte) ([]gossipEntry, error) {
	if len(data) == 0 || len(data) > maxGossipBytes || data[0] != gossipVersion ||
		(len(data)-1)%gossipEntryBytes != 0 {
		return nil, fmt.Errorf("%d bytes are no message of version %d", len(data), gossipVersion)
	}
	var all []gossipEntry
	for data = data[1:]; len(data) > 0; data = data[gossipEntryBytes:] {
		all = append(all, gossipEntry{binary.BigEndian.Uint32(data), binary.BigEndian.Uint16(data[4:]),
			data[6], data[7]})
	}
	return all, nil
}

// ReceiveGossip handles a peer's message. It may be late, lost or of an endpoint's earlier life.
func (b *Balancer) ReceiveGossip(now Micros, data []byte) {
	all, err := decodeGossip(data)
	if err != nil {
		b.log(now, "peers", "a peer's message is dropped: %v", err)
		return
	}
	for _, n := range all {
		if e := b.endpointsByID[n.endpointID]; e != nil && e.isUsable() &&
			startTimeMark(e.StartTime) == n.startMark {
			b.recordLoad(now, e, float64(n.inFlight))
			b.recordConcurrency(e, float64(n.inFlight), float64(n.queueLength))
		}
	}
}
