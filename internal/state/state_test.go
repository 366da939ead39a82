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

// TestMain doubles as a writer process for the tests that kill one: with
// STATE_WRITER set it saves snapshots of growing Seq into that folder and
// prints each Seq once it is saved, until it is killed or STATE_FSIZE bytes
// of file stop it.
func TestMain(m *testing.M) {
	if dir := os.Getenv("STATE_WRITER"); dir != "" {
		if most, _ := strconv.ParseUint(os.Getenv("STATE_FSIZE"), 10, 64); most > 0 {
			signal.Ignore(syscall.SIGXFSZ)
			syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: most, Max: most})
		}
		for seq := uint64(1); ; seq++ {
			_, err := Save(dir, snapshot("w", seq, 50+int(seq)))
			if errors.Is(err, bolterrors.ErrTimeout) { // the other writer held the lock: this snapshot is skipped
				continue
			} else if err != nil {
				fmt.Println("error", err)
				os.Exit(2)
			}
			fmt.Println(seq)
		}
	}
	os.Exit(m.Run())
}

func snapshot(name string, seq uint64, servers int) *Snapshot {
	s := &Snapshot{SidecarName: name, ListedAt: time.Unix(1_800_000_000, 0).UTC(), ListVersion: seq, IsFullList: true,
		Banned: []string{"h3"}, Drained: seq%2 == 0, LeaseEpoch: seq, ReleaseStage: "s", Membership: []byte(`{"epoch":3}`)}
	for i := range servers {
		h := fmt.Sprintf("h%05d", i)
		s.Endpoints = append(s.Endpoints, Endpoint{Name: h, Address: "127.0.0.1:1", Zone: "a", MachineType: "m", Health: "ready", Weight: 1})
		s.EndpointStates = append(s.EndpointStates, EndpointState{Name: h, LatencyBaseline: float64(seq), LatencyCurrent: 2, ServiceTime: 3, FailureRate: 0.1})
	}
	return s
}

func TestSavedIsLoaded(t *testing.T) {
	dir := t.TempDir()
	want := snapshot("n1", 7, 30)
	if _, err := Save(dir, want); err != nil {
		t.Fatal(err)
	}
	got, err := Load(dir, "n1")
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("loaded %+v, %v", got, err)
	}
	if _, err := Load(dir, "n2"); err != ErrNotFound {
		t.Fatalf("another sidecar's state: %v", err)
	}
}

// A file that is not whole, or not ours, is named with its record and set aside; nothing is deleted.
func TestBadFilesAreSetAside(t *testing.T) {
	for _, c := range []struct {
		name, want string
		spoil      func(path string)
	}{
		{"truncated", "", func(path string) { os.Truncate(path, 5000) }},
		{"not bbolt", "invalid", func(path string) { os.WriteFile(path, []byte("{}"), 0o600) }},
		{"foreign", `record meta: of sidecar "n9"`, func(path string) {
			os.Remove(path)
			Save(filepath.Dir(path), snapshot("n9", 1, 1))
			os.Rename(Path(filepath.Dir(path), "n9"), path)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			Save(dir, snapshot("n1", 1, 200))
			c.spoil(Path(dir, "n1"))
			_, err := Load(dir, "n1")
			var bad *FileError
			if !errors.As(err, &bad) || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "set aside as n1.db.bad-") {
				t.Fatalf("error %v", err)
			}
			if aside, _ := filepath.Glob(Path(dir, "n1") + ".bad-*"); len(aside) != 1 {
				t.Fatalf("set aside: %v", aside)
			}
			if _, err := Load(dir, "n1"); err != ErrNotFound {
				t.Fatalf("after setting aside: %v", err)
			}
		})
	}
}

func TestDecodeNamesWhatIsWrong(t *testing.T) {
	good := encodeRecord(kindEndpointList, []byte(`{"seq":1}`))
	newer := append([]byte(nil), good...)
	newer[2] = FormatVersion + 1
	flipped := append([]byte(nil), good...)
	flipped[len(flipped)-2] ^= 1
	for record, want := range map[string]string{
		string(good[:len(good)-1]): "truncated", string(newer): "format version 2", string(flipped): "checksum",
		"junk": "not a record", string(encodeRecord(kindAdminSettings, []byte("{}"))): "kind 3 where 2",
	} {
		var v Snapshot
		if err := decodeRecord([]byte(record), kindEndpointList, &v); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encodeRecord(kindEndpointList, []byte(`{"seq":1,"hosts":[{"host":"a"}]}`)))
	f.Add(encodeRecord(kindEndpointState, []byte(`{"host":"a","base":1}`)))
	f.Add([]byte("BS\x01\x02\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, record []byte) {
		var v Snapshot
		if err := decodeRecord(record, kindEndpointList, &v); err != nil && err.Error() == "" {
			t.Fatal("an error that says nothing")
		}
	})
}

// Power loss keeps any mix of the pages written since the last fsync, and a meta page perhaps torn. Every such image
// must read as the snapshot before or the one after, never as neither.
func TestPowerLossLeavesOneWholeSnapshot(t *testing.T) {
	dir := t.TempDir()
	path := Path(dir, "n1")
	Save(dir, snapshot("n1", 1, 300))
	before, _ := os.ReadFile(path)
	Save(dir, snapshot("n1", 2, 400))
	after, _ := os.ReadFile(path)
	page := os.Getpagesize()
	before = append(before, make([]byte, max(0, len(after)-len(before)))...)
	rng := rand.New(rand.NewPCG(1, 2))
	seen := map[uint64]int{}
	for trial := range 60 {
		image := append([]byte(nil), before[:len(after)]...)
		metaWritten := trial%3 != 0 // the first fsync is done: all data pages are down
		for at := 2 * page; at < len(after); at += page {
			if metaWritten || rng.IntN(2) == 0 {
				copy(image[at:], after[at:at+page])
			}
		}
		if metaWritten {
			for m := range 2 {
				torn := page
				if trial%3 == 2 {
					torn = rng.IntN(page)
				}
				copy(image[m*page:m*page+torn], after[m*page:])
			}
		}
		os.WriteFile(path, image, 0o600)
		got, err := Load(dir, "n1")
		if err != nil || (got.ListVersion != 1 && got.ListVersion != 2) || len(got.EndpointStates) != 300+100*int(got.ListVersion-1) {
			t.Fatalf("trial %d: %v", trial, err)
		}
		seen[got.ListVersion]++
	}
	if seen[1] == 0 || seen[2] == 0 {
		t.Fatalf("images read as %v: the test did not cover both ends", seen)
	}
}

// writers starts n processes that save into dir until killed; each line they print is a Seq that was saved.
func writers(t *testing.T, dir string, n int, env ...string) ([]*bufio.Scanner, []*exec.Cmd) {
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

// Two processes of an upgrade write into one file, and both are killed with -9 in the middle of writes: what is
// read then is a whole snapshot, at least as new as the last that the writer of the file was told was saved.
func TestKilledWritersLeaveAWholeSnapshot(t *testing.T) {
	dir := t.TempDir()
	procs, cmds := writers(t, dir, 2)
	saved := uint64(1 << 62) // the least of the writers' last saved
	for _, p := range procs {
		last := uint64(0)
		for range 20 + rand.IntN(20) {
			if !p.Scan() {
				t.Fatal("a writer ended")
			}
			seq, err := strconv.ParseUint(p.Text(), 10, 64)
			if err != nil {
				t.Fatal(p.Text())
			}
			last = seq
		}
		saved = min(saved, last)
	}
	for _, cmd := range cmds {
		cmd.Process.Signal(syscall.SIGKILL)
		cmd.Wait()
	}
	got, err := Load(dir, "w")
	if err != nil || got.ListVersion < saved || len(got.EndpointStates) != 50+int(got.ListVersion) || got.EndpointStates[0].LatencyBaseline != float64(got.ListVersion) {
		t.Fatalf("after kill -9: want a whole snapshot of seq %d or later: %v", saved, err)
	}
}

// A full disk (here a limit on file size) fails a Save with an error and leaves the snapshot before it whole.
func TestDiskFullKeepsTheLastSnapshot(t *testing.T) {
	dir := t.TempDir()
	out, _ := writers(t, dir, 1, "STATE_FSIZE=300000")
	p := out[0]
	last := ""
	for p.Scan() {
		last = p.Text()
	}
	if !strings.HasPrefix(last, "error") {
		t.Fatalf("the writer ended with %q", last)
	}
	if got, err := Load(dir, "w"); err != nil || got.ListVersion == 0 {
		t.Fatalf("after a full disk: %v", err)
	}
}

func TestReadOnlyFolder(t *testing.T) {
	if os.Geteuid() == 0 {
		t.Skip("root writes into read-only folders")
	}
	dir := t.TempDir()
	Save(dir, snapshot("n1", 1, 5))
	os.Chmod(dir, 0o500)
	defer os.Chmod(dir, 0o700)
	os.Chmod(Path(dir, "n1"), 0o400)
	if _, err := Save(dir, snapshot("n1", 2, 5)); err == nil || !strings.Contains(err.Error(), Path(dir, "n1")) {
		t.Fatalf("save into a read-only folder: %v", err)
	}
	if got, err := Load(dir, "n1"); err != nil || got.ListVersion != 1 {
		t.Fatalf("load from a read-only folder: %v", err)
	}
}

func TestFreshAcrossClockJumps(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	for now, want := range map[time.Time]bool{
		at.Add(time.Minute): true, at.Add(time.Hour): false, at.Add(-30 * time.Second): true, at.Add(-time.Hour): false,
	} {
		if IsFresh(at, now, 10*time.Minute) != want {
			t.Errorf("written %v, now %v: want %v", at, now, want)
		}
	}
}

// BenchmarkSave reports the write path: records, bytes and fsyncs a second.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{200, 2000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir, s := b.TempDir(), snapshot("n1", 1, n)
			var w SaveStats
			for b.Loop() {
				w, _ = Save(dir, s)
			}
			secs := b.Elapsed().Seconds()
			b.ReportMetric(float64(w.Records*b.N)/secs, "records/s")
			b.ReportMetric(float64(w.Bytes*b.N)/secs, "bytes/s")
			b.ReportMetric(float64(2*b.N)/secs, "fsyncs/s") // bbolt: the pages, then the meta page
		})
	}
}

// BenchmarkLoad reports recovery time against the size of the state.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{200, 2000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			Save(dir, snapshot("n1", 1, n))
			for b.Loop() {
				if _, err := Load(dir, "n1"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Of two processes the one that knows an older order of the operators' does not undo the newer.
func TestOrdersNeverGoBack(t *testing.T) {
	dir := t.TempDir()
	for _, s := range []*Snapshot{{SidecarName: "n0", AdminRevision: 2, Banned: []string{"v1"}, Drained: true}, {SidecarName: "n0", AdminRevision: 1, ListVersion: 9}} {
		if _, err := Save(dir, s); err != nil {
			t.Fatal(err)
		}
	}
	if s, err := Load(dir, "n0"); err != nil || s.ListVersion != 9 || s.AdminRevision != 2 || !s.Drained || len(s.Banned) != 1 {
		t.Errorf("%+v, %v", s, err)
	}
}
