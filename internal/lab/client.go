package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// client generates the load of one sidecar. It stands for the application that the sidecar serves.
type client struct {
	index    int
	exp      *Experiment
	requests *RequestTable
	http     *http.Client
	sidecars *Sidecars
	lateness *lateness
}

func newClient(index int, exp *Experiment, requests *RequestTable, sidecars *Sidecars, late *lateness) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &client{index: index, exp: exp, requests: requests, sidecars: sidecars, lateness: late, http: &http.Client{Transport: transport}}
}

// run sends a request at each of the arrival times, open-loop: no request waits for an earlier response. It returns when
// every request has an outcome.
func (c *client) run(ctx context.Context, arrivals []time.Duration) {
	var wg sync.WaitGroup
	for i, at := range arrivals {
		if !c.requests.waitUntil(ctx, at) {
			break
		}
		c.lateness.record(c.lateness.arrivals, at)
		id := fmt.Sprintf("%02x%06x%08x", c.index, i, uint32(c.exp.Seed))
		order := float64(i%1000)/1000 < c.exp.Load.OrderShare
		if !c.sidecars.IsAccepting(c.index) {
			c.requests.recordUnsent(c.index) // the application is down while its sidecar is
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.send(id, order)
		}()
	}
	wg.Wait()
}

// send sends one request and records its outcome. An order is of the class that must never run twice.
func (c *client) send(id string, order bool) {
	deadline := c.exp.Load.Deadline.Duration
	method, class, body := http.MethodGet, "read", io.Reader(http.NoBody)
	if order {
		method, class, body = http.MethodPost, "order", strings.NewReader("order "+id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+c.sidecars.ListenAddress(c.index)+"/"+class+"/"+id, body)
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("X-Service-Class", class)
	r.Header.Set("X-Time-Left-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	sent := c.requests.recordSent(id, c.index, order)
	response, err := c.http.Do(r)
	if err != nil {
		c.requests.recordOutcome(id, c.failureOutcome(id, err, sent))
		return
	}
	answer, err := io.ReadAll(response.Body)
	response.Body.Close()
	switch {
	case err != nil:
		c.requests.recordOutcome(id, c.failureOutcome(id, err, sent))
	case response.StatusCode == http.StatusOK && string(answer) != "ok:"+id:
		c.requests.recordOutcome(id, Forged)
	case response.StatusCode == http.StatusOK && c.requests.Elapsed()-sent > deadline+latenessTolerance:
		c.requests.recordOutcome(id, Late)
	case response.StatusCode == http.StatusOK:
		c.requests.recordOutcome(id, Served)
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		c.requests.recordOutcome(id, Rejected)
	default:
		c.requests.recordOutcome(id, Failed)
	}
}

// failureOutcome returns the outcome of a request without a complete response: Unreached if the connection could not be
// opened, Cut if the sidecar was killed or paused since the request was sent, otherwise Lost.
func (c *client) failureOutcome(id string, err error, sent time.Duration) Outcome {
	if errors.Is(err, context.DeadlineExceeded) {
		c.requests.recordClientTimeout(id)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unreached
	}
	if c.sidecars.WasDown(c.index, sent, c.requests.Elapsed()) {
		return Cut
	}
	return Lost
}
