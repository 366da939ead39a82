package state

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// logBuffer collects log lines that another goroutine writes.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) count(message string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), message)
}

// waitFor waits until a condition is met.
func waitFor(t *testing.T, what string, isMet func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !isMet(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func TestWriterSavesTheLatestOffer(t *testing.T) {
	dir := t.TempDir()
	w := NewWriter(t.Context(), dir, slog.New(slog.DiscardHandler))
	const last = 20
	for version := uint64(1); version <= last; version++ {
		w.Offer(newSnapshot("n1", version, 5))
	}
	waitFor(t, "the last snapshot", func() bool {
		s, err := Load(dir, "n1")
		return err == nil && s.ListVersion == last
	})
	if delay := w.NextSave(); delay < minSaveInterval {
		t.Errorf("the next save is due in %v, want %v at least", delay, minSaveInterval)
	}
}

func TestWriterLogsOnlyWhenFailuresBeginAndEnd(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "missing")
	var log logBuffer
	w := NewWriter(t.Context(), dir, slog.New(slog.NewTextHandler(&log, nil)))
	for version := range uint64(3) {
		w.lastDuration.Store(0)
		w.Offer(newSnapshot("n1", version, 5))
		waitFor(t, "a failed save", func() bool { return w.lastDuration.Load() > 0 })
	}
	if n := log.count("state snapshot not saved"); n != 1 {
		t.Errorf("three failed saves are logged %d times, want once", n)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	w.Offer(newSnapshot("n1", 4, 5))
	waitFor(t, "the save", func() bool { return log.count("state snapshot saved again") == 1 })
}
