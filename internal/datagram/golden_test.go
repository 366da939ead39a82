//go:build go1.25

package datagram

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"flag"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

var updateGolden = flag.Bool("update-golden", false, "write the golden files anew; only for a form that is new on the wire")

// goldenDatagram is one datagram as it is on the wire.
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

// compareGolden compares datagrams with those of a golden file, byte for byte, and returns the file's.
func compareGolden(t *testing.T, file string, got []goldenDatagram) []goldenDatagram {
	t.Helper()
	path := filepath.Join("testdata", file)
	text, err := json.MarshalIndent(got, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	text = append(text, '\n')
	if *updateGolden {
		if err := os.WriteFile(path, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, want) {
		t.Errorf("%s: other bytes on the wire:\n%s\nwant\n%s", path, text, want)
	}
	var list []goldenDatagram
	if err := json.Unmarshal(want, &list); err != nil {
		t.Fatal(err)
	}
	return list
}

// Datagrams of every channel leave as the golden file has them, and come in as what they were.
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
		if err := out.Send(there, append([]byte{byte(p.channel)}, p.payload...)); err != nil {
			t.Fatal(p.name, err)
		}
	}
	for i, g := range compareGolden(t, "datagrams.json", sent) {
		in := New(nil, Options{})
		var got []byte
		in.Handle(g.Channel, func(from netip.AddrPort, data []byte) bool {
			got = data
			return from == here
		})
		in.Deliver(here, g.bytes(t))
		if len(got) == 0 || !bytes.Equal(got[1:], payloads[i].payload) {
			t.Errorf("%s: came in as %x", g.Name, got)
		}
		if counts, unknown := in.Counts(); unknown != 0 || counts[g.Channel].ReceivedDatagrams != 1 || counts[g.Channel].Rejected != 0 {
			t.Errorf("%s: counted as %+v, %d unknown", g.Name, counts, unknown)
		}
	}
}

const (
	goldenConversation = 0x01020304
	stampAt, sizeAt    = 8, 20 // of a segment's header: where the sender's clock and the length of its data stand
)

// withoutClock sets to zero what the sender's clock wrote into a datagram's segments; the rest has one form.
func withoutClock(data []byte) []byte {
	data = bytes.Clone(data)
	for segment := data[1:]; len(segment) >= segmentHeaderSize; {
		clear(segment[stampAt : stampAt+4])
		segment = segment[segmentHeaderSize+int(binary.LittleEndian.Uint32(segment[sizeAt:])):]
	}
	return data
}

// goldenSide is one side of a stream, whose datagrams are kept instead of sent.
type goldenSide struct {
	*Streams
	transport *Transport
	sent      [][]byte
}

func newGoldenSide() *goldenSide {
	s := &goldenSide{}
	s.transport = New(func(data []byte, _ netip.AddrPort) error {
		s.sent = append(s.sent, withoutClock(data))
		return nil
	}, Options{})
	s.Streams = NewStreams(s.transport)
	return s
}

// takeSent gives what the side sends within a few intervals.
func (s *goldenSide) takeSent() [][]byte {
	s.sent = nil
	time.Sleep(3 * flushIntervalMillis * time.Millisecond)
	synctest.Wait()
	return s.sent
}

// A stream's first segments, their acknowledgements and the answer are on the wire as the golden file has them (the
// sender's clock aside), and a stream is read from the golden file's.
func TestGoldenStream(t *testing.T) {
	question, answer := bytes.Repeat([]byte("question "), 60), []byte("answer")
	synctest.Test(t, func(t *testing.T) {
		dialer, listener := newGoldenSide(), newGoldenSide()
		var all []goldenDatagram
		pass := func(name string, from, to *goldenSide, at netip.AddrPort) {
			for _, data := range from.takeSent() {
				all = append(all, goldenDatagram{name, Channel(data[0]), hex.EncodeToString(data)})
				if to != nil {
					to.transport.Deliver(at, bytes.Clone(data))
				}
			}
		}
		dialed, err := dialer.add(streamKey{there, goldenConversation, true})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := dialed.Write(question); err != nil {
			t.Fatal(err)
		}
		pass("question", dialer, listener, here)
		accepted := <-listener.Accepted()
		got := make([]byte, len(question))
		if _, err := io.ReadFull(accepted, got); err != nil || !bytes.Equal(got, question) {
			t.Fatalf("the question came as %q, %v", got, err)
		}
		pass("acknowledgement of the question", listener, dialer, there)
		if _, err := accepted.Write(answer); err != nil {
			t.Fatal(err)
		}
		pass("answer", listener, dialer, there)
		got = make([]byte, len(answer))
		if _, err := io.ReadFull(dialed, got); err != nil || !bytes.Equal(got, answer) {
			t.Fatalf("the answer came as %q, %v", got, err)
		}
		pass("acknowledgement of the answer", dialer, nil, here)

		// The listener's side alone, from the file: it reads the question and acknowledges it with the same bytes.
		again := newGoldenSide()
		var acknowledged []string
		for _, g := range compareGolden(t, "stream.json", all) {
			switch g.Name {
			case "question":
				again.transport.Deliver(here, g.bytes(t))
			case "acknowledgement of the question":
				acknowledged = append(acknowledged, g.Hex)
			}
		}
		other := <-again.Accepted()
		got = make([]byte, len(question))
		if _, err := io.ReadFull(other, got); err != nil || !bytes.Equal(got, question) {
			t.Errorf("the golden question is read as %q, %v", got, err)
		}
		var sent []string
		for _, data := range again.takeSent() {
			sent = append(sent, hex.EncodeToString(data))
		}
		if !slices.Equal(sent, acknowledged) {
			t.Errorf("the golden question is acknowledged by %v, want %v", sent, acknowledged)
		}
		for _, side := range []*goldenSide{dialer, listener, again} {
			side.Close()
		}
		time.Sleep(time.Minute)
	})
}
