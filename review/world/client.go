package world

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Client is a stand-in for the application: it keeps connections to its sidecar, sends one request at a time on each, and opens
// a further one when all are busy.
type Client struct {
	Address string
	mu      sync.Mutex
	idle    []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// Request is a request of a client.
type Request struct {
	ID, Key, Tenant string
	Subject         string // of X-Session-Key; may be empty
	TimeLeft        time.Duration
	Body            []byte
	Wait            time.Duration // how long the client looks for an answer, from the last byte on
}

// Answer is what a client saw of the answer to a request.
type Answer struct {
	BegunAt    time.Time // when the first byte of the request was written
	LastByteAt time.Time // when the last byte of the request was written to the connection
	Status     int       // 0 if no head came
	Body       []byte    // what came of the body
	IsWhole    bool      // the answer came to its end, as HTTP/1.1 defines it
	EndedAt    time.Time // when the answer ended, or the connection ended or broke before its end
	IsOpen     bool      // neither happened while the client looked
	Err        error     // what ended the connection
}

// Took returns the time from the last byte of the request to the end.
func (a *Answer) Took() time.Duration { return a.EndedAt.Sub(a.LastByteAt) }

// Do sends a request and looks for its answer.
func (c *Client) Do(r *Request) Answer {
	for conn, isNew := c.take(), false; ; conn = nil {
		if conn == nil {
			raw, err := net.DialTimeout("tcp", c.Address, 2*time.Second)
			if err != nil {
				return Answer{Err: err, EndedAt: time.Now(), LastByteAt: time.Now()}
			}
			conn, isNew = &clientConn{Conn: raw, reader: bufio.NewReader(raw)}, true
		}
		answer, crossed := c.exchange(conn, r)
		// A close between requests may cross a request that was not read: the client sends it once more on a new connection.
		if !crossed || isNew {
			return answer
		}
	}
}

func (c *Client) take() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	conn := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return conn
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	for conn := c.take(); conn != nil; conn = c.take() {
		conn.Conn.Close()
	}
}

// exchange sends a request on a connection. crossed means that the connection ended before any byte of an answer.
func (c *Client) exchange(conn *clientConn, r *Request) (answer Answer, crossed bool) {
	keep := false
	defer func() {
		if !keep {
			conn.Conn.Close()
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle = append(c.idle, conn)
	}()
	head := fmt.Sprintf("POST /save-pins HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: save-pins\r\n"+
		"X-Account: %s\r\nX-Session-Key: %s\r\nX-Time-Left-Ms: %d\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n",
		r.ID, r.Tenant, r.Subject, r.TimeLeft.Milliseconds(), r.Key, len(r.Body))
	conn.SetDeadline(time.Now().Add(20 * time.Second)) // far beyond the time in which a whole request is written
	answer.BegunAt = time.Now()
	_, err := conn.Write(append([]byte(head), r.Body...))
	answer.LastByteAt = time.Now()
	conn.SetDeadline(answer.LastByteAt.Add(r.Wait))
	if err != nil {
		answer.LastByteAt = time.Time{} // never written
	}
	response, readErr := http.ReadResponse(conn.reader, nil)
	if readErr == nil {
		answer.Status = response.StatusCode
		answer.Body, readErr = io.ReadAll(response.Body)
	}
	answer.EndedAt, answer.Err = time.Now(), errors.Join(err, readErr)
	answer.IsWhole = readErr == nil
	var timeout net.Error
	answer.IsOpen = errors.As(readErr, &timeout) && timeout.Timeout()
	keep = answer.IsWhole && err == nil && !response.Close && conn.reader.Buffered() == 0
	return answer, answer.Status == 0 && !answer.IsOpen
}
