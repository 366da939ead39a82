package lab

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// FakeServer is a fake endpoint that speaks the platform's protocol:
//
//   - It runs up to Capacity requests at once with Queue more waiting, and
//     rejects the rest with 503 and X-Unprocessed: 1.
//   - It responds with 200 and "ok:" followed by the request's id as body, or
//     with 500 at the error rate. It is slower while warming up.
//   - It sends its load report in X-Backend-Load and at /stats.
//   - It records the id of every request that it ran.
type FakeServer struct {
	Name string
	Zone string

	*ServerModel
	Listener    *FaultListener // injects the network faults between sidecars and this server
	http        *http.Server
	requests    *RequestTable
	mu          sync.Mutex
	drainedAt   time.Time // when discovery first reported Terminating; zero while ready
	drainFaults int       // active faults that drain the server
	received    callCounters
}

// NewFakeServer returns a server that serves on a listener of the network until Close. It records requests in the table.
func NewFakeServer(name, zone string, spec Server, requests *RequestTable, seed uint64, listener *FaultListener) *FakeServer {
	s := &FakeServer{Name: name, Zone: zone, ServerModel: NewServerModel(spec, seed), Listener: listener, requests: requests}
	s.http = &http.Server{Handler: s, IdleTimeout: 5 * time.Second, ReadHeaderTimeout: 5 * time.Second, ConnContext: withConn}
	go s.http.Serve(listener)
	return s
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// arrivalTime returns when a request's last bytes reached the server's machine, before any injected delay.
func arrivalTime(r *http.Request) time.Time {
	if c, ok := r.Context().Value(connKey{}).(*faultConn); ok {
		return time.Unix(0, c.receivedAt.Load())
	}
	return time.Now()
}

// Address returns the server's address on 127.0.0.1, host:port.
func (s *FakeServer) Address() string { return s.Listener.AddressFor("127.0.0.1") }

// Close stops the server at once.
func (s *FakeServer) Close() { s.http.Close() }

// countDrain counts the active faults that drain the server. It reports whether the server's state in discovery changes:
// when the first fault begins and when the last one ends.
func (s *FakeServer) countDrain(on bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainFaults += sign(on)
	return on && s.drainFaults == 1 || !on && s.drainFaults == 0
}

// SetDrained sets when discovery first reported that the server drains. The zero time means that the server has
// restarted: it is ready again and warms up.
func (s *FakeServer) SetDrained(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.IsZero() {
		s.Restart()
	}
	s.drainedAt = at
}

// ServeHTTP responds to one request.
func (s *FakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health/live":
		w.WriteHeader(http.StatusOK)
		return
	case "/stats":
		s.received.probes.Add(1)
		io.WriteString(w, s.LoadReport())
		return
	}
	s.received.calls.Add(1)
	id := r.Header.Get("X-Correlation-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	io.Copy(io.Discard, r.Body) // a server runs a request only after its last byte
	if !s.requests.IsKnown(id) {
		http.Error(w, "no client sent this id", http.StatusBadRequest)
		s.requests.RecordUnknownID(s.Name, id)
		return
	}
	s.mu.Lock()
	drained := s.drainedAt
	s.mu.Unlock()
	at := arrivalTime(r)
	if !drained.IsZero() && at.Sub(drained) > removalGrace {
		s.requests.RecordAfterDrain(s.Name, id, drained, at)
	}
	s.requests.RecordArrival(s.Name, id, at)
	verdict, report := s.Run(r.Context(), func() { s.requests.RecordRun(id, s.Name) })
	switch verdict {
	case VerdictRejected:
		writeRejection(w)
		return
	case VerdictDisconnected:
		return
	}
	w.Header().Set("X-Backend-Load", report)
	if verdict == VerdictFailed {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(3+len(id)))
	io.WriteString(w, "ok:"+id)
}

// writeRejection responds that the request was not run.
func writeRejection(w http.ResponseWriter) {
	w.Header().Set("X-Unprocessed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
