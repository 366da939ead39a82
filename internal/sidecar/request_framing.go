package sidecar

import "bytes"

// maxHeaderLineKept is how many bytes of each header line are kept: enough for the name and value of Content-Length, and for the
// name of Transfer-Encoding.
const maxHeaderLineKept = 64

// unknownContentLength is the content length of a head in which no Content-Length was read yet.
const unknownContentLength = -1

// requestFraming finds the beginning and end of each request in a client's byte stream. It detects heads with both a
// Content-Length and a Transfer-Encoding, which net/http does not report: it drops the length. Another server may read such input
// as two requests where this one reads a single request, or the other way round (RFC 9112, section 6.3: request smuggling).
//
// A requestFraming is not safe for concurrent use.
type requestFraming struct {
	headsRead       int  // number of complete heads
	conflictingHead int  // number of the head with both headers, counted from 1; 0 if there is none
	isDone          bool // the current request is the last one on the connection; further input is ignored
	isInHead        bool // part of a head was read, but not its end

	line              []byte // the current line of a head, up to maxHeaderLineKept bytes
	hasTransferCoding bool   // the current head has a Transfer-Encoding
	contentLength     int64  // Content-Length of the current head in bytes, or unknownContentLength
	bodyRemaining     int64  // bytes of the current body that were not read yet
}

func newRequestFraming() requestFraming { return requestFraming{contentLength: unknownContentLength} }

// observe processes the next bytes of the stream. They may begin and end anywhere in a request.
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

// observeLine processes one line of a head. An empty line ends the head.
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

// observeContentLength parses the value of a Content-Length. A value that is malformed or too large ends the framing: the server
// rejects the request and closes the connection.
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

// endHead ends the current head and begins its body.
func (f *requestFraming) endHead() {
	f.headsRead++
	f.isInHead = false
	if f.hasTransferCoding && f.contentLength >= 0 {
		f.conflictingHead = f.headsRead
	}
	// The server closes the connection after a request with a transfer coding.
	f.isDone = f.hasTransferCoding
	f.bodyRemaining, f.contentLength = max(0, f.contentLength), unknownContentLength
}
