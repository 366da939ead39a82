package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Times of a client. Pauses are drawn between 0 and the maximum.
const (
	maxThinkTime = 40 * time.Millisecond  // between two requests
	maxPause     = 60 * time.Millisecond  // between two pieces of a request
	dialTimeout  = time.Second            // for a dial or an admin call; added to the deadline for writes
	readSlack    = 300 * time.Millisecond // beyond the latest allowed time, how long a client waits for a response
)

// longUploadSize is the size in bytes of a request body that the sidecar streams, as it is larger than its buffer.
const longUploadSize = 200 << 10

// pipelineLength is the number of requests that a pipelining client sends at once.
const pipelineLength = 3

// requestKind is how a client sends a request.
type requestKind int

const (
	kindRead         requestKind = iota
	kindUnsafe                   // must not run twice
	kindUpload                   // with a body of longUploadSize; must not run twice
	kindLongResponse             // gets a body of longResponseSize
	kindPieces                   // written in pieces with pauses between them
	kindPipelined                // several requests, written at once
	kindDisconnect               // the client disconnects before the response
	requestKindCount             // of the kinds above, which are drawn alike
	kindSlowResponse             // gets a body of slowResponseSize without a length, slowly; one in slowResponseInterval requests
)

// slowResponseInterval is how many requests there are to a slow response, which occupies its client for as long as ten others do.
const slowResponseInterval = 50

// String returns the kind's name in reports.
func (k requestKind) String() string {
	return [...]string{"read", "unsafe", "upload", "long response", "in pieces", "pipelined", "leaving", "", "slow response"}[k]
}

// client is one client of the sidecar, with one connection at a time.
type client struct {
	number       int
	run          *run
	random       *rand.Rand
	conn         net.Conn // nil if there is none
	reader       *bufio.Reader
	isFresh      bool // no request was sent on the connection yet
	requestCount int
}

func newClient(number int, r *run) *client {
	return &client{number: number, run: r, random: rand.New(rand.NewPCG(r.scenario.Seed, uint64(number)))}
}

// sendRequests sends requests until ctx ends, or until there is no connection and none may be opened.
func (c *client) sendRequests(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if !c.connect() {
			if !c.run.mayConnect() {
				return
			}
			time.Sleep(maxThinkTime)
			continue
		}
		c.request(c.drawKind())
		time.Sleep(time.Duration(c.random.Int64N(int64(maxThinkTime))))
	}
}

// drawKind draws the kind of the next request.
func (c *client) drawKind() requestKind {
	if c.random.IntN(slowResponseInterval) == 0 {
		return kindSlowResponse
	}
	return requestKind(c.random.IntN(int(requestKindCount)))
}

// connect opens a connection if there is none and one may be opened.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	if !c.run.mayConnect() {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.run.listen, dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.isFresh = conn, bufio.NewReader(conn), true
	return true
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// request sends a request, or several for kindPipelined, and waits for the response unless the client is to disconnect early.
func (c *client) request(kind requestKind) {
	if kind == kindPipelined {
		c.pipeline()
		return
	}
	r, text := c.newRequest(kind)
	c.run.recorder.recordStart(r)
	if !c.write(kind, text) {
		c.run.recorder.recordOutcome(r, Unsent)
		c.readRejection()
		c.disconnect()
		return
	}
	c.run.recorder.recordSent(r)
	if kind == kindDisconnect {
		c.disconnectEarly(r)
		return
	}
	c.receive(r)
}

// newRequest returns a new request's record and its text in HTTP.
func (c *client) newRequest(kind requestKind) (*request, string) {
	c.requestCount++
	r := &request{id: fmt.Sprintf("%x-%d-%d", c.run.scenario.Seed, c.number, c.requestCount), kind: kind, isFresh: c.isFresh}
	c.isFresh = false
	method, class, query, body := "GET", "read", "", ""
	switch kind {
	case kindUnsafe:
		method, class, body, r.isUnsafe = "POST", "order", "x", true
	case kindUpload:
		method, class, body, r.isUnsafe = "POST", "order", strings.Repeat("x", longUploadSize), true
	case kindLongResponse:
		query = fmt.Sprintf("?size=%d", longResponseSize)
	case kindSlowResponse:
		query = fmt.Sprintf("?size=%d&slow=true", slowResponseSize)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s /%s/%s%s HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left-Ms: %d\r\n",
		method, class, r.id, query, r.id, class, c.run.scenario.Deadline.Milliseconds())
	if body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	return r, text.String()
}

// write writes a request's text, and reports whether all of it was written.
func (c *client) write(kind requestKind, text string) bool {
	c.conn.SetWriteDeadline(time.Now().Add(dialTimeout + c.run.scenario.Deadline))
	if kind == kindPieces {
		for pieces := 3; pieces > 0 && len(text) > 1; pieces-- {
			n := 1 + c.random.IntN(len(text)-1)
			if _, err := io.WriteString(c.conn, text[:n]); err != nil {
				return false
			}
			text = text[n:]
			time.Sleep(time.Duration(c.random.Int64N(int64(maxPause))))
		}
	}
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// readRejection reads and discards a response that the sidecar sent before the whole request was written.
func (c *client) readRejection() {
	c.conn.SetReadDeadline(time.Now().Add(readSlack))
	io.Copy(io.Discard, c.reader)
}

// disconnectEarly closes the connection after a random time, with a reset in half of the cases.
func (c *client) disconnectEarly(r *request) {
	time.Sleep(time.Duration(c.random.Int64N(int64(maxServiceTime))))
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.random.IntN(2) == 0 {
		tcp.SetLinger(0)
	}
	c.run.recorder.recordOutcome(r, Disconnected)
	c.disconnect()
}

// receive reads the response to a request and records the outcome.
func (c *client) receive(r *request) {
	outcome, mustClose := c.readResponse(r)
	c.run.recorder.recordOutcome(r, outcome)
	if mustClose {
		c.disconnect()
	}
}

// readResponse reads the response to a request, and reports whether the client must close the connection.
func (c *client) readResponse(r *request) (outcome Outcome, mustClose bool) {
	limit := r.sentAt.Add(c.run.scenario.Deadline + latenessAllowed + readSlack)
	c.conn.SetReadDeadline(limit)
	if _, err := c.reader.Peek(1); err != nil {
		if isTimeout(err) {
			return Silent, true
		}
		return Ended, true
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return BrokenOff, true
	}
	isLate := time.Since(r.sentAt) > c.run.scenario.Deadline+latenessAllowed
	c.conn.SetReadDeadline(time.Now().Add(maxDeadline)) // a response that has begun may take this much longer
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return BrokenOff, true
	case response.StatusCode == http.StatusOK && !isResponseTo(r.id, string(body)):
		return Forged, true
	case isLate:
		return Late, response.Close
	default:
		return outcomeOf(response.StatusCode), response.Close
	}
}

// outcomeOf returns the outcome of a complete response that came in time.
func outcomeOf(statusCode int) Outcome {
	switch statusCode {
	case http.StatusOK:
		return Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Rejected
	default:
		return Failed
	}
}

// isResponseTo reports whether body is the one that an endpoint writes for the request id.
func isResponseTo(id, body string) bool {
	return body != "" && body == responseBody(id, len(body))
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// pipeline sends several requests at once, and reads their responses. If a response ends the connection, the requests behind it were
// never read and count as unsent.
func (c *client) pipeline() {
	var requests []*request
	var text strings.Builder
	for range pipelineLength {
		r, requestText := c.newRequest(kindPipelined)
		c.run.recorder.recordStart(r)
		requests = append(requests, r)
		text.WriteString(requestText)
	}
	if !c.write(kindRead, text.String()) {
		c.readRejection()
		c.disconnect()
		return
	}
	for i, r := range requests {
		if c.conn == nil {
			break
		}
		if i > 0 { // the sidecar can read a pipelined request only after the response to the one before, so its time starts here
			r.isFresh = false
		}
		c.run.recorder.recordSent(r)
		c.receive(r)
	}
}
