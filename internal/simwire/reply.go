package simwire

import (
	"encoding/binary"
	"math"

	"bramblestand/balancer"
)

// A reply's header: the batch's number, the size of the frame with the header, and the number of records.
const (
	replySizeOffset  = 4
	replyCountOffset = 8
	replyHeaderSize  = 12
)

const (
	maxGossipSize = 256            // bytes of a message to other instances
	maxTextSize   = math.MaxUint16 // bytes of a text
)

// AllPeers addresses [Reply.SendGossip] to every other instance.
const AllPeers uint32 = math.MaxUint32

// Reply builds the answer to one batch. It reuses its buffer; the zero value is ready for Reset. Durations outside of what
// a record holds, 0 to about 71 minutes, are clamped.
type Reply struct {
	buffer      []byte
	recordCount uint32
	recordStart int // of the record that is being written
}

// Reset starts the reply to a batch.
func (w *Reply) Reset(batch uint32) {
	w.buffer = binary.BigEndian.AppendUint32(w.buffer[:0], batch)
	w.uint32(0) // the size and the number of records, which Bytes knows
	w.uint32(0)
	w.recordCount = 0
}

// Bytes completes the frame. It is valid until the next call of Reset.
func (w *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(w.buffer[replySizeOffset:], uint32(len(w.buffer)))
	binary.BigEndian.PutUint32(w.buffer[replyCountOffset:], w.recordCount)
	return w.buffer
}

// SelectInstance names the instance whose actions follow.
func (w *Reply) SelectInstance(instance uint32) {
	w.begin(ActionSelectInstance)
	w.uint32(instance)
	w.end()
}

// StartAttempt sends a request to an endpoint. A timeout of 0 runs until the client's deadline.
func (w *Reply) StartAttempt(requestID uint64, endpoint uint32, timeout balancer.Micros) {
	w.begin(ActionStartAttempt)
	w.uint64(requestID)
	w.uint32(endpoint)
	w.duration(timeout)
	w.end()
}

// Reject answers a request finally and promises that a retry is harmless. A retryAfter of 0 gives no advice.
func (w *Reply) Reject(requestID uint64, retryAfter balancer.Micros) {
	w.begin(ActionReject)
	w.uint64(requestID)
	w.duration(retryAfter)
	w.end()
}

// Fail answers a request finally, with no promise about its effect.
func (w *Reply) Fail(requestID uint64) {
	w.begin(ActionFail)
	w.uint64(requestID)
	w.end()
}

// CancelAttempt stops waiting for an attempt. Its outcome still comes.
func (w *Reply) CancelAttempt(requestID uint64, attempt int) {
	w.begin(ActionCancelAttempt)
	w.uint64(requestID)
	w.uint16(uint16(attempt))
	w.end()
}

// SetTimer requests an EventTimerFired with this token after delay.
func (w *Reply) SetTimer(delay balancer.Micros, token uint32) {
	w.begin(ActionSetTimer)
	w.duration(delay)
	w.uint32(token)
	w.end()
}

// SendLoadProbe requests an endpoint's load report.
func (w *Reply) SendLoadProbe(endpoint uint32) {
	w.begin(ActionSendLoadProbe)
	w.uint32(endpoint)
	w.end()
}

// CloseIdleConnections closes the instance's idle connections to an endpoint.
func (w *Reply) CloseIdleConnections(endpoint uint32) {
	w.begin(ActionCloseIdleConnections)
	w.uint32(endpoint)
	w.end()
}

// SendGossip sends data to the instance of that index, or to [AllPeers]. Data beyond 256 bytes is cut off.
func (w *Reply) SendGossip(peer uint32, data []byte) {
	data = data[:min(len(data), maxGossipSize)]
	w.begin(ActionSendGossip)
	w.uint32(peer)
	w.uint16(uint16(len(data)))
	w.buffer = append(w.buffer, data...)
	w.end()
}

// Log adds a line to the run's report.
func (w *Reply) Log(message string) { w.text(ActionLog, message) }

// ReportFault says that the decision code has failed, which ends the run.
func (w *Reply) ReportFault(message string) { w.text(ActionReportFault, message) }

// WatchEndpoints subscribes to discovery's changes, or ends that.
func (w *Reply) WatchEndpoints(on bool) {
	w.begin(ActionWatchEndpoints)
	w.bool(on)
	w.end()
}

// ListEndpoints requests the full list from discovery once.
func (w *Reply) ListEndpoints() {
	w.begin(ActionListEndpoints)
	w.end()
}

// begin starts a record; end completes it.
func (w *Reply) begin(code ActionCode) {
	w.recordCount++
	w.recordStart = len(w.buffer)
	w.buffer = append(w.buffer, byte(code))
	w.uint32(0) // the length of the fields, which end knows
}

func (w *Reply) end() {
	size := len(w.buffer) - w.recordStart - recordHeaderSize
	binary.BigEndian.PutUint32(w.buffer[w.recordStart+recordSizeOffset:], uint32(size))
}

// text writes a record whose only field is a text; what is too long is cut off.
func (w *Reply) text(code ActionCode, message string) {
	message = message[:min(len(message), maxTextSize)]
	w.begin(code)
	w.uint16(uint16(len(message)))
	w.buffer = append(w.buffer, message...)
	w.end()
}

func (w *Reply) uint16(v uint16) { w.buffer = binary.BigEndian.AppendUint16(w.buffer, v) }
func (w *Reply) uint32(v uint32) { w.buffer = binary.BigEndian.AppendUint32(w.buffer, v) }
func (w *Reply) uint64(v uint64) { w.buffer = binary.BigEndian.AppendUint64(w.buffer, v) }

func (w *Reply) bool(v bool) {
	if v {
		w.buffer = append(w.buffer, 1)
	} else {
		w.buffer = append(w.buffer, 0)
	}
}

func (w *Reply) duration(v balancer.Micros) { w.uint32(uint32(min(max(v, 0), math.MaxUint32))) }
