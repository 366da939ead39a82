package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"bramblestand/internal/endpointtest"
)

// maxDisconnectDelay is the maximum time after a client's close in which an attempt for it may still start.
const maxDisconnectDelay = 100 * time.Millisecond

// measureTimerDelay runs timers of 5 ms until stop is closed, and then sends the maximum delay of a timer.
func measureTimerDelay(stop <-chan struct{}) <-chan time.Duration {
	result := make(chan time.Duration, 1)
	go func() {
		const gap = 5 * time.Millisecond
		var maxDelay time.Duration
		for {
			start := time.Now()
			select {
			case <-stop:
				result <- maxDelay
				return
			case <-time.After(gap):
				maxDelay = max(maxDelay, time.Since(start)-gap)
			}
		}
	}()
	return result
}

// baselineConns holds connections without a sidecar, whose server ends only wait for the disconnect. They measure how late the machine
// itself notices the same number of disconnects.
type baselineConns struct {
	clientEnds []net.Conn
	endNoticed []chan time.Time // each receives the time at which the server end noticed the disconnect
}

func newBaselineConns(t *testing.T, n int) *baselineConns {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := &baselineConns{}
	for range n {
		clientEnd, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		serverEnd, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		seen := make(chan time.Time, 1)
		go func() {
			defer serverEnd.Close()
			serverEnd.Read(make([]byte, 1))
			seen <- time.Now()
		}()
		p.clientEnds, p.endNoticed = append(p.clientEnds, clientEnd), append(p.endNoticed, seen)
	}
	return p
}

// retransmissions returns the number of segments of a connection that the system had to send again. Segments may be lost even on
// the loopback of a busy machine. A lost segment arrives 0.2 s later or more, so the sidecar cannot notice it earlier.
func retransmissions(t *testing.T, conn net.Conn) uint32 {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var info *unix.TCPInfo
	if failed := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); failed != nil || err != nil {
		t.Fatal(failed, err)
	}
	return info.Total_retrans
}

// disconnectBurst is a set of clients whose first attempts are all in flight, at endpoints that reject them when the test says so.
type disconnectBurst struct {
	*testSidecar
	conns   []net.Conn     // of the clients; the first burstDisconnecting of them disconnect
	noticed *disconnectLog // when the sidecar noticed each disconnect
	prefix  string         // of the requests' ids
	reject  func()         // lets the endpoints reject the first attempts

	mu       sync.Mutex
	attempts map[string]int // by request id
}

// Numbers of clients that disconnect and that stay connected.
const burstDisconnecting, burstStaying = 300, 20

// Hundreds of clients disconnect at once, each with a first attempt in flight that the endpoint then rejects without having run it.
// Their requests are not retried, while those of the clients that stay are.
//
// Each disconnect must be noticed in time. The bound allows for the delay of the machine itself, which is measured with timers and
// with plain connections that end at the same time. A few disconnects that the system had to send again are not counted. The test
// does not run in parallel with other tests of this package.
func TestBurstOfDisconnectsIsNotRetried(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for _, reset := range []bool{true, false} {
			t.Run(fmt.Sprintf("cancel %v, reset %v", cancel, reset), func(t *testing.T) {
				b := startDisconnectBurst(t, fmt.Sprint("burst-", cancel, reset, "-"), cancel)
				disconnectedAt, machineDelay := b.disconnect(reset)
				b.reject()
				b.expectServed(b.conns[burstDisconnecting:])
				b.awaitNoRequests()
				b.expectRetries()
				b.expectNoticedInTime(disconnectedAt, machineDelay, reset)
			})
		}
	}
}

// startDisconnectBurst starts a sidecar, sends it the clients' requests, and waits until all first attempts are in flight.
func startDisconnectBurst(t *testing.T, prefix string, cancel bool) *disconnectBurst {
	t.Helper()
	const clients = burstDisconnecting + burstStaying
	rejecting := make(chan struct{})
	b := &disconnectBurst{noticed: newDisconnectLog(), prefix: prefix, attempts: map[string]int{},
		reject: sync.OnceFunc(func() { close(rejecting) })}
	t.Cleanup(b.reject)
	server := endpointtest.NewServer(t, func(_ *endpointtest.Server, conn net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if b.countAttempt(r.Header.Get(requestIDHeader)) == 1 {
				<-rejecting
				io.WriteString(conn, endpointtest.RejectedResponse)
			} else {
				io.WriteString(conn, endpointtest.OKResponse)
			}
		}
	})
	endpoints := repeatEndpoint(clients, server.Address)
	b.testSidecar = &testSidecar{t: t, registry: newFakeRegistry(t, endpoints...), log: b.noticed}
	cfg := newTestConfig(t, b.registry.address, func(settings map[string]any) {
		settings["limits"].(map[string]any)["cancel"] = cancel
		read := settings["classes"].([]any)[0].(map[string]any)
		read["target"], read["give-up"] = time.Minute.Microseconds(), time.Minute.Microseconds() // long enough on a busy machine
	}, endpoints...)
	cfg.Limits.Sockets = 2048
	b.launch(cfg)
	b.await("the list", func() bool { return b.loop.hasEndpoints.Load() })
	for i := range clients {
		conn := b.dial()
		b.conns = append(b.conns, conn)
		r := b.request("read", "", time.Minute)
		r.Header.Set(requestIDHeader, b.requestID(i))
		r.Write(conn)
	}
	b.await("all first attempts", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.attempts) == clients
	})
	return b
}

// requestID returns the id of a client's request.
func (b *disconnectBurst) requestID(client int) string { return fmt.Sprint(b.prefix, client) }

// countAttempt counts an attempt at a request, and returns the number of its attempts so far.
func (b *disconnectBurst) countAttempt(requestID string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts[requestID]++
	return b.attempts[requestID]
}

// disconnect disconnects the first burstDisconnecting clients, and waits until all disconnects are noticed. It returns the time of
// each, and the maximum delay of the machine itself.
func (b *disconnectBurst) disconnect(reset bool) (disconnectedAt []time.Time, machineDelay time.Duration) {
	b.t.Helper()
	baseline := newBaselineConns(b.t, burstDisconnecting)
	stop := make(chan struct{})
	timerDelay := measureTimerDelay(stop)
	for i, conn := range b.conns[:burstDisconnecting] {
		disconnectedAt = append(disconnectedAt, time.Now())
		if reset {
			disconnect(conn, reset)
		} else if err := conn.(*net.TCPConn).CloseWrite(); err != nil { // sends a FIN as Close does, and keeps the socket for retransmissions
			b.t.Fatal(err)
		}
		baseline.clientEnds[i].Close()
	}
	b.await("all disconnects to be noticed", func() bool { return b.noticed.count() >= burstDisconnecting })
	close(stop)
	machineDelay = <-timerDelay
	for i, endNoticed := range baseline.endNoticed {
		machineDelay = max(machineDelay, (<-endNoticed).Sub(disconnectedAt[i]))
	}
	return disconnectedAt, machineDelay
}

// expectServed checks that the requests of the given clients are served.
func (b *disconnectBurst) expectServed(conns []net.Conn) {
	b.t.Helper()
	for _, conn := range conns {
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			b.t.Fatalf("a client that stayed got %v, %v", response, err)
		}
	}
}

// expectRetries checks that each request of a client that stayed had two attempts, and that no other request was retried.
func (b *disconnectBurst) expectRetries() {
	b.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	retriedDisconnected, retriedStaying := 0, 0
	for i := range b.conns {
		switch attempts := b.attempts[b.requestID(i)]; {
		case i < burstDisconnecting && attempts > 1:
			retriedDisconnected++
		case i >= burstDisconnecting && attempts == 2:
			retriedStaying++
		}
	}
	b.t.Logf("retried: %d of %d that disconnected, %d of %d that stayed", retriedDisconnected, burstDisconnecting, retriedStaying, burstStaying)
	if retriedDisconnected > 0 || retriedStaying != burstStaying {
		b.t.Errorf("retried: %d that disconnected, and %d of %d that stayed", retriedDisconnected, retriedStaying, burstStaying)
	}
}

// expectNoticedInTime checks how long after each disconnect the sidecar noticed it.
func (b *disconnectBurst) expectNoticedInTime(disconnectedAt []time.Time, machineDelay time.Duration, reset bool) {
	b.t.Helper()
	var delays []time.Duration
	retransmitted := 0
	b.noticed.mu.Lock()
	for i, at := range disconnectedAt {
		if !reset && retransmissions(b.t, b.conns[i]) > 0 {
			retransmitted++
			continue
		}
		delays = append(delays, b.noticed.noticedAt[b.requestID(i)].Sub(at))
	}
	b.noticed.mu.Unlock()
	if retransmitted > burstDisconnecting/20 {
		b.t.Fatalf("%d of %d ends had to be sent again", retransmitted, burstDisconnecting)
	}
	slices.Sort(delays)
	b.t.Logf("%d disconnected: noticed after p50 %v, p99 %v, max %v (the machine late by up to %v, %d ends sent again)", burstDisconnecting,
		percentile(delays, 0.5), percentile(delays, 0.99), percentile(delays, 1), machineDelay.Round(100*time.Microsecond), retransmitted)
	if percentile(delays, 1) > maxDisconnectDelay+4*machineDelay || percentile(delays, 0) < 0 {
		b.t.Errorf("a disconnect was noticed after %v, and the machine was late by %v at most", percentile(delays, 1), machineDelay)
	}
}
