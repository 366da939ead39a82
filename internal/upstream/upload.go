package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"

	"bramblestand/internal/bodybuffer"
)

// writeUpload writes the request with the body's buffered start and its Upload.
func (r *Request) writeUpload(w io.Writer, memory bodybuffer.Lender) error {
	head, err := r.uploadHead()
	if err != nil {
		return err
	}
	if r.Upload.ContentLength() >= 0 {
		return r.copyUpload(w, head, w, memory)
	}
	buffered := bufio.NewWriter(w)
	chunks := httputil.NewChunkedWriter(buffered)
	if err := r.copyUpload(buffered, head, flushingWriter{chunks, buffered}, memory); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	if _, err := buffered.WriteString("\r\n"); err != nil { // the end of an empty trailer
		return err
	}
	return buffered.Flush()
}

// copyUpload writes the head to w, and then the body's buffered start and the Upload, as they arrive, to body.
func (r *Request) copyUpload(w io.Writer, head []byte, body io.Writer, memory bodybuffer.Lender) error {
	if _, err := w.Write(head); err != nil {
		return err
	}
	if len(r.Body) > 0 {
		if _, err := body.Write(r.Body); err != nil {
			return err
		}
	}
	return bodybuffer.Copy(body, r.Upload, memory)
}

// uploadHead returns the encoded head of a request whose body is not buffered.
func (r *Request) uploadHead() ([]byte, error) {
	request := r.toHTTP(r.Upload.Deadline())
	request.ContentLength = r.Upload.ContentLength()
	body := &unreadBody{}
	request.Body = body
	var head bytes.Buffer
	head.Grow(headSize(request))
	if err := request.Write(&head); err != nil && !body.isBegun {
		return nil, err
	}
	return head.Bytes(), nil
}

// errUnreadBody ends http.Request.Write after the head.
var errUnreadBody = errors.New("only the head is wanted")

// unreadBody is the body of a request of which only the head is written.
type unreadBody struct{ isBegun bool } // the head was written, and the body's first byte was asked for

// Read implements io.Reader. It fails.
func (b *unreadBody) Read([]byte) (int, error) {
	b.isBegun = true
	return 0, errUnreadBody
}

// Close implements io.Closer.
func (b *unreadBody) Close() error { return nil }

// flushingWriter flushes after each write.
type flushingWriter struct {
	io.Writer
	buffered *bufio.Writer // what Writer writes to
}

// Write writes and flushes p.
func (w flushingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.buffered.Flush()
}
