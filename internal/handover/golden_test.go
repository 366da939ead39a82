package handover

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"golang.org/x/sys/unix"
)

// sharedGolden is what release 21.0 wrote into testdata/shared.json.
var sharedGolden = State{Version: 1, Revision: 41, Drained: true, Banned: []string{"v001", "v/2 <é>"}}

// copySharedGolden puts the file that release 21.0 wrote where the processes of the sidecar "n/0" look for it.
func copySharedGolden(t *testing.T, dir string) (path, text string) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "shared.json"))
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(dir, "pinedale-n%2F0.json") // literally: a process of another release shares it
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path, string(data)
}

func TestReadsTheSharedFileOfAnEarlierRelease(t *testing.T) {
	dir := t.TempDir()
	copySharedGolden(t, dir)
	s := Open(dir, "n/0", slog.New(slog.DiscardHandler))
	t.Cleanup(s.Close)
	if got := s.Load(); !reflect.DeepEqual(got, sharedGolden) {
		t.Errorf("read %+v, want %+v", got, sharedGolden)
	}
}

func TestWritesTheSharedFileOfAnEarlierRelease(t *testing.T) {
	dir := t.TempDir()
	path, want := copySharedGolden(t, dir)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	s := Open(dir, "n/0", slog.New(slog.DiscardHandler))
	t.Cleanup(s.Close)
	// What was kept with number 41 is taken as it is; what an update makes of 40 is the same file.
	if err := s.Restore(State{Revision: 41, Drained: true, Banned: []string{"v001", "v/2 <é>"}}); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(path); err != nil || string(got) != want {
		t.Errorf("a state taken over is written as %s, %v; want %s", got, err, want)
	}
	if _, err := s.Update(func(st *State) { st.Banned = nil; st.Drained = false }, unkept); err != nil {
		t.Fatal(err)
	}
	const empty = `{"version":1,"seq":42,"drained":false,"banned":null}`
	if got, err := os.ReadFile(path); err != nil || string(got) != empty {
		t.Errorf("an update is written as %s, %v; want %s", got, err, empty)
	}
}

// lockedBytes says which of the first bytes of the lock file others than file hold.
func lockedBytes(t *testing.T, file *os.File) (locked []int64) {
	t.Helper()
	for at := range int64(6) {
		query := unix.Flock_t{Type: unix.F_WRLCK, Start: at, Len: 1}
		if err := unix.FcntlFlock(file.Fd(), unix.F_OFD_GETLK, &query); err != nil {
			t.Fatal(err)
		}
		if query.Type != unix.F_UNLCK {
			locked = append(locked, at)
		}
	}
	return locked
}

// A process of another release takes its locks on these very bytes of this very file.
func TestLocksStandOnTheBytesOfAnEarlierRelease(t *testing.T) {
	dir := t.TempDir()
	first := Open(dir, "n/0", slog.New(slog.DiscardHandler))
	t.Cleanup(first.Close)
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
	second := Open(dir, "n/0", slog.New(slog.DiscardHandler))
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
	s := Open(dir, "n/0", slog.New(slog.DiscardHandler))
	t.Cleanup(s.Close)
	file, err := os.OpenFile(filepath.Join(dir, "pinedale-n%2F0.json.lock"), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	lock := func(kind int16, at int64) {
		t.Helper()
		if err := unix.FcntlFlock(file.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: kind, Start: at, Len: 1}); err != nil {
			t.Fatal(err)
		}
	}
	lock(unix.F_WRLCK, 2)
	if !s.HasOtherProcess() {
		t.Error("the other's seat is not seen")
	}
	lock(unix.F_UNLCK, 2)
	lock(unix.F_WRLCK, 3)
	if s.HasOtherProcess() || s.AcquireFleetMembership() {
		t.Error("the fleet's member is taken for a process, or is not heeded")
	}
	lock(unix.F_UNLCK, 3)
	lock(unix.F_WRLCK, 0)
	if _, err := s.Update(func(*State) {}, unkept); !errors.Is(err, unix.EAGAIN) {
		t.Errorf("an update while the other writes: %v, want that the lock is held", err)
	}
}
