package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bramblestand/internal/lab"
)

// Times of an endpoint.
const (
	maxServiceTime = 25 * time.Millisecond
	maxBreakDelay  = 400 * time.Millisecond // before a connection is broken off without a response
)

// longResponse is the size in bytes of a response that is forwarded as it comes.
const longResponse = 300 << 10

// endpointMode is how an endpoint treats requests.
type endpointMode int32

const (
	endpointServes  endpointMode = iota
	endpointHangs                // reads requests, and stays silent
	endpointBreaks               // breaks connections off
	endpointStopped              // after the run
)

// endpoint is a fake endpoint.
type endpoint struct {
	name   string
	ledger *ledger
	mode   atomic.Int32
	server *http.Server
	port   net.Listener
	// unusableSince is when it was first known to drain, or to be banned; Unix nanoseconds, 0 for never.
	unusableSince atomic.Int64
}

func newEndpoint(name string, l *ledger) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{name: name, ledger: l, port: listener}
	e.server = &http.Server{Handler: e}
	go e.server.Serve(listener)
	return e, nil
}

// close stops the endpoint at once.
func (e *endpoint) close() {
	e.mode.Store(int32(endpointStopped))
	e.server.Close()
}

// instance returns the endpoint's entry in discovery's list.
func (e *endpoint) instance(health string) lab.Instance {
	return lab.Instance{Name: e.name, Address: e.port.Addr().String(), Zone: "a", MachineType: "m", Health: health, Weight: 1}
}

// markUnusable notes that the sidecar knows by now that nothing may be sent to the endpoint, after the grace.
func (e *endpoint) markUnusable() { e.unusableSince.CompareAndSwap(0, time.Now().UnixNano()) }

// ServeHTTP answers a load probe or a request.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health/live":
		return
	case "/stats":
		io.WriteString(w, "failed_ps=0,pending=1")
		return
	}
	id := r.Header.Get("X-Correlation-Id")
	a, isKnown := e.ledger.arrive(id, e.name)
	if !isKnown {
		http.Error(w, "no client sent this id", http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.ledger.arriveWhole(a)
	switch endpointMode(e.mode.Load()) {
	case endpointHangs:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case endpointBreaks:
		time.Sleep(rand.N(maxBreakDelay))
		if rand.N(2) == 0 {
			panic(http.ErrAbortHandler)
		}
		e.ledger.breakOff(id)
		w.Header().Set("Content-Length", strconv.Itoa(longResponse))
		io.WriteString(w, responseBody(id, longResponse/2))
		panic(http.ErrAbortHandler)
	}
	time.Sleep(rand.N(maxServiceTime))
	size := 0
	fmt.Sscan(r.URL.Query().Get("size"), &size)
	body := responseBody(id, size)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(w, body)
}

// responseBody is the body for a request, of size bytes at least.
func responseBody(id string, size int) string {
	line := "ok:" + id + "\n"
	return strings.Repeat(line, max(1, (size+len(line)-1)/len(line)))
}
