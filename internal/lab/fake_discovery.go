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

// Instance is one entry of the endpoint list, in the protocol's JSON.
type Instance struct {
	Name            string  `json:"host"`
	Address         string  `json:"dial"`
	Zone            string  `json:"site"`
	MachineType     string  `json:"class"`
	Pod             int     `json:"block"`
	Health          string  `json:"health"`
	Weight          float64 `json:"share"`
	StartedAtMillis int64   `json:"born_ms"`
}

type listResponse struct {
	Version   int64      `json:"seq"`
	IsFull    bool       `json:"whole"`
	Instances []Instance `json:"hosts"`
}

// FakeDiscovery is a fake discovery service: the full list at
// GET /registry/instances, and watches by ?after=SEQ&wait_ms=MS. Each caller
// gets the servers' addresses on the loopback address that it called. Faults
// make it unresponsive (down) or delay each change by a random time up to a
// lag, so that changes may be published out of order.
type FakeDiscovery struct {
	listener *FaultListener // nil where requests come by ServeHTTP alone
	http     *http.Server
	random   *rand.Rand
	received callCounters

	mu          sync.Mutex
	version     int64
	instances   map[string]Instance
	changedAt   map[string]int64 // the version in which each instance last changed
	order       []string
	downFaults  int // faults that make it unresponsive
	lags        []time.Duration
	unannounced []func() // to call when it responds again
	changes     notifier // notified on every change
}

// NewFakeDiscovery serves on a listener of the network until Close.
func NewFakeDiscovery(seed uint64, listener *FaultListener) *FakeDiscovery {
	d := NewFakeDiscoveryHandler(seed)
	d.listener, d.http = listener, &http.Server{Handler: d, ReadHeaderTimeout: 5 * time.Second}
	go d.http.Serve(listener)
	return d
}

// NewFakeDiscoveryHandler makes a service without a socket, whose caller calls ServeHTTP.
func NewFakeDiscoveryHandler(seed uint64) *FakeDiscovery {
	return &FakeDiscovery{random: rand.New(rand.NewPCG(seed, 0xd15c)),
		instances: map[string]Instance{}, changedAt: map[string]int64{}, changes: newNotifier(), version: 1}
}

// Address is the service's address on 127.0.0.1, host:port.
func (d *FakeDiscovery) Address() string { return d.listener.AddressFor("127.0.0.1") }

// Close stops the service at once.
func (d *FakeDiscovery) Close() { d.http.Close() }

// Set changes an instance in the list, now or, under lag, a little later;
// announced, unless nil, is called once callers can get the change (not while down).
func (d *FakeDiscovery) Set(h Instance, told func()) {
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

func (d *FakeDiscovery) apply(h Instance, told func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if told != nil && d.downFaults > 0 {
		d.unannounced = append(d.unannounced, told)
	} else if told != nil {
		defer told()
	}
	d.version++
	if _, ok := d.instances[h.Name]; !ok {
		d.order = append(d.order, h.Name)
	}
	d.instances[h.Name], d.changedAt[h.Name] = h, d.version
	d.changes.notifyAll()
}

// SetDown begins or ends a fault that makes the service unresponsive. It responds again once all have ended.
func (d *FakeDiscovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if down {
		d.downFaults++
	} else {
		d.downFaults--
	}
	if d.downFaults == 0 {
		for _, told := range d.unannounced {
			defer told()
		}
		d.unannounced = nil
	}
	d.changes.notifyAll()
}

// SetLag begins or ends a fault that delays each later change by up to lag; several add up.
func (d *FakeDiscovery) SetLag(lag time.Duration, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on && lag > 0 {
		d.lags = append(d.lags, lag)
	} else if at := slices.Index(d.lags, lag); at >= 0 {
		d.lags = slices.Delete(d.lags, at, at+1)
	}
}

// ServeHTTP responds to a request for the list or a watch.
func (d *FakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	d.received.calls.Add(1)
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(waitMs, 60000))*time.Millisecond)
	defer cancel()
	for {
		d.mu.Lock()
		down, seq, wake := d.downFaults > 0, d.version, d.changes.changed()
		d.mu.Unlock()
		if !down && (seq > after || ctx.Err() != nil) {
			break
		}
		select {
		case <-wake:
		case <-ctx.Done():
			if down {
				<-r.Context().Done() // no response while down, until the caller disconnects
				return
			}
		}
	}
	d.mu.Lock()
	answer := listResponse{Version: d.version, IsFull: after == 0} // without after, or with after=0
	mine := net.IPv4(127, 0, 0, 1).String()                        // the caller's own address of every server
	if called, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr); ok {
		mine = called.IP.String()
	}
	for _, name := range d.order {
		if answer.IsFull && d.instances[name].Health != "Gone" || !answer.IsFull && d.changedAt[name] > after {
			h := d.instances[name]
			if _, port, err := net.SplitHostPort(h.Address); err == nil {
				h.Address = net.JoinHostPort(mine, port)
			}
			answer.Instances = append(answer.Instances, h)
		}
	}
	d.mu.Unlock()
	if answer.Instances == nil {
		answer.Instances = []Instance{}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}
