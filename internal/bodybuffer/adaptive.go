package bodybuffer

import (
	"io"
	"sync"

	"bramblestand/internal/turns"
)

// SmallSize is the size in bytes of the buffer that a slow body is forwarded through.
const SmallSize = 4 << 10

// turnSize is how many bytes are forwarded in one turn of the processor.
const turnSize = 64 << 10

type smallBuffer [SmallSize]byte

var smallPool = sync.Pool{New: func() any { return new(smallBuffer) }}

// Lender lends memory that is free at the moment. Its methods may be called from any goroutine.
type Lender interface {
	Borrow(bytes int64) bool // reports whether the memory was lent
	Return(bytes int64)      // gives back what was lent
}

// Adaptive is a buffer that a body is forwarded through. It is small at first. When it has been filled it becomes large, if the
// lender has the memory for that. It becomes small again after a read that a small one could have held, or once the lender would no
// longer lend the memory. One goroutine uses it.
type Adaptive struct {
	lender Lender
	small  *smallBuffer
	large  *Buffer // nil if the buffer is small
	inTurn int     // bytes forwarded in the current turn
}

// NewAdaptive returns a small buffer. The caller has to call Close.
func NewAdaptive(lender Lender) *Adaptive {
	return &Adaptive{lender: lender, small: smallPool.Get().(*smallBuffer)}
}

// Bytes returns the buffer. It is valid until the next call of Adapt or Close.
func (a *Adaptive) Bytes() []byte {
	if a.large != nil {
		return a.large[:]
	}
	return a.small[:]
}

// Adapt chooses the size for the next read. The caller has read n bytes into the buffer and no longer needs them. Adapt waits for
// another turn of the processor from time to time: a body whose reads and writes never wait would otherwise use it for a whole time
// slice of the Go scheduler, and hundreds of such bodies would hold up all other requests.
func (a *Adaptive) Adapt(n int) {
	if a.inTurn += n; a.inTurn >= turnSize {
		a.inTurn = 0
		turns.Clients.Await()
	}
	if a.large != nil {
		a.lender.Return(Size) // and borrow it again, if it would still be lent
	}
	switch isLarge := n >= SmallSize && a.lender.Borrow(Size); {
	case isLarge && a.large == nil:
		a.large = Get()
	case !isLarge && a.large != nil:
		Put(a.large)
		a.large = nil
	}
}

// Close ends the use of the buffer.
func (a *Adaptive) Close() {
	if a.large != nil {
		a.lender.Return(Size)
		Put(a.large)
		a.large = nil
	}
	smallPool.Put(a.small)
	a.small = nil
}

// Copy copies from r to w, as it arrives, until the end of r. It returns the first error of either, and nil at the end.
func Copy(w io.Writer, r io.Reader, lender Lender) error {
	buffer := NewAdaptive(lender)
	defer buffer.Close()
	for {
		n, readErr := r.Read(buffer.Bytes())
		if n > 0 {
			if _, err := w.Write(buffer.Bytes()[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
		buffer.Adapt(n)
	}
}
