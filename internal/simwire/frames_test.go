package simwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"bramblestand/balancer"
)

const (
	exampleBatch = 12
	exampleClock = balancer.Micros(0x805c5a)
)

// fromHex decodes the hexadecimal text of all parts together and ignores spaces.
func fromHex(t testing.TB, parts ...string) []byte {
	t.Helper()
	data, err := hex.DecodeString(strings.ReplaceAll(strings.Join(parts, ""), " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// newFrame returns a frame with a batch header and the records.
func newFrame(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	frame := binary.BigEndian.AppendUint32(nil, exampleBatch)
	frame = binary.BigEndian.AppendUint32(frame, uint32(batchHeaderSize+len(body)))
	frame = binary.BigEndian.AppendUint64(frame, uint64(exampleClock))
	return append(frame, body...)
}

func TestReadFrameReturnsTheFrame(t *testing.T) {
	frame := newFrame(fromHex(t, exampleInstance, exampleRequest, exampleTimer))
	got, err := ReadFrame(bytes.NewReader(frame), nil)
	if err != nil || !bytes.Equal(got, frame) {
		t.Errorf("read %x, %v; want %x", got, err, frame)
	}
}

func TestMalformedFrames(t *testing.T) {
	for name, text := range map[string]string{
		"header cut":            "0000000c 000000",
		"size under the header": "0000000c 0000000f 0000000000805c5a",
		"frame cut":             "0000000c 00000020 0000000000805c5a 00",
		"size of gigabytes":     "0000000c ffffffff 0000000000805c5a 00",
	} {
		_, err := ReadFrame(bytes.NewReader(fromHex(t, text)), nil)
		var malformed *DecodeError
		if !errors.As(err, &malformed) {
			t.Errorf("%s: error %v, want a *DecodeError", name, err)
		}
	}
	if _, err := ReadFrame(bytes.NewReader(nil), nil); err != io.EOF {
		t.Errorf("empty input: error %v, want io.EOF", err)
	}
}
