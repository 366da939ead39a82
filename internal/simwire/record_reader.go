package simwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"bramblestand/balancer"
)

// Layout of a record header: the record's code and the total length of its fields.
const (
	recordSizeOffset = 1
	recordHeaderSize = 5
)

// loadValueSize is the size in bytes of one value in a load report.
const loadValueSize = 4

// recordReader reads the fields of one record in order. After an error every read returns a zero value, so that callers need to
// check for an error only once per record.
type recordReader struct {
	name       string // of the record on the wire
	start      int    // offset of the record from the start of its frame
	data       []byte // the record, including its header
	offset     int    // of the next field, from the start of the record
	err        *DecodeError
	loadReport []float32 // the load report that was read last; its memory is reused
}

// remaining returns how many bytes of the record have not been read.
func (r *recordReader) remaining() int { return len(r.data) - r.offset }

// failAt records an error in a field that starts at offset in the record. Only the first error is kept.
func (r *recordReader) failAt(offset int, field, reason string) {
	if r.err == nil {
		r.err = &DecodeError{Record: r.name, Field: field, Offset: r.start + offset, Reason: reason}
	}
}

// take returns the next n bytes of the record, or nil after an error.
func (r *recordReader) take(n int, field string) []byte {
	if r.err != nil {
		return nil
	}
	if n < 0 || r.remaining() < n {
		r.failAt(r.offset, field, fmt.Sprintf("needs %d more bytes, has %d", n, r.remaining()))
		return nil
	}
	taken := r.data[r.offset : r.offset+n]
	r.offset += n
	return taken
}

func (r *recordReader) uint8(field string) uint8 {
	if p := r.take(1, field); p != nil {
		return p[0]
	}
	return 0
}

func (r *recordReader) uint16(field string) uint16 {
	if p := r.take(2, field); p != nil {
		return binary.BigEndian.Uint16(p)
	}
	return 0
}

func (r *recordReader) uint32(field string) uint32 {
	if p := r.take(4, field); p != nil {
		return binary.BigEndian.Uint32(p)
	}
	return 0
}

func (r *recordReader) uint64(field string) uint64 {
	if p := r.take(8, field); p != nil {
		return binary.BigEndian.Uint64(p)
	}
	return 0
}

func (r *recordReader) float32(field string) float32 { return math.Float32frombits(r.uint32(field)) }

// duration reads a duration in microseconds, four bytes long.
func (r *recordReader) duration(field string) balancer.Micros {
	return balancer.Micros(r.uint32(field))
}

// instant reads a time on the batch's clock, in microseconds and eight bytes long.
func (r *recordReader) instant(field string) balancer.Micros { return balancer.Micros(r.uint64(field)) }

// status reads the status with which an attempt or a load probe ended.
func (r *recordReader) status() balancer.Status {
	start := r.offset
	code := r.uint16(fieldStatus)
	switch code {
	case 200:
		return balancer.OK
	case 500:
		return balancer.Error
	case 503:
		return balancer.Rejected
	case 504:
		return balancer.Timeout
	case 502:
		return balancer.ConnectFailed
	case 598:
		return balancer.Reset
	case 499:
		return balancer.Cancelled
	case 410:
		return balancer.NotSent
	}
	r.failAt(start, fieldStatus, fmt.Sprintf("unknown status %d", code))
	return balancer.Error
}

// loadReportValues reads a load report. The result is valid until the next load report is read.
func (r *recordReader) loadReportValues() []float32 {
	count := int(r.uint8(fieldLoadReport))
	values := r.take(loadValueSize*count, fieldLoadReport)
	r.loadReport = r.loadReport[:0]
	for ; len(values) >= loadValueSize; values = values[loadValueSize:] {
		r.loadReport = append(r.loadReport, math.Float32frombits(binary.BigEndian.Uint32(values)))
	}
	return r.loadReport
}
