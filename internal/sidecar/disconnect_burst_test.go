package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"bramblestand/internal/discovery"
	"bramblestand/internal/endpointtest"
)

// maxDisconnectDelay is how long after a client's close an attempt may still begin.
const maxDisconnectDelay = 100 * time.Millisecond

// measureTimerDelay tells by how much, at most, the machine let a timer of 5 ms run over until stop is closed.
func measureTimerDelay(stop <-chan struct{}) <-chan time.Duration {
	told := make(chan time.Duration, 1)
	go func() {
		const gap = 5 * time.Millisecond
		var most time.Duration
		for {
			start := time.Now()
			select {
			case <-stop:
				told <- most
				return
			case <-time.After(gap):
				most = max(most, time.Since(start)-gap)
			}
		}
	}()
	return told
}

// plainConns are connections whose far ends do nothing but wait for their end: what the machine makes of as many
// departures without a sidecar.
type plainConns struct {
	near    []net.Conn
	endSeen []chan time.Time // when the far end saw it
}

func newPlainConns(t *testing.T, n int) *plainConns {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := &plainConns{}
	for range n {
		near, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		far, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		seen := make(chan time.Time, 1)
		go func() {
			defer far.Close()
			far.Read(make([]byte, 1))
			seen <- time.Now()
		}()
		p.near, p.endSeen = append(p.near, near), append(p.endSeen, seen)
	}
	return p
}

// retransmissions says how many of a connection's segments the system had to send again: what was lost on the way, which a busy
// machine does to loopback too, arrives 0.2 s later or more, and nobody can notice it before.
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

// Hundreds of clients leave at once, each with a first attempt out that then turns out never to have run: nothing goes
// on to another server for them, while those who stayed are tried again. Each departure is noticed in time, but for what
// the machine itself is late: by its timers, and by plain connections that end beside the clients'. A few ends that the
// system had to send again are left out. It does not run beside other tests of this package.
func TestBurstOfDisconnectsIsNotRetried(t *testing.T) {
	const leaving, staying = 300, 20
	for _, cancel := range []bool{true, false} {
		for _, reset := range []bool{true, false} {
			t.Run(fmt.Sprintf("cancel %v, reset %v", cancel, reset), func(t *testing.T) {
				name := fmt.Sprint("burst-", cancel, reset, "-")
				var mu sync.Mutex
				came := map[string]int{} // attempts by request
				turnAway := make(chan struct{})
				e := endpointtest.NewServer(t, func(e *endpointtest.Server, conn net.Conn, in *bufio.Reader) {
					for {
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						id := r.Header.Get("X-Correlation-Id")
						mu.Lock()
						came[id]++
						first := came[id] == 1
						mu.Unlock()
						if first {
							<-turnAway
							io.WriteString(conn, endpointtest.RejectedResponse)
						} else {
							io.WriteString(conn, endpointtest.OKResponse)
						}
					}
				})
				var hosts []discovery.Endpoint // so many that none is too busy for a request
				for i := range leaving + staying {
					hosts = append(hosts, readyEndpoint(fmt.Sprint("s-", i), e.Address))
				}
				w := &testSidecar{t: t, registry: newFakeRegistry(t, hosts...)}
				noticed := newDisconnectLog()
				w.log = noticed
				cfg := newTestConfig(t, w.registry.address, func(s map[string]any) {
					s["limits"].(map[string]any)["cancel"] = cancel
					read := s["classes"].([]any)[0].(map[string]any)
					read["target"], read["give-up"] = time.Minute.Microseconds(), time.Minute.Microseconds() // however busy the machine
				}, hosts...)
				cfg.Limits.Sockets = 2048
				w.launch(cfg)
				w.await("the list", func() bool { return w.loop.hasEndpoints.Load() })
				var conns []net.Conn
				for i := range leaving + staying {
					conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
					if err != nil {
						t.Fatal(err)
					}
					defer conn.Close()
					conns = append(conns, conn)
					r := w.request("read", "", time.Minute)
					r.Header.Set("X-Correlation-Id", fmt.Sprint(name, i))
					r.Write(conn)
				}
				w.await("all first attempts", func() bool { mu.Lock(); defer mu.Unlock(); return len(came) == leaving+staying })
				plain := newPlainConns(t, leaving)
				stop := make(chan struct{})
				late := measureTimerDelay(stop)
				left := make([]time.Time, leaving)
				for i := range leaving {
					left[i] = time.Now()
					if reset {
						disconnect(conns[i], reset)
					} else if err := conns[i].(*net.TCPConn).CloseWrite(); err != nil { // all that a close sends; what became of it can be asked
						t.Fatal(err)
					}
					plain.near[i].Close()
				}
				w.await("all departures to be noticed", func() bool { return noticed.count() >= leaving })
				close(stop)
				slack := <-late
				for i, seen := range plain.endSeen {
					slack = max(slack, (<-seen).Sub(left[i]))
				}
				close(turnAway)
				for _, conn := range conns[leaving:] { // who stayed is served by another
					conn.SetReadDeadline(time.Now().Add(testTimeout))
					answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil || answer.StatusCode != http.StatusOK {
						t.Fatalf("who stayed got %v, %v", answer, err)
					}
				}
				w.await("the ledger to be empty", func() bool {
					n := 0
					w.onLoop(func() { n = len(w.loop.requests) })
					return n == 0
				})
				again, stayed := 0, 0
				mu.Lock()
				for i := range leaving + staying {
					switch n := came[fmt.Sprint(name, i)]; {
					case i < leaving && n > 1:
						again++
					case i >= leaving && n == 2:
						stayed++
					}
				}
				mu.Unlock()
				var delays []time.Duration
				lost := 0
				noticed.mu.Lock()
				for i, at := range left {
					if !reset && retransmissions(t, conns[i]) > 0 {
						lost++
						continue
					}
					delays = append(delays, noticed.noticedAt[fmt.Sprint(name, i)].Sub(at))
				}
				noticed.mu.Unlock()
				if lost > leaving/20 {
					t.Fatalf("%d of %d ends had to be sent again", lost, leaving)
				}
				slices.Sort(delays)
				p := func(q float64) time.Duration {
					return delays[int(q*float64(len(delays)-1))].Round(100 * time.Microsecond)
				}
				t.Logf("%d left: noticed after p50 %v, p99 %v, max %v (the machine late by up to %v, %d ends sent again); tried again %d; of %d who stayed %d",
					leaving, p(0.5), p(0.99), p(1), slack.Round(100*time.Microsecond), lost, again, staying, stayed)
				if again > 0 || stayed != staying {
					t.Errorf("%d who had left were tried again, and %d of %d who stayed", again, stayed, staying)
				}
				if p(1) > maxDisconnectDelay+4*slack || p(0) < 0 {
					t.Errorf("a departure was noticed after %v, and the machine was late by %v at most", p(1), slack)
				}
			})
		}
	}
}
