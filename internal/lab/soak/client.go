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

// Times of a client.
const (
	maxThinkTime = 40 * time.Millisecond  // between requests
	maxPause     = 60 * time.Millisecond  // between pieces of a request
	dialTimeout  = time.Second            // of a connection
	readSlack    = 300 * time.Millisecond // after which no response counts as none
)

// longUpload is the size in bytes of a body that is forwarded as it comes.
const longUpload = 200 << 10

// pipelined is how many requests are sent at once.
const pipelined = 3

// requestKind is how a client sends a request.
type requestKind int

const (
	kindRead         requestKind = iota
	kindUnsafe                   // may not run twice
	kindUpload                   // with a long body
	kindLongResponse             // with a long body
	kindPieces                   // sent with pauses
	kindPipelined                // several at once
	kindLeaving                  // the client leaves before the response
	requestKinds
)

// String returns the kind for a report.
func (k requestKind) String() string {
	return [...]string{"read", "unsafe", "upload", "long response", "in pieces", "pipelined", "leaving"}[k]
}

// client is one client of the sidecar, with one connection at a time.
type client struct {
	number  int
	run     *run
	random  *rand.Rand
	conn    net.Conn // nil without one
	in      *bufio.Reader
	isFresh bool // no request was sent on the connection
	counter int
}

func newClient(number int, r *run) *client {
	return &client{number: number, run: r, random: rand.New(rand.NewPCG(r.scenario.Seed, uint64(number)))}
}

// use sends requests until ctx ends, or until there is no connection and none may be opened.
func (c *client) use(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if !c.connect() {
			if !c.run.mayConnect() {
				return
			}
			time.Sleep(maxThinkTime)
			continue
		}
		c.request(requestKind(c.random.IntN(int(requestKinds))))
		time.Sleep(time.Duration(c.random.Int64N(int64(maxThinkTime))))
	}
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
	c.conn, c.in, c.isFresh = conn, bufio.NewReader(conn), true
	return true
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// request sends a request and waits for the response, or several.
func (c *client) request(kind requestKind) {
	if kind == kindPipelined {
		c.pipeline()
		return
	}
	r, text := c.newRequest(kind)
	c.run.ledger.begin(r)
	if !c.write(kind, text) {
		c.run.ledger.end(r, Unsent)
		c.readRejection()
		c.disconnect()
		return
	}
	c.run.ledger.sent(r)
	if kind == kindLeaving {
		c.leave(r)
		return
	}
	c.receive(r)
}

// newRequest returns a request and its text.
func (c *client) newRequest(kind requestKind) (*request, string) {
	c.counter++
	r := &request{id: fmt.Sprintf("%x-%d-%d", c.run.scenario.Seed, c.number, c.counter), kind: kind, isFresh: c.isFresh}
	c.isFresh = false
	method, class, query, body := "GET", "read", "", ""
	switch kind {
	case kindUnsafe:
		method, class, body, r.isUnsafe = "POST", "order", "x", true
	case kindUpload:
		method, class, body, r.isUnsafe = "POST", "order", strings.Repeat("x", longUpload), true
	case kindLongResponse:
		query = fmt.Sprintf("?size=%d", longResponse)
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

// write writes a request's text to its last byte, and reports whether it could.
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

// readRejection reads a response that came before the request's last byte was written.
func (c *client) readRejection() {
	c.conn.SetReadDeadline(time.Now().Add(readSlack))
	io.Copy(io.Discard, c.in)
}

// leave ends the connection before the response.
func (c *client) leave(r *request) {
	time.Sleep(time.Duration(c.random.Int64N(int64(maxServiceTime))))
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.random.IntN(2) == 0 {
		tcp.SetLinger(0)
	}
	c.run.ledger.end(r, Left)
	c.disconnect()
}

// receive reads the response to a request and enters the outcome.
func (c *client) receive(r *request) {
	outcome, isOver := c.read(r)
	c.run.ledger.end(r, outcome)
	if isOver {
		c.disconnect()
	}
}

// read reads the response to a request, and reports whether the connection is over.
func (c *client) read(r *request) (outcome Outcome, isOver bool) {
	limit := r.sentAt.Add(c.run.scenario.Deadline + latenessAllowed + readSlack)
	c.conn.SetReadDeadline(limit)
	if _, err := c.in.Peek(1); err != nil {
		if isTimeout(err) {
			return Silent, true
		}
		return Ended, true
	}
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return BrokenOff, true
	}
	isLate := time.Since(r.sentAt) > c.run.scenario.Deadline+latenessAllowed
	c.conn.SetReadDeadline(time.Now().Add(maxDeadline)) // a response that has begun may take its time
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

// outcomeOf returns the outcome of a whole response that came in time.
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

// isResponseTo reports whether a body is one that an endpoint wrote for a request.
func isResponseTo(id, body string) bool {
	return body != "" && body == responseBody(id, len(body))
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// pipeline sends several requests at once, and reads their responses. Those behind a response that ends the connection were never
// read, and count as unsent.
func (c *client) pipeline() {
	var requests []*request
	var text strings.Builder
	for range pipelined {
		r, one := c.newRequest(kindPipelined)
		c.run.ledger.begin(r)
		requests = append(requests, r)
		text.WriteString(one)
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
		if i > 0 { // a pipelined request's time counts from when it could be read
			r.isFresh = false
		}
		c.run.ledger.sent(r)
		c.receive(r)
	}
}
