package handover

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"golang.org/x/sys/unix"
)

// goldenState is what release 21.0 wrote into testdata/shared.json.
var goldenState = State{Revision: 41, Drained: true, Banned: []string{"v001", "v/2 <é>"}}

// copyGolden copies the file that release 21.0 wrote to the path at which the processes of the sidecar "n/0" look for it.
func copyGolden(t *testing.T, dir string) (path, text string) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "shared.json"))
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(dir, "pinedale-n%2F0.json") // a literal, because processes of other releases use the same path
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path, string(data)
}

func TestReadsTheSharedFileOfAnEarlierRelease(t *testing.T) {
	dir := t.TempDir()
	copyGolden(t, dir)
	s := openTestStore(t, dir, "n/0")
	if got := s.Load(); !reflect.DeepEqual(got, goldenState) {
		t.Errorf("read %+v, want %+v", got, goldenState)
	}
}

func TestWritesTheSharedFileOfAnEarlierRelease(t *testing.T) {
	dir := t.TempDir()
	path, want := copyGolden(t, dir)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	s := openTestStore(t, dir, "n/0")
	// A persisted state of revision 41 is adopted and written as it is.
	if err := s.Restore(State{Revision: 41, Drained: true, Banned: []string{"v001", "v/2 <é>"}}); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(path); err != nil || string(got) != want {
		t.Errorf("an adopted state is written as %s, %v; want %s", got, err, want)
	}
	if _, err := s.Update(func(s *State) { s.Banned = nil; s.Drained = false }, notPersisted); err != nil {
		t.Fatal(err)
	}
	const empty = `{"version":1,"seq":42,"drained":false,"banned":null}`
	if got, err := os.ReadFile(path); err != nil || string(got) != empty {
		t.Errorf("an update is written as %s, %v; want %s", got, err, empty)
	}
}

// lockedBytes returns the offsets, among the first bytes of the lock file, that are locked through another open file.
func lockedBytes(t *testing.T, file *os.File) (locked []int64) {
	t.Helper()
	for offset := range int64(6) {
		query := unix.Flock_t{Type: unix.F_WRLCK, Start: offset, Len: 1}
		if err := unix.FcntlFlock(file.Fd(), unix.F_OFD_GETLK, &query); err != nil {
			t.Fatal(err)
		}
		if query.Type != unix.F_UNLCK {
			locked = append(locked, offset)
		}
	}
	return locked
}

// Processes of other releases lock the same bytes of the same file, so neither may change.
func TestLocksTheBytesOfAnEarlierRelease(t *testing.T) {
	dir := t.TempDir()
	first := openTestStore(t, dir, "n/0")
	file, err := os.OpenFile(filepath.Join(dir, "pinedale-n%2F0.json.lock"), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	check := func(when string, want ...int64) {
		t.Helper()
		if got := lockedBytes(t, file); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: bytes %v are locked, want %v", when, got, want)
		}
	}
	check("one process", 1)
	second := openTestStore(t, dir, "n/0")
	check("two processes", 1, 2)
	if !first.AcquireFleetMembership() {
		t.Error("a process alone cannot become the fleet's member")
	}
	check("one is the fleet's member", 1, 2, 3)
	if _, err := second.Update(func(*State) {}, func(State) error { check("during an update", 0, 1, 2, 3); return nil }); err != nil {
		t.Fatal(err)
	}
	check("after the update", 1, 2, 3)
	first.ReleaseFleetMembership()
	second.Close()
	check("one process again", 1)
}

func TestHeedsTheLocksOfAnEarlierRelease(t *testing.T) {
	dir := t.TempDir()
	s := openTestStore(t, dir, "n/0")
	file, err := os.OpenFile(filepath.Join(dir, "pinedale-n%2F0.json.lock"), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	lock := func(kind int16, offset int64) {
		t.Helper()
		if err := unix.FcntlFlock(file.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: kind, Start: offset, Len: 1}); err != nil {
			t.Fatal(err)
		}
	}
	lock(unix.F_WRLCK, 2)
	if !s.HasOtherProcess() {
		t.Error("the other process's slot is not detected")
	}
	lock(unix.F_UNLCK, 2)
	lock(unix.F_WRLCK, 3)
	if s.HasOtherProcess() || s.AcquireFleetMembership() {
		t.Error("the lock of the fleet's member is taken for a process slot, or is ignored")
	}
	lock(unix.F_UNLCK, 3)
	lock(unix.F_WRLCK, 0)
	if _, err := s.Update(func(*State) {}, notPersisted); !errors.Is(err, unix.EAGAIN) {
		t.Errorf("an update while the other writes: %v, want EAGAIN", err)
	}
}
