package state

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	minSaveInterval = time.Second
	saveBudget      = 20 // the interval is no shorter than this many times the duration of the last save: 5% of a core at most
)

// Writer saves snapshots in a goroutine of its own, so that the event loop never waits for a disk. Where saving is
// slower than the offers only the latest snapshot is saved.
type Writer struct {
	dir          string
	log          *slog.Logger
	pending      chan *Snapshot // the one that is saved next
	lastDuration atomic.Int64   // of the last save, in nanoseconds
}

// NewWriter returns a Writer for the folder dir whose goroutine ends with ctx. A snapshot that is pending by then is
// not saved.
func NewWriter(ctx context.Context, dir string, log *slog.Logger) *Writer {
	w := &Writer{dir: dir, log: log, pending: make(chan *Snapshot, 1)}
	go w.run(ctx)
	return w
}

// Offer hands over a snapshot without waiting; one that is still pending is replaced. Only one goroutine, the event
// loop's, may call it.
func (w *Writer) Offer(s *Snapshot) {
	select {
	case w.pending <- s:
		return
	default:
	}
	select {
	case <-w.pending:
	default: // the goroutine took it meanwhile
	}
	w.pending <- s
}

// NextSave returns the time that should pass from an Offer to the next: a second, or longer where the disk is slow.
func (w *Writer) NextSave() time.Duration {
	return max(minSaveInterval, saveBudget*time.Duration(w.lastDuration.Load()))
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
