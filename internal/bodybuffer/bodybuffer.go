// Package bodybuffer pools the buffers through which bodies are forwarded, in both directions.
// io.Copy is not used between sockets: it would splice them in the kernel.
package bodybuffer

import "sync"

// Size is the size of a buffer in bytes.
const Size = 32 << 10

// Buffer is memory for a part of a body.
type Buffer [Size]byte

var pool = sync.Pool{New: func() any { return new(Buffer) }}

// Get returns a buffer with any content. Give it back with Put.
func Get() *Buffer { return pool.Get().(*Buffer) }

// Put takes back a buffer that is no longer used.
func Put(buffer *Buffer) { pool.Put(buffer) }
