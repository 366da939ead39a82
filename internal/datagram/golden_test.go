//go:build go1.25

package datagram

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramblestand/internal/goldentest"
)

// goldenDatagram is one datagram in its form on the wire.
type goldenDatagram struct {
	Name    string  `json:"name"`
	Channel Channel `json:"channel"`
	Hex     string  `json:"hex"`
}

func (g goldenDatagram) bytes(t *testing.T) []byte {
	t.Helper()
	data, err := hex.DecodeString(g.Hex)
	if err != nil {
		t.Fatal(g.Name, err)
	}
	return data
}

// compareGolden compares datagrams with a golden file, byte for byte, and returns those of the file.
func compareGolden(t *testing.T, got []goldenDatagram, file string) []goldenDatagram {
	t.Helper()
	text := goldentest.EqualBytes(t, goldentest.JSON(t, got), filepath.Join("testdata", file))
	var list []goldenDatagram
	if err := json.Unmarshal(text, &list); err != nil {
		t.Fatal(err)
	}
	return list
}

// Datagrams of every channel are sent as in the golden file, and the golden file's datagrams are received with their
// original payload.
func TestGoldenDatagrams(t *testing.T) {
	payloads := []struct {
		name    string
		channel Channel
		payload []byte
	}{
		{"news", ChannelGossip, []byte("\x07news of the module")},
		{"news, empty", ChannelGossip, nil},
		{"packet", ChannelPackets, []byte{2, 0x81, 0xa5, 'S', 'e', 'q', 'N', 'o', 9}},
		{"packet, longest", ChannelPackets, bytes.Repeat([]byte{0xab}, MaxSize-1)},
		{"segment to the listener", ChannelToListener, []byte{1, 2, 3, 4, 81, 0}},
		{"segment to the dialer", ChannelToDialer, []byte{4, 3, 2, 1, 82, 0}},
	}
	var sent []goldenDatagram
	out := New(func(data []byte, _ netip.AddrPort) error {
		sent = append(sent, goldenDatagram{payloads[len(sent)].name, Channel(data[0]), hex.EncodeToString(data)})
		return nil
	}, Options{MaxRate: 1000})
	for _, p := range payloads {
		if err := out.Send(addressB, append([]byte{byte(p.channel)}, p.payload...)); err != nil {
			t.Fatal(p.name, err)
		}
	}
	for i, g := range compareGolden(t, sent, "datagrams.json") {
		in := New(nil, Options{})
		var got []byte
		in.Handle(g.Channel, func(from netip.AddrPort, data []byte) bool {
			got = data
			return from == addressA
		})
		in.Deliver(addressA, g.bytes(t))
		if len(got) == 0 || !bytes.Equal(got[1:], payloads[i].payload) {
			t.Errorf("%s: received as %x", g.Name, got)
		}
		if counts, unknown := in.Counts(); unknown != 0 || counts[g.Channel].ReceivedDatagrams != 1 || counts[g.Channel].Rejected != 0 {
			t.Errorf("%s: counted as %+v, %d unknown", g.Name, counts, unknown)
		}
	}
}

const (
	goldenConversation = 0x01020304
	timestampOffset    = 8  // offset of the sender's clock in a segment's header
	lengthOffset       = 20 // offset of the data's length in a segment's header
)

// withoutTimestamps returns a copy of a datagram with the sender's clock set to zero in all segments. The remaining bytes
// are deterministic.
func withoutTimestamps(data []byte) []byte {
	data = bytes.Clone(data)
	for segment := data[1:]; len(segment) >= segmentHeaderSize; {
		clear(segment[timestampOffset : timestampOffset+4])
		segment = segment[segmentHeaderSize+int(binary.LittleEndian.Uint32(segment[lengthOffset:])):]
	}
	return data
}

// goldenSide is one side of a stream. It records its datagrams instead of sending them.
type goldenSide struct {
	*Streams
	transport *Transport

	sentMu sync.Mutex // guards sent: a stream's timers send concurrently
	sent   [][]byte
}

func newGoldenSide() *goldenSide {
	s := &goldenSide{}
	s.transport = New(func(data []byte, _ netip.AddrPort) error {
		s.sentMu.Lock()
		defer s.sentMu.Unlock()
		s.sent = append(s.sent, withoutTimestamps(data))
		return nil
	}, Options{})
	s.Streams = NewStreams(s.transport)
	return s
}

// takeSent returns the datagrams that the side sends within a few flush intervals.
func (s *goldenSide) takeSent() [][]byte {
	time.Sleep(3 * flushInterval)
	synctest.Wait()
	s.sentMu.Lock()
	defer s.sentMu.Unlock()
	sent := s.sent
	s.sent = nil
	return sent
}

// A stream's first segments, the answer and their acknowledgements have the bytes of the golden file, except for the
// sender's clock. A new listening side reads and acknowledges the golden file's segments.
func TestGoldenStream(t *testing.T) {
	question, answer := bytes.Repeat([]byte("question "), 60), []byte("answer")
	synctest.Test(t, func(t *testing.T) {
		dialer, listener := newGoldenSide(), newGoldenSide()
		var all []goldenDatagram
		forward := func(name string, from, to *goldenSide, address netip.AddrPort) {
			for _, data := range from.takeSent() {
				all = append(all, goldenDatagram{name, Channel(data[0]), hex.EncodeToString(data)})
				if to != nil {
					to.transport.Deliver(address, bytes.Clone(data))
				}
			}
		}
		dialed, err := dialer.add(streamKey{addressB, goldenConversation, true})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := dialed.Write(question); err != nil {
			t.Fatal(err)
		}
		forward("question", dialer, listener, addressA)
		accepted := <-listener.Accepted()
		got := make([]byte, len(question))
		if _, err := io.ReadFull(accepted, got); err != nil || !bytes.Equal(got, question) {
			t.Fatalf("the question was read as %q, %v", got, err)
		}
		forward("acknowledgement of the question", listener, dialer, addressB)
		if _, err := accepted.Write(answer); err != nil {
			t.Fatal(err)
		}
		forward("answer", listener, dialer, addressB)
		got = make([]byte, len(answer))
		if _, err := io.ReadFull(dialed, got); err != nil || !bytes.Equal(got, answer) {
			t.Fatalf("the answer was read as %q, %v", got, err)
		}
		forward("acknowledgement of the answer", dialer, nil, addressA)

		replay := replayQuestion(t, question, compareGolden(t, all, "stream.json"))
		for _, side := range []*goldenSide{dialer, listener, replay} {
			side.Close()
		}
		time.Sleep(time.Minute)
	})
}

// replayQuestion delivers the golden file's question to a new listening side, which must read it and acknowledge it with
// the same bytes as in the file.
func replayQuestion(t *testing.T, question []byte, segments []goldenDatagram) *goldenSide {
	t.Helper()
	replay := newGoldenSide()
	var acknowledged []string
	for _, g := range segments {
		switch g.Name {
		case "question":
			replay.transport.Deliver(addressA, g.bytes(t))
		case "acknowledgement of the question":
			acknowledged = append(acknowledged, g.Hex)
		}
	}
	accepted := <-replay.Accepted()
	got := make([]byte, len(question))
	if _, err := io.ReadFull(accepted, got); err != nil || !bytes.Equal(got, question) {
		t.Errorf("the golden question is read as %q, %v", got, err)
	}
	var sent []string
	for _, data := range replay.takeSent() {
		sent = append(sent, hex.EncodeToString(data))
	}
	if !slices.Equal(sent, acknowledged) {
		t.Errorf("the golden question is acknowledged by %v, want %v", sent, acknowledged)
	}
	return replay
}
