package endpointtest

import (
	"bytes"
	"sync"
)

// LogBuffer holds log output in memory. A test may read it while it is written.
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

// String returns the log output so far.
func (b *LogBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
