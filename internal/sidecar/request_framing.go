package sidecar

import (
	"bytes"
	"math"
	"net/http"
)

// maxHeaderLineKept is how many bytes of each header line are kept: enough for the name and value of Content-Length, and for the
// name of Transfer-Encoding.
const maxHeaderLineKept = 64

// unknownContentLength is the content length of a head in which no Content-Length was read yet.
const unknownContentLength = -1

// requestFraming finds the beginning and end of each request in a client's byte stream. net/http parses the same stream and does
// not tell where a request ends in it, so the two are kept in step:
//
//   - A read of the connection ends where a head or a body ends (observe). When net/http starts the handler of a request, it has
//     not read more than a byte of the next one, and head describes that request.
//   - The handler compares head with what net/http has parsed (requestHead.check). If they differ, the request is rejected and its
//     connection closed: another server might read such input as two requests where this one reads a single request, or the
//     other way round (RFC 9112, section 11.2: request smuggling).
//
// A requestFraming is not safe for concurrent use.
type requestFraming struct {
	headsRead  int         // number of complete heads
	head       requestHead // the last complete head
	isDone     bool        // the current request is the last one on the connection; further input is ignored
	isInHead   bool        // part of a head was read, but not its end
	blankBytes int         // bytes of empty lines read since the last request, if nothing of the next one was read

	line          []byte      // the current line of a head, up to maxHeaderLineKept bytes
	partialHead   requestHead // the head that is being read
	bodyRemaining int64       // bytes of the current body that were not read yet
}

// requestHead is what a head says about the length of its request's body.
type requestHead struct {
	hasTransferCoding bool  // it has a Transfer-Encoding
	contentLength     int64 // its Content-Length in bytes, or unknownContentLength
	bytes, lines      int   // its size so far
}

// memory returns the memory in bytes that net/http takes for the head and its parsed form. Half of the head is added for buffers
// that grow while it is read.
func (h requestHead) memory() int64 { return int64(h.bytes + h.bytes/2 + h.lines*headLineMemory) }

// newRequestHead returns a head of which nothing was read.
func newRequestHead() requestHead { return requestHead{contentLength: unknownContentLength} }

func newRequestFraming() requestFraming { return requestFraming{partialHead: newRequestHead()} }

// observe processes the next bytes of the stream, up to the end of the current head or body. It returns the number of bytes that
// it has processed, which is at least 1 unless data is empty.
func (f *requestFraming) observe(data []byte) (n int) {
	switch {
	case f.isDone:
		return len(data)
	case f.bodyRemaining > 0:
		n = int(min(f.bodyRemaining, int64(len(data))))
		f.bodyRemaining -= int64(n)
		return n
	default:
		return f.observeHead(data)
	}
}

// bodyRest returns how many bytes can follow before the next head begins. ok is false in a head and between requests.
func (f *requestFraming) bodyRest() (n int64, ok bool) {
	if f.isDone {
		return math.MaxInt64, true
	}
	return f.bodyRemaining, f.bodyRemaining > 0
}

// observeHead processes bytes of a head up to its end. Empty lines before a head are no part of it: net/http skips a few after a
// POST request, and else rejects the request.
func (f *requestFraming) observeHead(data []byte) (n int) {
	if !f.isInHead {
		n = len(data) - len(bytes.TrimLeft(data, "\r\n"))
		f.blankBytes += n
	}
	for n < len(data) && !f.isDone {
		f.isInHead, f.blankBytes = true, 0
		part, _, isLineComplete := bytes.Cut(data[n:], []byte("\n"))
		f.partialHead.bytes += len(part)
		f.line = append(f.line, part[:min(len(part), maxHeaderLineKept-len(f.line))]...)
		if !isLineComplete {
			return len(data)
		}
		n += len(part) + 1
		f.partialHead.lines++
		line := bytes.TrimSuffix(f.line, []byte("\r"))
		f.line = f.line[:0]
		if len(line) == 0 {
			f.endHead()
			return n
		}
		f.observeLine(line)
	}
	return n
}

// observeLine processes one line of a head.
func (f *requestFraming) observeLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.partialHead.hasTransferCoding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.observeContentLength(bytes.TrimSpace(value))
	}
}

// observeContentLength parses the value of a Content-Length. A value that is malformed ends the framing: net/http rejects the
// request and closes the connection.
func (f *requestFraming) observeContentLength(value []byte) {
	length := int64(0)
	for _, digit := range value {
		if digit < '0' || digit > '9' || length > (math.MaxInt64-9)/10 {
			f.isDone = true
			return
		}
		length = 10*length + int64(digit-'0')
	}
	f.partialHead.contentLength = length
}

// endHead ends the current head and begins its body.
func (f *requestFraming) endHead() {
	f.headsRead++
	f.isInHead = false
	f.head, f.partialHead = f.partialHead, newRequestHead()
	// The end of a body in chunks is not found. The sidecar closes the connection after such a request.
	f.isDone = f.head.hasTransferCoding
	f.bodyRemaining = max(0, f.head.contentLength)
}

// headMemory returns the memory in bytes that the current head takes, or the last one if none was begun since.
func (f *requestFraming) headMemory() int64 {
	if f.isInHead {
		return f.partialHead.memory()
	}
	return f.head.memory()
}

// hasReadAhead reports whether input was read that follows the current request, of which the body is complete.
func (f *requestFraming) hasReadAhead() bool { return f.isInHead || f.blankBytes > 0 }

// check returns an error unless the head and in, which net/http has parsed from the same head, agree on where the request ends.
func (h requestHead) check(in *http.Request) *invalidRequest {
	switch {
	case h.hasTransferCoding && !in.ProtoAtLeast(1, 1):
		return errUnsupportedVersion // HTTP/1.0 has no chunked coding: net/http would read a chunked body as the next request
	case h.hasTransferCoding && h.contentLength != unknownContentLength:
		return newInvalidRequest("both a length and a transfer coding are given")
	case h.hasTransferCoding != (len(in.TransferEncoding) > 0), !h.hasTransferCoding && max(0, h.contentLength) != in.ContentLength:
		return newInvalidRequest("the length of the body is ambiguous")
	}
	return nil
}
