package simwire

import (
	"encoding/binary"
	"fmt"
	"io"

	"bramblestand/balancer"
)

// recordName is the name in errors of a record whose code has not been read.
const recordName = "record"

// Event is one decoded record. Only the fields that belong to its code are set. Its slices are valid until the next call of
// [Decoder.Next].
type Event struct {
	Code   EventCode
	Offset int // of the record, from the start of its frame

	Instance        uint32           // EventInstance
	Start           Start            // EventStart
	EndpointUpdate  EndpointUpdate   // EventEndpointUpdate
	Request         balancer.Request // EventRequest
	ResponseStarted ResponseStarted  // EventResponseStarted
	Outcome         balancer.Outcome // EventAttemptFinished
	RequestID       uint64           // EventClientDisconnected
	TimerToken      uint32           // EventTimerFired: the token that was given to [Reply.SetTimer]
	LoadProbeResult LoadProbeResult  // EventLoadProbeResult
	Gossip          Gossip           // EventGossip
}

// Start holds the seed and the settings of an instance that starts.
type Start struct {
	Seed         uint64 // of the instance's random number generator
	SettingsText string // for [ParseSettings]
}

// EndpointUpdate is an update of the endpoint list from discovery, or the failure of a call to discovery.
type EndpointUpdate struct {
	Kind      balancer.UpdateKind
	Endpoints []balancer.Endpoint // nil for balancer.UpdateFailed
}

// ResponseStarted is the start of an attempt's streamed response.
type ResponseStarted struct {
	RequestID uint64
	Attempt   int // index of the attempt; the attempts of a request count from 0 in the order in which they start
	Endpoint  uint32
	Latency   balancer.Micros // since the attempt's start
}

// LoadProbeResult is the outcome of a load probe.
type LoadProbeResult struct {
	Endpoint   uint32
	Status     balancer.Status
	Latency    balancer.Micros // since the probe was sent
	LoadReport []float32       // in the order of Settings.LoadReportFields; empty without a report
}

// Gossip is a message from another instance.
type Gossip struct {
	Sender  uint16 // index of the sending instance in its tier
	Message []byte
}

// Decoder decodes the records of batches. It keeps the numbered endpoint lists, which stay defined from one batch to the next.
// The zero value is ready for Reset.
type Decoder struct {
	frame  []byte
	next   int // start of the next record in the frame
	record recordReader
	lists  endpointLists
}

// Reset begins the decoding of a frame from [ReadFrame]. It returns the batch's number and clock, or a *DecodeError.
func (d *Decoder) Reset(frame []byte) (batch uint32, now balancer.Micros, err error) {
	batch, now, err = decodeBatchHeader(frame)
	if err != nil {
		return 0, 0, err
	}
	d.frame, d.next = frame, batchHeaderSize
	return batch, now, nil
}

// Next decodes one record into e. It returns io.EOF after the last record and a *DecodeError for a malformed one. For a record
// with an unknown code it sets only the code and the offset.
func (d *Decoder) Next(e *Event) error {
	if d.next == len(d.frame) {
		return io.EOF
	}
	code, err := d.openRecord()
	if err != nil {
		return err
	}
	e.Code, e.Offset = code, d.next
	d.decodeFields(e)
	if r := &d.record; code.Known() && r.remaining() > 0 {
		r.failAt(r.offset, "", fmt.Sprintf("%d bytes too many", r.remaining()))
	}
	d.next += len(d.record.data)
	if d.record.err != nil {
		return d.record.err
	}
	return nil
}

// openRecord checks the header of the next record and prepares d.record to read its fields.
func (d *Decoder) openRecord() (EventCode, error) {
	remaining := d.frame[d.next:]
	r := &d.record
	r.name, r.start, r.offset, r.err = recordName, d.next, recordHeaderSize, nil
	if len(remaining) < recordHeaderSize {
		r.failAt(0, "", fmt.Sprintf("a record header needs %d bytes, has %d", recordHeaderSize, len(remaining)))
		return 0, r.err
	}
	code := EventCode(remaining[0])
	r.name = code.String()
	size := int(binary.BigEndian.Uint32(remaining[recordSizeOffset:]))
	if available := len(remaining) - recordHeaderSize; size > available {
		r.failAt(recordSizeOffset, "", fmt.Sprintf("fields of %d bytes overrun the frame, which has %d left", size, available))
		return 0, r.err
	}
	r.data = remaining[:recordHeaderSize+size]
	return code, nil
}

// decodeFields reads the fields of d.record, in the order of the wire, into the fields of e that belong to its code.
func (d *Decoder) decodeFields(e *Event) {
	r := &d.record
	switch e.Code {
	case EventInstance:
		e.Instance = r.uint32(fieldInstance)
	case EventStart:
		e.Start.Seed = r.uint64(fieldSeed)
		e.Start.SettingsText = string(r.take(int(r.uint32(fieldSettings)), fieldSettings))
	case EventStop: // has no fields
	case EventEndpointList:
		d.lists.define(r)
	case EventEndpointUpdate:
		d.lists.decodeUpdate(r, &e.EndpointUpdate)
	case EventRequest:
		decodeRequest(r, &e.Request)
	case EventResponseStarted:
		decodeResponseStarted(r, &e.ResponseStarted)
	case EventAttemptFinished:
		decodeOutcome(r, &e.Outcome)
	case EventClientDisconnected:
		e.RequestID = r.uint64(fieldRequestID)
	case EventTimerFired:
		e.TimerToken = r.uint32(fieldTimerToken)
	case EventLoadProbeResult:
		decodeLoadProbeResult(r, &e.LoadProbeResult)
	case EventGossip:
		e.Gossip.Sender = r.uint16(fieldGossipSender)
		e.Gossip.Message = r.take(int(r.uint16(fieldGossipMessage)), fieldGossipMessage)
	}
}

func decodeRequest(r *recordReader, request *balancer.Request) {
	request.ID = r.uint64(fieldRequestID)
	request.Key = r.uint64(fieldKey)
	request.Deadline = r.instant(fieldDeadline)
	request.CostHint = r.duration(fieldCostHint)
	flags := r.uint8(fieldRequestFlags)
	request.HasCostHint = flags&flagHasCostHint != 0
	request.IsRetry = flags&flagIsRetry != 0
	request.IsWrite = flags&flagIsWrite != 0
	request.Tenant = r.uint16(fieldTenant)
	request.Class = r.uint8(fieldClass)
}

func decodeResponseStarted(r *recordReader, started *ResponseStarted) {
	started.RequestID = r.uint64(fieldRequestID)
	started.Attempt = int(r.uint16(fieldAttempt))
	started.Endpoint = r.uint32(fieldEndpoint)
	started.Latency = r.duration(fieldLatency)
}

func decodeOutcome(r *recordReader, outcome *balancer.Outcome) {
	outcome.ID = r.uint64(fieldRequestID)
	outcome.Attempt = int(r.uint16(fieldAttempt))
	outcome.Endpoint = r.uint32(fieldEndpoint)
	outcome.Status = r.status()
	outcome.Latency = r.duration(fieldLatency)
	outcome.RequestDone = r.uint8(fieldRequestDone) != 0
	outcome.LoadReport = r.loadReportValues()
}

func decodeLoadProbeResult(r *recordReader, result *LoadProbeResult) {
	result.Endpoint = r.uint32(fieldEndpoint)
	result.Status = r.status()
	result.Latency = r.duration(fieldLatency)
	result.LoadReport = r.loadReportValues()
}
