package membership

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// encodeMessage builds one of memberlist's.
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

// memberState is a member's as alive messages (by Node) and push/pulls (by Name) have it, with one field changed.
func memberState(field string, value any) map[string]any {
	m := map[string]any{"Incarnation": 3, "Node": "s1", "Name": "s1", "Addr": []byte{10, 0, 0, 1}, "Port": 7946, "Meta": validMeta,
		"Vsn": []byte{1, 5, 2, 0, 0, 0}, "State": 0}
	if field != "" {
		m[field] = value
	}
	return m
}

func TestVetPacket(t *testing.T) {
	none := func(string, uint32, bool) {}
	dead := encodeMessage(msgDead, map[string]any{"Incarnation": 4, "Node": "s1", "From": "s1"})
	for name, c := range map[string]struct {
		data []byte
		good bool
	}{
		"alive":                     {encodeMessage(msgAlive, memberState("", nil)), true},
		"compound":                  {encodeCompound(encodeMessage(msgAck, map[string]any{"SeqNo": 1}), dead), true},
		"empty":                     {nil, false},
		"compound in compound":      {encodeCompound(encodeCompound(dead)), false},
		"compound, truncated":       {encodeCompound(dead)[:20], false},
		"compound of nothing said":  {[]byte{msgCompound, 9, 0}, false},
		"push/pull as a packet":     {encodeMessage(msgPushPull, map[string]any{"Nodes": 1}), false},
		"compressed":                {encodeMessage(9, map[string]any{"Algo": 0}), false},
		"user message":              {[]byte{8, 1, 2}, false},
		"checksum that is wrong":    {append([]byte{msgHasCRC, 0, 0, 0, 0}, dead...), false},
		"alive without a name":      {encodeMessage(msgAlive, memberState("Node", "")), false},
		"alive with a name to log":  {encodeMessage(msgAlive, memberState("Node", "s1\nfake")), false},
		"alive at no address":       {encodeMessage(msgAlive, memberState("Addr", []byte{})), false},
		"alive at an IPv6 address":  {encodeMessage(msgAlive, memberState("Addr", make([]byte, 16))), false},
		"alive at port 0":           {encodeMessage(msgAlive, memberState("Port", 0)), false},
		"alive with fewer versions": {encodeMessage(msgAlive, memberState("Vsn", []byte{1, 5})), false},
		"alive of another protocol": {encodeMessage(msgAlive, memberState("Vsn", []byte{4, 5, 5, 0, 0, 0})), false},
		"alive with torn meta":      {encodeMessage(msgAlive, memberState("Meta", validMeta[:4])), false},
		"alive of a later meta":     {encodeMessage(msgAlive, memberState("Meta", append(bytes.Clone(validMeta), 7))), true},
		"ack with a payload":        {encodeMessage(msgAck, map[string]any{"SeqNo": 1, "Payload": []byte("x")}), false},
		"suspect of nobody":         {encodeMessage(msgSuspect, map[string]any{"Node": "", "From": "s1"}), false},
		"indirect ping to nowhere":  {encodeMessage(msgIndirectPing, map[string]any{"Target": []byte{1}}), false},
	} {
		if _, err := checkPacket(c.data, none); (err == nil) != c.good {
			t.Errorf("%s: %v", name, err)
		}
	}
	var goodbyes []string
	checkPacket(encodeCompound(dead, encodeMessage(msgDead, map[string]any{"Incarnation": 4, "Node": "s2", "From": "s1"})), func(name string, _ uint32, goodbye bool) {
		if goodbye {
			goodbyes = append(goodbyes, name)
		}
	})
	if len(goodbyes) != 1 || goodbyes[0] != "s1" {
		t.Errorf("goodbyes of %v, want of s1 alone", goodbyes)
	}
}

// encodePushPull builds a push/pull that says that it has so many states.
func encodePushPull(says int, states ...map[string]any) []byte {
	b := encodeMessage(msgPushPull, map[string]any{"Nodes": says, "UserStateLen": 0, "Join": true})
	for _, s := range states {
		b = append(b, encodeMessage(0, s)[1:]...)
	}
	return b
}

func TestVetStream(t *testing.T) {
	none := func(string, uint32, bool) {}
	whole := encodePushPull(2, memberState("", nil), memberState("Name", "s2"))
	if got, err := readStreamMessage(bytes.NewReader(whole), 2, none); err != nil || !bytes.Equal(got, whole) {
		t.Errorf("a good one: %v", err)
	}
	for name, data := range map[string][]byte{
		"more than the bound":   encodePushPull(3, memberState("", nil)),
		"a count below nothing": encodePushPull(-1),
		"fewer than it says":    encodePushPull(2, memberState("", nil)),
		"a state that is none":  encodePushPull(1, memberState("State", 9)),
		"user state":            encodeMessage(msgPushPull, map[string]any{"Nodes": 0, "UserStateLen": 1 << 30}),
		"a user message":        {8, 1},
		"nothing":               {},
	} {
		if _, err := readStreamMessage(bytes.NewReader(data), 2, none); err == nil {
			t.Errorf("%s: passed", name)
		}
	}
}

// FuzzVet: nothing that a stranger sends harms the checks, and what they pass as a member can be told again.
func FuzzVet(f *testing.F) {
	f.Add(encodeMessage(msgAlive, memberState("", nil)))
	f.Add(encodeCompound(encodeMessage(msgPing, map[string]any{"SeqNo": 1, "Node": "s1"}), encodeMessage(msgAck, map[string]any{"SeqNo": 1})))
	f.Add(encodePushPull(1, memberState("", nil)))
	f.Add(validMeta)
	f.Fuzz(func(t *testing.T, data []byte) {
		note := func(name string, _ uint32, _ bool) {
			if err := validateText(name, 1, MaxNameLength); err != nil {
				t.Errorf("%q passed: %v", name, err)
			}
		}
		checkPacket(data, note)
		readStreamMessage(bytes.NewReader(data), 10, note)
		if m, err := decodeMember("s1", []byte{10, 0, 0, 1}, 1, data); err == nil {
			again, err := decodeMember("s1", []byte{10, 0, 0, 1}, 1, m.encodeMeta())
			if err != nil || again != m {
				t.Errorf("%+v told again is %+v, %v", m, again, err)
			}
		}
	})
}

func TestMemberValidate(t *testing.T) {
	good := Member{Name: "s1", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:1")}
	if err := good.Validate(); err != nil {
		t.Error(err)
	}
	for field, m := range map[string]Member{
		"name":    {Name: "a/b", Address: good.Address},
		"zone":    {Name: "a", Zone: "seventeen letters", Address: good.Address},
		"address": {Name: "a", Address: netip.MustParseAddrPort("[::1]:1")},
	} {
		if err := m.Validate(); err == nil || !strings.HasPrefix(err.Error(), field+":") {
			t.Errorf("%s: %v", field, err)
		}
	}
}
