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

// listResponse is the response to a call for the endpoint list or to a watch, in the protocol's JSON.
type listResponse struct {
	Version   int64      `json:"seq"`
	IsFull    bool       `json:"whole"`
	Instances []Instance `json:"hosts"`
}

// maxWatchMillis is the maximum time for which a watch waits for a change, in milliseconds.
const maxWatchMillis = 60_000

// FakeDiscovery is a fake discovery service. GET /registry/instances returns
// the full endpoint list; with ?after=SEQ&wait_ms=MS it is a watch, which
// returns the changes after a version. The addresses in a response are on the
// loopback address that the caller called. Faults make the service unresponsive
// (down), or delay each change by a random time up to a lag, so that changes
// may be published out of order.
type FakeDiscovery struct {
	listener *FaultListener // nil if requests are passed to ServeHTTP directly
	http     *http.Server
	random   *rand.Rand
	received callCounters

	mu          sync.Mutex
	version     int64
	instances   map[string]Instance
	changedAt   map[string]int64 // the version in which each instance last changed
	order       []string         // names of the instances, in the order in which they were added
	downFaults  int              // active faults that make the service unresponsive
	lags        []time.Duration  // of the active faults that delay changes
	unannounced []func()         // callbacks of changes made while down, to call when the service responds again
	changes     notifier         // notified of every change of the instances or of downFaults
}

// NewFakeDiscovery returns a service that serves on a listener of the network until Close. The seed is that of the lags.
func NewFakeDiscovery(seed uint64, listener *FaultListener) *FakeDiscovery {
	d := NewFakeDiscoveryHandler(seed)
	d.listener, d.http = listener, &http.Server{Handler: d, ReadHeaderTimeout: 5 * time.Second}
	go d.http.Serve(listener)
	return d
}

// NewFakeDiscoveryHandler returns a service without a socket. The caller passes requests to its ServeHTTP.
func NewFakeDiscoveryHandler(seed uint64) *FakeDiscovery {
	return &FakeDiscovery{random: rand.New(rand.NewPCG(seed, 0xd15c)),
		instances: map[string]Instance{}, changedAt: map[string]int64{}, changes: newNotifier(), version: 1}
}

// Address returns the service's address on 127.0.0.1, host:port.
func (d *FakeDiscovery) Address() string { return d.listener.AddressFor("127.0.0.1") }

// Close stops the service at once.
func (d *FakeDiscovery) Close() { d.http.Close() }

// Set changes an instance in the list, at once or after a delay if there is a lag. announced, unless nil, is called as
// soon as callers can get the change: after the delay, and not while the service is down.
func (d *FakeDiscovery) Set(instance Instance, announced func()) {
	d.mu.Lock()
	var wait time.Duration
	for _, lag := range d.lags {
		wait += time.Duration(d.random.Int64N(int64(lag)))
	}
	d.mu.Unlock()
	if wait <= 0 {
		d.apply(instance, announced)
		return
	}
	time.AfterFunc(wait, func() { d.apply(instance, announced) })
}

// apply changes an instance, and calls announced at once or, while the service is down, when it responds again.
func (d *FakeDiscovery) apply(instance Instance, announced func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if announced != nil && d.downFaults > 0 {
		d.unannounced = append(d.unannounced, announced)
	} else if announced != nil {
		defer announced()
	}
	d.version++
	if _, ok := d.instances[instance.Name]; !ok {
		d.order = append(d.order, instance.Name)
	}
	d.instances[instance.Name], d.changedAt[instance.Name] = instance, d.version
	d.changes.notifyAll()
}

// SetDown begins or ends a fault that makes the service unresponsive. It responds again once all such faults have ended.
func (d *FakeDiscovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if down {
		d.downFaults++
	} else {
		d.downFaults--
	}
	if d.downFaults == 0 {
		for _, announced := range d.unannounced {
			defer announced()
		}
		d.unannounced = nil
	}
	d.changes.notifyAll()
}

// SetLag begins or ends a fault that delays each later change by a random time up to lag. The delays of several faults
// add up.
func (d *FakeDiscovery) SetLag(lag time.Duration, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on && lag > 0 {
		d.lags = append(d.lags, lag)
	} else if at := slices.Index(d.lags, lag); at >= 0 {
		d.lags = slices.Delete(d.lags, at, at+1)
	}
}

// ServeHTTP responds to a call for the list or to a watch.
func (d *FakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	d.received.calls.Add(1)
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if !d.awaitChange(r.Context(), after, time.Duration(min(waitMs, maxWatchMillis))*time.Millisecond) {
		return
	}
	calledIP := "127.0.0.1"
	if called, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr); ok {
		calledIP = called.IP.String()
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(d.list(after, calledIP))
}

// awaitChange waits until the version is later than after, or until the timeout. While the service is down it waits in
// any case. It reports false if the caller must not get a response.
func (d *FakeDiscovery) awaitChange(caller context.Context, after int64, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(caller, timeout)
	defer cancel()
	for {
		d.mu.Lock()
		isDown, version, changed := d.downFaults > 0, d.version, d.changes.changed()
		d.mu.Unlock()
		if !isDown && (version > after || ctx.Err() != nil) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if isDown {
				<-caller.Done() // a call that times out while the service is down gets no response
				return false
			}
		}
	}
}

// list returns the full list (if after is 0) or the changes after a version. Its addresses are on the given IP address.
func (d *FakeDiscovery) list(after int64, ip string) listResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	response := listResponse{Version: d.version, IsFull: after == 0, Instances: []Instance{}}
	for _, name := range d.order {
		instance := d.instances[name]
		if response.IsFull && instance.Health == "Gone" || !response.IsFull && d.changedAt[name] <= after {
			continue
		}
		if _, port, err := net.SplitHostPort(instance.Address); err == nil {
			instance.Address = net.JoinHostPort(ip, port)
		}
		response.Instances = append(response.Instances, instance)
	}
	return response
}
