package sidecar

import "bytes"

// lineKept is how much of a head's line is kept: the name and value of a short header.
const lineKept = 64

// framing follows where requests begin and end in what a client sends, to see what net/http does not tell: a head
// with both a length and a transfer coding, of which it drops the length. Whatever passed this by as one request
// may be two to somebody else, or the other way round.
type framing struct {
	heads    int // that have ended
	conflict int // number of the head with both, counted from 1; 0 for none
	ended    bool
	begun    bool // part of a head has come

	line   []byte
	coded  bool
	length int64 // of the body; negative before it is told
	body   int64 // bytes of it still to come
}

func newFraming() framing { return framing{length: -1} }

// read takes in what has come.
func (f *framing) read(p []byte) {
	for len(p) > 0 && !f.ended {
		if f.body > 0 {
			n := min(f.body, int64(len(p)))
			f.body -= n
			p = p[n:]
			continue
		}
		f.begun = true
		part, rest, whole := bytes.Cut(p, []byte("\n"))
		f.line = append(f.line, part[:min(len(part), lineKept-len(f.line))]...)
		if !whole {
			return
		}
		p = rest
		f.header(bytes.TrimSuffix(f.line, []byte("\r")))
		f.line = f.line[:0]
	}
}

// header takes in a line of a head.
func (f *framing) header(line []byte) {
	if len(line) > 0 {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			f.coded = true
		case bytes.EqualFold(name, []byte("Content-Length")):
			f.length = 0
			for _, digit := range bytes.TrimSpace(value) {
				if digit < '0' || digit > '9' || f.length > requestMost {
					f.ended = true // the server turns this request away, and its connection with it
					return
				}
				f.length = 10*f.length + int64(digit-'0')
			}
		}
		return
	}
	f.heads++
	f.begun = false
	if f.coded && f.length >= 0 {
		f.conflict = f.heads
	}
	// A request with a coding is the last that is taken on its connection.
	f.ended = f.coded
	f.body, f.length = max(0, f.length), -1
}
