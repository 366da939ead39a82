package membership

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// What memberlist is sent is looked through before the library sees it: it
// allocates by a count that it was told, indexes versions unchecked, and takes
// one strange version as reason to refuse whole lists. The messages' forms are
// those of memberlist v0.5 (net.go), each by one type byte and msgpack.
const (
	msgPing byte = iota
	msgIndirectPing
	msgAck
	msgSuspect
	msgAlive
	msgDead
	msgPushPull
	msgCompound
	msgNack               byte = 11
	msgHasCRC             byte = 12
	msgErr                byte = 13
	versionCount               = 6 // protocol and delegate: least, most and spoken
	protocolVersion            = 2 // the protocol version that all of this program speak
	stateLeft                  = 3
	crcHeaderSize              = 5
	maxPushPullHeaderSize      = 256 // bytes of a push/pull before its states, at most
	maxStateSize               = 400 // of one state, at most
)

// wireMessage is any message: each kind uses some of the fields.
type wireMessage struct {
	SeqNo       uint32
	Node        string
	From        string
	Name        string
	SourceNode  string
	Addr        []byte
	SourceAddr  []byte
	Target      []byte
	Port        uint16
	SourcePort  uint16
	Incarnation uint32
	Meta        []byte
	Vsn         []byte
	Payload     []byte
	State       int
	Nack        bool
}

// reportFunc is what the library does not pass on of a message: who was told alive, or said goodbye, in which incarnation.
type reportFunc func(name string, incarnation uint32, goodbye bool)

func decode(r io.Reader, into any) error {
	return codec.NewDecoder(r, &codec.MsgpackHandle{}).Decode(into)
}

// packetContents is what a packet holds: an answer, a probe of a member by its name.
type packetContents struct{ hasAck, hasProbe bool }

// checkPacket says why a packet cannot be one of memberlist's, and what it holds; note is told of what it says of members.
func checkPacket(data []byte, note reportFunc) (what packetContents, err error) {
	if len(data) >= crcHeaderSize && data[0] == msgHasCRC {
		if crc32.ChecksumIEEE(data[crcHeaderSize:]) != binary.BigEndian.Uint32(data[1:]) {
			return what, errors.New("checksum does not match")
		}
		data = data[crcHeaderSize:]
	}
	if len(data) < 2 || data[0] != msgCompound {
		err = checkMessage(data, note, &what)
		return what, err
	}
	parts := int(data[1])
	if len(data) < 2+2*parts {
		return what, errors.New("compound: truncated")
	}
	lengths, rest := data[2:2+2*parts], data[2+2*parts:]
	for ; len(lengths) > 0; lengths = lengths[2:] {
		n := int(binary.BigEndian.Uint16(lengths))
		if n > len(rest) {
			return what, errors.New("compound: truncated")
		}
		if err := checkMessage(rest[:n], note, &what); err != nil {
			return what, err
		}
		rest = rest[n:]
	}
	return what, nil
}

func checkMessage(data []byte, note reportFunc, what *packetContents) error {
	if len(data) == 0 {
		return errors.New("empty")
	}
	var m wireMessage
	if err := decode(bytes.NewReader(data[1:]), &m); err != nil {
		return fmt.Errorf("type %d: %w", data[0], err)
	}
	switch data[0] {
	case msgPing:
		what.hasProbe = what.hasProbe || m.Node != ""
		return errors.Join(checkName("Node", m.Node, 0), checkName("SourceNode", m.SourceNode, 0), checkIP("SourceAddr", m.SourceAddr, true))
	case msgIndirectPing:
		return errors.Join(checkName("Node", m.Node, 0), checkName("SourceNode", m.SourceNode, 0), checkIP("SourceAddr", m.SourceAddr, true),
			checkIP("Target", m.Target, false))
	case msgAck:
		what.hasAck = true
		if len(m.Payload) > 0 {
			return errors.New("ack: has a payload")
		}
	case msgNack:
	case msgSuspect, msgDead:
		if err := errors.Join(checkName("Node", m.Node, 1), checkName("From", m.From, 1)); err != nil {
			return err
		}
		if data[0] == msgDead && m.Node == m.From {
			note(m.Node, m.Incarnation, true)
		}
	case msgAlive:
		return checkMemberState(m, m.Node, note)
	default:
		return fmt.Errorf("type %d is none of the view's", data[0])
	}
	return nil
}

// checkMemberState checks what is told of a member that lives, or of one in a push/pull.
func checkMemberState(m wireMessage, name string, note reportFunc) error {
	if _, err := decodeMember(name, net.IP(m.Addr), m.Port, m.Meta); err != nil {
		return err
	}
	switch v := m.Vsn; {
	case len(v) != versionCount:
		return fmt.Errorf("Vsn: %d versions are not %d", len(v), versionCount)
	case v[0] < 1 || v[0] > protocolVersion || v[1] < protocolVersion || v[2] < v[0] || v[2] > v[1] || v[3] != 0 || v[5] != 0:
		return fmt.Errorf("Vsn: %v leaves out protocol %d", v, protocolVersion)
	case m.State < 0 || m.State > stateLeft:
		return fmt.Errorf("State: %d is none", m.State)
	}
	note(name, m.Incarnation, m.State == stateLeft)
	return nil
}

func checkName(field, text string, least int) error {
	if err := validateText(text, least, MaxNameLength); err != nil {
		return fmt.Errorf("%s: %.80q %w", field, text, err)
	}
	return nil
}

func checkIP(field string, ip []byte, optional bool) error {
	if len(ip) != net.IPv4len && !(optional && len(ip) == 0) {
		return fmt.Errorf("%s: %d bytes are no IPv4 address", field, len(ip))
	}
	return nil
}

// readStreamMessage reads one whole message of a stream, a push/pull of at most most
// states or an error's text, and returns its bytes.
func readStreamMessage(r io.Reader, most int, note reportFunc) ([]byte, error) {
	var whole bytes.Buffer
	in := bufio.NewReader(io.TeeReader(io.LimitReader(r, int64(maxPushPullHeaderSize+most*maxStateSize)), &whole))
	kind, err := in.ReadByte()
	if err != nil {
		return nil, err
	}
	dec := codec.NewDecoder(in, &codec.MsgpackHandle{})
	switch kind {
	case msgErr:
		var text struct{ Error string }
		if err := dec.Decode(&text); err != nil {
			return nil, fmt.Errorf("error: %w", err)
		}
		return whole.Bytes(), nil
	case msgPushPull:
	default:
		return nil, fmt.Errorf("stream: type %d is no push/pull", kind)
	}
	var head struct {
		Nodes, UserStateLen int
		Join                bool
	}
	if err := dec.Decode(&head); err != nil {
		return nil, fmt.Errorf("push/pull: %w", err)
	}
	if head.Nodes < 0 || head.Nodes > most || head.UserStateLen != 0 {
		return nil, fmt.Errorf("push/pull: %d states (at most %d) and %d bytes more (at most 0)", head.Nodes, most, head.UserStateLen)
	}
	for i := range head.Nodes {
		var m wireMessage
		if err := dec.Decode(&m); err != nil {
			return nil, fmt.Errorf("push/pull: state %d: %w", i, err)
		}
		if err := checkMemberState(m, m.Name, note); err != nil {
			return nil, fmt.Errorf("push/pull: state %d: %w", i, err)
		}
	}
	return whole.Bytes(), nil
}
