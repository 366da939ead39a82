//go:build go1.25

package membership

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"bramblestand/internal/datagram"
	"bramblestand/internal/goldentest"
)

// compareGolden compares a value as JSON with a golden file, byte for byte.
func compareGolden(t *testing.T, got any, file string) {
	t.Helper()
	goldentest.EqualBytes(t, goldentest.JSON(t, got), filepath.Join("testdata", file))
}

// readGolden decodes a golden file.
func readGolden(t *testing.T, file string, into any) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, into); err != nil {
		t.Fatal(err)
	}
}

func unhex(t *testing.T, text string) []byte {
	t.Helper()
	data, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

var goldenMembers = []Member{
	{Name: "s0", Zone: "a", Version: "21.0", StartTime: time.UnixMilli(1_800_000_000_123).UTC(), Features: FeatureGossip | FeaturePersistentState,
		Address: netip.MustParseAddrPort("10.0.0.1:7946")},
	{Name: "s1", StartTime: time.UnixMilli(0).UTC(), Address: netip.MustParseAddrPort("10.0.0.2:1")},
	{Name: "s2", Zone: "zone of 16 bytes", Version: "sixteen letters!", StartTime: time.UnixMilli(1).UTC(), Features: FeatureGossip | 1<<40,
		Address: netip.MustParseAddrPort("10.0.0.3:65535")},
	{Name: "s3", Zone: "Zürich", Version: "1", StartTime: time.UnixMilli(1 << 52).UTC(), Features: FeaturePersistentState, Address: netip.MustParseAddrPort("10.0.0.4:9")},
}

// goldenMeta is one member's metadata.
type goldenMeta struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Version  string   `json:"version"`
	StartMS  int64    `json:"start_ms"`
	Features []string `json:"features"`
	Hex      string   `json:"hex"`
}

// Members' metadata is encoded as in the golden file, and the golden file's metadata is decoded to the same members.
func TestGoldenMeta(t *testing.T) {
	var list []goldenMeta
	for _, m := range goldenMembers {
		list = append(list, goldenMeta{m.Name, m.Zone, m.Version, m.StartTime.UnixMilli(), m.Features.Names(), hex.EncodeToString(m.encodeMeta())})
	}
	compareGolden(t, list, "meta.json")
	readGolden(t, "meta.json", &list)
	for i, g := range list {
		m := goldenMembers[i]
		for _, later := range []string{"", "0102"} { // bytes of fields that a later version adds are ignored
			ip := m.Address.Addr().As4()
			got, err := decodeMember(m.Name, ip[:], m.Address.Port(), unhex(t, g.Hex+later))
			if err != nil || got != m {
				t.Errorf("%s is decoded as %+v, %v, want %+v", g.Name, got, err, m)
			}
		}
	}
}

const goldenMaxMembers = 5 // limit on members in a push/pull

// checkResult is a message and the result of its check. It does not include the text of an error.
type checkResult struct {
	Name     string   `json:"name"`
	Hex      string   `json:"hex"`
	Accepted bool     `json:"accepted"`
	Reports  []string `json:"says,omitempty"` // name, incarnation and whether the member left
	Ack      bool     `json:"ack,omitempty"`
	Probe    bool     `json:"probe,omitempty"`
}

func check(name string, data []byte, isStream bool) checkResult {
	result := checkResult{Name: name, Hex: hex.EncodeToString(data)}
	report := func(r memberReport) {
		result.Reports = append(result.Reports, fmt.Sprintf("%s %d %v", r.name, r.incarnation, r.left))
	}
	if isStream {
		message, err := readStreamMessage(bytes.NewReader(data), goldenMaxMembers, report)
		result.Accepted = err == nil && bytes.Equal(message, data)
		return result
	}
	contents, err := checkPacket(data, report)
	result.Accepted, result.Ack, result.Probe = err == nil, contents.hasAck, contents.hasProbe
	return result
}

// recheckGolden checks a golden file's messages: each result must equal the one in the file.
func recheckGolden(t *testing.T, file string, isStream bool) []checkResult {
	t.Helper()
	var list []checkResult
	readGolden(t, file, &list)
	if len(list) == 0 {
		t.Fatalf("%s: no messages", file)
	}
	for _, g := range list {
		if got := check(g.Name, unhex(t, g.Hex), isStream); fmt.Sprint(got) != fmt.Sprint(g) {
			t.Errorf("%s: checked as %+v, want %+v", file, got, g)
		}
	}
	return list
}

type fields = map[string]any

// namedMessage is a message to check, with the name of its case.
type namedMessage struct {
	name string
	data []byte
}

// goldenPackets returns valid and invalid packets of every type.
func goldenPackets() []namedMessage {
	dead := encodeMessage(msgDead, fields{"Incarnation": 4, "Node": "s1", "From": "s1"})
	ack := encodeMessage(msgAck, fields{"SeqNo": 7})
	address := []byte{10, 0, 0, 1}
	indirect := func(field string, value any) []byte {
		m := fields{"SeqNo": 7, "Node": "s1", "Target": address, "Port": 7946, "Nack": true, "SourceAddr": address, "SourcePort": 1, "SourceNode": "s2"}
		m[field] = value
		return encodeMessage(msgIndirectPing, m)
	}
	ping := func(field string, value any) []byte {
		m := fields{"SeqNo": 7, "Node": "s1", "SourceAddr": address, "SourcePort": 7946, "SourceNode": "s2"}
		m[field] = value
		return encodeMessage(msgPing, m)
	}
	return []namedMessage{
		{"ping", ping("SeqNo", 8)},
		{"ping of nobody by name", ping("Node", "")},
		{"ping without a source", encodeMessage(msgPing, fields{"SeqNo": 7, "Node": "s1"})},
		{"ping of a name with a slash", ping("Node", "a/b")},
		{"ping from an IPv6 address", ping("SourceAddr", make([]byte, 16))},
		{"ping, truncated", ping("SeqNo", 8)[:20]},
		{"indirect ping", indirect("SeqNo", 8)},
		{"indirect ping to nowhere", indirect("Target", []byte{1})},
		{"indirect ping from a name to log", indirect("SourceNode", "s\n2")},
		{"ack", ack},
		{"ack with a payload", encodeMessage(msgAck, fields{"SeqNo": 7, "Payload": []byte("x")})},
		{"nack", encodeMessage(msgNack, fields{"SeqNo": 7})},
		{"suspect", encodeMessage(msgSuspect, fields{"Incarnation": 4, "Node": "s1", "From": "s2"})},
		{"suspect of nobody", encodeMessage(msgSuspect, fields{"Node": "", "From": "s2"})},
		{"suspect from nobody", encodeMessage(msgSuspect, fields{"Node": "s1"})},
		{"dead", encodeMessage(msgDead, fields{"Incarnation": 4, "Node": "s1", "From": "s2"})},
		{"dead, told by itself", dead},
		{"dead of a name too long", encodeMessage(msgDead, fields{"Node": string(bytes.Repeat([]byte("n"), MaxNameLength+1)), "From": "s2"})},
		{"alive", encodeMessage(msgAlive, memberState("", nil))},
		{"alive of the longest name", encodeMessage(msgAlive, memberState("Node", string(bytes.Repeat([]byte("n"), MaxNameLength))))},
		{"alive of a later meta", encodeMessage(msgAlive, memberState("Meta", append(bytes.Clone(validMeta), 7)))},
		{"alive without a name", encodeMessage(msgAlive, memberState("Node", ""))},
		{"alive with a name to log", encodeMessage(msgAlive, memberState("Node", "s1\nfake"))},
		{"alive at no address", encodeMessage(msgAlive, memberState("Addr", []byte{}))},
		{"alive at an IPv6 address", encodeMessage(msgAlive, memberState("Addr", make([]byte, 16)))},
		{"alive at port 0", encodeMessage(msgAlive, memberState("Port", 0))},
		{"alive with fewer versions", encodeMessage(msgAlive, memberState("Vsn", []byte{1, 5}))},
		{"alive of another protocol", encodeMessage(msgAlive, memberState("Vsn", []byte{4, 5, 5, 0, 0, 0}))},
		{"alive of another delegate", encodeMessage(msgAlive, memberState("Vsn", []byte{1, 5, 2, 1, 1, 1}))},
		{"alive with torn meta", encodeMessage(msgAlive, memberState("Meta", validMeta[:4]))},
		{"alive with meta of another version", encodeMessage(msgAlive, memberState("Meta", append([]byte{2}, validMeta[1:]...)))},
		{"alive with meta too long", encodeMessage(msgAlive, memberState("Meta", append(bytes.Clone(validMeta), make([]byte, maxMetaSize)...)))},
		{"compound", encodeCompound(ack, dead)},
		{"compound of nothing", encodeCompound()},
		{"compound in compound", encodeCompound(encodeCompound(dead))},
		{"compound with one that is not good", encodeCompound(ack, []byte{8, 1, 2})},
		{"compound, truncated", encodeCompound(dead)[:20]},
		{"compound of nothing said", []byte{msgCompound, 9, 0}},
		{"checksum that is wrong", append([]byte{msgHasCRC, 0, 0, 0, 0}, dead...)},
		{"push/pull as a packet", encodeMessage(msgPushPull, fields{"Nodes": 1})},
		{"user message", []byte{8, 1, 2}},
		{"compressed", encodeMessage(9, fields{"Algo": 0})},
		{"encrypted", []byte{10, 1, 2}},
		{"error as a packet", encodeMessage(msgErr, fields{"Error": "e"})},
		{"of no kind", []byte{200, 0x80}},
		{"empty", nil},
	}
}

// The checks of valid and invalid packets of every type have the results in the golden file. The packets are encoded only
// when the file is updated, because msgpack writes the fields in random order.
func TestGoldenPackets(t *testing.T) {
	if goldentest.Updating() {
		var list []checkResult
		for _, m := range goldenPackets() {
			list = append(list, check(m.name, m.data, false))
		}
		compareGolden(t, list, "packets.json")
	}
	recheckGolden(t, "packets.json", false)
}

// The checks of stream messages, with a limit of goldenMaxMembers members, have the results in the golden file.
func TestGoldenStreams(t *testing.T) {
	if goldentest.Updating() {
		var list []checkResult
		for _, c := range []struct {
			name string
			data []byte
		}{
			{"push/pull", encodePushPull(2, memberState("", nil), memberState("Name", "s2"))},
			{"push/pull with one that left", encodePushPull(2, memberState("State", 3), memberState("Name", "s2"))},
			{"push/pull with one suspected, one dead", encodePushPull(2, memberState("State", 1), memberState("State", 2))},
			{"push/pull of nobody", encodePushPull(0)},
			{"more than the bound", encodePushPull(goldenMaxMembers+1, slices.Repeat([]fields{memberState("", nil)}, goldenMaxMembers+1)...)},
			{"a count below nothing", encodePushPull(-1)},
			{"fewer than it says", encodePushPull(2, memberState("", nil))},
			{"a state that is none", encodePushPull(1, memberState("State", 9))},
			{"a state below nothing", encodePushPull(1, memberState("State", -1))},
			{"a member without a name", encodePushPull(1, memberState("Name", ""))},
			{"user state", encodeMessage(msgPushPull, fields{"Nodes": 0, "UserStateLen": 1 << 30})},
			{"error", encodeMessage(msgErr, fields{"Error": "why"})},
			{"error, truncated", encodeMessage(msgErr, fields{"Error": "why"})[:4]},
			{"a user message", []byte{8, 1}},
			{"a ping", encodeMessage(msgPing, fields{"SeqNo": 1})},
			{"nothing", nil},
		} {
			list = append(list, check(c.name, c.data, true))
		}
		compareGolden(t, list, "streams.json")
	}
	recheckGolden(t, "streams.json", true)
}

// composition returns the type of a packet and, for a compound, the types of its parts.
func composition(packet []byte) string {
	if packet[0] == msgHasCRC {
		packet = packet[crcHeaderSize:]
	}
	name := fmt.Sprintf("packet of type %d", packet[0])
	if packet[0] != msgCompound {
		return name
	}
	parts, err := splitCompound(packet)
	if err != nil {
		return name + ", truncated"
	}
	for part, ok := parts.next(); ok; part, ok = parts.next() {
		name += fmt.Sprint(" ", part[0])
	}
	return name
}

// recordFleet returns messages that members of a simulated fleet send: the first two packets of each composition, and a
// push/pull.
func recordFleet(t *testing.T) (packets, streams []checkResult) {
	t.Helper()
	seen := map[string]int{}
	inSimulation(t, 33, 5, func(s *simulation) {
		s.forge = func(data []byte) []byte { // called with networkMu held
			if data[0] == byte(datagram.ChannelPackets) {
				kind := composition(data[1:])
				if seen[kind]++; seen[kind] <= 2 {
					packets = append(packets, check(kind, data[1:], false))
				}
			}
			return []byte{0}
		}
		s.startAll()
		s.awaitStable("start", s.runningNodes(nil), stableTimeout)
		s.nodes[3].stop(false)
		s.nodes[4].stop(true)
		s.awaitStable("one crashed, one left", s.runningNodes(nil), stableTimeout)
		s.setNetwork(func(a, b int) bool { return a == 0 && b == 1 || b == 0 && a == 1 }, s.impairment)
		time.Sleep(10 * time.Second)
		s.setNetwork(nil, s.impairment)

		stranger := &simulatedNode{simulation: s, number: -1, address: netip.MustParseAddrPort("10.7.7.7:7")}
		stranger.transport = datagram.New(func(data []byte, to netip.AddrPort) error { return s.transmit(stranger, data, to) }, datagram.Options{})
		strangersStreams := datagram.NewStreams(stranger.transport)
		s.networkMu.Lock()
		s.transports[stranger.address] = stranger.transport
		s.networkMu.Unlock()
		go s.nodes[0].agent.memberlist.Join([]string{stranger.address.String()})
		conn := <-strangersStreams.Accepted()
		conn.SetDeadline(time.Now().Add(time.Second))
		message, _ := io.ReadAll(conn)
		conn.Close()
		streams = append(streams, check("push/pull of a member's", message, true))
		time.Sleep(10 * time.Second)
		strangersStreams.Close()
	})
	return packets, streams
}

// The recorded messages of a simulated fleet's members are accepted, with the same reports as in the golden files.
func TestGoldenFleet(t *testing.T) {
	if goldentest.Updating() {
		packets, streams := recordFleet(t)
		compareGolden(t, packets, "fleet_packets.json")
		compareGolden(t, streams, "fleet_streams.json")
	}
	for _, g := range slices.Concat(recheckGolden(t, "fleet_packets.json", false), recheckGolden(t, "fleet_streams.json", true)) {
		if !g.Accepted {
			t.Errorf("%s: a message of a member is rejected", g.Name)
		}
	}
}

// A snapshot is written and read as in the golden file, and an agent that starts with it has it as its first view.
func TestGoldenSnapshot(t *testing.T) {
	snapshot := Snapshot{Epoch: 1 << 40, Members: []SnapshotMember{{"s0", netip.MustParseAddrPort("10.0.0.1:7946")}, {"s1", netip.AddrPort{}},
		{"Zürich", netip.MustParseAddrPort("10.0.0.3:1")}}}
	compareGolden(t, snapshot, "kept.json")
	var got Snapshot
	readGolden(t, "kept.json", &got)
	if got.Epoch != snapshot.Epoch || !slices.Equal(got.Members, snapshot.Members) {
		t.Errorf("read as %+v, want %+v", got, snapshot)
	}
	inSimulation(t, 1, 1, func(s *simulation) {
		s.nodes[0].start(Options{Snapshot: got})
		compareGolden(t, s.nodes[0].agent.Snapshot(), "kept_again.json")
	})
}
