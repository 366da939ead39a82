package balancer

import (
	"encoding/binary"
	"fmt"
)

// Balancers tell each other what their probes were answered. A message is a version and one or more answers;
// it goes by a path that may lose it, so that each stands for itself.
const (
	tellVersion = 1
	tellBytes   = 8 // of one answer: id, start, requests held, requests waiting
	tellMost    = 256
)

// news is one probe's answer as it is told.
type news struct {
	id          uint32
	start       uint16 // low bits of the endpoint's start in milliseconds: news of an earlier life is of no use
	held, queue uint8
}

func startMark(at Micros) uint16 { return uint16(at / 1000) }

// count fits a load figure into its byte.
func count(x float64) uint8 { return uint8(min(max(x+0.5, 0), 255)) }

func (n news) message() []byte {
	data := binary.BigEndian.AppendUint32([]byte{tellVersion}, n.id)
	data = binary.BigEndian.AppendUint16(data, n.start)
	return append(data, n.held, n.queue)
}

// readNews reads a message, or says why it cannot be one.
func readNews(data []byte) ([]news, error) {
	if len(data) == 0 || len(data) > tellMost || data[0] != tellVersion || (len(data)-1)%tellBytes != 0 {
		return nil, fmt.Errorf("%d bytes are no message of version %d", len(data), tellVersion)
	}
	var all []news
	for data = data[1:]; len(data) > 0; data = data[tellBytes:] {
		all = append(all, news{binary.BigEndian.Uint32(data), binary.BigEndian.Uint16(data[4:]), data[6], data[7]})
	}
	return all, nil
}

// ReceiveGossip handles a peer's message. It may be late, lost or of an endpoint's earlier life.
func (b *Balancer) ReceiveGossip(now Micros, data []byte) {
	all, err := readNews(data)
	if err != nil {
		b.log(now, "peers", "a peer's message is dropped: %v", err)
		return
	}
	for _, n := range all {
		if e := b.byID[n.id]; e != nil && e.usable() && startMark(e.StartTime) == n.start {
			b.learnLoad(now, e, float64(n.held))
			b.learnWidth(e, float64(n.held), float64(n.queue))
		}
	}
}
