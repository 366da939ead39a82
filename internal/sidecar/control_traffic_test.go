package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bramblestand/internal/controltraffic"
	"bramblestand/internal/discovery"
	"bramblestand/internal/endpointtest"
)

// trafficCount counts one kind of traffic, at either end of its connections. Sent and received are always as seen by the sidecar.
type trafficCount struct {
	sentMessages, sentBytes         uint64
	receivedMessages, receivedBytes uint64
	connections                     uint64
}

// add counts one message that the sidecar sent and one that it received: a request to a peer and the response, or the answer to
// an operators' call and the call.
func (e *trafficCount) add(sentBytes, receivedBytes uint64) {
	e.sentMessages++
	e.sentBytes += sentBytes
	e.receivedMessages++
	e.receivedBytes += receivedBytes
}

func sidecarCount(t controltraffic.Traffic) trafficCount {
	return trafficCount{t.Sent.Messages, t.Sent.Bytes, t.Received.Messages, t.Received.Bytes, t.Opened + t.Accepted}
}

// trafficPeers are an endpoint, a discovery service and an operator that count their traffic with a sidecar.
type trafficPeers struct {
	mu        sync.Mutex // guards the counts
	probes    trafficCount
	requests  trafficCount
	discovery trafficCount
	admin     trafficCount

	releaseWatch chan struct{} // closed to answer the calls that wait for changes
}

// countingReader counts the bytes read through it.
type countingReader struct {
	io.Reader
	bytes uint64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes += uint64(n)
	return n, err
}

// listen serves requests with the responses that respond returns. countOf returns the count that a request and its response
// belong to.
func (p *trafficPeers) listen(t *testing.T, respond func(*http.Request) string, countOf func(*http.Request) *trafficCount) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn, respond, countOf)
		}
	}()
	return listener.Addr().String()
}

func (p *trafficPeers) serve(conn net.Conn, respond func(*http.Request) string, countOf func(*http.Request) *trafficCount) {
	defer conn.Close()
	counting := &countingReader{Reader: conn}
	in := bufio.NewReader(counting)
	requestsEnd := uint64(0) // bytes of all requests read so far
	for isFirst := true; ; isFirst = false {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		requestStart := requestsEnd
		requestsEnd = counting.bytes - uint64(in.Buffered())
		response := respond(request)
		p.mu.Lock()
		count := countOf(request)
		count.add(requestsEnd-requestStart, uint64(len(response)))
		if isFirst {
			count.connections++
		}
		p.mu.Unlock()
		io.WriteString(conn, response) // after it is counted, so that the sidecar's count is never ahead
	}
}

// listenEndpoint serves the application's requests and load probes.
func (p *trafficPeers) listenEndpoint(t *testing.T) (address string) {
	t.Helper()
	isProbe := func(r *http.Request) bool { return r.URL.Path == "/stats" }
	return p.listen(t, func(r *http.Request) string {
		if isProbe(r) {
			return okResponse("failed_ps=0,pending=1")
		}
		return okResponse("done")
	}, func(r *http.Request) *trafficCount {
		if isProbe(r) {
			return &p.probes
		}
		return &p.requests
	})
}

// listenDiscovery serves a list of one endpoint. Calls that wait for changes are answered once releaseWatch is closed.
func (p *trafficPeers) listenDiscovery(t *testing.T, endpointAddress string) (address string) {
	t.Helper()
	list, err := json.Marshal(discovery.List{Version: 7, IsFull: true, Endpoints: []discovery.Endpoint{readyEndpoint("s-1", endpointAddress)}})
	if err != nil {
		t.Fatal(err)
	}
	return p.listen(t, func(r *http.Request) string {
		if r.FormValue("after") == "" {
			return okResponse(string(list))
		}
		if r.FormValue("wait_ms") != "0" {
			<-p.releaseWatch
		}
		return okResponse(`{"seq":7,"whole":false,"hosts":[]}`)
	}, func(*http.Request) *trafficCount { return &p.discovery })
}

// callAdmin makes an operators' call, reads the answer to its end, and counts both. The call is what the sidecar receives, the
// answer what it sends.
func (p *trafficPeers) callAdmin(t *testing.T, address, request string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, request)
	response, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.admin.add(uint64(len(response)), uint64(len(request)))
	p.admin.connections++
}

func (p *trafficPeers) receivedMessages(count *trafficCount) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return count.receivedMessages
}

// agreesWith reports whether the sidecar and its peers have the same count of a kind of traffic. The peers' count is read first.
func (p *trafficPeers) agreesWith(l *eventLoop, kind string) bool {
	p.mu.Lock()
	counted := map[string]trafficCount{
		controltraffic.KindLoadProbe: p.probes,
		controltraffic.KindDiscovery: p.discovery,
		controltraffic.KindAdmin:     p.admin,
	}[kind]
	p.mu.Unlock()
	return sidecarCount(l.controlTraffic.Status(nil).Kinds[kind]) == counted
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// The functions below make a sidecar count its traffic wrongly. The test must notice it.
func uncountProbes(l *eventLoop)          { l.upstream.LoadProbeTraffic = nil }
func countProbesAsDiscovery(l *eventLoop) { l.upstream.LoadProbeTraffic = &l.controlTraffic.Discovery }
func countDiscoveryElsewhere(l *eventLoop) {
	setDiscoveryOptions(l, discovery.Options{Traffic: &controltraffic.Counter{}})
}

func countDiscoveryTwice(l *eventLoop) {
	counter := &l.controlTraffic.Discovery
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return controltraffic.Conn{Conn: conn, Counter: counter}, err
	}
	setDiscoveryOptions(l, discovery.Options{Traffic: counter, Dial: dial})
}

func setDiscoveryOptions(l *eventLoop, options discovery.Options) {
	l.discoveryClient = discovery.NewClient(l.discoveryClient.Address(), options)
}

// The sidecar counts the same messages, bytes and connections of load probes, discovery calls and operators' calls as its peers
// do, even though the application's requests use the same connections. A sidecar that leaves out a kind, or counts one twice,
// does not.
func TestControlTrafficEqualsWhatItsPeersCount(t *testing.T) {
	for name, c := range map[string]struct {
		alter     func(l *eventLoop)
		wrongKind string // the kind that is miscounted, if any
	}{
		"right":                      {func(*eventLoop) {}, ""},
		"leaves out probes":          {uncountProbes, controltraffic.KindLoadProbe},
		"leaves out discovery":       {countDiscoveryElsewhere, controltraffic.KindDiscovery},
		"counts probes as discovery": {countProbesAsDiscovery, controltraffic.KindDiscovery},
		"counts discovery twice":     {countDiscoveryTwice, controltraffic.KindDiscovery},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peers := &trafficPeers{releaseWatch: make(chan struct{})}
			s := startWithPeers(t, peers, c.alter)
			s.await("lists and probes", func() bool {
				return peers.receivedMessages(&peers.discovery) >= 1 && peers.receivedMessages(&peers.probes) >= 2
			})
			for range 3 {
				if got := s.send(s.request("read", "", 2*time.Second)); got.statusCode != http.StatusOK {
					t.Fatalf("a request: %+v", got)
				}
			}
			peers.callAdmin(t, s.adminAddress, "GET /pin-servers HTTP/1.1\r\nHost: o\r\n\r\n")
			peers.callAdmin(t, s.adminAddress, "POST /pin-servers/disable HTTP/1.1\r\nHost: o\r\nContent-Length: 3\r\n\r\ns-9")
			peers.callAdmin(t, s.adminAddress, "GET /control HTTP/1.1\r\nHost: o\r\n\r\n")
			close(peers.releaseWatch)

			for _, kind := range []string{controltraffic.KindLoadProbe, controltraffic.KindDiscovery, controltraffic.KindAdmin} {
				switch {
				case kind == c.wrongKind:
					requireMiscount(t, peers, s.loop, kind)
				case kind == controltraffic.KindLoadProbe && c.wrongKind != "": // some of the miscounts leave out load probes, too
				default: // the counts agree once no message is in transit any more
					s.await("the right count of "+kind, func() bool { return peers.agreesWith(s.loop, kind) })
				}
			}
			peers.mu.Lock()
			defer peers.mu.Unlock()
			if peers.requests.receivedMessages != 3 || peers.discovery.receivedMessages < 2 || peers.admin.receivedMessages != 3 {
				t.Errorf("requests %+v, discovery %+v, operators' calls %+v", peers.requests, peers.discovery, peers.admin)
			}
		})
	}
}

// startWithPeers runs a sidecar that sends load probes and has an admin address, and starts its peers.
func startWithPeers(t *testing.T, peers *trafficPeers, alter func(*eventLoop)) *testSidecar {
	t.Helper()
	cfg := newTestConfig(t, peers.listenDiscovery(t, peers.listenEndpoint(t)), func(settings map[string]any) {
		settings["limits"].(map[string]any)["probes"] = true
		settings["prices"] = map[string]any{"probe": 1.0}
	})
	cfg.AdminAddress = "127.0.0.1:0"
	s := &testSidecar{t: t, configureLoop: alter}
	s.launch(cfg)
	s.openAdmin()
	return s
}

// requireMiscount fails the test if the counts of a kind agree at any time before two more load probes have arrived. It must be
// called after there was traffic of every kind: from then on, a miscount stays.
func requireMiscount(t *testing.T, peers *trafficPeers, l *eventLoop, kind string) {
	t.Helper()
	probes := peers.receivedMessages(&peers.probes)
	for peers.receivedMessages(&peers.probes) < probes+2 {
		if peers.agreesWith(l, kind) {
			t.Fatalf("the sidecar counts %s like its peers, want a miscount", kind)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Without an admin address no control traffic is counted, and discovery is called on connections that are not wrapped.
func TestControlTrafficIsNotCountedWithoutAnAdminAddress(t *testing.T) {
	l, err := newEventLoop(context.Background(), newTestConfig(t, "127.0.0.1:1", nil), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	options := l.discoveryClient.Options()
	if l.controlTraffic != nil || l.upstream.LoadProbeTraffic != nil || options.Traffic != nil {
		t.Errorf("counted: %v, %v, %v", l.controlTraffic, l.upstream.LoadProbeTraffic, options.Traffic)
	}
	if options.Dial != nil || options.Transport != nil { // without them connections are not wrapped, as the test of the discovery client shows
		t.Errorf("discovery is called through %+v, want connections that are not wrapped", options)
	}
}

// GET /control reports every kind of traffic and their sum. Calls to discovery are still counted after its address has changed.
func TestControlStatusCoversEveryKindAndAChangedDiscovery(t *testing.T) {
	s := &testSidecar{t: t, registry: newFakeRegistry(t, readyEndpoint("s-1", endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address))}
	cfg := newTestConfig(t, s.registry.address, nil)
	cfg.AdminAddress = "127.0.0.1:0"
	s.launch(cfg)
	s.openAdmin()
	s.await("a list", func() bool { return s.controlStatus().Kinds[controltraffic.KindDiscovery].Received.Messages > 0 })
	status := s.controlStatus()
	sum := uint64(0)
	for _, kind := range controltraffic.Kinds {
		traffic, ok := status.Kinds[kind]
		if !ok {
			t.Errorf("%s is missing", kind)
		}
		sum += traffic.TotalWireBytes()
	}
	if len(status.Kinds) != len(controltraffic.Kinds) || sum != status.WireBytes || status.Seconds <= 0 {
		t.Errorf("status %+v, want a sum of %d", status, sum)
	}
	if calls := status.Kinds[controltraffic.KindAdmin]; calls.Accepted < 2 || calls.Sent.Messages+1 < calls.Received.Messages {
		t.Errorf("operators' calls %+v", calls)
	}
	opened := status.Kinds[controltraffic.KindDiscovery].Opened
	second := newFakeRegistry(t, readyEndpoint("s-1", endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address))
	s.onLoop(func() { s.loop.switchDiscovery(second.address) })
	s.await("calls of the new discovery", func() bool {
		return second.callCount() > 0 && s.controlStatus().Kinds[controltraffic.KindDiscovery].Opened > opened
	})
}

// controlStatus asks the sidecar for GET /control.
func (s *testSidecar) controlStatus() controltraffic.Status {
	s.t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+s.adminAddress+"/control", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	got := s.send(request)
	decoder := json.NewDecoder(strings.NewReader(got.body))
	decoder.DisallowUnknownFields()
	var status controltraffic.Status
	if err := decoder.Decode(&status); err != nil || got.statusCode != http.StatusOK {
		s.t.Fatalf("%+v: %v", got, err)
	}
	return status
}
