package handover

import (
	"errors"
	"log/slog"
	"os"
	"reflect"
	"strings"
	"testing"
)

// openTestStore opens a store that logs nothing and that is closed when the test ends.
func openTestStore(t *testing.T, dir, name string) *Store {
	t.Helper()
	s := Open(dir, name, slog.New(slog.DiscardHandler))
	t.Cleanup(s.Close)
	return s
}

// notPersisted is the persist function in updates of a sidecar that persists no state.
func notPersisted(State) error { return nil }

func TestTwoProcessesShareOneState(t *testing.T) {
	dir := t.TempDir()
	first := openTestStore(t, dir, "n/0")
	if first.HasOtherProcess() {
		t.Error("the only process detects another")
	}
	second := openTestStore(t, dir, "n/0")
	if !first.HasOtherProcess() || !second.HasOtherProcess() {
		t.Error("two processes do not detect each other")
	}
	if openTestStore(t, dir, "n1").HasOtherProcess() {
		t.Error("processes of one sidecar are taken for those of another")
	}
	if _, err := first.Update(func(s *State) { s.Drained = true }, notPersisted); err != nil {
		t.Fatal(err)
	}
	if _, err := second.Update(func(s *State) { s.Banned = []string{"s-1"} }, notPersisted); err != nil {
		t.Fatal(err)
	}
	want := State{Revision: 2, Drained: true, Banned: []string{"s-1"}}
	if got := first.Load(); !reflect.DeepEqual(got, want) {
		t.Errorf("the first process has the state %+v, want %+v", got, want)
	}
	second.Close()
	if first.HasOtherProcess() {
		t.Error("a process that has ended is still detected")
	}
	first.Close()
	if got := openTestStore(t, dir, "n/0").Load(); !reflect.DeepEqual(got, want) {
		t.Errorf("the next process has the state %+v, want %+v", got, want)
	}
}

// An invalid file is logged once, and the last valid state stays in force.
func TestInvalidFileLeavesTheLastValidState(t *testing.T) {
	for name, damage := range map[string]func(path string) error{
		"truncated":       func(path string) error { return os.WriteFile(path, []byte(`{"version":1,"seq":9,"dra`), 0o600) },
		"another version": func(path string) error { return os.WriteFile(path, []byte(`{"version":2,"seq":9}`), 0o600) },
		"missing":         os.Remove,
	} {
		t.Run(name, func(t *testing.T) {
			var log strings.Builder
			s := Open(t.TempDir(), "n0", slog.New(slog.NewTextHandler(&log, nil)))
			t.Cleanup(s.Close)
			before, err := s.Update(func(s *State) { s.Banned = []string{"s-1"} }, notPersisted)
			if err != nil {
				t.Fatal(err)
			}
			if err := damage(s.path); err != nil {
				t.Fatal(err)
			}
			for range 2 {
				s.Load()
			}
			if got := s.Load(); !reflect.DeepEqual(got, before) {
				t.Errorf("the state is %+v, want %+v", got, before)
			}
			if n := strings.Count(log.String(), "handover file not valid"); n != 1 || strings.Count(log.String(), "\n") != 1 {
				t.Errorf("the invalid file is logged %d times, want one line: %s", n, log.String())
			}
			if got, err := s.Update(func(s *State) { s.Drained = true }, notPersisted); err != nil || len(got.Banned) != 1 {
				t.Errorf("an update after the damage: %+v, %v", got, err)
			}
		})
	}
}

func TestUpdateThatIsNotWrittenChangesNothing(t *testing.T) {
	withoutFolder := openTestStore(t, t.TempDir()+"/missing", "n0")
	if _, err := withoutFolder.Update(func(s *State) { s.Drained = true }, notPersisted); !errors.Is(err, ErrUnavailable) {
		t.Errorf("without the folder: %v, want %v", err, ErrUnavailable)
	}
	if withoutFolder.Load().Drained {
		t.Error("without the folder: the update is in force")
	}

	blocked := openTestStore(t, t.TempDir(), "n0")
	if err := os.Mkdir(blocked.path+".new", 0o700); err != nil { // root may write anywhere, but not over a folder
		t.Fatal(err)
	}
	if _, err := blocked.Update(func(s *State) { s.Drained = true }, notPersisted); err == nil || blocked.Load().Drained {
		t.Errorf("with a file that cannot be written: %v, %+v; want an error and no change", err, blocked.Load())
	}

	unpersisted := openTestStore(t, t.TempDir(), "n0")
	errDisk := errors.New("disk full")
	_, err := unpersisted.Update(func(s *State) { s.Drained = true }, func(State) error { return errDisk })
	if !errors.Is(err, errDisk) || unpersisted.Load().Drained || unpersisted.Cached().Drained {
		t.Errorf("with a state that cannot be persisted: %v, %+v; want its error and no change", err, unpersisted.Load())
	}
}

// A persisted state replaces that of the file if it is newer. A state persisted by an earlier release has no revision.
func TestRestoreAdoptsTheNewerState(t *testing.T) {
	for _, c := range []struct {
		name                  string
		updates               int // number of updates made before Restore; each bans s-1
		persisted             State
		wantRevision          uint64
		wantBanned, wantDrain bool
	}{
		{"file lost", 0, State{Revision: 7, Drained: true}, 7, false, true},
		{"file older", 1, State{Revision: 7, Drained: true}, 7, false, true},
		{"file newer", 3, State{Revision: 2, Drained: true}, 3, true, false},
		{"same revision", 2, State{Revision: 2, Drained: true}, 2, true, false},
		{"no revision, file lost", 0, State{Drained: true}, 1, false, true},
		{"no revision, nothing ordered", 0, State{}, 0, false, false},
		{"no revision, file there", 1, State{Drained: true}, 1, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			s := openTestStore(t, dir, "n0")
			for range c.updates {
				if _, err := s.Update(func(s *State) { s.Banned = []string{"s-1"} }, notPersisted); err != nil {
					t.Fatal(err)
				}
			}
			if err := s.Restore(c.persisted); err != nil {
				t.Fatal(err)
			}
			for name, got := range map[string]State{"this": s.Load(), "another": openTestStore(t, dir, "n0").Load()} {
				if got.Revision != c.wantRevision || (len(got.Banned) == 1) != c.wantBanned || got.Drained != c.wantDrain {
					t.Errorf("%s process has the state %+v, want revision %d, a ban: %v, drained: %v",
						name, got, c.wantRevision, c.wantBanned, c.wantDrain)
				}
			}
		})
	}
}
