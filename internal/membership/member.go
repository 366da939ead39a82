package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Limits on a member's description of itself, in bytes. Even if all are reached,
// the longest message fits one datagram.
const (
	MaxNameLength    = 63
	MaxZoneLength    = 16
	MaxVersionLength = 16
)

// Features has one bit for each optional feature that a member has enabled. The bits are part of the wire format.
type Features uint64

// The features.
const (
	FeatureGossip          Features = 1 << iota // sends and receives the balancer's gossip
	FeaturePersistentState                      // persists its state on a disk
)

// featureNames holds the names shown to operators, by bit.
var featureNames = []string{"news", "state"}

// Names returns the features' names. All bits that this version does not know are combined to one name, in hex.
func (f Features) Names() []string {
	names := []string{}
	for bit, name := range featureNames {
		if f&(1<<bit) != 0 {
			names = append(names, name)
		}
	}
	if unknown := f >> len(featureNames) << len(featureNames); unknown != 0 {
		names = append(names, fmt.Sprintf("unknown:%x", uint64(unknown)))
	}
	return names
}

// Member is one sidecar as it describes itself.
type Member struct {
	Name      string
	Zone      string
	Version   string // version of its program
	StartTime time.Time
	Features  Features
	Address   netip.AddrPort // at which the others reach it
}

// InvalidMemberError reports an invalid field of a member.
type InvalidMemberError struct {
	Field  string // one of "name", "zone", "version", "address"
	Value  string
	Reason error
}

// Error returns the field, its value and the reason.
func (e *InvalidMemberError) Error() string {
	return fmt.Sprintf("%s: %q %v", e.Field, e.Value, e.Reason)
}

// Unwrap returns the reason.
func (e *InvalidMemberError) Unwrap() error { return e.Reason }

var (
	errNotPrintable = errors.New("holds what is not printable, or a slash")
	errNotIPv4      = errors.New("is not an IPv4 address and port")
)

// Validate returns an InvalidMemberError for the first invalid field, or nil if all are valid.
func (m Member) Validate() error {
	for _, text := range []struct {
		field, value string
		minLength    int
		maxLength    int
	}{
		{"name", m.Name, 1, MaxNameLength},
		{"zone", m.Zone, 0, MaxZoneLength},
		{"version", m.Version, 0, MaxVersionLength},
	} {
		if err := validateText(text.value, text.minLength, text.maxLength); err != nil {
			return &InvalidMemberError{text.field, text.value, err}
		}
	}
	if !m.Address.IsValid() || !m.Address.Addr().Is4() || m.Address.Port() == 0 {
		return &InvalidMemberError{"address", m.Address.String(), errNotIPv4}
	}
	return nil
}

// validateText checks that a text's length in bytes is within the limits, and that the text can be used in log lines
// and URL paths.
func validateText(text string, minLength, maxLength int) error {
	isForbidden := func(r rune) bool { return !unicode.IsPrint(r) || r == '/' }
	switch {
	case len(text) < minLength || len(text) > maxLength:
		return fmt.Errorf("is not of %d to %d bytes", minLength, maxLength)
	case !utf8.ValidString(text) || strings.ContainsFunc(text, isForbidden):
		return errNotPrintable
	}
	return nil
}

// The format of a member's metadata: the format's version (1 byte), the start
// time in Unix milliseconds and the features as varints, then zone and program
// version, each preceded by its length (1 byte). Any bytes after these come from
// a later program version and are ignored.
const (
	metaVersion     = 1
	maxMetaSize     = 64
	maxStartMillis  = 1 << 52
	errMetaTooShort = metaError("truncated")
	errMetaStart    = metaError("start time is out of range")
)

// metaError is the reason why metadata cannot be decoded.
type metaError string

// Error returns the reason, prefixed with "member metadata: ".
func (e metaError) Error() string { return "member metadata: " + string(e) }

// encodeMeta returns the member's metadata: all fields except name and address.
func (m Member) encodeMeta() []byte {
	meta := []byte{metaVersion}
	meta = binary.AppendUvarint(meta, uint64(max(0, m.StartTime.UnixMilli())))
	meta = binary.AppendUvarint(meta, uint64(m.Features))
	for _, text := range []string{m.Zone, m.Version} {
		meta = append(meta, byte(len(text)))
		meta = append(meta, text...)
	}
	return meta
}

// decodeMember returns the member with a name, address and metadata, and
// validates it. The error is an InvalidMemberError or a metaError.
func decodeMember(name string, ip net.IP, port uint16, meta []byte) (Member, error) {
	m := Member{Name: name}
	address, _ := netip.AddrFromSlice(ip)
	m.Address = netip.AddrPortFrom(address.Unmap(), port)
	if len(meta) == 0 || len(meta) > maxMetaSize || meta[0] != metaVersion {
		return m, metaError(fmt.Sprintf("%d bytes have an invalid size or are not of version %d", len(meta), metaVersion))
	}
	reader := metaReader{meta[1:]}
	startMillis := reader.number()
	m.Features = Features(reader.number())
	for _, text := range []*string{&m.Zone, &m.Version} {
		value, ok := reader.text()
		if !ok {
			return m, errMetaTooShort
		}
		*text = value
	}
	if startMillis > maxStartMillis {
		return m, errMetaStart
	}
	m.StartTime = time.UnixMilli(int64(startMillis)).UTC()
	return m, m.Validate()
}

// metaReader reads metadata field by field.
type metaReader struct{ remaining []byte }

// number reads a varint. If it is malformed, number returns 0 and drops the remaining metadata.
func (r *metaReader) number() uint64 {
	value, size := binary.Uvarint(r.remaining)
	if size <= 0 {
		r.remaining = nil
		return 0
	}
	r.remaining = r.remaining[size:]
	return value
}

// text reads a text that is preceded by its length. It returns false if the metadata is too short.
func (r *metaReader) text() (string, bool) {
	if len(r.remaining) == 0 {
		return "", false
	}
	length := int(r.remaining[0])
	if length > len(r.remaining)-1 {
		return "", false
	}
	value := string(r.remaining[1 : 1+length])
	r.remaining = r.remaining[1+length:]
	return value, true
}
