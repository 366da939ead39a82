package sidecar

import "bytes"

// maxHeaderLineKept is how much of a head's line is kept: the name and value of a short header.
const maxHeaderLineKept = 64

// requestFraming follows where requests begin and end in what a client sends, to see what net/http does not tell: a head
// with both a length and a transfer coding, of which it drops the length. Whatever passed this by as one request
// may be two to somebody else, or the other way round.
type requestFraming struct {
	headsRead       int // that have ended
	conflictingHead int // number of the head with both, counted from 1; 0 for none
	isDone          bool
	isInHead        bool // part of a head has come

	line              []byte
	hasTransferCoding bool
	contentLength     int64 // of the body; negative before it is told
	bodyRemaining     int64 // bytes of it still to come
}

func newRequestFraming() requestFraming { return requestFraming{contentLength: -1} }

// observe takes in what has come.
func (f *requestFraming) observe(p []byte) {
	for len(p) > 0 && !f.isDone {
		if f.bodyRemaining > 0 {
			n := min(f.bodyRemaining, int64(len(p)))
			f.bodyRemaining -= n
			p = p[n:]
			continue
		}
		f.isInHead = true
		part, rest, whole := bytes.Cut(p, []byte("\n"))
		f.line = append(f.line, part[:min(len(part), maxHeaderLineKept-len(f.line))]...)
		if !whole {
			return
		}
		p = rest
		f.observeLine(bytes.TrimSuffix(f.line, []byte("\r")))
		f.line = f.line[:0]
	}
}

// observeLine takes in a line of a head.
func (f *requestFraming) observeLine(line []byte) {
	if len(line) > 0 {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			f.hasTransferCoding = true
		case bytes.EqualFold(name, []byte("Content-Length")):
			f.contentLength = 0
			for _, digit := range bytes.TrimSpace(value) {
				if digit < '0' || digit > '9' || f.contentLength > requestMost {
					f.isDone = true // the server turns this request away, and its connection with it
					return
				}
				f.contentLength = 10*f.contentLength + int64(digit-'0')
			}
		}
		return
	}
	f.headsRead++
	f.isInHead = false
	if f.hasTransferCoding && f.contentLength >= 0 {
		f.conflictingHead = f.headsRead
	}
	// A request with a coding is the last that is taken on its connection.
	f.isDone = f.hasTransferCoding
	f.bodyRemaining, f.contentLength = max(0, f.contentLength), -1
}
