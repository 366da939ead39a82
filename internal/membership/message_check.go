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

// Messages are checked before memberlist gets them: it allocates by a count
// that it was sent, indexes versions unchecked, and rejects a whole list for
// one member of an unknown version. The forms are those of memberlist v0.5
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

// Parts of the messages.
const (
	crcHeaderSize      = 5 // type byte and checksum
	compoundHeaderSize = 2 // type byte and number of parts
	partLengthSize     = 2 // of each part of a compound
	versionCount       = 6 // of protocol and delegate: minimum, maximum, spoken
	protocolVersion    = 2 // which all sidecars speak
	stateLeft          = 3 // the largest state of a member in a push/pull
)

// wireMessage has the fields of all messages, with the names that memberlist
// encodes; each kind has some of them.
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

// memberReport is what a message reports of a member and memberlist does not pass on.
type memberReport struct {
	name        string
	incarnation uint32
	left        bool // gracefully
}

// reportFunc takes the reports of valid messages.
type reportFunc func(memberReport)

// packetContents is what a packet's messages are for.
type packetContents struct {
	hasAck   bool
	hasProbe bool // a ping of a member by its name
}

// checkPacket returns an error for a packet that no memberlist can have sent, else what it contains.
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

// checkCRC returns what follows a checksum that matches; a packet may have none.
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

// compoundParts reads the messages of a compound one after the other.
type compoundParts struct {
	lengths []byte
	data    []byte
	err     error
}

// splitCompound reads the head of a compound: the number of parts, then their lengths.
func splitCompound(data []byte) (*compoundParts, error) {
	end := compoundHeaderSize + partLengthSize*int(data[1])
	if len(data) < end {
		return nil, errCompoundTooShort
	}
	return &compoundParts{lengths: data[compoundHeaderSize:end], data: data[end:]}, nil
}

// next returns the next part; false at the end, or with err set where a part is truncated.
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

// checkMessage checks one message, reports the members in it and adds to contents.
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
		return checkAccusation(m)
	case msgDead:
		if err := checkAccusation(m); err != nil {
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

// checkPing checks what direct and indirect pings have in common.
func checkPing(m wireMessage) error {
	return errors.Join(checkName("Node", m.Node, 0), checkName("SourceNode", m.SourceNode, 0),
		checkIP("SourceAddr", m.SourceAddr, true))
}

// checkAccusation checks what names a member (Node) and who suspects it or declares it dead (From).
func checkAccusation(m wireMessage) error {
	return errors.Join(checkName("Node", m.Node, 1), checkName("From", m.From, 1))
}

// checkMemberState checks and reports a member of an alive message, or of a push/pull.
func checkMemberState(m wireMessage, name string, report reportFunc) error {
	if _, err := decodeMember(name, net.IP(m.Addr), m.Port, m.Meta); err != nil {
		return err
	}
	if err := checkVersions(m.Vsn); err != nil {
		return err
	}
	if m.State < 0 || m.State > stateLeft {
		return fmt.Errorf("State: %d is not a member's", m.State)
	}
	report(memberReport{name: name, incarnation: m.Incarnation, left: m.State == stateLeft})
	return nil
}

// checkVersions checks the versions of the protocol (minimum, maximum, spoken) and of the delegate (the same; all unused).
func checkVersions(versions []byte) error {
	if len(versions) != versionCount {
		return fmt.Errorf("Vsn: %d versions are not %d", len(versions), versionCount)
	}
	minimum, maximum, spoken := versions[0], versions[1], versions[2]
	isSpoken := minimum >= 1 && minimum <= protocolVersion && maximum >= protocolVersion &&
		spoken >= minimum && spoken <= maximum
	if !isSpoken || versions[3] != 0 || versions[5] != 0 {
		return fmt.Errorf("Vsn: %v does not include protocol %d", versions, protocolVersion)
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
