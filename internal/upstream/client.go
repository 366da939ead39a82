package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/controltraffic"
)

// Options configures a Client.
type Options struct {
	DialTimeout      time.Duration
	KeepaliveTimeout time.Duration // after which an endpoint may close an idle connection
	LoadReportFields []string      // names of a load report's values, in the order of Result.LoadReport; empty if there are no reports
	MaxConnections   int           // of open connections; SetLimits changes it
}

// Client sends requests to endpoints. Its methods may be called from any goroutine; the exported fields must be set before the
// first call.
//
// It does not use http.Transport, which resends a request by itself if an idle connection turns out to be closed and the request
// seems safe to repeat. Each resend would be an attempt that the balancer did not decide on.
type Client struct {
	pool

	Dialer           net.Dialer
	Network          Network                 // replaces sockets; nil outside the lab
	LoadProbeTraffic *controltraffic.Counter // counts load probes; may be nil

	loadReportFields []string
}

// NewClient returns a client that has no connections yet.
func NewClient(options Options) *Client {
	return &Client{
		pool:             newPool(options.MaxConnections, options.KeepaliveTimeout),
		Dialer:           net.Dialer{Timeout: options.DialTimeout},
		loadReportFields: options.LoadReportFields,
	}
}

// Result is the outcome of an attempt or a load probe.
type Result struct {
	Status          balancer.Status
	Header          http.Header   // of a response with status code 200, like Body; else nil
	Body            []byte        // nil if the response was streamed
	LoadReport      []float32     // in the order of Options.LoadReportFields, NaN for a missing value; nil if there is no report
	SentAt          time.Time     // just before the first write; zero if there was no connection
	Latency         time.Duration // from the first write to the end of the exchange, without dialing
	ClientErrorCode int           // status code of the response to a client whose request is at fault; 0 if it is not
	Err             error         // why there is no complete response, for the log; nil if there is one
}

// transport opens connections and exchanges requests and responses on them.
type transport interface {
	dial(ctx context.Context, target *Target) (*connection, error)
	// exchange sends a request and reads its response, or forwards a response that is too long to be buffered. At the end it
	// returns the connection to the pool. If the error is a *notSentError, the request never ran.
	exchange(ctx context.Context, conn *connection, request *Request, forwarding *Forwarding) (*http.Response, []byte, error)
}

func (c *Client) transport() transport {
	if c.Network != nil {
		return simulatedTransport{c}
	}
	return socketTransport{c}
}

// Attempt sends a request once and waits for the end of its response. The forwarding may be nil if the request has no Upload;
// then a response that is too long to be buffered is an error.
//
// The status says that the request never ran only if its last byte was not written or if the endpoint's response says so. In
// all other cases the request may have run.
func (c *Client) Attempt(ctx context.Context, target *Target, request *Request, forwarding *Forwarding) Result {
	startCtx, cancel := request.startContext(ctx, forwarding)
	defer cancel()
	conn, err := c.connect(startCtx, target, request.traffic)
	if err != nil {
		return Result{Status: notSentStatus(startCtx, err), Err: forwarding.explainNotSent(err)}
	}
	start := time.Now()
	response, body, err := c.transport().exchange(ctx, conn, request, forwarding)
	result := Result{SentAt: start, Latency: time.Since(start), Err: err}
	if err != nil {
		result.Status, result.ClientErrorCode = statusOfError(ctx, forwarding, err)
		return result
	}
	result.LoadReport = c.parseLoadReport(response.Header.Get(loadReportHeader))
	result.Status, result.ClientErrorCode = statusOfResponse(response)
	if result.Status == balancer.OK {
		result.Header, result.Body = response.Header, body
	}
	return result
}

// connect returns the most recently used idle connection to the target, or opens one. It counts a dial in traffic.
func (c *Client) connect(ctx context.Context, target *Target, traffic *controltraffic.Counter) (*connection, error) {
	conn, err := c.takeIdle(target)
	if conn != nil || err != nil {
		return conn, err
	}
	conn, err = c.transport().dial(ctx, target)
	traffic.AddDial(err)
	if err != nil {
		c.cancelOpen()
		return nil, err
	}
	return conn, nil
}

// statusOfError returns the status of an exchange without a complete response, and the status code of the response to the
// client if the client caused the error.
func statusOfError(ctx context.Context, forwarding *Forwarding, err error) (status balancer.Status, clientErrorCode int) {
	var clientErr *ClientError
	var notSent *notSentError
	switch {
	case errors.As(err, &clientErr):
		// The error says nothing about the endpoint, and no client is left to retry for.
		return balancer.Cancelled, clientErr.StatusCode
	case errors.As(err, &notSent):
		return notSentStatus(ctx, notSent.error), 0
	case errors.Is(err, ErrDeadlineExceeded):
		return balancer.Timeout, 0
	case isCanceled(ctx, forwarding):
		return balancer.Cancelled, 0
	default:
		return balancer.Reset, 0 // a broken, incomplete or malformed response
	}
}

// isCanceled reports whether the caller has canceled an attempt. That the deadline of ctx has passed is no sign of it: a response that
// is too long to be buffered may outlast the deadline.
func isCanceled(ctx context.Context, forwarding *Forwarding) bool {
	if forwarding != nil {
		ctx = forwarding.StreamContext
	}
	return errors.Is(ctx.Err(), context.Canceled)
}

// statusOfResponse returns the status of an exchange with a complete response, and the status code of the response to the
// client if the endpoint says that the client's request is at fault.
func statusOfResponse(response *http.Response) (status balancer.Status, clientErrorCode int) {
	switch code := response.StatusCode; code {
	case http.StatusOK:
		return balancer.OK, 0
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if response.Header.Get(unprocessedHeader) == "1" {
			return balancer.Rejected, 0
		}
	case http.StatusBadRequest, http.StatusNotFound:
		// Every endpoint would respond like this, so it says nothing about this endpoint's health. If it counted as an error,
		// the requests of one faulty client could have all endpoints ejected.
		return balancer.Cancelled, code
	}
	return balancer.Error, 0
}

// notSentStatus returns the status of a request that was not completely written. ConnectFailed counts against the endpoint;
// NotSent means that the sidecar itself did not send the request.
func notSentStatus(ctx context.Context, err error) balancer.Status {
	if ctx.Err() != nil || errors.Is(err, ErrTargetRetired) || errors.Is(err, ErrNoFreeConnection) || errors.Is(err, ErrRequestOver) ||
		errors.Is(err, ErrSendTooLate) || isLocalFault(err) {
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}
