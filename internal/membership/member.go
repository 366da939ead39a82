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

// The bounds on what a member tells of itself, in bytes: with all of them the
// longest message still fits one datagram.
const (
	MaxNameLength    = 63
	MaxZoneLength    = 16
	MaxVersionLength = 16

	metaVersion = 1
	maxMetaSize = 64
)

// Features are a bit for each part that a member has switched on.
type Features uint64

// The features.
const (
	FeatureGossip          Features = 1 << iota // tells and hears the module's news
	FeaturePersistentState                      // keeps state on a disk
)

// Names gives the features as words, and how many more there are that this version does not know.
func (f Features) Names() []string {
	names := []string{}
	for i, name := range []string{"news", "state"} {
		if f&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	if rest := f >> 2; rest != 0 {
		names = append(names, fmt.Sprintf("unknown:%x", uint64(rest<<2)))
	}
	return names
}

// Member is one sidecar as it tells of itself.
type Member struct {
	Name      string
	Zone      string
	Version   string // of its program
	StartTime time.Time
	Features  Features
	Address   netip.AddrPort // where the others reach it
}

// Validate says what of a member cannot be told, naming the field.
func (m Member) Validate() error {
	for _, f := range []struct {
		field, text string
		least, most int
	}{{"name", m.Name, 1, MaxNameLength}, {"zone", m.Zone, 0, MaxZoneLength}, {"version", m.Version, 0, MaxVersionLength}} {
		if err := validateText(f.text, f.least, f.most); err != nil {
			return fmt.Errorf("%s: %q %w", f.field, f.text, err)
		}
	}
	if !m.Address.IsValid() || !m.Address.Addr().Is4() || m.Address.Port() == 0 {
		return fmt.Errorf("address: %v is not an IPv4 address and port", m.Address)
	}
	return nil
}

func validateText(text string, least, most int) error {
	switch {
	case len(text) < least || len(text) > most:
		return fmt.Errorf("is not of %d to %d bytes", least, most)
	case !utf8.ValidString(text) || strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) || r == '/' }):
		return errors.New("holds what is not printable, or a slash")
	}
	return nil
}

// encodeMeta is what a member tells beside its name and address: the format's
// version, the start in Unix milliseconds and the features as varints, then
// zone and program version, each after its length. What follows is of a later version, and passed over.
func (m Member) encodeMeta() []byte {
	b := []byte{metaVersion}
	b = binary.AppendUvarint(b, uint64(max(0, m.StartTime.UnixMilli())))
	b = binary.AppendUvarint(b, uint64(m.Features))
	for _, text := range []string{m.Zone, m.Version} {
		b = append(append(b, byte(len(text))), text...)
	}
	return b
}

// decodeMember reads a member from its name, address and meta.
func decodeMember(name string, ip net.IP, port uint16, meta []byte) (Member, error) {
	m := Member{Name: name}
	addr, _ := netip.AddrFromSlice(ip)
	m.Address = netip.AddrPortFrom(addr.Unmap(), port)
	if len(meta) == 0 || len(meta) > maxMetaSize || meta[0] != metaVersion {
		return m, fmt.Errorf("meta: %d bytes are none of version %d", len(meta), metaVersion)
	}
	rest := meta[1:]
	number := func() uint64 {
		v, n := binary.Uvarint(rest)
		if n <= 0 {
			rest = nil
			return 0
		}
		rest = rest[n:]
		return v
	}
	start := number()
	m.Features = Features(number())
	for _, into := range []*string{&m.Zone, &m.Version} {
		if len(rest) == 0 || int(rest[0]) > len(rest)-1 {
			return m, errors.New("meta: truncated")
		}
		n := int(rest[0])
		*into, rest = string(rest[1:1+n]), rest[1+n:]
	}
	if start > 1<<52 {
		return m, errors.New("meta: the start is no time")
	}
	m.StartTime = time.UnixMilli(int64(start)).UTC()
	return m, m.Validate()
}
