package handover

import (
	"log/slog"
	"os"
	"reflect"
	"strings"
	"testing"
)

func TestStoreIsSharedByTwo(t *testing.T) {
	dir := t.TempDir()
	a := Open(dir, "n/0", slog.New(slog.DiscardHandler))
	if a.HasOtherProcess() {
		t.Error("a process alone sees another")
	}
	b := Open(dir, "n/0", slog.New(slog.DiscardHandler))
	if !a.HasOtherProcess() || !b.HasOtherProcess() {
		t.Error("two processes do not see each other")
	}
	if Open(dir, "n1", slog.New(slog.DiscardHandler)).HasOtherProcess() {
		t.Error("another sidecar's processes are taken for its own")
	}
	if _, err := a.Update(func(s *State) { s.Drained = true }, unkept); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Update(func(s *State) { s.Banned = []string{"s-1"} }, unkept); err != nil {
		t.Fatal(err)
	}
	want := State{Version: formatVersion, Revision: 2, Drained: true, Banned: []string{"s-1"}}
	if got := a.Load(); !reflect.DeepEqual(got, want) {
		t.Errorf("the first sees %+v, want %+v", got, want)
	}
	b.Close()
	if a.HasOtherProcess() {
		t.Error("an ended process is still seen")
	}
	a.Close()
	if got := Open(dir, "n/0", slog.New(slog.DiscardHandler)).Load(); !reflect.DeepEqual(got, want) {
		t.Errorf("the next process sees %+v, want %+v", got, want)
	}
}

// A file that makes no sense is logged, and the last good state holds.
func TestStoreKeepsTheLastGoodState(t *testing.T) {
	for name, damage := range map[string]func(path string) error{
		"torn":    func(path string) error { return os.WriteFile(path, []byte(`{"version":1,"seq":9,"dra`), 0o600) },
		"foreign": func(path string) error { return os.WriteFile(path, []byte(`{"version":2,"seq":9}`), 0o600) },
		"missing": os.Remove,
	} {
		var log strings.Builder
		s := Open(t.TempDir(), "n0", slog.New(slog.NewTextHandler(&log, nil)))
		before, err := s.Update(func(s *State) { s.Banned = []string{"s-1"} }, unkept)
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
			t.Errorf("%s: the state is %+v, want %+v", name, got, before)
		}
		if n := strings.Count(log.String(), "state file"); n != 1 {
			t.Errorf("%s: logged %d times, want once: %s", name, n, log.String())
		}
		if got, err := s.Update(func(s *State) { s.Drained = true }, unkept); err != nil || len(got.Banned) != 1 {
			t.Errorf("%s: a change after it: %+v, %v", name, got, err)
		}
	}
}

func TestStoreThatCannotBeWritten(t *testing.T) {
	missing := t.TempDir() + "/none"
	s := Open(missing, "n0", slog.New(slog.DiscardHandler))
	if _, err := s.Update(func(s *State) { s.Drained = true }, unkept); err == nil || s.Load().Drained {
		t.Errorf("a change that was not written: %v, %+v; want an error and no change", err, s.Load())
	}
	dir := t.TempDir()
	s = Open(dir, "n0", slog.New(slog.DiscardHandler))
	if err := os.Mkdir(s.path+".new", 0o700); err != nil { // root may write anywhere, but not over a folder
		t.Fatal(err)
	}
	if _, err := s.Update(func(s *State) { s.Drained = true }, unkept); err == nil || s.Load().Drained {
		t.Errorf("a change that was not written: %v, %+v; want an error and no change", err, s.Load())
	}
}

// unkept is for changes of a sidecar that keeps no state.
func unkept(State) error { return nil }
