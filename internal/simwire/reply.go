package simwire

import (
	"encoding/binary"
	"math"

	"bramblestand/balancer"
)

// Reply builds the answer to one batch. It reuses its buffer.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset starts the reply to a batch.
func (w *Reply) Reset(batch uint32) {
	w.buf = binary.BigEndian.AppendUint32(w.buf[:0], batch)
	w.buf = append(w.buf, 0, 0, 0, 0, 0, 0, 0, 0)
	w.count = 0
}

// Bytes completes the frame.
func (w *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(w.buf[4:], uint32(len(w.buf)))
	binary.BigEndian.PutUint32(w.buf[8:], w.count)
	return w.buf
}

func (w *Reply) begin(c Code, size int) {
	w.count++
	w.buf = append(w.buf, byte(c))
	w.u32(uint32(size))
}

func (w *Reply) u16(v uint16) { w.buf = binary.BigEndian.AppendUint16(w.buf, v) }
func (w *Reply) u32(v uint32) { w.buf = binary.BigEndian.AppendUint32(w.buf, v) }
func (w *Reply) u64(v uint64) { w.buf = binary.BigEndian.AppendUint64(w.buf, v) }

func (w *Reply) micros(v balancer.Micros) { w.u32(uint32(min(max(v, 0), math.MaxUint32))) }

// SelectInstance names the instance that issues the following actions.
func (w *Reply) SelectInstance(instance uint32) { w.begin(ActionSelectInstance, 4); w.u32(instance) }

// StartAttempt writes a deliver record.
func (w *Reply) StartAttempt(id uint64, endpoint uint32, timeout balancer.Micros) {
	w.begin(ActionStartAttempt, 16)
	w.u64(id)
	w.u32(endpoint)
	w.micros(timeout)
}

// Reject writes a decline record.
func (w *Reply) Reject(id uint64, retryIn balancer.Micros) {
	w.begin(ActionReject, 12)
	w.u64(id)
	w.micros(retryIn)
}

// Fail writes a fail record.
func (w *Reply) Fail(id uint64) { w.begin(ActionFail, 8); w.u64(id) }

// CancelAttempt writes a revoke record.
func (w *Reply) CancelAttempt(id uint64, attempt int) {
	w.begin(ActionCancelAttempt, 10)
	w.u64(id)
	w.u16(uint16(attempt))
}

// SetTimer writes an arm record.
func (w *Reply) SetTimer(delay balancer.Micros, token uint32) {
	w.begin(ActionSetTimer, 8)
	w.micros(delay)
	w.u32(token)
}

// SendLoadProbe writes a sound_out record.
func (w *Reply) SendLoadProbe(endpoint uint32) { w.begin(ActionSendLoadProbe, 4); w.u32(endpoint) }

// CloseIdleConnections writes a let_go record.
func (w *Reply) CloseIdleConnections(endpoint uint32) {
	w.begin(ActionCloseIdleConnections, 4)
	w.u32(endpoint)
}

// AllPeers addresses WritePeer to every peer.
const AllPeers uint32 = math.MaxUint32

// SendGossip writes a write_peer record; data beyond 256 bytes is cut off.
func (w *Reply) SendGossip(peer uint32, data []byte) {
	data = data[:min(len(data), 256)]
	w.begin(ActionSendGossip, 6+len(data))
	w.u32(peer)
	w.u16(uint16(len(data)))
	w.buf = append(w.buf, data...)
}

func (w *Reply) text(c Code, line string) {
	line = line[:min(len(line), math.MaxUint16)]
	w.begin(c, 2+len(line))
	w.u16(uint16(len(line)))
	w.buf = append(w.buf, line...)
}

// Log writes a trace record.
func (w *Reply) Log(line string) { w.text(ActionLog, line) }

// ReportFault writes an exception record.
func (w *Reply) ReportFault(line string) { w.text(ActionReportFault, line) }

// WatchEndpoints writes a track record.
func (w *Reply) WatchEndpoints(on bool) {
	w.begin(ActionWatchEndpoints, 1)
	if on {
		w.buf = append(w.buf, 1)
	} else {
		w.buf = append(w.buf, 0)
	}
}

// ListEndpoints writes a list_all record.
func (w *Reply) ListEndpoints() { w.begin(ActionListEndpoints, 0) }
