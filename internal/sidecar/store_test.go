package sidecar

import (
	"log/slog"
	"os"
	"reflect"
	"strings"
	"testing"
)

func TestStoreIsSharedByTwo(t *testing.T) {
	dir := t.TempDir()
	a := openStore(dir, "n/0", slog.New(slog.DiscardHandler))
	if a.paired() {
		t.Error("a process alone sees another")
	}
	b := openStore(dir, "n/0", slog.New(slog.DiscardHandler))
	if !a.paired() || !b.paired() {
		t.Error("two processes do not see each other")
	}
	if openStore(dir, "n1", slog.New(slog.DiscardHandler)).paired() {
		t.Error("another sidecar's processes are taken for its own")
	}
	if _, err := a.update(func(s *shared) { s.Drained = true }, unkept); err != nil {
		t.Fatal(err)
	}
	if _, err := b.update(func(s *shared) { s.Banned = []string{"s-1"} }, unkept); err != nil {
		t.Fatal(err)
	}
	want := shared{Version: sharedVersion, Seq: 2, Drained: true, Banned: []string{"s-1"}}
	if got := a.look(); !reflect.DeepEqual(got, want) {
		t.Errorf("the first sees %+v, want %+v", got, want)
	}
	b.close()
	if a.paired() {
		t.Error("an ended process is still seen")
	}
	a.close()
	if got := openStore(dir, "n/0", slog.New(slog.DiscardHandler)).look(); !reflect.DeepEqual(got, want) {
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
		s := openStore(t.TempDir(), "n0", slog.New(slog.NewTextHandler(&log, nil)))
		before, err := s.update(func(s *shared) { s.Banned = []string{"s-1"} }, unkept)
		if err != nil {
			t.Fatal(err)
		}
		if err := damage(s.path); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			s.look()
		}
		if got := s.look(); !reflect.DeepEqual(got, before) {
			t.Errorf("%s: the state is %+v, want %+v", name, got, before)
		}
		if n := strings.Count(log.String(), "state file"); n != 1 {
			t.Errorf("%s: logged %d times, want once: %s", name, n, log.String())
		}
		if got, err := s.update(func(s *shared) { s.Drained = true }, unkept); err != nil || len(got.Banned) != 1 {
			t.Errorf("%s: a change after it: %+v, %v", name, got, err)
		}
	}
}

func TestStoreThatCannotBeWritten(t *testing.T) {
	missing := t.TempDir() + "/none"
	s := openStore(missing, "n0", slog.New(slog.DiscardHandler))
	if _, err := s.update(func(s *shared) { s.Drained = true }, unkept); err == nil || s.look().Drained {
		t.Errorf("a change that was not written: %v, %+v; want an error and no change", err, s.look())
	}
	dir := t.TempDir()
	s = openStore(dir, "n0", slog.New(slog.DiscardHandler))
	if err := os.Mkdir(s.path+".new", 0o700); err != nil { // root may write anywhere, but not over a folder
		t.Fatal(err)
	}
	if _, err := s.update(func(s *shared) { s.Drained = true }, unkept); err == nil || s.look().Drained {
		t.Errorf("a change that was not written: %v, %+v; want an error and no change", err, s.look())
	}
}

// unkept is for changes of a sidecar that keeps no state.
func unkept(shared) error { return nil }
