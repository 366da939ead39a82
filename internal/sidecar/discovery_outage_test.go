//go:build go1.25

package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/discovery"
)

// outage is the way in which a discovery service fails.
type outage int

const (
	refusesConnections  outage = iota
	dropsHandshakes            // no connection is established; the system tries again after 1, 3, 7, 15 ... s
	neverResponds              // calls are read and never answered, even after the outage on connections that were opened before its end
	closesLate                 // the connection of a call is closed just before the call would time out
	respondsUnavailable        // calls are answered with 503 at once
	stallsMidResponse          // only a part of the response arrives
	outageKinds
)

func (o outage) String() string {
	return [...]string{"refuses connections", "drops handshakes", "never responds", "closes late", "responds 503",
		"stalls in the middle of a response"}[o]
}

var errConnectionRefused = errors.New("connection refused")

// outageService is a discovery service in virtual time, on pipes in place of sockets. It cannot be reached from downFrom to
// upFrom, and has a new list from upFrom on. The first list has version 1 and contains s-1; the new list contains s-2, too.
type outageService struct {
	outage   outage
	downFrom time.Time
	upFrom   time.Time
	// restartsVersions makes versions start again: the new list has version 0 and is not sent in full before fullListFrom.
	restartsVersions bool
	fullListFrom     time.Time
	responseDelay    time.Duration // delay of each response after upFrom

	mu            sync.Mutex // guards what is below
	conns         []net.Conn
	lastWaitingAt time.Time // time of the last call before upFrom; zero if that call does not wait for changes
}

func (s *outageService) isDown(now time.Time) bool {
	return !now.Before(s.downFrom) && now.Before(s.upFrom)
}

// dial is a discovery.DialFunc.
func (s *outageService) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	for retryDelay := time.Second; s.isDown(time.Now()) && s.outage == dropsHandshakes; retryDelay *= 2 {
		if retryDelay > time.Minute {
			return nil, errors.New("connection timed out")
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if s.isDown(time.Now()) && s.outage == refusesConnections {
		return nil, errConnectionRefused
	}
	clientEnd, serviceEnd := net.Pipe()
	s.mu.Lock()
	s.conns = append(s.conns, serviceEnd)
	s.mu.Unlock()
	go s.serve(serviceEnd)
	return clientEnd, nil
}

// beginOutage closes all open connections, unless this kind of outage leaves them open.
func (s *outageService) beginOutage() {
	if s.outage != neverResponds && s.outage != dropsHandshakes {
		s.closeAll()
	}
}

func (s *outageService) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.Close()
	}
}

func (s *outageService) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	openedAt := time.Now()
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		now := time.Now()
		s.recordCall(request, now)
		if !s.respond(conn, request, openedAt, now) {
			return
		}
	}
}

// recordCall records the time of a call before upFrom, if the call may wait for changes.
func (s *outageService) recordCall(request *http.Request, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.upFrom) {
		return
	}
	s.lastWaitingAt = time.Time{}
	if request.FormValue("wait_ms") > "0" {
		s.lastWaitingAt = now
	}
}

// respond answers a call, or leaves it unanswered until the connection is closed. It returns false if the connection cannot be
// used any more.
func (s *outageService) respond(conn net.Conn, request *http.Request, openedAt, now time.Time) bool {
	switch {
	case s.isDown(now):
		return s.respondDown(conn)
	case now.Before(s.downFrom):
		if mayWaitAfter(request, 1) {
			return awaitClose(conn) // by the sidecar, or by beginOutage
		}
		writeList(conn, http.StatusOK, discovery.List{Version: 1, IsFull: true, Endpoints: []discovery.Endpoint{readyEndpoint("s-1", "127.0.0.1:1")}})
		return true
	case openedAt.Before(s.upFrom) && s.outage == neverResponds:
		return awaitClose(conn)
	}
	time.Sleep(s.responseDelay)
	return s.respondUp(conn, request, now)
}

func (s *outageService) respondDown(conn net.Conn) bool {
	switch s.outage {
	case closesLate:
		time.Sleep(discovery.CallTimeout - 10*time.Millisecond)
		return false
	case respondsUnavailable:
		writeList(conn, http.StatusServiceUnavailable, discovery.List{})
		return true
	case stallsMidResponse:
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"seq\":")
	}
	return awaitClose(conn)
}

// respondUp answers with the new list.
func (s *outageService) respondUp(conn net.Conn, request *http.Request, now time.Time) bool {
	version := uint64(2)
	if s.restartsVersions {
		version = 0
		if request.FormValue("after") != "" {
			writeList(conn, http.StatusOK, discovery.List{Version: version, Endpoints: []discovery.Endpoint{}})
			return true
		}
		if now.Before(s.fullListFrom) {
			return awaitClose(conn)
		}
	}
	if mayWaitAfter(request, version) {
		return awaitClose(conn)
	}
	writeList(conn, http.StatusOK, discovery.List{Version: version, IsFull: true,
		Endpoints: []discovery.Endpoint{readyEndpoint("s-1", "127.0.0.1:1"), readyEndpoint("s-2", "127.0.0.1:2")}})
	return true
}

// mayWaitAfter reports whether a call waits for changes after this version.
func mayWaitAfter(request *http.Request, version uint64) bool {
	return request.FormValue("wait_ms") != "0" && request.FormValue("after") == fmt.Sprint(version)
}

// awaitClose waits until either end closes the connection, and returns false.
func awaitClose(conn net.Conn) bool {
	conn.Read(make([]byte, 1))
	return false
}

func writeList(conn net.Conn, code int, list discovery.List) {
	body, _ := json.Marshal(list)
	fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", code, len(body), body)
}

// updateRecorder records when the balancer first got an update that contains an endpoint.
type updateRecorder struct {
	loadBalancer
	endpoint  uint32
	learnedAt chan time.Time // receives one time; buffered for it
	timers    int
	abort     func() // called after maxTimers timers: if the balancer sets timers without end, virtual time hardly advances
}

const maxTimers = 5000

func (r *updateRecorder) TimerFired(now balancer.Micros, token uint32) {
	if r.timers++; r.timers > maxTimers {
		r.abort()
		return
	}
	r.loadBalancer.TimerFired(now, token)
}

func (r *updateRecorder) UpdateEndpoints(now balancer.Micros, kind balancer.UpdateKind, entries []balancer.Endpoint) {
	if slices.ContainsFunc(entries, func(e balancer.Endpoint) bool { return e.ID == r.endpoint }) {
		select {
		case r.learnedAt <- time.Now():
		default:
		}
	}
	r.loadBalancer.UpdateEndpoints(now, kind, entries)
}

// outageRun is one run of a sidecar against an outageService, in a synctest bubble.
type outageRun struct {
	alterSettings func(map[string]any)
	service       *outageService
	// moveAfter is how long after the start the sidecar switches from a first discovery service to the one above, as it does on
	// SIGHUP. 0 means never.
	moveAfter time.Duration
	knowsList bool // the sidecar starts with version 1 of the list
}

// awaitNewList runs the sidecar and returns when it got the new list, or an hour after the start if it did not get it within 2
// minutes.
func (run outageRun) awaitNewList(t *testing.T) time.Time {
	t.Helper()
	start := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	first := &outageService{downFrom: start.Add(time.Hour), upFrom: start.Add(time.Hour)}
	l := run.newLoop(ctx, t, first)
	recorder := &updateRecorder{loadBalancer: l.balancer, endpoint: l.endpointIDs.assign("s-2"), learnedAt: make(chan time.Time, 1), abort: stop}
	l.balancer = recorder
	ended := make(chan struct{})
	go func() { l.run(); close(ended) }()

	if run.moveAfter > 0 {
		time.Sleep(run.moveAfter)
		l.post(func(balancer.Micros) { l.switchDiscovery("127.0.0.1:2") })
	} else if run.service.downFrom.After(start) {
		time.Sleep(run.service.downFrom.Sub(start))
		run.service.beginOutage()
	}
	learnedAt := start.Add(time.Hour)
	select {
	case learnedAt = <-recorder.learnedAt:
	case <-ctx.Done():
	case <-time.After(2 * time.Minute):
	}

	stop()
	<-ended
	time.Sleep(5 * time.Minute) // until every call and pause is over
	l.discoveryClient.CloseIdleConnections()
	run.service.closeAll()
	first.closeAll()
	time.Sleep(time.Second)
	return learnedAt
}

// newLoop returns a loop that calls the run's service. If the sidecar is to switch to that service later, the loop calls the
// first service, at port 1, until then.
func (run outageRun) newLoop(ctx context.Context, t *testing.T, first *outageService) *eventLoop {
	t.Helper()
	known := []discovery.Endpoint{}
	if run.knowsList {
		known = append(known, readyEndpoint("s-1", "127.0.0.1:1"))
	}
	cfg := newTestConfig(t, "127.0.0.1:1", run.alterSettings, known...)
	cfg.KnownEndpoints.Version = 1
	cfg.Seed = uint64(run.service.upFrom.UnixNano())
	l, err := newEventLoop(ctx, cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	dial := run.service.dial
	if run.moveAfter > 0 {
		dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if strings.HasSuffix(address, ":1") {
				return first.dial(ctx, network, address)
			}
			return run.service.dial(ctx, network, address)
		}
	}
	l.discoveryClient = discovery.NewClient(cfg.DiscoveryAddress, discovery.Options{Dial: dial})
	return l
}

// pollSettings are the settings that decide when discovery is called: lists that are pushed, and lists that are polled with
// several values of the longest interval.
var pollSettings = newPollSettings()

func newPollSettings() map[string]func(map[string]any) {
	all := map[string]func(map[string]any){"pushed": func(s map[string]any) { s["discovery"] = "automatic" }}
	for _, interval := range []time.Duration{0, time.Second, 10 * time.Second, time.Hour} {
		all[fmt.Sprint("polled within ", interval)] = func(s map[string]any) {
			s["contract"].(map[string]any)["ask-within"] = interval.Microseconds()
		}
	}
	return all
}

// By the protocol, a sidecar counts as knowing a change maxUpdateDelay after discovery has the change and can be reached, whatever
// calls have failed before. If a waiting call missed the change, the sidecar counts as knowing it maxDelayAfterWait after the end of
// the wait, if that is later. The margins allow for responses in transit and for a busy machine.
const (
	maxUpdateDelay, updateMargin       = 6 * time.Second, time.Second
	maxDelayAfterWait, afterWaitMargin = 2 * time.Second, 300 * time.Millisecond
)

// A sidecar knows a change well before it counts as knowing it, even if calls to discovery failed, were refused or timed out
// before. The test covers outages of every kind at a start, during a watch and after SIGHUP, which end at many points of the
// sidecar's sequence of calls and pauses. Time and connections are virtual.
func TestChangeIsKnownInTimeAfterAnyOutage(t *testing.T) {
	const eventDelay = 5 * time.Second // from the start to an outage during a watch, or to SIGHUP
	for name, alterSettings := range pollSettings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var worst, worstAfterWait time.Duration
			var worstCase string
			for kind := range outageKinds {
				for _, phase := range []string{"start", "start without a list", "watch", "SIGHUP"} {
					longest := 12 * time.Second // several cycles of calls and pauses
					if kind == dropsHandshakes {
						longest = 26 * time.Second // the pauses between the system's attempts to connect get longer
					}
					for length := 50 * time.Millisecond; length < longest; length += 1430 * time.Millisecond {
						synctest.Test(t, func(t *testing.T) {
							start := time.Now()
							service := &outageService{outage: kind, downFrom: start, upFrom: start.Add(length)}
							run := outageRun{alterSettings: alterSettings, service: service, knowsList: phase != "start without a list"}
							switch phase {
							case "watch":
								service.downFrom, service.upFrom = start.Add(eventDelay), start.Add(eventDelay+length)
							case "SIGHUP":
								run.moveAfter, service.upFrom = eventDelay, start.Add(eventDelay+length)
							}
							learnedAt := run.awaitNewList(t)
							delay := learnedAt.Sub(service.upFrom)
							delayAfterWait := learnedAt.Sub(service.lastWaitingAt.Add(discovery.MaxWait))
							switch {
							case !service.lastWaitingAt.IsZero() && delayAfterWait <= maxDelayAfterWait-afterWaitMargin:
								worstAfterWait = max(worstAfterWait, delayAfterWait)
							case delay <= maxUpdateDelay-updateMargin:
								if delay > worst {
									worst, worstCase = delay, fmt.Sprintf("%s, discovery %v for %v", phase, kind, length)
								}
							default:
								t.Errorf("%s, discovery %v for %v: known %v after its return, %v after the last wait's end",
									phase, kind, length, delay, delayAfterWait)
							}
						})
					}
				}
			}
			t.Logf("known at most %v after discovery's return (%s), or %v after a wait's end", worst, worstCase, worstAfterWait)
		})
	}
}

// If discovery restarts and its versions start again, the sidecar must not wait longer for the new list. The call for the full
// list does not wait for changes, and has the timeout of a call that does not wait.
func TestFullListIsRequestedAgainSoonAfterARestart(t *testing.T) {
	for name, alterSettings := range pollSettings {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			service := &outageService{outage: refusesConnections, downFrom: start, upFrom: start.Add(10 * time.Millisecond),
				restartsVersions: true, fullListFrom: start.Add(1500 * time.Millisecond)}
			run := outageRun{alterSettings: alterSettings, service: service, knowsList: true}
			if delay := run.awaitNewList(t).Sub(service.fullListFrom); delay > maxUpdateDelay-updateMargin {
				t.Errorf("%s: known %v after the full list could be had", name, delay)
			}
		})
	}
}

// A call that discovery answers slowly is not aborted, whatever poll interval the settings give.
func TestSlowResponseIsAwaited(t *testing.T) {
	for name, alterSettings := range pollSettings {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			service := &outageService{outage: refusesConnections, downFrom: start, upFrom: start, responseDelay: 3 * time.Second}
			run := outageRun{alterSettings: alterSettings, service: service}
			if delay := run.awaitNewList(t).Sub(start); delay > maxUpdateDelay-updateMargin {
				t.Errorf("%s: known %v after the start", name, delay)
			}
		})
	}
}
