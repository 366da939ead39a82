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

// PinServer is a stand-in pin server after the platform's protocol: it runs
// up to Capacity requests at once with Queue more waiting, turns the rest
// away with 503 and X-Unprocessed: 1, answers 200 with "ok:" and the
// request's id as body (or 500 at the error rate), gives a load report in
// X-Backend-Load and at /stats, is slower while cold, and records every id
// that it ran.
type PinServer struct {
	Name string
	Zone string

	*Serving
	Faults  *Faults // of the network between sidecars and this server
	http    *http.Server
	ledger  *Ledger
	mu      sync.Mutex
	drained time.Time // when discovery first told Terminating; zero while not
	drains  int       // faults that drain it
	borne   borne
}

// NewPinServer serves on a listener of the network's.
func NewPinServer(name, zone string, spec Server, ledger *Ledger, seed uint64, listener *Faults) *PinServer {
	s := &PinServer{Name: name, Zone: zone, Serving: NewServing(spec, seed), Faults: listener, ledger: ledger}
	s.http = &http.Server{Handler: s, IdleTimeout: 5 * time.Second, ReadHeaderTimeout: 5 * time.Second, ConnContext: nameConn}
	go s.http.Serve(listener)
	return s
}

type connKey struct{}

// nameConn lets a handler find the connection that a request came by.
func nameConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// arrived is when a request's last bytes came to the server's machine, before any hold of the lab's.
func arrived(r *http.Request) time.Time {
	if c, ok := r.Context().Value(connKey{}).(*faultConn); ok {
		return time.Unix(0, c.got.Load())
	}
	return time.Now()
}

// Address is where the server listens by 127.0.0.1, host:port.
func (s *PinServer) Address() string { return s.Faults.At("127.0.0.1") }

// Close stops the server at once.
func (s *PinServer) Close() { s.http.Close() }

// drain counts faults that drain the server; it tells whether this one changes what discovery tells.
func (s *PinServer) drain(on bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains += sign(on)
	return on && s.drains == 1 || !on && s.drains == 0
}

// SetDrained marks when discovery first told that the server drains (zero:
// it serves again, started anew and cold).
func (s *PinServer) SetDrained(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.IsZero() {
		s.Restart()
	}
	s.drained = at
}

// ServeHTTP answers one request.
func (s *PinServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health/live":
		w.WriteHeader(http.StatusOK)
		return
	case "/stats":
		s.borne.probes.Add(1)
		io.WriteString(w, s.Report())
		return
	}
	s.borne.calls.Add(1)
	id := r.Header.Get("X-Correlation-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	io.Copy(io.Discard, r.Body) // a request starts on its last byte
	if !s.ledger.Known(id) {
		http.Error(w, "no client sent this id", http.StatusBadRequest)
		s.ledger.Strange(s.Name, id)
		return
	}
	s.mu.Lock()
	drained := s.drained
	s.mu.Unlock()
	at := arrived(r)
	if !drained.IsZero() && at.Sub(drained) > 1500*time.Millisecond {
		s.ledger.AfterDrain(s.Name, id, drained, at)
	}
	s.ledger.Came(s.Name, id, at)
	verdict, report := s.Run(r.Context(), func() { s.ledger.Ran(id, s.Name) })
	switch verdict {
	case TurnedAway:
		turnAway(w)
		return
	case Left:
		return
	}
	w.Header().Set("X-Backend-Load", report)
	if verdict == Erred {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(3+len(id)))
	io.WriteString(w, "ok:"+id)
}

func turnAway(w http.ResponseWriter) {
	w.Header().Set("X-Unprocessed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
