package simwire

import (
	"encoding/binary"
	"fmt"
	"io"

	"bramblestand/balancer"
)

// Event is one decoded record. Only the fields of its code are set; slices are
// valid until the next call of Next.
type Event struct {
	Code         Code
	Offset       int    // of the record in its frame
	Instance     uint32 // Instance
	Seed         uint64 // Begin
	SettingsText string // Begin
	UpdateKind   balancer.UpdateKind
	Endpoints    []balancer.Endpoint // Membership
	Request      balancer.Request
	Outcome      balancer.Outcome // Answer; Headers and CancelledByClient set parts of it
	TimerToken   uint32           // TimeoutFired
	Endpoint     uint32           // HealthResult
	Status       balancer.Status
	Latency      balancer.Micros
	LoadReport   []float32
	Sender       uint16 // Whisper
	Message      []byte
}

// Decoder reads the records of batches. It keeps the numbered lists, which
// outlive a batch.
type Decoder struct {
	frame   []byte
	at      int
	rec     []byte
	recAt   int
	recName string
	off     int
	err     error

	lists [maxEndpointLists][]balancer.Endpoint
	known [maxEndpointLists]bool
	load  []float32
}

// Reset starts on a frame from ReadFrame and returns its number and clock.
func (d *Decoder) Reset(frame []byte) (batch uint32, now balancer.Micros, err error) {
	if len(frame) < batchHeaderSize {
		return 0, 0, &DecodeError{"batch header", len(frame), "shorter than a header"}
	}
	if size := int(binary.BigEndian.Uint32(frame[4:])); size != len(frame) {
		return 0, 0, &DecodeError{"batch header", 4, fmt.Sprintf("size %d but %d bytes", size, len(frame))}
	}
	d.frame, d.at = frame, batchHeaderSize
	return binary.BigEndian.Uint32(frame), balancer.Micros(binary.BigEndian.Uint64(frame[8:])), nil
}

// Next decodes one record into e. It returns io.EOF after the last one. A
// record of an unknown code is returned with its code alone.
func (d *Decoder) Next(e *Event) error {
	left := len(d.frame) - d.at
	if left == 0 {
		return io.EOF
	}
	d.recAt, d.recName, d.off, d.err = d.at, "record", 0, nil
	if left < recordHeaderSize {
		d.fail(fmt.Sprintf("a record header needs %d bytes, has %d", recordHeaderSize, left))
		return d.err
	}
	code := Code(d.frame[d.at])
	d.recName = code.String()
	size := int(binary.BigEndian.Uint32(d.frame[d.at+1:]))
	if size > left-recordHeaderSize {
		d.off = 1
		d.fail(fmt.Sprintf("fields of %d bytes overrun the frame, which has %d left", size, left-recordHeaderSize))
		return d.err
	}
	d.rec, d.off = d.frame[d.at:d.at+recordHeaderSize+size], recordHeaderSize
	e.Code, e.Offset = code, d.at
	switch code {
	case EventStart:
		e.Seed = d.u64()
		e.SettingsText = string(d.take(int(d.u32())))
	case EventEndpointList:
		d.manifest()
	case EventEndpointUpdate:
		d.u32()
		d.membership(e)
	case EventRequest:
		r := &e.Request
		r.ID, r.Key, r.Deadline, r.CostHint = d.u64(), d.u64(), balancer.Micros(d.u64()), balancer.Micros(d.u32())
		opts := d.u8()
		r.HasCostHint, r.IsRetry, r.IsWrite = opts&1 != 0, opts&2 != 0, opts&4 != 0
		r.Tenant, r.Class = d.u16(), d.u8()
	case EventResponseStarted:
		o := &e.Outcome
		o.ID, o.Attempt, o.Endpoint, o.Latency = d.u64(), int(d.u16()), d.u32(), balancer.Micros(d.u32())
	case EventAttemptFinished:
		o := &e.Outcome
		o.ID, o.Attempt, o.Endpoint = d.u64(), int(d.u16()), d.u32()
		o.Status, o.Latency, o.RequestDone = d.status(), balancer.Micros(d.u32()), d.u8() != 0
		o.LoadReport = d.loads()
	case EventClientDisconnected:
		e.Outcome.ID = d.u64()
	case EventTimerFired:
		e.TimerToken = d.u32()
	case EventLoadProbeResult:
		e.Endpoint, e.Status, e.Latency = d.u32(), d.status(), balancer.Micros(d.u32())
		e.LoadReport = d.loads()
	case EventGossip:
		e.Sender = d.u16()
		e.Message = d.take(int(d.u16()))
	case EventStop:
	case EventInstance:
		e.Instance = d.u32()
	default:
		d.off = len(d.rec)
	}
	if d.err == nil && d.off < len(d.rec) {
		d.fail(fmt.Sprintf("%d bytes too many", len(d.rec)-d.off))
	}
	d.at += len(d.rec)
	return d.err
}
