// Package logwriter decouples those who log from the reader of the log. A reader that stops reading would otherwise hold up everyone who
// logs, the event loop among them.
package logwriter

import (
	"io"
	"sync"
	"time"
)

// Writer passes lines on to another writer in a goroutine of its own. Lines that it has no room for are dropped and counted. Its methods
// may be called from any goroutine.
type Writer struct {
	output   io.Writer
	maxBytes int
	wake     chan struct{} // has an element if the goroutine has something to do

	mu      sync.Mutex // guards the fields below
	queued  []byte     // lines to be written
	writing bool       // the goroutine writes lines that are no longer queued
	dropped int        // lines since the start
	idle    *sync.Cond // signals that nothing is queued or being written
}

// New returns a writer to output that holds up to maxBytes.
func New(output io.Writer, maxBytes int) *Writer {
	w := &Writer{output: output, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
	w.idle = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write queues a line, or drops it if there is no room. It never waits for the output, and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queued)+len(line) > w.maxBytes {
		w.dropped++
		return len(line), nil
	}
	w.queued = append(w.queued, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Flush waits until all queued lines are written, but no longer than timeout.
func (w *Writer) Flush(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.mu.Lock()
		defer w.mu.Unlock()
		for len(w.queued) > 0 || w.writing {
			w.idle.Wait()
		}
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

// run writes queued lines for as long as the process runs.
func (w *Writer) run() {
	var lines []byte
	for range w.wake {
		lines = w.take(lines[:0])
		w.output.Write(lines) // a log that cannot be written has nowhere to report that
		w.finishWrite()
	}
}

// take returns the queued lines, and queues further ones in spare.
func (w *Writer) take(spare []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := w.queued
	w.queued, w.writing = spare, true
	return lines
}

// finishWrite records that the lines that were taken have been written.
func (w *Writer) finishWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	if len(w.queued) == 0 {
		w.idle.Broadcast()
	}
}
