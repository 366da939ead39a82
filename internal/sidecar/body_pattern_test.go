package sidecar

import (
	"crypto/sha256"
	"fmt"
	"io"
	"testing"
	"time"
)

// pattern reads a body of end bytes whose pattern does not repeat at short distances, so that lost or reordered parts are noticed.
type pattern struct{ at, end int64 }

func (p *pattern) Read(b []byte) (int, error) {
	if p.at >= p.end {
		return 0, io.EOF
	}
	b = b[:min(int64(len(b)), p.end-p.at)]
	for i := range b {
		at := p.at + int64(i)
		b[i] = byte(at ^ at>>8*31 ^ at>>16*17)
	}
	p.at += int64(len(b))
	return len(b), nil
}

// sum returns a text with the digest and the length of the rest of r, and the error that ended reading.
func sum(t *testing.T, r io.Reader) string {
	t.Helper()
	h := sha256.New()
	n, err := io.Copy(h, r)
	return fmt.Sprintf("%x of %d bytes, %v", h.Sum(nil)[:4], n, err)
}

// slowly reads in small pieces and with pauses, so that the writer has to wait.
type slowly struct {
	io.Reader
	reads int
}

func (s *slowly) Read(p []byte) (int, error) {
	if s.reads++; s.reads%64 == 0 {
		time.Sleep(time.Millisecond)
	}
	return s.Reader.Read(p[:min(len(p), 8<<10)])
}

// long is the length in bytes of a body that is not buffered in full.
const long = 8 << 20
