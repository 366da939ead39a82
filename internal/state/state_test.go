package state

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	bolterrors "go.etcd.io/bbolt/errors"
)

// TestMain also runs the process that saves snapshots until a test kills it. If STATE_WRITER names a folder, it saves
// snapshots with increasing list versions to that folder and prints each version once it is saved. STATE_FSIZE, if set,
// limits the size of the file in bytes; the process ends with an error when it reaches the limit.
func TestMain(m *testing.M) {
	if dir := os.Getenv("STATE_WRITER"); dir != "" {
		if maxBytes, _ := strconv.ParseUint(os.Getenv("STATE_FSIZE"), 10, 64); maxBytes > 0 {
			signal.Ignore(syscall.SIGXFSZ)
			syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: maxBytes, Max: maxBytes})
		}
		for version := uint64(1); ; version++ {
			_, err := Save(dir, newSnapshot("w", version, 50+int(version)))
			if errors.Is(err, bolterrors.ErrTimeout) { // the other process holds the lock: this snapshot is skipped
				continue
			} else if err != nil {
				fmt.Println("error", err)
				os.Exit(2)
			}
			fmt.Println(version)
		}
	}
	os.Exit(m.Run())
}

// newSnapshot returns a snapshot with a number of endpoints. The list version is also stored in some of its other values, so
// that a test can detect a mix of two snapshots.
func newSnapshot(name string, version uint64, endpoints int) *Snapshot {
	s := &Snapshot{
		SidecarName: name, ListedAt: time.Unix(1_800_000_000, 0).UTC(), ListVersion: version, IsFullList: true,
		Admin:      AdminSettings{Banned: []string{"h3"}, Drained: version%2 == 0},
		LeaseEpoch: version, ReleaseStage: "s", Membership: []byte(`{"epoch":3}`),
	}
	for i := range endpoints {
		endpoint := fmt.Sprintf("h%05d", i)
		s.Endpoints = append(s.Endpoints, Endpoint{
			Name: endpoint, Address: "127.0.0.1:1", Zone: "a", MachineType: "m", Health: "ready", Weight: 1,
		})
		s.EndpointStates = append(s.EndpointStates, EndpointState{
			Name: endpoint, LatencyBaseline: float64(version), LatencyCurrent: 2, ServiceTime: 3, FailureRate: 0.1,
		})
	}
	return s
}

// mustSave saves a snapshot and ends the test if that fails.
func mustSave(t testing.TB, dir string, s *Snapshot) {
	t.Helper()
	if _, err := Save(dir, s); err != nil {
		t.Fatal(err)
	}
}

func TestLoadReturnsWhatSaveWrote(t *testing.T) {
	dir := t.TempDir()
	want := newSnapshot("n1", 7, 30)
	mustSave(t, dir, want)
	got, err := Load(dir, "n1")
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("loaded %+v, error %v; want %+v", got, err, want)
	}
	if _, err := Load(dir, "n2"); err != ErrNotFound {
		t.Fatalf("loading another sidecar's state: error %v, want %v", err, ErrNotFound)
	}
}

// Load renames a file that is incomplete or belongs to another sidecar, and its error names the file and the record. It deletes
// nothing.
func TestInvalidFilesAreRenamed(t *testing.T) {
	for _, c := range []struct {
		name, want string
		reason     error // wrapped by the error; nil for any
		damage     func(path string)
	}{
		{"truncated", "", nil, func(path string) { os.Truncate(path, 5000) }},
		{"not bbolt", "invalid", bolterrors.ErrInvalid, func(path string) { os.WriteFile(path, []byte("{}"), 0o600) }},
		{"another sidecar's", `record meta: of sidecar "n9"`, ErrOtherSidecar, func(path string) {
			os.Remove(path)
			mustSave(t, filepath.Dir(path), newSnapshot("n9", 1, 1))
			os.Rename(Path(filepath.Dir(path), "n9"), path)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			mustSave(t, dir, newSnapshot("n1", 1, 200))
			c.damage(Path(dir, "n1"))
			_, err := Load(dir, "n1")
			var invalid *FileError
			if !errors.As(err, &invalid) || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "set aside as n1.db.bad-") {
				t.Fatalf("error %v, want a *FileError with %q and the new name of the file", err, c.want)
			}
			if c.reason != nil && !errors.Is(err, c.reason) {
				t.Errorf("error %v does not wrap %v", err, c.reason)
			}
			if renamed, _ := filepath.Glob(Path(dir, "n1") + ".bad-*"); len(renamed) != 1 {
				t.Fatalf("renamed files %v, want one", renamed)
			}
			if _, err := Load(dir, "n1"); err != ErrNotFound {
				t.Fatalf("loading after the renaming: error %v, want %v", err, ErrNotFound)
			}
		})
	}
}

func TestDecodeRecordNamesTheFault(t *testing.T) {
	valid := encodeRecord(kindEndpointList, []byte(`{"seq":1}`))
	newer := append([]byte(nil), valid...)
	newer[versionOffset] = FormatVersion + 1
	flipped := append([]byte(nil), valid...)
	flipped[len(flipped)-2] ^= 1
	for _, c := range []struct {
		name   string
		record []byte
		reason error
		text   string
	}{
		{"one byte short", valid[:len(valid)-1], ErrLength, "truncated"},
		{"another version", newer, ErrFormatVersion, "format version 2"},
		{"a bit flipped", flipped, ErrChecksum, "checksum"},
		{"no header", []byte("junk"), ErrNotRecord, "not a record"},
		{"another kind", encodeRecord(kindAdminSettings, []byte("{}")), ErrRecordKind, "kind 3 where 2"},
	} {
		var list endpointListRecord
		err := decodeRecord(c.record, kindEndpointList, &list)
		if !errors.Is(err, c.reason) || !strings.Contains(err.Error(), c.text) {
			t.Errorf("%s: want %q, got %v", c.name, c.text, err)
		}
	}
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add(encodeRecord(kindEndpointList, []byte(`{"seq":1,"hosts":[{"host":"a"}]}`)))
	f.Add(encodeRecord(kindEndpointState, []byte(`{"host":"a","base":1}`)))
	f.Add([]byte("BS\x01\x02\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, record []byte) {
		var list endpointListRecord
		if err := decodeRecord(record, kindEndpointList, &list); err != nil && err.Error() == "" {
			t.Fatal("an error without a text")
		}
	})
}

// After a power loss, the disk may hold any subset of the pages written since the last fsync, and a meta page may be torn,
// that is, written only in part. From every such image, Load must return either the snapshot before or the one after the
// interrupted save.
func TestPowerLossLeavesOneCompleteSnapshot(t *testing.T) {
	dir := t.TempDir()
	path := Path(dir, "n1")
	mustSave(t, dir, newSnapshot("n1", 1, 300))
	before, _ := os.ReadFile(path)
	mustSave(t, dir, newSnapshot("n1", 2, 400))
	after, _ := os.ReadFile(path)
	page := os.Getpagesize()
	before = append(before, make([]byte, max(0, len(after)-len(before)))...)
	rng := rand.New(rand.NewPCG(1, 2))
	seen := map[uint64]int{}
	for imageIndex := range 60 {
		image := append([]byte(nil), before[:len(after)]...)
		metaWritten := imageIndex%3 != 0 // the first fsync has completed: all data pages are on disk
		for offset := 2 * page; offset < len(after); offset += page {
			if metaWritten || rng.IntN(2) == 0 {
				copy(image[offset:], after[offset:offset+page])
			}
		}
		if metaWritten {
			for m := range 2 {
				torn := page
				if imageIndex%3 == 2 {
					torn = rng.IntN(page)
				}
				copy(image[m*page:m*page+torn], after[m*page:])
			}
		}
		os.WriteFile(path, image, 0o600)
		got, err := Load(dir, "n1")
		if err != nil || (got.ListVersion != 1 && got.ListVersion != 2) || len(got.EndpointStates) != 300+100*int(got.ListVersion-1) {
			t.Fatalf("image %d is not read as one of the two snapshots: error %v", imageIndex, err)
		}
		seen[got.ListVersion]++
	}
	if seen[1] == 0 || seen[2] == 0 {
		t.Fatalf("images read by list version: %v; the test did not cover both snapshots", seen)
	}
}

// startSavers starts n processes that save into dir until they are killed; each line they print is a saved list version.
func startSavers(t *testing.T, dir string, n int, env ...string) ([]*bufio.Scanner, []*exec.Cmd) {
	t.Helper()
	var out []*bufio.Scanner
	var cmds []*exec.Cmd
	for range n {
		cmd := exec.Command(os.Args[0], "-test.run=^$")
		cmd.Env = append(append(os.Environ(), "STATE_WRITER="+dir), env...)
		pipe, _ := cmd.StdoutPipe()
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
		out, cmds = append(out, bufio.NewScanner(pipe)), append(cmds, cmd)
	}
	return out, cmds
}

// Two processes of an upgrade write to one file, and both are killed by SIGKILL (kill -9) in the middle of writes. Load must
// then return a complete snapshot, at least as new as the older of the two that the processes last reported as saved.
func TestKilledProcessesLeaveACompleteSnapshot(t *testing.T) {
	dir := t.TempDir()
	procs, cmds := startSavers(t, dir, 2)
	saved := uint64(1 << 62) // the smaller of the processes' last saved versions
	for _, p := range procs {
		last := uint64(0)
		for range 20 + rand.IntN(20) {
			if !p.Scan() {
				t.Fatal("a saving process ended before it was killed")
			}
			version, err := strconv.ParseUint(p.Text(), 10, 64)
			if err != nil {
				t.Fatal(p.Text())
			}
			last = version
		}
		saved = min(saved, last)
	}
	for _, cmd := range cmds {
		cmd.Process.Signal(syscall.SIGKILL)
		cmd.Wait()
	}
	got, err := Load(dir, "w")
	if err != nil || got.ListVersion < saved || len(got.EndpointStates) != 50+int(got.ListVersion) ||
		got.EndpointStates[0].LatencyBaseline != float64(got.ListVersion) {
		t.Fatalf("after kill -9: want a complete snapshot of version %d or later: %v", saved, err)
	}
}

// If the disk is full (here: the file reaches a limit on its size), Save returns an error and the previous snapshot stays
// intact.
func TestDiskFullKeepsTheLastSnapshot(t *testing.T) {
	dir := t.TempDir()
	out, _ := startSavers(t, dir, 1, "STATE_FSIZE=300000")
	p := out[0]
	last := ""
	for p.Scan() {
		last = p.Text()
	}
	if !strings.HasPrefix(last, "error") {
		t.Fatalf("the last line of the saving process is %q, want an error", last)
	}
	if got, err := Load(dir, "w"); err != nil || got.ListVersion == 0 {
		t.Fatalf("loading after a full disk: error %v, want a saved snapshot", err)
	}
}

func TestReadOnlyFolderFailsSaveAndAllowsLoad(t *testing.T) {
	if os.Geteuid() == 0 {
		t.Skip("root writes into read-only folders")
	}
	dir := t.TempDir()
	mustSave(t, dir, newSnapshot("n1", 1, 5))
	os.Chmod(dir, 0o500)
	t.Cleanup(func() { os.Chmod(dir, 0o700) })
	os.Chmod(Path(dir, "n1"), 0o400)
	if _, err := Save(dir, newSnapshot("n1", 2, 5)); err == nil || !strings.Contains(err.Error(), Path(dir, "n1")) {
		t.Fatalf("saving to a read-only folder: error %v, want one that names the file", err)
	}
	if got, err := Load(dir, "n1"); err != nil || got.ListVersion != 1 {
		t.Fatalf("loading from a read-only folder: error %v, want the snapshot of version 1", err)
	}
}

func TestIsFreshAcrossClockJumps(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	for now, want := range map[time.Time]bool{
		at.Add(time.Minute): true, at.Add(time.Hour): false, at.Add(-30 * time.Second): true, at.Add(-time.Hour): false,
	} {
		if IsFresh(at, now, 10*time.Minute) != want {
			t.Errorf("listed at %v, now %v: want %v", at, now, want)
		}
	}
}

// BenchmarkSave reports the records, bytes and fsyncs per second of the write path.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{200, 2000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir, s := b.TempDir(), newSnapshot("n1", 1, n)
			var stats SaveStats
			for b.Loop() {
				stats, _ = Save(dir, s)
			}
			secs := b.Elapsed().Seconds()
			b.ReportMetric(float64(stats.Records*b.N)/secs, "records/s")
			b.ReportMetric(float64(stats.Bytes*b.N)/secs, "bytes/s")
			b.ReportMetric(float64(2*b.N)/secs, "fsyncs/s") // bbolt syncs the data pages, then the meta page
		})
	}
}

// BenchmarkLoad reports the time that recovery takes, for several sizes of the state.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{200, 2000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			mustSave(b, dir, newSnapshot("n1", 1, n))
			for b.Loop() {
				if _, err := Load(dir, "n1"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// A process that has older admin settings does not overwrite the newer ones that another process saved.
func TestAdminSettingsNeverGoBack(t *testing.T) {
	dir := t.TempDir()
	newer := AdminSettings{Revision: 2, Banned: []string{"v1"}, Drained: true}
	mustSave(t, dir, &Snapshot{SidecarName: "n0", Admin: newer})
	mustSave(t, dir, &Snapshot{SidecarName: "n0", Admin: AdminSettings{Revision: 1}, ListVersion: 9})
	s, err := Load(dir, "n0")
	if err != nil || s.ListVersion != 9 || !reflect.DeepEqual(s.Admin, newer) {
		t.Errorf("loaded %+v, error %v; want list version 9 and the admin settings %+v", s, err, newer)
	}
}
