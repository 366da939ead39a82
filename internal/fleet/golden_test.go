package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"bramblestand/internal/datagram"
	"bramblestand/internal/goldentest"
	"bramblestand/internal/membership"
)

// compareGolden compares text with a golden file, byte for byte, and returns the file's content.
func compareGolden(t *testing.T, text []byte, file string) []byte {
	t.Helper()
	return goldentest.EqualBytes(t, text, filepath.Join("testdata", file))
}

var goldenTime = time.Date(2026, 12, 3, 9, 31, 0, 0, time.UTC)

func goldenStatus() Status {
	return Status{
		Name: "s0", Epoch: 7, Digest: "b3ef540f2075099a", StableSince: goldenTime, Isolated: true, StableMembers: []string{"s0", "s1"},
		Members: []MemberStatus{
			{Name: "s0", State: string(membership.StateAlive), Since: goldenTime, Zone: "a", Version: "21.0", Features: []string{"news", "state"},
				Address: "10.0.0.1:7946", StartTime: goldenTime, LastContactMillis: -1},
			{Name: "s1", State: string(membership.StateFailed), Since: goldenTime, Zone: "b", Version: "20.0", Features: []string{},
				Address: "10.0.0.2:7946", StartTime: goldenTime, LastContactMillis: 1234.567},
			{Name: "s2", State: string(membership.StateLeft), Since: goldenTime, Address: "10.0.0.3:7946", StartTime: goldenTime, LastContactMillis: 0.25},
		},
		Traffic: map[string]Traffic{"news": {SentPerSecond: 1.5, SentBytesPerSecond: 2, ReceivedPerSecond: 3, ReceivedBytesPerSecond: 4, Sent: 5, SentBytes: 6,
			Received: 7, RateLimited: 8, Rejected: 9}},
		Counters: map[string]uint64{"name_conflicts": 1},
	}
}

// The status, full and brief, has the form of the golden files, as JSON and as text.
func TestGoldenStatus(t *testing.T) {
	status := goldenStatus()
	text := compareGolden(t, goldentest.JSON(t, status), "status.json")
	var read Status
	if err := json.Unmarshal(text, &read); err != nil {
		t.Fatal(err)
	}
	if again := goldentest.JSON(t, read); !bytes.Equal(again, text) {
		t.Errorf("the status decoded and encoded again is\n%s", again)
	}
	compareGolden(t, []byte(status.Text()), "status.txt")
	status.Members, status.Traffic, status.Counters = nil, nil, nil
	status.Isolated = false
	compareGolden(t, goldentest.JSON(t, status), "status_brief.json")
	compareGolden(t, []byte(status.Text()), "status_brief.txt")
}

// A sidecar that starts alone with a snapshot has a status with the keys and values of the golden file, except for values
// that depend on the clock. Its snapshot is the one that it started with.
func TestGoldenSnapshotAndStatus(t *testing.T) {
	snapshot := json.RawMessage(`{"epoch":41,"members":[{"name":"s0","addr":"10.0.0.1:7946"},{"name":"s1","addr":"10.0.0.2:7946"},{"name":"s2","addr":""}]}`)
	discard := func([]byte, netip.AddrPort) error { return nil }
	settings, err := ParseSettings([]byte(`{"on":true}`))
	if err != nil {
		t.Fatal(err)
	}
	own := netip.MustParseAddrPort("10.0.0.1:7946")
	f, err := Open(context.Background(), Options{Settings: settings, Name: "s0", Zone: "a", PersistentState: true, Listen: own, Peers: []netip.AddrPort{own},
		Snapshot: snapshot, Transport: datagram.New(discard, datagram.Options{}), OnGossip: func([]byte) {}, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close(false)
	status, isEnabled := f.Status(false)
	if !isEnabled {
		t.Fatal("no status")
	}
	status.StableSince = goldenTime
	for i := range status.Members {
		status.Members[i].Since, status.Members[i].StartTime = goldenTime, goldenTime
	}
	for channel, traffic := range status.Traffic { // the amount of traffic sent depends on the clock
		traffic.SentPerSecond, traffic.SentBytesPerSecond, traffic.Sent, traffic.SentBytes = 0, 0, 0, 0
		status.Traffic[channel] = traffic
	}
	compareGolden(t, goldentest.JSON(t, status), "status_alone.json")
	if text := compareGolden(t, append(f.Snapshot(), '\n'), "kept.json"); !bytes.Equal(text, append(snapshot, '\n')) {
		t.Errorf("the snapshot is %s, want %s", text, snapshot)
	}
}

// The settings are read and written as in the golden files.
func TestGoldenSettings(t *testing.T) {
	all := Settings{Enabled: true, Advertise: "10.0.0.1:7946", StabilizationSeconds: 2.5, ProbeIntervalMillis: 300, MaxMembers: 50, MaxDatagramsPerSecond: 80}
	text := compareGolden(t, goldentest.JSON(t, all), "settings.json")
	if got, err := ParseSettings(text); err != nil || got != all {
		t.Errorf("read as %+v, %v", got, err)
	}
	defaults, err := ParseSettings(nil)
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, goldentest.JSON(t, defaults), "settings_default.json")
}
