package state

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"
)

// goldenName is the sidecar's name in testdata/release21.db, which release 21.0 wrote.
const goldenName = "n/0 ü"

// goldenSnapshot returns the snapshot that release 21.0 wrote to testdata/release21.db. Every field of each kind of record is
// set.
func goldenSnapshot() *Snapshot {
	return &Snapshot{
		SidecarName: goldenName, ListedAt: time.Date(2026, 11, 30, 8, 15, 30, 250_000_000, time.UTC), ListVersion: 4711, IsFullList: true,
		Endpoints: []Endpoint{
			{Name: "v001", Address: "10.0.0.1:8080", Zone: "a", MachineType: "m1", Pod: 7, Health: "Ready", Weight: 0.25, StartedAtMillis: 1_800_000_000_123},
			{Name: "v/2 <é>", Address: "10.0.0.2:8080", Zone: "b", MachineType: "m2", Pod: 65535, Health: "Terminating", Weight: 1.5},
		},
		Admin: AdminSettings{Revision: 12, Banned: []string{"v001", "v/2 <é>"}, Drained: true},
		EndpointStates: []EndpointState{
			{Name: "v/2 <é>", LatencyBaseline: 0, LatencyCurrent: 1e21, ServiceTime: 0.1, FailureRate: 1},
			{Name: "v001", LatencyBaseline: 1250.5, LatencyCurrent: 1300.25, ServiceTime: 87.125, FailureRate: 0.0625},
		},
		LeaseEpoch: 3, ReleaseStage: "canary", Membership: json.RawMessage(`{"epoch":9,"members":[{"name":"n0","addr":"10.0.0.9:7000"}]}`),
	}
}

// readRecords returns every record of a state file as stored, keyed by the path of its buckets and its key.
func readRecords(t *testing.T, path string) map[string]string {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: LockTimeout, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	found := map[string]string{}
	var walk func(at string, b *bolt.Bucket) error
	walk = func(at string, b *bolt.Bucket) error {
		return b.ForEach(func(key, value []byte) error {
			name := at + "/" + string(key)
			if value == nil {
				return walk(name, b.Bucket(key))
			}
			found[name] = string(value)
			return nil
		})
	}
	err = db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bolt.Bucket) error { return walk(string(name), b) })
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// copyGolden copies the file that release 21.0 wrote to the path at which the sidecar called goldenName looks for it.
func copyGolden(t *testing.T, dir string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "release21.db"))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "n%2F0%20%C3%BC.db") // a literal, because other releases use the same path
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestReadsTheFileOfAnEarlierRelease(t *testing.T) {
	dir := t.TempDir()
	copyGolden(t, dir)
	got, err := Load(dir, goldenName)
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenSnapshot(); !reflect.DeepEqual(got, want) {
		t.Errorf("loaded\n%+v\nwant\n%+v", got, want)
	}
}

func TestWritesTheRecordsOfAnEarlierRelease(t *testing.T) {
	old, dir := copyGolden(t, t.TempDir()), t.TempDir()
	if _, err := Save(dir, goldenSnapshot()); err != nil {
		t.Fatal(err)
	}
	want, got := readRecords(t, old), readRecords(t, filepath.Join(dir, "n%2F0%20%C3%BC.db"))
	if len(want) != 6 {
		t.Errorf("%d records in the earlier release's file, want 6: meta, list, ops, fleet and two endpoint states", len(want))
	}
	for name, record := range want {
		if got[name] != record {
			t.Errorf("record %q is\n%q\nwant\n%q", name, got[name], record)
		}
	}
	for name := range got {
		if _, ok := want[name]; !ok {
			t.Errorf("record %q is not in the earlier release's file", name)
		}
	}
}
