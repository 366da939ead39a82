package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/endpointtest"
)

// After a response that leaves the state of the connection uncertain the connection is closed, and the next request opens
// another one.
func TestConnectionInDoubtIsNotReused(t *testing.T) {
	for name, response := range map[string]string{
		"a second response with the first":      endpointtest.OKResponse + endpointtest.OKResponse,
		"an incomplete line after the response": endpointtest.OKResponse + "HTTP/1.1 2",
		"a change of protocols":                 "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
	} {
		server := endpointtest.NewServer(t, endpointtest.Always(response))
		client := newTestClient(t, 4)
		for range 2 {
			client.Attempt(context.Background(), &Target{Address: server.Address}, get("/"), nil)
		}
		if n, conns := server.Counts(); n != 2 || conns != 2 {
			t.Errorf("%s: %d requests on %d connections, want 2 on 2", name, n, conns)
		}
		if open, idle := client.ConnectionCounts(); open != 0 || idle != 0 {
			t.Errorf("%s: %d connections are open, %d of them idle", name, open, idle)
		}
	}
}

// A second response that arrives while the connection is idle is not taken for the response to the next request.
func TestLateSecondResponseIsNotTakenForTheNext(t *testing.T) {
	sendLate := make(chan struct{})
	server := endpointtest.NewServer(t, func(server *endpointtest.Server, conn net.Conn, in *bufio.Reader) {
		for server.ReadRequest(in) != nil {
			if n, _ := server.Counts(); n == 1 {
				io.WriteString(conn, endpointtest.OKResponse)
				<-sendLate
				io.WriteString(conn, strings.Replace(endpointtest.OKResponse, "done", "late", 1))
			} else {
				io.WriteString(conn, endpointtest.OKResponse)
			}
		}
	})
	client, target := newTestClient(t, 4), &Target{Address: server.Address}
	client.Attempt(context.Background(), target, get("/"), nil)
	close(sendLate)
	endpointtest.WaitFor(t, "the second response", func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return !client.idle[target][0].isQuiet()
	})
	if result := client.Attempt(context.Background(), target, get("/"), nil); string(result.Body) != "done" {
		t.Errorf("the second request got %q, %v", result.Body, result.Status)
	}
}

// An idle connection that its endpoint has closed is not reused. A request written to it would fail with status Reset and count
// as one that may have run.
func TestIdleConnectionClosedByTheEndpointIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 2)
	server := endpointtest.NewServer(t, func(server *endpointtest.Server, conn net.Conn, in *bufio.Reader) {
		server.ReadRequest(in)
		io.WriteString(conn, endpointtest.OKResponse)
		conn.Close()
		closed <- struct{}{}
	})
	client, target := newTestClient(t, 1), &Target{Address: server.Address}
	for i := range 2 {
		if result := client.Attempt(context.Background(), target, get("/"), nil); result.Status != balancer.OK {
			t.Fatalf("attempt %d: status %v, want OK", i, result.Status)
		}
		<-closed
		endpointtest.WaitFor(t, "the end of the connection to arrive", func() bool {
			client.mu.Lock()
			defer client.mu.Unlock()
			return len(client.idle[target]) == 0 || !client.idle[target][0].isQuiet()
		})
	}
}

// Idle connections are no longer used some time before the endpoint's keepalive timeout, and CloseExpired closes them then.
func TestIdleConnectionsExpireBeforeTheEndpointClosesThem(t *testing.T) {
	server := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	client, target := newTestClient(t, 4), &Target{Address: server.Address}
	if limit := 5 * time.Second; client.maxIdleTime > limit*4/5 {
		t.Errorf("idle connections are used for %v of %v", client.maxIdleTime, limit)
	}
	attempt := func() {
		t.Helper()
		if result := client.Attempt(context.Background(), target, get("/"), nil); result.Status != balancer.OK {
			t.Fatalf("status %v", result.Status)
		}
	}
	attempt()
	client.idle[target][0].idleSince = time.Now().Add(-client.maxIdleTime)
	attempt()
	if _, conns := server.Counts(); conns != 2 {
		t.Errorf("%d connections, want a second one after the maximum idle time", conns)
	}
	client.CloseExpired()
	if client.open != 1 {
		t.Errorf("CloseExpired left %d connections open, want the one used last", client.open)
	}
	client.idle[target][0].idleSince = time.Now().Add(-client.maxIdleTime)
	client.CloseExpired()
	if client.open != 0 || len(client.idle[target]) != 0 {
		t.Errorf("CloseExpired left %d connections open", client.open)
	}
	attempt()
	if client.Retire(target); client.open != 0 {
		t.Errorf("a retired target keeps %d connections", client.open)
	}
}

// At the limit of open connections an idle connection is closed to open a new one. A connection in use is not closed.
func TestOpenConnectionsAreLimited(t *testing.T) {
	quick, slow := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)), endpointtest.NewServer(t, endpointtest.Silent)
	client := newTestClient(t, 1)
	if result := client.Attempt(context.Background(), &Target{Address: quick.Address}, get("/"), nil); result.Status != balancer.OK {
		t.Fatalf("status %v", result.Status)
	}
	ctx, cancel := context.WithCancel(context.Background())
	busy := make(chan Result)
	go func() { busy <- client.Attempt(ctx, &Target{Address: slow.Address}, get("/"), nil) }()
	endpointtest.WaitFor(t, "the slow endpoint's request", func() bool { n, _ := slow.Counts(); return n == 1 })
	if result := client.Attempt(context.Background(), &Target{Address: quick.Address}, get("/"), nil); result.Status != balancer.NotSent {
		t.Errorf("beyond the limit: status %v, want NotSent", result.Status)
	}
	cancel()
	if result := <-busy; result.Status != balancer.Cancelled {
		t.Errorf("cancelled: status %v, want Cancelled", result.Status)
	}
	if result := client.Attempt(context.Background(), &Target{Address: quick.Address}, get("/"), nil); result.Status != balancer.OK {
		t.Errorf("below the limit again: status %v, want OK", result.Status)
	}
}

// Idle connections beyond the limit are closed, and the others stay open.
func TestIdleConnectionsAreLimited(t *testing.T) {
	client := newTestClient(t, 6)
	var targets []*Target
	for range 4 {
		targets = append(targets, &Target{Address: endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address})
	}
	requestAll := func() {
		t.Helper()
		for _, target := range targets {
			if result := client.Attempt(context.Background(), target, get("/"), nil); result.Status != balancer.OK {
				t.Fatalf("%v, %v", result.Status, result.Err)
			}
		}
	}
	requestAll()
	if open, idle := client.ConnectionCounts(); open != 4 || idle != 4 {
		t.Fatalf("%d open, %d idle; want 4 and 4", open, idle)
	}
	client.SetLimits(6, 2)
	for range 2 {
		if open, idle := client.ConnectionCounts(); open != 2 || idle != 2 {
			t.Errorf("%d open, %d idle; want 2 and 2", open, idle)
		}
		requestAll()
	}
}

// A request is not sent to a target that was retired during the dial.
func TestRetireDuringDialStopsTheRequest(t *testing.T) {
	server := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	client, target := newTestClient(t, 1), &Target{Address: server.Address}
	dialing, continueDial := make(chan struct{}), make(chan struct{})
	client.Dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		close(dialing)
		<-continueDial
		return nil
	}
	done := make(chan Result)
	go func() { done <- client.Attempt(context.Background(), target, get("/"), nil) }()
	<-dialing
	client.Retire(target)
	close(continueDial)
	if result := <-done; result.Status != balancer.NotSent {
		t.Errorf("status %v, want NotSent", result.Status)
	}
	if n, _ := server.Counts(); n != 0 {
		t.Errorf("the retired target received %d requests", n)
	}
	if result := client.Attempt(context.Background(), target, get("/"), nil); result.Status != balancer.NotSent || client.open != 0 {
		t.Errorf("later: status %v, want NotSent; %d connections open", result.Status, client.open)
	}
}
