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

// Limits on what a member tells of itself, in bytes: with all of them reached
// the longest message still fits one datagram.
const (
	MaxNameLength    = 63
	MaxZoneLength    = 16
	MaxVersionLength = 16
)

// Features has a bit for each optional part that a member has switched on. The bits are on the wire.
type Features uint64

// The features.
const (
	FeatureGossip          Features = 1 << iota // sends and receives the balancer's gossip
	FeaturePersistentState                      // persists its state on a disk
)

// featureNames are the names that operators see, by bit.
var featureNames = []string{"news", "state"}

// Names returns the features' names; bits that this version does not know are one name, in hex.
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
	Version   string // of its program
	StartTime time.Time
	Features  Features
	Address   netip.AddrPort // where the others reach it
}

// InvalidMemberError says which field of a member is not valid.
type InvalidMemberError struct {
	Field  string // in lower case: "name", "zone", "version", "address"
	Value  string
	Reason error
}

// Error names the field, its value and the reason.
func (e *InvalidMemberError) Error() string {
	return fmt.Sprintf("%s: %q %v", e.Field, e.Value, e.Reason)
}

// Unwrap returns the reason.
func (e *InvalidMemberError) Unwrap() error { return e.Reason }

var (
	errNotPrintable = errors.New("holds what is not printable, or a slash")
	errNotIPv4      = errors.New("is not an IPv4 address and port")
)

// Validate returns an InvalidMemberError for the first field that cannot be told to others.
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

// validateText checks a text's length, in bytes, and that it can be logged and stand in a path.
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

// The form of a member's metadata: the form's version (1 byte), the start time
// in Unix milliseconds and the features as varints, then zone and program
// version, each after its length (1 byte). What follows is of a later version
// and ignored.
const (
	metaVersion     = 1
	maxMetaSize     = 64
	maxStartMillis  = 1 << 52
	errMetaTooShort = metaError("truncated")
	errMetaStart    = metaError("the start time is out of range")
)

// metaError says why metadata cannot be decoded.
type metaError string

// Error returns the reason after the subject.
func (e metaError) Error() string { return "member metadata: " + string(e) }

// encodeMeta returns what a member tells beside its name and address.
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

// decodeMember returns the valid member of a name, address and metadata. Its
// error is an InvalidMemberError or a metaError.
func decodeMember(name string, ip net.IP, port uint16, meta []byte) (Member, error) {
	m := Member{Name: name}
	address, _ := netip.AddrFromSlice(ip)
	m.Address = netip.AddrPortFrom(address.Unmap(), port)
	if len(meta) == 0 || len(meta) > maxMetaSize || meta[0] != metaVersion {
		return m, metaError(fmt.Sprintf("%d bytes are not of version %d", len(meta), metaVersion))
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

// metaReader reads metadata from its front.
type metaReader struct{ remaining []byte }

// number reads a varint; after a malformed one nothing remains.
func (r *metaReader) number() uint64 {
	value, size := binary.Uvarint(r.remaining)
	if size <= 0 {
		r.remaining = nil
		return 0
	}
	r.remaining = r.remaining[size:]
	return value
}

// text reads a text after its length; false where too little remains.
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
