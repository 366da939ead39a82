// Package bodybuffer pools the buffers through which bodies are forwarded, in both directions.
// They replace io.Copy, which would splice two sockets in the kernel instead of copying through a buffer.
package bodybuffer

import "sync"

// Size is the size of a buffer in bytes.
const Size = 32 << 10

// Buffer holds a part of a body while it is forwarded.
type Buffer [Size]byte

var pool = sync.Pool{New: func() any { return new(Buffer) }}

// Get returns a buffer with undefined content. The caller returns it with Put.
func Get() *Buffer { return pool.Get().(*Buffer) }

// Put returns a buffer to the pool. The caller must not use it afterwards.
func Put(buffer *Buffer) { pool.Put(buffer) }
