package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/controltraffic"
)

// Options configures a Client.
type Options struct {
	DialTimeout      time.Duration
	KeepaliveTimeout time.Duration // after which an endpoint may close an idle connection
	LoadReportFields []string      // names of a load report's figures, in the order of Result.LoadReport; none if there are no reports
	MaxConnections   int           // SetLimits changes it
}

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	return &Client{
		Dialer: net.Dialer{Timeout: options.DialTimeout},
		// An endpoint closes an idle connection when its time is over at the
		// latest, and what is written to it from then on is lost.
		maxIdleTime:      options.KeepaliveTimeout * 3 / 4,
		loadReportFields: options.LoadReportFields,
		maxOpen:          options.MaxConnections, maxIdle: options.MaxConnections, idle: map[*Target][]*connection{},
	}
}

// Client sends requests to endpoints. It does not use http.Transport, which
// by itself repeats what it finds safe to repeat on a dead idle connection:
// each such repetition would be an attempt that the balancer never decided.
type Client struct {
	Dialer           net.Dialer
	maxIdleTime      time.Duration           // idle connections are not used for longer
	loadReportFields []string                // of load reports
	Network          Network                 // in place of sockets and HTTP, in a hollow sidecar; else nil
	LoadProbeTraffic *controltraffic.Counter // counts them; nil where nobody is told

	mu      sync.Mutex
	open    int // connections, those being dialled included
	maxOpen int
	maxIdle int                       // of them, at most so many idle
	idle    map[*Target][]*connection // by endpoint, the latest used last
}

// Attempt sends a request once and tells what came of it. Its outcome claims
// that the request never ran only where the last byte was not written, or the
// endpoint says so; in doubt it may have run.
func (u *Client) Attempt(ctx context.Context, t *Target, m *Request, p *Forwarding) Result {
	c, err := u.connect(ctx, t)
	if m.traffic != nil && !errors.Is(err, ErrTargetRetired) && !errors.Is(err, ErrNoFreeConnection) && (c == nil || c.idleSince.IsZero()) {
		m.traffic.AddDial(err)
	}
	if err != nil {
		return Result{Status: notSentStatus(ctx, err), Err: err}
	}
	start := time.Now()
	exchange := u.exchange
	if u.Network != nil {
		exchange = u.exchangeSimulated
	}
	response, body, err := exchange(ctx, c, m, p)
	r := Result{Status: balancer.Error, Latency: time.Since(start), Err: err}
	var never *notSentError
	var client *ClientError
	switch {
	case errors.As(err, &client):
		// It says nothing of the endpoint, and there is nobody left to try for.
		r.Status, r.ClientErrorCode = balancer.Cancelled, client.StatusCode
	case errors.As(err, &never):
		r.Status = notSentStatus(ctx, never.error)
	case errors.Is(err, errDeadlineExceeded):
		r.Status = balancer.Timeout
	case err != nil && ctx.Err() != nil:
		r.Status = balancer.Cancelled
	case err != nil:
		r.Status = balancer.Reset // a broken, cut or malformed answer: the connection is of no more use
	default:
		r.LoadReport = u.parseLoadReport(response.Header.Get("X-Backend-Load"))
		switch code := response.StatusCode; {
		case code == http.StatusOK:
			r.Status, r.Header, r.Body = balancer.OK, response.Header, body
		case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
			response.Header.Get("X-Unprocessed") == "1":
			r.Status = balancer.Rejected
		case code == http.StatusBadRequest || code == http.StatusNotFound:
			// It would be the same everywhere, and says nothing of the endpoint's
			// health: told as an error, one bad client could have all ejected.
			r.Status, r.ClientErrorCode = balancer.Cancelled, code
		}
	}
	return r
}

// Result is what came of an attempt or a probe.
type Result struct {
	Status          balancer.Status
	Header          http.Header // of a whole answer 200, as is body
	Body            []byte
	LoadReport      []float32
	Latency         time.Duration // from the write to the end, without the time to connect
	ClientErrorCode int           // the code by which the endpoint found fault with the request itself, or 0
	Err             error         // why there is no whole answer, for the log
}

// notSentStatus is the outcome of a request that was not written: the endpoint's
// fault, unless the sidecar no longer wanted to send it.
func notSentStatus(ctx context.Context, err error) balancer.Status {
	if ctx.Err() != nil || errors.Is(err, ErrTargetRetired) || errors.Is(err, ErrNoFreeConnection) || errors.Is(err, ErrRequestOver) {
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// isPastDeadline says that an attempt's time is up, by the clock: the balancer's own timer
// for that instant may have called the attempt off already, but to be told of a
// cancellation in place of a time-out would hide the endpoint's silence from it.
func isPastDeadline(ctx context.Context) bool {
	until, ok := ctx.Deadline()
	return ok && !time.Now().Before(until)
}
