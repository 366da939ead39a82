package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"peatpost/balancer"
)

const (
	bodyMost     = 64 << 10 // bytes of a request's or an answer's body
	headMost     = 32 << 10 // bytes of an answer's head
	loadMost     = 4 << 10  // bytes of a load report
	probeTimeout = 400 * time.Millisecond
)

// upstream sends requests to endpoints. It does not use http.Transport, which
// by itself repeats what it finds safe to repeat on a dead idle connection:
// each such repetition would be an attempt that the balancer never decided.
type upstream struct {
	dialer   net.Dialer
	idleMost time.Duration // idle connections are not used for longer
	fields   []string      // of load reports
	network  Network       // in place of sockets and HTTP, in a hollow sidecar; else nil
	probes   *flow         // counts them; nil where nobody is told

	mu   sync.Mutex
	open int // connections, those being dialled included
	most int
	rest int                 // of them, at most so many idle
	idle map[*target][]*conn // by endpoint, the latest used last
}

// target is one life of an endpoint at one address. It is closed for good once
// the endpoint is told draining or gone, or has restarted.
type target struct {
	address string
	born    int64
	closed  bool // under upstream.mu
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	target *target
	reader *bufio.Reader
	limit  io.LimitedReader // of an answer
	idleAt time.Time
	waited func() bool // if set, a read whose deadline passes goes on if this says so
}

// until sets a deadline for what is read and written next, unless the attempt is over.
func (c *conn) until(ctx context.Context, at time.Time) {
	c.SetDeadline(at)
	if ctx.Err() != nil { // what wakes the connection then may have come before
		c.SetDeadline(longAgo)
	}
}

var longAgo = time.Unix(1, 0)

// progress writes a body to an endpoint, which has to take some of it now and again.
type progress struct {
	conn *conn
	life context.Context
}

// Write writes all of p.
func (w progress) Write(p []byte) (int, error) {
	w.conn.until(w.life, time.Now().Add(stallServer))
	return w.conn.Write(p)
}

// message is a request as it goes to endpoints, any number of times.
type message struct {
	method string
	url    *url.URL
	host   string
	header http.Header // X-Time-Left-Ms is written for each attempt
	body   []byte      // all of it, or what is kept of one that still comes:
	rest   *clientBody // the rest of it, or nil
	flow   *flow       // counts it; nil for a client's request
}

// spent says that part of the body is gone, so that the request cannot be sent again.
func (m *message) spent() bool { return m.rest != nil && m.rest.taken }

// result is what came of an attempt or a probe.
type result struct {
	status balancer.Status
	header http.Header // of a whole answer 200, as is body
	body   []byte
	load   []float32
	took   time.Duration // from the write to the end, without the time to connect
	fault  int           // the code by which the endpoint found fault with the request itself, or 0
	err    error         // why there is no whole answer, for the log
}

// Reasons for which the sidecar itself sends nothing.
var (
	errClosed = errors.New("the endpoint is draining or gone")
	errFull   = errors.New("no connection is left")

	errUnwanted = errors.New("the request is over")
)

// unsentError says that the last byte of a request was never written.
type unsentError struct{ error }

func newUpstream(cfg *Config, connections int) *upstream {
	return &upstream{
		dialer: net.Dialer{Timeout: time.Duration(cfg.Settings.Limits.DialTimeout) * time.Microsecond},
		// An endpoint closes an idle connection when its time is over at the
		// latest, and what is written to it from then on is lost.
		idleMost: cfg.idle * 3 / 4,
		fields:   cfg.fields, most: connections, rest: connections, idle: map[*target][]*conn{},
	}
}

// attempt sends a request once and tells what came of it. Its outcome claims
// that the request never ran only where the last byte was not written, or the
// endpoint says so; in doubt it may have run.
func (u *upstream) attempt(ctx context.Context, t *target, m *message, p *passage) result {
	c, err := u.connect(ctx, t)
	if m.flow != nil && !errors.Is(err, errClosed) && !errors.Is(err, errFull) && (c == nil || c.idleAt.IsZero()) {
		m.flow.open(err)
	}
	if err != nil {
		return result{status: unsent(ctx, err), err: err}
	}
	start := time.Now()
	exchange := u.exchange
	if u.network != nil {
		exchange = u.hollowExchange
	}
	response, body, err := exchange(ctx, c, m, p)
	r := result{status: balancer.Error, took: time.Since(start), err: err}
	var never *unsentError
	var client *clientError
	switch {
	case errors.As(err, &client):
		// It says nothing of the endpoint, and there is nobody left to try for.
		r.status, r.fault = balancer.Cancelled, client.code
	case errors.As(err, &never):
		r.status = unsent(ctx, never.error)
	case errors.Is(err, errLate):
		r.status = balancer.Timeout
	case err != nil && ctx.Err() != nil:
		r.status = balancer.Cancelled
	case err != nil:
		r.status = balancer.Reset // a broken, cut or malformed answer: the connection is of no more use
	default:
		r.load = u.loadReport(response.Header.Get("X-Backend-Load"))
		switch code := response.StatusCode; {
		case code == http.StatusOK:
			r.status, r.header, r.body = balancer.OK, response.Header, body
		case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
			response.Header.Get("X-Unprocessed") == "1":
			r.status = balancer.Full
		case code == http.StatusBadRequest || code == http.StatusNotFound:
			// It would be the same everywhere, and says nothing of the endpoint's
			// health: told as an error, one bad client could have all ejected.
			r.status, r.fault = balancer.Cancelled, code
		}
	}
	return r
}

// errLate marks what failed because the time was up.
var errLate = errors.New("the time is up")

// over says that an attempt's time is up, by the clock: the balancer's own timer
// for that instant may have called the attempt off already, but to be told of a
// cancellation in place of a time-out would hide the endpoint's silence from it.
func over(ctx context.Context) bool {
	until, ok := ctx.Deadline()
	return ok && !time.Now().Before(until)
}

// unsent is the outcome of a request that was not written: the endpoint's
// fault, unless the sidecar no longer wanted to send it.
func unsent(ctx context.Context, err error) balancer.Status {
	if ctx.Err() != nil || errors.Is(err, errClosed) || errors.Is(err, errFull) || errors.Is(err, errUnwanted) {
		return balancer.Moot
	}
	return balancer.ConnectFailed
}

// probe asks an endpoint for its load report, or for its health where the
// deployment has no reports.
func (u *upstream) probe(ctx context.Context, t *target) result {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	m := &message{method: http.MethodGet, url: &url.URL{Path: "/health/live"}, host: t.address, flow: u.probes}
	if len(u.fields) > 0 {
		m.url.Path = "/stats"
	}
	r := u.attempt(ctx, t, m, nil)
	if r.status == balancer.OK {
		r.load = u.loadReport(string(r.body))
	}
	return r
}

// loadReport reads name=value pairs into the order of the settings. A figure
// that is missing or malformed is not a number, which the balancer skips.
func (u *upstream) loadReport(text string) []float32 {
	if text == "" || len(u.fields) == 0 {
		return nil
	}
	load := make([]float32, len(u.fields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(value, 32)
		if i := slices.Index(u.fields, name); i >= 0 && err == nil {
			load[i] = float32(v)
		}
	}
	return load
}

// connect returns the connection to t that was used last, or opens one.
func (u *upstream) connect(ctx context.Context, t *target) (*conn, error) {
	c, err := u.reserve(t)
	if c != nil || err != nil {
		return c, err
	}
	var raw net.Conn
	if u.network == nil {
		raw, err = u.dialer.DialContext(ctx, "tcp", t.address)
	} else {
		raw, err = u.hollowDial(ctx, t)
	}
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, err
	}
	c = &conn{Conn: raw, target: t}
	if u.network != nil {
		return c, nil // nothing is read from it
	}
	c.limit.R = patient{c}
	c.reader = bufio.NewReader(&c.limit)
	return c, nil
}

// reserve returns an idle connection, or none with the right to open one.
func (u *upstream) reserve(t *target) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.closed {
		return nil, errClosed
	}
	for list := u.idle[t]; len(list) > 0; list = u.idle[t] {
		c := list[len(list)-1]
		u.idle[t] = list[:len(list)-1]
		if time.Since(c.idleAt) < u.idleMost && quiet(c.Conn) {
			return c, nil
		}
		u.drop(c)
	}
	u.trim(u.most - 1)
	if u.open >= u.most {
		return nil, errFull
	}
	u.open++
	return nil, nil
}

// trim closes idle connections until so many are open, or none is idle. It holds u.mu.
func (u *upstream) trim(most int) {
	for t, list := range u.idle {
		for u.open > most && len(list) > 0 {
			u.drop(list[0])
			list = list[1:]
		}
		u.idle[t] = list
	}
}

// bound sets how many connections there may be, and how many of them idle.
func (u *upstream) bound(most, rest int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.most, u.rest = most, rest
	u.trim(min(most, u.open-u.resting()+rest))
}

// resting counts the idle connections. It holds u.mu.
func (u *upstream) resting() (n int) {
	for _, list := range u.idle {
		n += len(list)
	}
	return n
}

// connections counts the open connections and the idle ones among them.
func (u *upstream) connections() (open, idle int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open, u.resting()
}

// drop closes a connection. It holds u.mu.
func (u *upstream) drop(c *conn) {
	c.Close()
	u.open--
}

// release keeps a connection for the next request, or closes it.
func (u *upstream) release(c *conn, keep bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !keep || c.target.closed {
		u.drop(c)
		return
	}
	c.idleAt = time.Now()
	u.idle[c.target] = append(u.idle[c.target], c)
	if u.resting() > u.rest {
		u.trim(u.open - 1)
	}
}

// retire closes a target for good, and its idle connections. What is out there
// goes on.
func (u *upstream) retire(t *target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	t.closed = true
	for _, c := range u.idle[t] {
		u.drop(c)
	}
	delete(u.idle, t)
}

// prune closes connections that have been idle for too long.
func (u *upstream) prune() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for t, list := range u.idle {
		old := 0 // the longest idle come first
		for old < len(list) && time.Since(list[old].idleAt) >= u.idleMost {
			u.drop(list[old])
			old++
		}
		u.idle[t] = slices.Delete(list, 0, old)
	}
}

// quiet says whether a connection is open and nothing waits to be read from it. An endpoint may close an idle
// one at any time, and a request written after that is lost as a reset that may have run.
func quiet(conn net.Conn) bool {
	if h, ok := conn.(hollowConn); ok {
		return h.Whole()
	}
	own, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := own.SyscallConn()
	if err != nil {
		return false
	}
	is := false
	err = raw.Control(func(fd uintptr) { // not Read: it would wait for one that is reading
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		is = err == syscall.EAGAIN
	})
	return err == nil && is
}

// exchange writes one request on a connection and reads the whole answer, or passes it on where it is longer than
// what is kept. It gives the connection back.
func (u *upstream) exchange(ctx context.Context, c *conn, m *message, p *passage) (response *http.Response, body []byte, err error) {
	keep := false
	var stop func() bool
	guard := func(ctx context.Context) { // wakes a read or write when ctx ends
		stop = context.AfterFunc(ctx, func() { c.SetDeadline(longAgo) })
	}
	guard(ctx)
	defer func() {
		if err != nil && over(ctx) {
			err = fmt.Errorf("%w: %w", errLate, err)
		}
		u.release(c, stop() && keep)
	}()

	// The endpoint may have been told draining while the connection was
	// dialled: nothing new may go there.
	u.mu.Lock()
	closed := c.target.closed
	u.mu.Unlock()
	if closed {
		return nil, nil, &unsentError{errClosed}
	}
	// So may its time have ended, or its client have left: what wakes a write then comes a little later.
	if p != nil && !p.begin() || ctx.Err() != nil {
		return nil, nil, &unsentError{errUnwanted}
	}
	if m.rest == nil {
		data, err := m.encode(ctx)
		if err != nil {
			return nil, nil, &unsentError{err}
		}
		n, err := c.Write(data)
		m.flow.send(n, n == len(data))
		if n < len(data) {
			return nil, nil, &unsentError{err}
		}
	} else {
		if err := m.pass(c, p); err != nil {
			return nil, nil, err
		}
		// Its time begins with its last byte.
		until := p.uploaded()
		if !stop() {
			return nil, nil, ctx.Err()
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(p.life, until)
		defer cancel()
		c.until(ctx, time.Time{})
		guard(ctx)
	}
	c.limit.N = headMost + bodyMost
	limit := c.limit.N
	defer func() {
		m.flow.receive(int(limit-c.limit.N), err == nil)
		if err != nil {
			err = fmt.Errorf("after %d bytes of an answer: %w", limit-c.limit.N, err)
		}
	}()
	for { // interim answers come before the one that counts
		if response, err = http.ReadResponse(c.reader, &http.Request{Method: m.method}); err != nil {
			return nil, nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	if p == nil || response.StatusCode != http.StatusOK {
		if body, err = io.ReadAll(io.LimitReader(response.Body, bodyMost+1)); err != nil {
			return nil, nil, err
		}
		if len(body) > bodyMost {
			return nil, nil, fmt.Errorf("the answer's body is over %d bytes", bodyMost)
		}
	} else {
		c.limit.N, limit = math.MaxInt64, math.MaxInt64 // what is kept bounds itself, however small its chunks
		lift := func() bool {                           // the time was for the first bytes
			if !stop() {
				return false
			}
			ctx = p.life
			guard(ctx)
			c.until(ctx, time.Now().Add(stallServer))
			return true
		}
		var s *stream
		if body, s, err = c.gather(ctx, response, p, lift); s != nil {
			if failed := <-s.done; failed != nil {
				err = failed // the client's failure, or what the client was told of the endpoint's
			}
			body = nil
		}
		if err != nil {
			return nil, nil, err
		}
		c.until(ctx, time.Time{})
	}
	// After a change of protocols the connection speaks no HTTP any more.
	keep = !response.Close && c.reader.Buffered() == 0 && response.StatusCode != http.StatusSwitchingProtocols
	return response, body, nil
}

// gather reads the body of an answer: all of it, or, if it is too long to be kept or neither has a length nor ends
// soon, as much as is handed on with the beginning of a stream. Lift ends the request's deadline for that.
func (c *conn) gather(ctx context.Context, response *http.Response, p *passage, lift func() bool) (kept []byte, s *stream, err error) {
	rest := &endpointBody{c, p.life, response.Body}
	begin := func(more io.ReadCloser) {
		s = &stream{length: response.ContentLength, more: more, done: make(chan error, 1)}
		p.answer(response, kept, s)
	}
	if response.ContentLength > bodyMost {
		if !lift() {
			return nil, nil, ctx.Err()
		}
		begin(io.NopCloser(rest))
		return nil, s, nil
	}
	if response.ContentLength >= 0 {
		kept, err = io.ReadAll(response.Body)
		return kept, nil, err
	}
	// The wait may end amid a read, which a body's reader does not survive: what comes of that read goes on through
	// a pipe.
	var out *io.PipeWriter
	c.waited = func() bool {
		if ctx.Err() != nil || !lift() {
			return false
		}
		var in *io.PipeReader
		in, out = io.Pipe()
		begin(in)
		return true
	}
	c.until(ctx, time.Now().Add(keepFor))
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	for body := io.Reader(response.Body); ; {
		n, err := body.Read(buffer[:])
		if s == nil {
			kept = append(kept, buffer[:n]...)
		} else {
			body = rest
			if _, failed := out.Write(buffer[:n]); failed != nil {
				return kept, s, nil // the client's end tells why
			}
		}
		if err != nil || s == nil && len(kept) >= bodyMost {
			c.waited = nil // before anyone else reads here
		}
		switch {
		case err == io.EOF:
			if out != nil {
				out.Close()
			}
			return kept, s, nil
		case err != nil:
			if out != nil {
				out.CloseWithError(err)
			}
			return kept, s, err
		case s == nil && len(kept) >= bodyMost:
			if !lift() {
				return nil, nil, ctx.Err()
			}
			begin(io.NopCloser(rest))
			return kept, s, nil
		}
	}
}

// patient reads from a connection. A wait that ends may not be the end of the read.
type patient struct{ *conn }

func (r patient) Read(p []byte) (int, error) {
	for {
		n, err := r.Conn.Read(p)
		waited := r.waited
		if n > 0 || waited == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if r.waited = nil; !waited() {
			return n, err
		}
	}
}

// pass writes a request whose body still comes from the client. It never ran if this fails: its last byte was not
// written.
func (m *message) pass(c *conn, p *passage) error {
	request := m.request(p.life)
	request.ContentLength = m.rest.length
	// Without the reader's own WriteTo, which would take a buffer for each request.
	request.Body = io.NopCloser(struct{ io.Reader }{io.MultiReader(bytes.NewReader(m.body), rest{m.rest})})
	err := request.Write(progress{c, p.life})
	if m.rest.err != nil {
		return m.rest.err
	}
	if err != nil {
		return &unsentError{err}
	}
	return nil
}

// request is the message as net/http writes it, with the time that this attempt has left and without a body.
func (m *message) request(ctx context.Context) *http.Request {
	request := &http.Request{Method: m.method, URL: m.url, Host: m.host, Header: http.Header{}}
	endToEnd(request.Header, m.header)
	if until, ok := ctx.Deadline(); ok {
		left := max(0, time.Until(until).Milliseconds())
		request.Header.Set("X-Time-Left-Ms", strconv.FormatInt(left, 10))
	}
	return request
}

// encode writes the request with the time that this attempt has left.
func (m *message) encode(ctx context.Context) ([]byte, error) {
	request := m.request(ctx)
	if len(m.body) > 0 {
		request.ContentLength = int64(len(m.body))
		request.Body = io.NopCloser(bytes.NewReader(m.body))
	}
	var data bytes.Buffer
	if err := request.Write(&data); err != nil {
		return nil, err
	}
	return data.Bytes(), nil
}

// hopByHop headers concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// endToEnd copies the headers that are to be passed on.
func endToEnd(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHop, name) {
			to[name] = values
		}
	}
}
