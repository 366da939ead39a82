package membership

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// Message types. Messages are checked before memberlist processes them, for
// three reasons: memberlist allocates memory by a count in the message, indexes
// the versions without a bounds check, and rejects a whole list because of one
// member with an unknown version. The format is that of memberlist v0.5
// (net.go): one type byte, then msgpack.
const (
	msgPing byte = iota
	msgIndirectPing
	msgAck
	msgSuspect
	msgAlive
	msgDead
	msgPushPull
	msgCompound

	msgNack   byte = 11
	msgHasCRC byte = 12
	msgErr    byte = 13
)

// Sizes and values in the messages; sizes are in bytes.
const (
	crcHeaderSize      = 5 // type byte and checksum
	compoundHeaderSize = 2 // type byte and number of parts
	partLengthSize     = 2 // of each part of a compound
	versionCount       = 6 // minimum, maximum and current version, of the protocol and of the delegate
	protocolVersion    = 2 // protocol version used by all sidecars
	stateLeft          = 3 // state of a member that left; the largest state in a push/pull
)

// wireMessage has the fields of all message types, with the names that
// memberlist encodes. Each type uses some of them.
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

// memberReport is what a message reports of a member. memberlist's events do not include it.
type memberReport struct {
	name        string
	incarnation uint32
	left        bool // gracefully
}

// reportFunc is called with each report in a valid message.
type reportFunc func(memberReport)

// packetContents tells which kinds of messages a packet contains.
type packetContents struct {
	hasAck   bool
	hasProbe bool // a ping of a member by its name
}

// checkPacket checks a packet, passes the reports in it to report and returns what it contains. It returns an error for
// a packet that memberlist would not send.
func checkPacket(data []byte, report reportFunc) (packetContents, error) {
	var contents packetContents
	data, err := checkCRC(data)
	if err != nil {
		return contents, err
	}
	if len(data) < compoundHeaderSize || data[0] != msgCompound {
		return contents, checkMessage(data, report, &contents)
	}
	parts, err := splitCompound(data)
	if err != nil {
		return contents, err
	}
	for part, ok := parts.next(); ok; part, ok = parts.next() {
		if err := checkMessage(part, report, &contents); err != nil {
			return contents, err
		}
	}
	return contents, parts.err
}

// checkCRC verifies a packet's checksum, if it has one, and returns the content after it.
func checkCRC(data []byte) ([]byte, error) {
	if len(data) < crcHeaderSize || data[0] != msgHasCRC {
		return data, nil
	}
	checksum, content := binary.BigEndian.Uint32(data[1:]), data[crcHeaderSize:]
	if crc32.ChecksumIEEE(content) != checksum {
		return nil, errors.New("checksum does not match")
	}
	return content, nil
}

var errCompoundTooShort = errors.New("compound: truncated")

// compoundParts iterates over the messages of a compound message.
type compoundParts struct {
	lengths []byte
	data    []byte
	err     error
}

// splitCompound reads the header of a compound message, which has the number of parts and their lengths.
func splitCompound(data []byte) (*compoundParts, error) {
	end := compoundHeaderSize + partLengthSize*int(data[1])
	if len(data) < end {
		return nil, errCompoundTooShort
	}
	return &compoundParts{lengths: data[compoundHeaderSize:end], data: data[end:]}, nil
}

// next returns the next part. It returns false at the end, and also sets err if a part is truncated.
func (p *compoundParts) next() ([]byte, bool) {
	if len(p.lengths) == 0 {
		return nil, false
	}
	length := int(binary.BigEndian.Uint16(p.lengths))
	if length > len(p.data) {
		p.err = errCompoundTooShort
		return nil, false
	}
	part := p.data[:length]
	p.lengths, p.data = p.lengths[partLengthSize:], p.data[length:]
	return part, true
}

// checkMessage checks one message, reports the members in it and updates contents.
func checkMessage(data []byte, report reportFunc, contents *packetContents) error {
	if len(data) == 0 {
		return errors.New("empty message")
	}
	kind := data[0]
	var m wireMessage
	if err := decodeMessage(bytes.NewReader(data[1:]), &m); err != nil {
		return fmt.Errorf("type %d: %w", kind, err)
	}
	switch kind {
	case msgPing:
		contents.hasProbe = contents.hasProbe || m.Node != ""
		return checkPing(m)
	case msgIndirectPing:
		return errors.Join(checkPing(m), checkIP("Target", m.Target, false))
	case msgAck:
		contents.hasAck = true
		if len(m.Payload) > 0 {
			return errors.New("ack: has a payload")
		}
	case msgNack:
	case msgSuspect:
		return checkSuspectOrDead(m)
	case msgDead:
		if err := checkSuspectOrDead(m); err != nil {
			return err
		}
		if m.Node == m.From { // a member that leaves declares itself dead
			report(memberReport{name: m.Node, incarnation: m.Incarnation, left: true})
		}
	case msgAlive:
		return checkMemberState(m, m.Node, report)
	default:
		return fmt.Errorf("type %d is not a membership message", kind)
	}
	return nil
}

func decodeMessage(r io.Reader, into any) error {
	return codec.NewDecoder(r, &codec.MsgpackHandle{}).Decode(into)
}

// checkPing checks the fields that direct and indirect pings have in common.
func checkPing(m wireMessage) error {
	return errors.Join(checkName("Node", m.Node, 0), checkName("SourceNode", m.SourceNode, 0),
		checkIP("SourceAddr", m.SourceAddr, true))
}

// checkSuspectOrDead checks a suspect or dead message: it names a member (Node) and the member that suspects it or
// declares it dead (From).
func checkSuspectOrDead(m wireMessage) error {
	return errors.Join(checkName("Node", m.Node, 1), checkName("From", m.From, 1))
}

// checkMemberState checks and reports one member, from an alive message or a push/pull.
func checkMemberState(m wireMessage, name string, report reportFunc) error {
	if _, err := decodeMember(name, net.IP(m.Addr), m.Port, m.Meta); err != nil {
		return err
	}
	if err := checkVersions(m.Vsn); err != nil {
		return err
	}
	if m.State < 0 || m.State > stateLeft {
		return fmt.Errorf("State: %d is not a member state", m.State)
	}
	report(memberReport{name: name, incarnation: m.Incarnation, left: m.State == stateLeft})
	return nil
}

// checkVersions checks the protocol versions (minimum, maximum, current) and the delegate versions (the same three,
// which are not used).
func checkVersions(versions []byte) error {
	if len(versions) != versionCount {
		return fmt.Errorf("Vsn: has %d versions, want %d", len(versions), versionCount)
	}
	minimum, maximum, current := versions[0], versions[1], versions[2]
	isCompatible := minimum >= 1 && minimum <= protocolVersion && maximum >= protocolVersion &&
		current >= minimum && current <= maximum
	if !isCompatible || versions[3] != 0 || versions[5] != 0 {
		return fmt.Errorf("Vsn: %v is not compatible with protocol version %d", versions, protocolVersion)
	}
	return nil
}

func checkName(field, name string, minLength int) error {
	if err := validateText(name, minLength, MaxNameLength); err != nil {
		return fmt.Errorf("%s: %.80q %w", field, name, err)
	}
	return nil
}

func checkIP(field string, ip []byte, isOptional bool) error {
	if len(ip) != net.IPv4len && !(isOptional && len(ip) == 0) {
		return fmt.Errorf("%s: %d bytes are not an IPv4 address", field, len(ip))
	}
	return nil
}
