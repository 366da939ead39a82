package simwire

import (
	"encoding/binary"
	"math"

	"bramblestand/balancer"
)

// Layout of a reply header: the batch's number, the size of the frame including the header, and the number of records.
const (
	replySizeOffset  = 4
	replyCountOffset = 8
	replyHeaderSize  = 12
)

const (
	maxGossipSize = 256            // bytes of a message to other instances
	maxTextSize   = math.MaxUint16 // bytes of the text of a log line or a fault
)

// AllPeers addresses [Reply.SendGossip] to every other instance.
const AllPeers uint32 = math.MaxUint32

// Reply builds the reply to one batch. It reuses its buffer; the zero value is ready for Reset. Durations are clamped to the
// range that a record can hold, 0 to about 71 minutes.
type Reply struct {
	buffer      []byte
	recordCount uint32
	recordStart int // offset in buffer of the record that is being written
}

// Reset starts the reply to a batch.
func (w *Reply) Reset(batch uint32) {
	w.buffer = binary.BigEndian.AppendUint32(w.buffer[:0], batch)
	// Placeholders for the frame's size and the number of records. Bytes fills them in.
	w.uint32(0)
	w.uint32(0)
	w.recordCount = 0
}

// Bytes completes the frame and returns it. The frame is valid until the next call of Reset.
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

// StartAttempt sends a request to an endpoint. With a timeout of 0 the attempt may run until the client's deadline.
func (w *Reply) StartAttempt(requestID uint64, endpoint uint32, timeout balancer.Micros) {
	w.begin(ActionStartAttempt)
	w.uint64(requestID)
	w.uint32(endpoint)
	w.duration(timeout)
	w.end()
}

// Reject sends the final answer to a request, with the promise that a retry is harmless. With a retryAfter of 0 it does not
// advise the client when to retry.
func (w *Reply) Reject(requestID uint64, retryAfter balancer.Micros) {
	w.begin(ActionReject)
	w.uint64(requestID)
	w.duration(retryAfter)
	w.end()
}

// Fail sends the final answer to a request, without a promise about whether the request took effect.
func (w *Reply) Fail(requestID uint64) {
	w.begin(ActionFail)
	w.uint64(requestID)
	w.end()
}

// CancelAttempt stops waiting for an attempt. The simulator still sends its EventAttemptFinished.
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

// SendGossip sends data to the instance with the index peer, or to every other instance if peer is [AllPeers]. Data is
// truncated to 256 bytes.
func (w *Reply) SendGossip(peer uint32, data []byte) {
	data = data[:min(len(data), maxGossipSize)]
	w.begin(ActionSendGossip)
	w.uint32(peer)
	w.uint16(uint16(len(data)))
	w.buffer = append(w.buffer, data...)
	w.end()
}

// Log adds a line to the report of the simulator's run.
func (w *Reply) Log(message string) { w.text(ActionLog, message) }

// ReportFault reports that the load-balancing code has failed. This ends the simulator's run.
func (w *Reply) ReportFault(message string) { w.text(ActionReportFault, message) }

// WatchEndpoints starts or ends the subscription to discovery's changes.
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
	w.uint32(0) // placeholder for the length of the fields, filled in by end
}

func (w *Reply) end() {
	size := len(w.buffer) - w.recordStart - recordHeaderSize
	binary.BigEndian.PutUint32(w.buffer[w.recordStart+recordSizeOffset:], uint32(size))
}

// text writes a record whose only field is a text, truncated to maxTextSize bytes.
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
