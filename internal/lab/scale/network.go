package scale

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bramblestand/internal/datagram"
	"bramblestand/internal/lab"
	"bramblestand/internal/upstream"
)

// counter is the index of a value in counters.
type counter int

const (
	probes              counter = iota // load probes sent
	probeConns                         // connections opened for a load probe
	attempts                           // attempts of calls sent
	attemptConns                       // connections opened for an attempt
	failedDials                        // connections that could not be established
	undelivered                        // load probes and attempts that reached no server
	listCalls                          // calls of discovery
	listBytes                          // response bodies of discovery
	gossipSent                         // gossip datagrams, counted by the sender
	gossipSentBytes                    // their payload
	gossipReceived                     // counted by each receiver
	gossipReceivedBytes                // payload
	viewSent                           // datagrams of the membership view, likewise
	viewSentBytes
	viewReceived
	viewReceivedBytes
	counterCount
)

// counterNames are the names of counters in results.
var counterNames = [counterCount]string{"probes", "probe_conns", "attempts", "attempt_conns", "dead_dials", "unheard", "lists", "list_bytes",
	"news_sent", "news_sent_bytes", "news_borne", "news_borne_bytes", "view_sent", "view_sent_bytes", "view_borne", "view_borne_bytes"}

// counters holds the counters of one machine.
type counters [counterCount]atomic.Int64

// server is a simulated pin server.
type server struct {
	*lab.ServerModel
	number      int
	zone        int
	incarnation atomic.Int64 // changes with each start, which resets connections
	down        atomic.Bool  // the process is stopped, connections are refused
	unreachable atomic.Bool  // the machine is lost, packets are dropped
	received    counters     // load probes, attempts and connections
}

// network is the simulated network between sidecars, servers and discovery. It delays messages, and drops them for lost
// machines and between partitioned regions.
type network struct {
	spec    *Spec
	servers []*server
	agents  []*discoveryAgent // one per region

	partitioned atomic.Bool // the regions are cut off from each other

	// Tests set these to inject faults; otherwise they are nil.
	wrapRoundTrip func(roundTripFunc) roundTripFunc
	wrapDiscovery func(sidecar int, agent http.Handler) http.Handler

	sockets       map[netip.AddrPort]*datagramSocket
	socketsByZone [][]*datagramSocket // by zone of the sidecar
}

// discoveryAgent is the discovery agent of one region.
type discoveryAgent struct {
	zone     int
	handlers []*lab.FakeDiscovery // one for all servers, or one per service
	received counters             // calls and bytes of lists
}

// firstPort is the port of the first server. Discovery gives each caller a different address for a server, so only the port
// identifies the server.
const firstPort = 10000

// serverAt returns the server with the port of the address, or nil.
func (n *network) serverAt(address string) *server {
	_, port, _ := strings.Cut(address, ":")
	number, err := strconv.Atoi(port)
	if number -= firstPort; err != nil || number < 0 || number >= len(n.servers) {
		return nil
	}
	return n.servers[number]
}

// isPartitioned reports whether two zones cannot reach each other.
func (n *network) isPartitioned(a, b int) bool {
	return n.partitioned.Load() && n.spec.regionOf(a) != n.spec.regionOf(b)
}

// client is the network as one sidecar uses it.
type client struct {
	*network
	zone     int
	counters *counters
}

var (
	errRefused = errors.New("connection refused")
	errReset   = errors.New("connection reset")
)

// Dial opens a connection to the server at the address. If the server is unreachable, it fails when ctx ends.
func (c *client) Dial(ctx context.Context, address string) (upstream.SimulatedConnection, error) {
	s := c.serverAt(address)
	if s == nil {
		return nil, errRefused
	}
	if s.unreachable.Load() || c.isPartitioned(c.zone, s.zone) {
		<-ctx.Done()
		c.counters[failedDials].Add(1)
		return nil, ctx.Err()
	}
	if !wait(ctx, 2*c.spec.delay(c.zone, s.zone)) {
		c.counters[failedDials].Add(1)
		return nil, ctx.Err()
	}
	if s.down.Load() {
		c.counters[failedDials].Add(1)
		return nil, errRefused
	}
	return &connection{client: c, server: s, incarnation: s.incarnation.Load(), isNew: true}, nil
}

// wait sleeps for a duration. It returns false if ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	if ctx.Done() == nil {
		time.Sleep(d)
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// connection is a simulated connection of a sidecar to a server.
type connection struct {
	*client
	server      *server
	incarnation int64 // of the server when it was opened
	isNew       bool  // no request was sent on it yet
	closed      atomic.Bool
}

// IsOpen reports whether neither side closed the connection.
func (c *connection) IsOpen() bool {
	return !c.closed.Load() && c.incarnation == c.server.incarnation.Load() && !c.server.down.Load()
}

// Close closes the connection.
func (c *connection) Close() { c.closed.Store(true) }

// Do sends a request and returns the response. An empty id marks a load probe.
func (c *connection) Do(ctx context.Context, path, id string) (int, http.Header, []byte, error) {
	requestCounter, connCounter := attempts, attemptConns
	if id == "" {
		requestCounter, connCounter = probes, probeConns
	}
	c.counters[requestCounter].Add(1)
	if c.isNew {
		c.isNew = false
		c.counters[connCounter].Add(1)
		c.server.received[connCounter].Add(1)
	}
	if c.wrapRoundTrip != nil {
		return c.wrapRoundTrip(c.roundTrip)(ctx, requestCounter, id)
	}
	return c.roundTrip(ctx, requestCounter, id)
}

// roundTripFunc sends a request to a server and returns the response. requestCounter is probes or attempts.
type roundTripFunc func(ctx context.Context, requestCounter counter, id string) (int, http.Header, []byte, error)

// roundTrip simulates the network and the server for Do.
func (c *connection) roundTrip(ctx context.Context, requestCounter counter, id string) (int, http.Header, []byte, error) {
	s := c.server
	awaitCancel := func() (int, http.Header, []byte, error) {
		<-ctx.Done()
		return 0, nil, nil, ctx.Err()
	}
	countUndelivered := func() { c.counters[undelivered].Add(1) }
	if s.unreachable.Load() || c.isPartitioned(c.zone, s.zone) {
		countUndelivered()
		return awaitCancel()
	}
	delay := c.spec.delay(c.zone, s.zone)
	if !wait(ctx, delay) {
		countUndelivered()
		return 0, nil, nil, ctx.Err()
	}
	if c.incarnation != s.incarnation.Load() || s.down.Load() {
		countUndelivered()
		return 0, nil, nil, errReset
	}
	s.received[requestCounter].Add(1)
	var code int
	var header http.Header
	var body []byte
	if requestCounter == probes {
		code, body = http.StatusOK, []byte(s.LoadReport())
	} else {
		verdict, report := s.Run(ctx, func() {})
		switch verdict {
		case lab.VerdictDisconnected:
			return 0, nil, nil, ctx.Err()
		case lab.VerdictRejected:
			code, header = http.StatusServiceUnavailable, http.Header{"X-Unprocessed": {"1"}}
		case lab.VerdictFailed:
			code, header = http.StatusInternalServerError, http.Header{"X-Backend-Load": {report}}
		default:
			code, header = http.StatusOK, http.Header{"X-Backend-Load": {report}}
			body = []byte("ok:" + id)
		}
	}
	if c.isPartitioned(c.zone, s.zone) || s.unreachable.Load() {
		return awaitCancel()
	}
	if c.incarnation != s.incarnation.Load() {
		return 0, nil, nil, errReset
	}
	if !wait(ctx, delay) {
		return 0, nil, nil, ctx.Err()
	}
	return code, header, body, nil
}

// discoveryTransport is the HTTP transport of a sidecar's process to the discovery agent of its region.
type discoveryTransport struct {
	*client
	agent   *discoveryAgent
	handler http.Handler
}

// RoundTrip calls the handler with the delay of the network before and after.
func (c *discoveryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	c.counters[listCalls].Add(1)
	delay := c.spec.delay(c.zone, c.agent.zone)
	if !wait(ctx, delay) {
		return nil, ctx.Err()
	}
	c.agent.received[listCalls].Add(1)
	w := &responseRecorder{code: http.StatusOK, header: http.Header{}}
	c.handler.ServeHTTP(w, r)
	if !wait(ctx, delay) {
		return nil, ctx.Err()
	}
	n := int64(w.body.Len())
	c.counters[listBytes].Add(n)
	c.agent.received[listBytes].Add(n)
	return &http.Response{StatusCode: w.code, Status: http.StatusText(w.code), Header: w.header, Body: io.NopCloser(&w.body), Request: r}, nil
}

// responseRecorder is an http.ResponseWriter that keeps the response.
type responseRecorder struct {
	code   int
	header http.Header
	body   bytes.Buffer
}

// Header, WriteHeader and Write implement http.ResponseWriter.
func (w *responseRecorder) Header() http.Header         { return w.header }
func (w *responseRecorder) WriteHeader(code int)        { w.code = code }
func (w *responseRecorder) Write(p []byte) (int, error) { return w.body.Write(p) }

// datagramSocket is the simulated datagram socket of one sidecar.
type datagramSocket struct {
	zone      int
	address   netip.AddrPort
	counters  *counters
	transport atomic.Pointer[datagram.Transport] // nil while the sidecar is stopped
}

// broadcastAddress is the address of all sockets. It stands for the relay that copies a datagram to all sidecars.
var broadcastAddress = netip.MustParseAddrPort("10.255.255.255:7946")

// socketAddress returns the address of sidecar i.
func socketAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)
}

// send delivers one datagram to a socket, or to all of them.
func (n *network) send(from *datagramSocket, data []byte, to netip.AddrPort) error {
	messages, payload := viewSent, viewSentBytes
	if datagram.Channel(data[0]) == datagram.ChannelGossip {
		messages, payload = gossipSent, gossipSentBytes
	}
	from.counters[messages].Add(1) // one datagram is sent even if the address is broadcastAddress
	from.counters[payload].Add(int64(len(data)))
	target := n.sockets[to]
	if to == broadcastAddress {
		for zone, all := range n.socketsByZone {
			n.deliver(from, zone, all, data)
		}
	} else if target != nil {
		n.deliver(from, target.zone, []*datagramSocket{target}, data)
	}
	return nil
}

// deliver delivers a datagram to sockets of one zone after the delay of the network, except to the sender itself.
func (n *network) deliver(from *datagramSocket, zone int, to []*datagramSocket, data []byte) {
	if n.isPartitioned(from.zone, zone) || len(to) == 0 {
		return
	}
	content := bytes.Clone(data)
	time.AfterFunc(n.spec.delay(from.zone, zone), func() {
		for _, s := range to {
			transport := s.transport.Load()
			if transport == nil || s == from {
				continue
			}
			messages, payload := viewReceived, viewReceivedBytes
			if datagram.Channel(content[0]) == datagram.ChannelGossip {
				messages, payload = gossipReceived, gossipReceivedBytes
			}
			s.counters[messages].Add(1)
			s.counters[payload].Add(int64(len(content)))
			transport.Deliver(from.address, bytes.Clone(content))
		}
	})
}
