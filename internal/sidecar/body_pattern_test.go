package sidecar

import (
	"crypto/sha256"
	"fmt"
	"io"
	"testing"
	"time"
)

// patternReader reads a body of end bytes. Its pattern does not repeat at short distances, so that lost or reordered parts change
// the digest.
type patternReader struct{ at, end int64 }

func (p *patternReader) Read(b []byte) (int, error) {
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

// digest returns a text with the digest and the length of the rest of r, and the error that ended reading.
func digest(t *testing.T, r io.Reader) string {
	t.Helper()
	h := sha256.New()
	n, err := io.Copy(h, r)
	return fmt.Sprintf("%x of %d bytes, %v", h.Sum(nil)[:4], n, err)
}

// slowReader reads in small pieces and with pauses, so that the writer has to wait.
type slowReader struct {
	io.Reader
	reads int
}

func (s *slowReader) Read(p []byte) (int, error) {
	if s.reads++; s.reads%64 == 0 {
		time.Sleep(time.Millisecond)
	}
	return s.Reader.Read(p[:min(len(p), 8<<10)])
}

// longBodyLength is the length in bytes of a body that is not buffered in full.
const longBodyLength = 8 << 20
