package lab

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Host is one entry of discovery's list, as the protocol gives it.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

type registryAnswer struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Discovery is a stand-in discovery agent: the whole list at
// GET /registry/instances, and watches by ?after=SEQ&wait_ms=MS. Each caller is
// told to dial the servers by the loopback address it called. It can go
// silent (down) and can hold each change for a random time up to a lag, so
// that changes may also be told out of order.
type Discovery struct {
	listener *Faults // nil where requests come by ServeHTTP alone
	http     *http.Server
	random   *rand.Rand
	borne    borne

	mu      sync.Mutex
	seq     int64
	hosts   map[string]Host
	changed map[string]int64 // the seq at which each host last changed
	order   []string
	down    int // faults that make it silent
	lags    []time.Duration
	untold  []func() // to call when the agent answers again
	wake    bell     // rung on every change
}

// NewDiscovery serves on a listener of the network's.
func NewDiscovery(seed uint64, listener *Faults) *Discovery {
	d := NewDiscoveryHandler(seed)
	d.listener, d.http = listener, &http.Server{Handler: d, ReadHeaderTimeout: 5 * time.Second}
	go d.http.Serve(listener)
	return d
}

// NewDiscoveryHandler makes an agent without a socket: requests come by ServeHTTP.
func NewDiscoveryHandler(seed uint64) *Discovery {
	return &Discovery{random: rand.New(rand.NewPCG(seed, 0xd15c)),
		hosts: map[string]Host{}, changed: map[string]int64{}, wake: newBell(), seq: 1}
}

// Address is where the agent listens by 127.0.0.1, host:port.
func (d *Discovery) Address() string { return d.listener.At("127.0.0.1") }

// Close stops the agent at once.
func (d *Discovery) Close() { d.http.Close() }

// Set puts a host's entry in the list, now or, under lag, a little later;
// told, where not nil, is called once the agent can tell it (not while down).
func (d *Discovery) Set(h Host, told func()) {
	d.mu.Lock()
	var wait time.Duration
	for _, lag := range d.lags {
		wait += time.Duration(d.random.Int64N(int64(lag)))
	}
	d.mu.Unlock()
	if wait <= 0 {
		d.apply(h, told)
		return
	}
	time.AfterFunc(wait, func() { d.apply(h, told) })
}

func (d *Discovery) apply(h Host, told func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if told != nil && d.down > 0 {
		d.untold = append(d.untold, told)
	} else if told != nil {
		defer told()
	}
	d.seq++
	if _, ok := d.hosts[h.Host]; !ok {
		d.order = append(d.order, h.Host)
	}
	d.hosts[h.Host], d.changed[h.Host] = h, d.seq
	d.wake.ring()
}

// SetDown makes the agent silent, or ends one such fault; it answers again once none is left.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if down {
		d.down++
	} else {
		d.down--
	}
	if d.down == 0 {
		for _, told := range d.untold {
			defer told()
		}
		d.untold = nil
	}
	d.wake.ring()
}

// SetLag holds each later change for up to this long, or ends one such fault; several add up.
func (d *Discovery) SetLag(lag time.Duration, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on && lag > 0 {
		d.lags = append(d.lags, lag)
	} else if at := slices.Index(d.lags, lag); at >= 0 {
		d.lags = slices.Delete(d.lags, at, at+1)
	}
}

// ServeHTTP answers a call for the list or a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	d.borne.calls.Add(1)
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(waitMs, 60000))*time.Millisecond)
	defer cancel()
	for {
		d.mu.Lock()
		down, seq, wake := d.down > 0, d.seq, d.wake.heard()
		d.mu.Unlock()
		if !down && (seq > after || ctx.Err() != nil) {
			break
		}
		select {
		case <-wake:
		case <-ctx.Done():
			if down {
				<-r.Context().Done() // silent while down, until the caller leaves
				return
			}
		}
	}
	d.mu.Lock()
	answer := registryAnswer{Seq: d.seq, Whole: after == 0} // no after, or after=0
	mine := net.IPv4(127, 0, 0, 1).String()                 // the caller's own address of every stand-in
	if called, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr); ok {
		mine = called.IP.String()
	}
	for _, name := range d.order {
		if answer.Whole && d.hosts[name].Health != "Gone" || !answer.Whole && d.changed[name] > after {
			h := d.hosts[name]
			if _, port, err := net.SplitHostPort(h.Dial); err == nil {
				h.Dial = net.JoinHostPort(mine, port)
			}
			answer.Hosts = append(answer.Hosts, h)
		}
	}
	d.mu.Unlock()
	if answer.Hosts == nil {
		answer.Hosts = []Host{}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}
