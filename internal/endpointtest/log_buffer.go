package endpointtest

import (
	"bytes"
	"sync"
)

// LogBuffer is a log that a test may read while it is written.
type LogBuffer struct {
	mu   sync.Mutex // guards text
	text bytes.Buffer
}

// Write appends to the log.
func (b *LogBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns the log until now.
func (b *LogBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
