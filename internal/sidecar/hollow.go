package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"peatpost/balancer"
	"peatpost/internal/fleet"
	"peatpost/internal/fleet/link"
)

// A hollow sidecar is the loop, the balancer, the watch of discovery, the pool
// of connections and the part in the fleet as in Run, with what is below them
// left out: sockets and HTTP. It has no server, no operators and no kept state.
// It is made for many in one process, on a network in memory and a virtual clock.

// Network carries a hollow sidecar's requests to endpoints.
type Network interface {
	// Dial opens a connection to an endpoint, or fails as a dial does.
	Dial(ctx context.Context, address string) (Connection, error)
}

// Connection takes one request at a time.
type Connection interface {
	// Do sends a request (a probe is one without id) and gives the answer. An error is as a broken connection's;
	// where ctx ends first it is ctx's.
	Do(ctx context.Context, path, id string) (code int, header http.Header, body []byte, err error)
	Whole() bool // nothing has closed it
	Close()
}

// hollowConn is a Connection in the place of a socket; what only sockets have must not be called.
type hollowConn struct {
	net.Conn
	Connection
}

// Close ends the connection.
func (c hollowConn) Close() error { c.Connection.Close(); return nil }

func (u *upstream) hollowDial(ctx context.Context, t *target) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, u.dialer.Timeout)
	defer cancel()
	c, err := u.network.Dial(ctx, t.address)
	if err != nil {
		return nil, err
	}
	return hollowConn{Connection: c}, nil
}

// hollowExchange is exchange where no byte is written: the same checks before a send, and the same end of the connection.
func (u *upstream) hollowExchange(ctx context.Context, c *conn, m *message, p *passage) (response *http.Response, body []byte, err error) {
	keep := false
	defer func() {
		if err != nil && over(ctx) {
			err = fmt.Errorf("%w: %w", errLate, err)
		}
		u.release(c, keep)
	}()
	u.mu.Lock()
	closed := c.target.closed
	u.mu.Unlock()
	if closed {
		return nil, nil, &unsentError{errClosed}
	}
	if p != nil && !p.begin() || ctx.Err() != nil {
		return nil, nil, &unsentError{errUnwanted}
	}
	code, header, body, err := c.Conn.(hollowConn).Do(ctx, m.url.Path, m.header.Get("X-Correlation-Id"))
	if err != nil {
		return nil, nil, err
	}
	keep = true
	return &http.Response{StatusCode: code, Header: header}, body, nil
}

// Hollow is a sidecar without sockets.
type Hollow struct {
	l       *loop
	classes map[string]uint8
}

// Surroundings is what a hollow sidecar has in place of sockets.
type Surroundings struct {
	Network   Network
	Discovery http.RoundTripper
	// Link makes the path of datagrams, of the budget that the settings give it; nil where there are no others. It is
	// called once, if there is something to tell; who made the link delivers to it.
	Link func(o link.Options) *link.Link
	Log  *slog.Logger
}

// ParseConfig reads a configuration. Its errors name the key at fault.
func ParseConfig(data []byte) (*Config, error) { return parseConfig(data) }

// NewHollow makes a hollow sidecar, which begins with Run.
func NewHollow(ctx context.Context, cfg *Config, s Surroundings) (*Hollow, error) {
	l, err := newLoop(ctx, cfg, s.Log)
	if err != nil {
		return nil, err
	}
	l.up.network = s.Network
	l.disc.client.Transport = s.Discovery
	h := &Hollow{l: l, classes: map[string]uint8{}}
	for i, c := range cfg.Settings.Classes {
		h.classes[c.Name] = uint8(i)
	}
	o := l.fleetOptions()
	if s.Link == nil || !cfg.Fleet.On && (!o.Listen.IsValid() || o.News == nil) {
		return h, nil
	}
	o.Link = s.Link(link.Options{Budget: o.DatagramsPerS, Log: s.Log})
	f, err := fleet.Open(ctx, o)
	if err != nil {
		return nil, err
	}
	l.fleet.Store(f)
	return h, nil
}

// Run goes on until the context of NewHollow ends. The sidecar is then gone as a crashed one is; Leave before it says goodbye.
func (h *Hollow) Run() {
	h.l.run()
	if f := h.l.fleet.Load(); f != nil {
		f.Close(false)
	}
}

// Leave says goodbye to the others of the fleet.
func (h *Hollow) Leave() {
	if f := h.l.fleet.Swap(nil); f != nil {
		f.Close(true)
	}
}

// Code of a call whose client left before its answer.
const CodeLeft = 0

// Call makes one request of the class by its name, as an application does, and gives the code of the final answer;
// left is the time that the client allows. It ends with the client's ctx.
func (h *Hollow) Call(client context.Context, class, id string, left time.Duration) int {
	n, ok := h.classes[class]
	if !ok {
		panic("hollow: no class " + class)
	}
	l := h.l
	allowed := allowance(left.Milliseconds())
	m := &message{method: http.MethodGet, url: &url.URL{Path: "/" + class + "/" + id}, header: http.Header{"X-Correlation-Id": {id}}}
	r := &request{answer: make(chan answer, 1), message: m, left: allowed, client: client}
	in := balancer.Request{Class: n, Deadline: l.clock.now() + allowed}
	if !l.postFor(client, func(now balancer.Micros) { l.take(now, r, in) }) {
		return CodeLeft
	}
	select {
	case a := <-r.answer:
		return a.code
	case <-client.Done():
		l.post(func(now balancer.Micros) { l.gone(now, r) })
		return CodeLeft
	}
}

// SetBans has the endpoints of these names, and no others, out of use.
func (h *Hollow) SetBans(names []string) error {
	return h.l.urge(func(now balancer.Micros) { h.l.setBans(now, names) })
}

// State is what a hollow sidecar knows now.
type State struct {
	Seq     uint64   // of discovery's list
	Targets []string // addresses it may send to, in no order
	Told    bool     // discovery has answered
	Fleet   *fleet.Status
}

// State asks the loop.
func (h *Hollow) State() (State, error) {
	var s State
	err := h.l.urge(func(balancer.Micros) {
		if h.l.seq != nil {
			s.Seq = *h.l.seq
		}
		s.Told = h.l.answered
		for _, t := range h.l.targets {
			s.Targets = append(s.Targets, t.address)
		}
	})
	if f := h.l.fleet.Load(); f != nil && err == nil {
		if status, on := f.Status(true); on {
			s.Fleet = &status
		}
	}
	return s, err
}

// Listed says whether the sidecar serves: its list is not empty.
func (h *Hollow) Listed() bool { return h.l.listed.Load() }

// Effort is processor time of the module by the event that it handled, of the thread that did: no other process's, and
// none of the loop's around it.
type Effort struct {
	Events  [effortKinds]int64
	Elapsed [effortKinds]time.Duration
}

const (
	EffortRequest = iota
	EffortOutcome
	EffortTimer
	EffortProbed
	EffortMembers
	EffortTold
	effortKinds
)

// EffortNames are the kinds of event, in Effort's order.
var EffortNames = [effortKinds]string{"request", "outcome", "timer", "probed", "members", "told"}

// metered is a balancer whose events are timed. The loop's goroutine alone calls it.
type metered struct {
	decider
	Effort
}

func (m *metered) timed(kind int, do func()) {
	runtime.LockOSThread()
	from := threadTime()
	do()
	m.Elapsed[kind] += threadTime() - from
	m.Events[kind]++
	runtime.UnlockOSThread()
}

func threadTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

func (m *metered) Request(now balancer.Micros, in balancer.Request) {
	m.timed(EffortRequest, func() { m.decider.Request(now, in) })
}

func (m *metered) Outcome(now balancer.Micros, o balancer.Outcome) {
	m.timed(EffortOutcome, func() { m.decider.Outcome(now, o) })
}

func (m *metered) Timer(now balancer.Micros, token uint32) {
	m.timed(EffortTimer, func() { m.decider.Timer(now, token) })
}

func (m *metered) Probed(now balancer.Micros, endpoint uint32, status balancer.Status, latency balancer.Micros, load []float32) {
	m.timed(EffortProbed, func() { m.decider.Probed(now, endpoint, status, latency, load) })
}

func (m *metered) Members(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	m.timed(EffortMembers, func() { m.decider.Members(now, kind, entries) })
}

func (m *metered) Told(now balancer.Micros, data []byte) {
	m.timed(EffortTold, func() { m.decider.Told(now, data) })
}

// Effort tells what the module's events took, where Meter was called before Run.
func (h *Hollow) Effort() (e Effort, err error) {
	err = h.l.urge(func(balancer.Micros) {
		if m, ok := h.l.balancer.(*metered); ok {
			e = m.Effort
		}
	})
	return e, err
}

// Meter has the module's events timed from here on.
func (h *Hollow) Meter() { h.l.balancer = &metered{decider: h.l.balancer} }
