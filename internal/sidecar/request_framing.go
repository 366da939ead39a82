package sidecar

import "bytes"

// maxHeaderLineKept is how many bytes of a header line are kept: enough for the name and value of the headers of framing.
const maxHeaderLineKept = 64

// unknownContentLength is the length of a body whose head has not given one yet.
const unknownContentLength = -1

// requestFraming follows in a client's byte stream where its requests begin and end, to see what net/http does not tell: a
// head with both a Content-Length and a Transfer-Encoding, of which net/http drops the length. Another server may take what
// this one took for one request to be two, or the other way round (RFC 9112, section 6.3: request smuggling).
//
// It is not safe for concurrent use.
type requestFraming struct {
	headsRead       int  // complete heads
	conflictingHead int  // number of the head with both headers, counted from 1; 0 for none
	isDone          bool // no further request is taken on the connection: what follows is not looked at
	isInHead        bool // part of a head was read

	line              []byte // what is kept of the line that is being read
	hasTransferCoding bool   // the head that is being read has a Transfer-Encoding
	contentLength     int64  // of the head that is being read, in bytes
	bodyRemaining     int64  // bytes of the current body that were not read yet
}

func newRequestFraming() requestFraming { return requestFraming{contentLength: unknownContentLength} }

// observe follows what was read next, however it is cut.
func (f *requestFraming) observe(data []byte) {
	for len(data) > 0 && !f.isDone {
		if f.bodyRemaining > 0 {
			n := min(f.bodyRemaining, int64(len(data)))
			f.bodyRemaining -= n
			data = data[n:]
			continue
		}
		f.isInHead = true
		part, rest, isLineComplete := bytes.Cut(data, []byte("\n"))
		f.line = append(f.line, part[:min(len(part), maxHeaderLineKept-len(f.line))]...)
		if !isLineComplete {
			return
		}
		data = rest
		f.observeLine(bytes.TrimSuffix(f.line, []byte("\r")))
		f.line = f.line[:0]
	}
}

// observeLine follows one line of a head. An empty line ends the head.
func (f *requestFraming) observeLine(line []byte) {
	if len(line) == 0 {
		f.endHead()
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.hasTransferCoding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.observeContentLength(bytes.TrimSpace(value))
	}
}

// observeContentLength follows the value of a Content-Length. On one that is malformed or too large, the server rejects the
// request and closes the connection.
func (f *requestFraming) observeContentLength(value []byte) {
	f.contentLength = 0
	for _, digit := range value {
		if digit < '0' || digit > '9' || f.contentLength > maxRequestBody {
			f.isDone = true
			return
		}
		f.contentLength = 10*f.contentLength + int64(digit-'0')
	}
}

// endHead completes a head and starts on its body.
func (f *requestFraming) endHead() {
	f.headsRead++
	f.isInHead = false
	if f.hasTransferCoding && f.contentLength >= 0 {
		f.conflictingHead = f.headsRead
	}
	// A request with a transfer coding is the last that is taken on its connection.
	f.isDone = f.hasTransferCoding
	f.bodyRemaining, f.contentLength = max(0, f.contentLength), unknownContentLength
}
