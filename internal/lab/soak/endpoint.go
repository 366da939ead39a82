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

// Times of an endpoint. Each is drawn between 0 and the maximum.
const (
	maxServiceTime = 25 * time.Millisecond
	maxBreakDelay  = 400 * time.Millisecond // until an endpoint that breaks connections off does so
)

// longResponseSize is the size in bytes of a response body that the sidecar streams, as it is larger than its buffer.
const longResponseSize = 300 << 10

// A slow response is written in pieces, without a length. It takes longer than the shortest deadline.
const (
	slowResponseSize  = 160 << 10
	slowPieces        = 8
	slowPieceInterval = 60 * time.Millisecond
)

// endpointMode is how an endpoint responds to requests.
type endpointMode int32

const (
	endpointServes  endpointMode = iota
	endpointHangs                // reads requests and never responds
	endpointBreaks               // closes connections without a response or in the middle of it
	endpointStopped              // closed after the run
)

// endpoint is a fake endpoint that records the requests it gets.
type endpoint struct {
	name     string
	recorder *recorder
	mode     atomic.Int32
	server   *http.Server
	listener net.Listener
	// unusableSince is when the sidecar could first know that the endpoint drains or is banned, in Unix nanoseconds; 0 for never.
	unusableSince atomic.Int64
}

func newEndpoint(name string, rec *recorder) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{name: name, recorder: rec, listener: listener}
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
	return lab.Instance{Name: e.name, Address: e.listener.Addr().String(), Zone: "a", MachineType: "m", Health: health, Weight: 1}
}

// markUnusable records that the sidecar can know by now that the endpoint drains or is banned, so that the grace begins.
func (e *endpoint) markUnusable() { e.unusableSince.CompareAndSwap(0, time.Now().UnixNano()) }

// ServeHTTP responds to a liveness check, a load probe or a request.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health/live":
		return
	case "/stats":
		io.WriteString(w, "failed_ps=0,pending=1")
		return
	}
	id := r.Header.Get("X-Correlation-Id")
	a, isKnown := e.recorder.recordArrival(id, e.name)
	if !isKnown {
		http.Error(w, "no client sent this id", http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.recorder.recordComplete(a)
	switch endpointMode(e.mode.Load()) {
	case endpointHangs:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case endpointBreaks:
		time.Sleep(rand.N(maxBreakDelay))
		if rand.N(2) == 0 {
			panic(http.ErrAbortHandler)
		}
		e.recorder.recordBreakOff(id)
		w.Header().Set("Content-Length", strconv.Itoa(longResponseSize))
		io.WriteString(w, responseBody(id, longResponseSize/2))
		panic(http.ErrAbortHandler)
	}
	time.Sleep(rand.N(maxServiceTime))
	size := 0
	fmt.Sscan(r.URL.Query().Get("size"), &size)
	body := responseBody(id, size)
	if r.URL.Query().Get("slow") != "" {
		writeSlowly(w, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(w, body)
}

// writeSlowly writes a body in pieces, with pauses between them.
func writeSlowly(w http.ResponseWriter, body string) {
	size := (len(body) + slowPieces - 1) / slowPieces
	for start := 0; start < len(body); start += size {
		if start > 0 {
			time.Sleep(slowPieceInterval)
		}
		io.WriteString(w, body[start:min(start+size, len(body))])
		http.NewResponseController(w).Flush()
	}
}

// responseBody returns the response body for a request: lines with the request's id, at least one, and at least size bytes in all.
func responseBody(id string, size int) string {
	line := "ok:" + id + "\n"
	return strings.Repeat(line, max(1, (size+len(line)-1)/len(line)))
}
