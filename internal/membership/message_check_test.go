package membership

import (
	"bytes"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// encodeMessage returns a message in memberlist's format.
func encodeMessage(kind byte, fields map[string]any) []byte {
	var b bytes.Buffer
	b.WriteByte(kind)
	if err := codec.NewEncoder(&b, &codec.MsgpackHandle{}).Encode(fields); err != nil {
		panic(err)
	}
	return b.Bytes()
}

func encodeCompound(parts ...[]byte) []byte {
	out := []byte{msgCompound, byte(len(parts))}
	for _, p := range parts {
		out = append(out, byte(len(p)>>8), byte(len(p)))
	}
	return append(out, bytes.Join(parts, nil)...)
}

var validMeta = Member{StartTime: time.Unix(1, 0)}.encodeMeta()

// memberState returns a valid member's fields for an alive message (with its name in Node) or a push/pull (with its name
// in Name). If field is not empty, it is set to value.
func memberState(field string, value any) map[string]any {
	m := map[string]any{"Incarnation": 3, "Node": "s1", "Name": "s1", "Addr": []byte{10, 0, 0, 1}, "Port": 7946, "Meta": validMeta,
		"Vsn": []byte{1, 5, 2, 0, 0, 0}, "State": 0}
	if field != "" {
		m[field] = value
	}
	return m
}

func TestCheckPacket(t *testing.T) {
	ignore := func(memberReport) {}
	dead := encodeMessage(msgDead, map[string]any{"Incarnation": 4, "Node": "s1", "From": "s1"})
	for name, c := range map[string]struct {
		data    []byte
		isValid bool
	}{
		"alive":                                  {encodeMessage(msgAlive, memberState("", nil)), true},
		"compound":                               {encodeCompound(encodeMessage(msgAck, map[string]any{"SeqNo": 1}), dead), true},
		"empty":                                  {nil, false},
		"compound in compound":                   {encodeCompound(encodeCompound(dead)), false},
		"compound, truncated":                    {encodeCompound(dead)[:20], false},
		"compound without its parts":             {[]byte{msgCompound, 9, 0}, false},
		"push/pull as a packet":                  {encodeMessage(msgPushPull, map[string]any{"Nodes": 1}), false},
		"compressed":                             {encodeMessage(9, map[string]any{"Algo": 0}), false},
		"user message":                           {[]byte{8, 1, 2}, false},
		"wrong checksum":                         {append([]byte{msgHasCRC, 0, 0, 0, 0}, dead...), false},
		"alive without a name":                   {encodeMessage(msgAlive, memberState("Node", "")), false},
		"alive with a line break in the name":    {encodeMessage(msgAlive, memberState("Node", "s1\nfake")), false},
		"alive without an address":               {encodeMessage(msgAlive, memberState("Addr", []byte{})), false},
		"alive at an IPv6 address":               {encodeMessage(msgAlive, memberState("Addr", make([]byte, 16))), false},
		"alive at port 0":                        {encodeMessage(msgAlive, memberState("Port", 0)), false},
		"alive with fewer versions":              {encodeMessage(msgAlive, memberState("Vsn", []byte{1, 5})), false},
		"alive of another protocol":              {encodeMessage(msgAlive, memberState("Vsn", []byte{4, 5, 5, 0, 0, 0})), false},
		"alive with truncated metadata":          {encodeMessage(msgAlive, memberState("Meta", validMeta[:4])), false},
		"alive with metadata of a later version": {encodeMessage(msgAlive, memberState("Meta", append(bytes.Clone(validMeta), 7))), true},
		"ack with a payload":                     {encodeMessage(msgAck, map[string]any{"SeqNo": 1, "Payload": []byte("x")}), false},
		"suspect without a member":               {encodeMessage(msgSuspect, map[string]any{"Node": "", "From": "s1"}), false},
		"indirect ping without an address":       {encodeMessage(msgIndirectPing, map[string]any{"Target": []byte{1}}), false},
		"indirect ping without a target":         {encodeMessage(msgIndirectPing, map[string]any{"SeqNo": 1, "Node": "s1"}), false},
		"alive of another delegate":              {encodeMessage(msgAlive, memberState("Vsn", []byte{1, 5, 2, 0, 0, 1})), false},
	} {
		if _, err := checkPacket(c.data, ignore); (err == nil) != c.isValid {
			t.Errorf("%s: %v", name, err)
		}
	}
	var left []string
	checkPacket(encodeCompound(dead, encodeMessage(msgDead, map[string]any{"Incarnation": 4, "Node": "s2", "From": "s1"})), func(r memberReport) {
		if r.left {
			left = append(left, r.name)
		}
	})
	if len(left) != 1 || left[0] != "s1" {
		t.Errorf("%v left, want s1 alone", left)
	}
}

// encodePushPull returns a push/pull with these states and a header that gives their number as count.
func encodePushPull(count int, states ...map[string]any) []byte {
	b := encodeMessage(msgPushPull, map[string]any{"Nodes": count, "UserStateLen": 0, "Join": true})
	for _, s := range states {
		b = append(b, encodeMessage(0, s)[1:]...)
	}
	return b
}

func TestReadStreamMessage(t *testing.T) {
	ignore := func(memberReport) {}
	whole := encodePushPull(2, memberState("", nil), memberState("Name", "s2"))
	if got, err := readStreamMessage(bytes.NewReader(whole), 2, ignore); err != nil || !bytes.Equal(got, whole) {
		t.Errorf("a valid push/pull: %v", err)
	}
	for name, data := range map[string][]byte{
		"more than the limit":        encodePushPull(3, memberState("", nil)),
		"a negative count":           encodePushPull(-1),
		"fewer than the header says": encodePushPull(2, memberState("", nil)),
		"an unknown state":           encodePushPull(1, memberState("State", 9)),
		"user state":                 encodeMessage(msgPushPull, map[string]any{"Nodes": 0, "UserStateLen": 1 << 30}),
		"a user message":             {8, 1},
		"empty stream":               {},
	} {
		if _, err := readStreamMessage(bytes.NewReader(data), 2, ignore); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// FuzzMessageChecks checks that the message checks do not panic on any input, report only valid names, and that accepted
// metadata is the same after it is encoded and decoded again.
func FuzzMessageChecks(f *testing.F) {
	f.Add(encodeMessage(msgAlive, memberState("", nil)))
	f.Add(encodeCompound(encodeMessage(msgPing, map[string]any{"SeqNo": 1, "Node": "s1"}), encodeMessage(msgAck, map[string]any{"SeqNo": 1})))
	f.Add(encodePushPull(1, memberState("", nil)))
	f.Add(validMeta)
	f.Fuzz(func(t *testing.T, data []byte) {
		report := func(r memberReport) {
			if err := validateText(r.name, 1, MaxNameLength); err != nil {
				t.Errorf("%q accepted: %v", r.name, err)
			}
		}
		checkPacket(data, report)
		readStreamMessage(bytes.NewReader(data), 10, report)
		if m, err := decodeMember("s1", []byte{10, 0, 0, 1}, 1, data); err == nil {
			again, err := decodeMember("s1", []byte{10, 0, 0, 1}, 1, m.encodeMeta())
			if err != nil || again != m {
				t.Errorf("%+v encoded and decoded again is %+v, %v", m, again, err)
			}
		}
	})
}

func TestMemberValidateNamesTheField(t *testing.T) {
	valid := Member{Name: "s1", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:1")}
	if err := valid.Validate(); err != nil {
		t.Error(err)
	}
	for field, m := range map[string]Member{
		"name":    {Name: "a/b", Address: valid.Address},
		"zone":    {Name: "a", Zone: "seventeen letters", Address: valid.Address},
		"address": {Name: "a", Address: netip.MustParseAddrPort("[::1]:1")},
	} {
		err := m.Validate()
		var invalid *InvalidMemberError
		if !errors.As(err, &invalid) || invalid.Field != field || !strings.HasPrefix(err.Error(), field+":") {
			t.Errorf("%s: %v", field, err)
		}
	}
}
