package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"bramblestand/balancer"
)

// Layout of a batch header: the batch's number, the size of the frame including the header, and the clock.
const (
	batchSizeOffset  = 4
	batchClockOffset = 8
	batchHeaderSize  = 16
)

const (
	maxFrameSize       = 1 << 30
	initialFrameBuffer = 1 << 16
	maxFrameGrowth     = 1 << 20 // bytes of memory that may be allocated before the input for them has arrived
)

// Names in errors of the parts of a frame that are not records.
const (
	batchHeaderName = "batch header"
	batchName       = "batch"
)

// ReadFrame reads one batch into buffer, growing it as needed, and returns the frame. It returns io.EOF only if the input
// ends before the first byte of a frame, and a *DecodeError if it ends later or if the frame's size is out of range.
func ReadFrame(r io.Reader, buffer []byte) ([]byte, error) {
	if cap(buffer) < batchHeaderSize {
		buffer = make([]byte, initialFrameBuffer)
	}
	buffer = buffer[:batchHeaderSize]
	if n, err := io.ReadFull(r, buffer); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, &DecodeError{Record: batchHeaderName, Offset: n, Reason: "input ends inside the header"}
	}
	size := int(binary.BigEndian.Uint32(buffer[batchSizeOffset:]))
	if size < batchHeaderSize || size > maxFrameSize {
		return nil, &DecodeError{Record: batchHeaderName, Offset: batchSizeOffset,
			Reason: fmt.Sprintf("frame size %d is out of range", size)}
	}
	return readRecords(r, buffer, size)
}

// readRecords reads the rest of a frame of size bytes. Its header is already in buffer.
func readRecords(r io.Reader, buffer []byte, size int) ([]byte, error) {
	for received := len(buffer); received < size; {
		// The buffer grows as bytes arrive: a large size in a header alone must not make the process allocate memory.
		step := min(size-received, maxFrameGrowth)
		if cap(buffer) < received+step {
			grown := make([]byte, received, max(received+step, 2*cap(buffer)))
			copy(grown, buffer)
			buffer = grown
		}
		buffer = buffer[:received+step]
		n, err := io.ReadFull(r, buffer[received:])
		if err != nil {
			return nil, &DecodeError{Record: batchName, Offset: received + n,
				Reason: fmt.Sprintf("input ends inside a frame of %d bytes", size)}
		}
		received += step
	}
	return buffer, nil
}

// decodeBatchHeader returns the number and the clock of the batch in a frame.
func decodeBatchHeader(frame []byte) (batch uint32, now balancer.Micros, err error) {
	if len(frame) < batchHeaderSize {
		return 0, 0, &DecodeError{Record: batchHeaderName, Offset: len(frame), Reason: "the frame is shorter than a header"}
	}
	if size := int(binary.BigEndian.Uint32(frame[batchSizeOffset:])); size != len(frame) {
		return 0, 0, &DecodeError{Record: batchHeaderName, Offset: batchSizeOffset,
			Reason: fmt.Sprintf("the header gives a size of %d, the frame has %d bytes", size, len(frame))}
	}
	return binary.BigEndian.Uint32(frame), balancer.Micros(binary.BigEndian.Uint64(frame[batchClockOffset:])), nil
}
