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

// kind is what a tally counts.
type kind int

const (
	probes         kind = iota // sent
	probeConns                 // opened for one
	attempts                   // of calls, sent
	attemptConns               // opened for one
	deadDials                  // connections that did not come up
	unheard                    // probes and attempts that no server bore
	lists                      // calls of discovery
	listBytes                  // bodies of its answers
	newsSent                   // datagrams, by those who send
	newsSentBytes              // payload
	newsBorne                  // by those who receive
	newsBorneBytes             // payload
	viewSent
	viewSentBytes
	viewBorne
	viewBorneBytes
	kinds
)

var kindNames = [kinds]string{"probes", "probe_conns", "attempts", "attempt_conns", "dead_dials", "unheard", "lists", "list_bytes",
	"news_sent", "news_sent_bytes", "news_borne", "news_borne_bytes", "view_sent", "view_sent_bytes", "view_borne", "view_borne_bytes"}

// tally counts one machine's part.
type tally [kinds]atomic.Int64

// server is a hollow pin server.
type server struct {
	*lab.ServerModel
	number int
	zone   int
	life   atomic.Int64 // moves with each start
	down   atomic.Bool  // no process: connections are refused
	silent atomic.Bool  // no machine: nothing answers
	borne  tally        // probes, attempts and connections
}

// network is what lies between all of them. Its faults are of machines, zones and regions.
type network struct {
	spec    *Spec
	servers []*server
	agents  []*agent // one a region

	apart atomic.Bool // the regions

	// Tests have them do wrong on purpose; else nil.
	through func(carrying) carrying
	answers func(sidecar int, agent http.Handler) http.Handler

	links map[netip.AddrPort]*station
	zones [][]*station // stations by zone
}

// agent is discovery's, of one region.
type agent struct {
	zone     int
	handlers []*lab.FakeDiscovery // one for all servers, or one a service
	borne    tally                // lists
}

// firstPort is the first server's: discovery tells each caller its own address of every server, so that the port alone
// tells one from the other.
const firstPort = 10000

func (n *network) at(address string) *server {
	_, port, _ := strings.Cut(address, ":")
	number, err := strconv.Atoi(port)
	if number -= firstPort; err != nil || number < 0 || number >= len(n.servers) {
		return nil
	}
	return n.servers[number]
}

// cut says whether nothing passes between two zones.
func (n *network) cut(a, b int) bool { return n.apart.Load() && n.spec.region(a) != n.spec.region(b) }

// client is one sidecar's side of the network.
type client struct {
	*network
	zone int
	sent *tally
}

var (
	errRefused = errors.New("connection refused")
	errReset   = errors.New("connection reset")
)

// Dial opens a connection to a server.
func (c *client) Dial(ctx context.Context, address string) (upstream.SimulatedConnection, error) {
	s := c.at(address)
	if s == nil {
		return nil, errRefused
	}
	if s.silent.Load() || c.cut(c.zone, s.zone) {
		<-ctx.Done()
		c.sent[deadDials].Add(1)
		return nil, ctx.Err()
	}
	if !wait(ctx, 2*c.spec.delay(c.zone, s.zone)) {
		c.sent[deadDials].Add(1)
		return nil, ctx.Err()
	}
	if s.down.Load() {
		c.sent[deadDials].Add(1)
		return nil, errRefused
	}
	return &connection{client: c, server: s, life: s.life.Load(), fresh: true}, nil
}

// wait lets a time pass, unless ctx ends first.
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

type connection struct {
	*client
	server *server
	life   int64
	fresh  bool
	closed atomic.Bool
}

// IsOpen says whether neither side closed the connection.
func (c *connection) IsOpen() bool {
	return !c.closed.Load() && c.life == c.server.life.Load() && !c.server.down.Load()
}

// Close closes it.
func (c *connection) Close() { c.closed.Store(true) }

// Do sends a request and brings the answer.
func (c *connection) Do(ctx context.Context, path, id string) (int, http.Header, []byte, error) {
	message, conns := attempts, attemptConns
	if id == "" {
		message, conns = probes, probeConns
	}
	c.sent[message].Add(1)
	if c.fresh {
		c.fresh = false
		c.sent[conns].Add(1)
		c.server.borne[conns].Add(1)
	}
	if c.through != nil {
		return c.through(c.carry)(ctx, message, id)
	}
	return c.carry(ctx, message, id)
}

// carrying brings a request to a server and its answer back.
type carrying func(ctx context.Context, message kind, id string) (int, http.Header, []byte, error)

// carry is the network's part of Do, and the server's.
func (c *connection) carry(ctx context.Context, message kind, id string) (int, http.Header, []byte, error) {
	s := c.server
	lost := func() (int, http.Header, []byte, error) {
		<-ctx.Done()
		return 0, nil, nil, ctx.Err()
	}
	unborne := func() { c.sent[unheard].Add(1) }
	if s.silent.Load() || c.cut(c.zone, s.zone) {
		unborne()
		return lost()
	}
	way := c.spec.delay(c.zone, s.zone)
	if !wait(ctx, way) {
		unborne()
		return 0, nil, nil, ctx.Err()
	}
	if c.life != s.life.Load() || s.down.Load() {
		unborne()
		return 0, nil, nil, errReset
	}
	s.borne[message].Add(1)
	var code int
	var header http.Header
	var body []byte
	if message == probes {
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
	if c.cut(c.zone, s.zone) || s.silent.Load() {
		return lost()
	}
	if c.life != s.life.Load() {
		return 0, nil, nil, errReset
	}
	if !wait(ctx, way) {
		return 0, nil, nil, ctx.Err()
	}
	return code, header, body, nil
}

// caller is a sidecar's process's way to discovery.
type caller struct {
	*client
	agent   *agent
	handler http.Handler
}

// RoundTrip calls the agent's own handler.
func (c *caller) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	c.sent[lists].Add(1)
	way := c.spec.delay(c.zone, c.agent.zone)
	if !wait(ctx, way) {
		return nil, ctx.Err()
	}
	c.agent.borne[lists].Add(1)
	w := &recorder{code: http.StatusOK, header: http.Header{}}
	c.handler.ServeHTTP(w, r)
	if !wait(ctx, way) {
		return nil, ctx.Err()
	}
	n := int64(w.body.Len())
	c.sent[listBytes].Add(n)
	c.agent.borne[listBytes].Add(n)
	return &http.Response{StatusCode: w.code, Status: http.StatusText(w.code), Header: w.header, Body: io.NopCloser(&w.body), Request: r}, nil
}

// recorder keeps an answer.
type recorder struct {
	code   int
	header http.Header
	body   bytes.Buffer
}

func (w *recorder) Header() http.Header         { return w.header }
func (w *recorder) WriteHeader(code int)        { w.code = code }
func (w *recorder) Write(p []byte) (int, error) { return w.body.Write(p) }

// station is one sidecar's place for datagrams.
type station struct {
	zone    int
	address netip.AddrPort
	sent    *tally
	link    atomic.Pointer[datagram.Transport] // nil while it does not run
}

// hub reaches all stations.
var hub = netip.MustParseAddrPort("10.255.255.255:7946")

func stationAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)
}

// send carries one datagram from a station.
func (n *network) send(from *station, data []byte, to netip.AddrPort) error {
	own, ownBytes := viewSent, viewSentBytes
	if datagram.Channel(data[0]) == datagram.ChannelGossip {
		own, ownBytes = newsSent, newsSentBytes
	}
	from.sent[own].Add(1) // to the hub too it is one
	from.sent[ownBytes].Add(int64(len(data)))
	one := n.links[to]
	if to == hub {
		for zone, all := range n.zones {
			n.carry(from, zone, all, data)
		}
	} else if one != nil {
		n.carry(from, one.zone, []*station{one}, data)
	}
	return nil
}

// carry brings a datagram to stations of one zone.
func (n *network) carry(from *station, zone int, to []*station, data []byte) {
	if n.cut(from.zone, zone) || len(to) == 0 {
		return
	}
	held := bytes.Clone(data)
	time.AfterFunc(n.spec.delay(from.zone, zone), func() {
		for _, s := range to {
			l := s.link.Load()
			if l == nil || s == from {
				continue
			}
			borne, borneBytes := viewBorne, viewBorneBytes
			if datagram.Channel(held[0]) == datagram.ChannelGossip {
				borne, borneBytes = newsBorne, newsBorneBytes
			}
			s.sent[borne].Add(1)
			s.sent[borneBytes].Add(int64(len(held)))
			l.Deliver(from.address, bytes.Clone(held))
		}
	})
}
