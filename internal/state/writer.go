package state

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	minSaveInterval    = time.Second
	saveIntervalFactor = 20 // minimum ratio of the interval to the last save's duration: saves take 5% of a core at most
)

// Writer saves snapshots in its own goroutine, so that the event loop never waits for a disk. If snapshots are offered
// faster than they can be saved, only the latest one is saved.
type Writer struct {
	dir          string
	log          *slog.Logger
	pending      chan *Snapshot // the snapshot to save next
	lastDuration atomic.Int64   // of the last save, in nanoseconds
}

// NewWriter returns a Writer for the folder dir whose goroutine ends with ctx. A snapshot that is pending by then is
// not saved.
func NewWriter(ctx context.Context, dir string, log *slog.Logger) *Writer {
	w := &Writer{dir: dir, log: log, pending: make(chan *Snapshot, 1)}
	go w.run(ctx)
	return w
}

// Offer hands over a snapshot to be saved, without waiting. It replaces a snapshot that is still pending. Only one
// goroutine, that of the event loop, may call it.
func (w *Writer) Offer(s *Snapshot) {
	select {
	case w.pending <- s:
		return
	default:
	}
	select {
	case <-w.pending:
	default: // the Writer's goroutine has taken it meanwhile
	}
	w.pending <- s
}

// NextSave returns the time to wait between two calls of Offer: a second, or longer if the disk is slow.
func (w *Writer) NextSave() time.Duration {
	return max(minSaveInterval, saveIntervalFactor*time.Duration(w.lastDuration.Load()))
}

func (w *Writer) run(ctx context.Context) {
	failing := false
	for {
		select {
		case s := <-w.pending:
			failing = w.save(s, failing)
		case <-ctx.Done():
			return
		}
	}
}

// save saves one snapshot and reports whether that failed. It logs only when failures begin or end.
func (w *Writer) save(s *Snapshot, wasFailing bool) (isFailing bool) {
	began := time.Now()
	_, err := Save(w.dir, s)
	duration := time.Since(began)
	w.lastDuration.Store(int64(duration))
	isFailing = err != nil
	switch {
	case isFailing && !wasFailing:
		w.log.Error("state snapshot not saved; the last saved one stays", "error", err)
	case !isFailing && wasFailing:
		w.log.Info("state snapshot saved again", "duration", duration)
	}
	return isFailing
}
