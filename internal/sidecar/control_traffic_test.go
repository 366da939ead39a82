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
)

// counted is what a stand-in saw of one kind of control, by its own count of a connection's bytes.
type counted struct{ sent, sentBytes, received, receivedBytes, conns uint64 } // as the sidecar names the two ways

func told(k controltraffic.Traffic) counted {
	return counted{k.Sent.Messages, k.Sent.Bytes, k.Received.Messages, k.Received.Bytes, k.Opened + k.Accepted}
}

// ledger is what the stand-ins of one test saw.
type ledger struct {
	mu          sync.Mutex
	probe, call counted
	discovery   counted
	orders      counted
	news        chan struct{} // closed to let a watch be answered
}

// taps counts the bytes read through it.
type taps struct {
	io.Reader
	n uint64
}

func (t *taps) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	t.n += uint64(n)
	return n, err
}

// serve answers requests byte by byte and gives each to note, with its bytes and the answer's, before the answer is sent.
func (l *ledger) serve(t *testing.T, answer func(r *http.Request) string, note func(r *http.Request, first bool, in, out uint64)) string {
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
			go func() {
				defer conn.Close()
				tap := &taps{Reader: conn}
				in, before := bufio.NewReader(tap), uint64(0)
				for first := true; ; first = false {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					now := tap.n - uint64(in.Buffered())
					text := answer(r)
					l.mu.Lock()
					note(r, first, now-before, uint64(len(text)))
					l.mu.Unlock()
					before = now
					io.WriteString(conn, text)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func (c *counted) add(in, out uint64) {
	c.sent, c.sentBytes, c.received, c.receivedBytes = c.sent+1, c.sentBytes+in, c.received+1, c.receivedBytes+out
}

func httpAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Messages and bytes of probes, calls of discovery and operators' calls are what the other ends of the connections
// count, with calls of the application beside them on the same connections; a count that leaves a kind out, or counts
// one twice, is not.
func TestControlTrafficEqualsWhatItsPeersCount(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(l *loop)
		wrong string // the kind whose count is not right
	}{
		"right":             {func(*loop) {}, ""},
		"leaves out probes": {func(l *loop) { l.up.probes = nil }, "probe"},
		"leaves out discovery": {func(l *loop) {
			l.disc = discovery.NewClient(l.disc.Address(), discovery.Options{Traffic: &controltraffic.Counter{}})
		}, "discovery"},
		"probes among the rest": {func(l *loop) { l.up.probes = &l.control.Discovery }, "discovery"},
		"counts twice": {func(l *loop) {
			counted := &l.control.Discovery
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				return controltraffic.Conn{Conn: conn, Counter: counted}, err
			}
			l.disc = discovery.NewClient(l.disc.Address(), discovery.Options{Traffic: counted, Dial: dial})
		}, "discovery"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := &ledger{news: make(chan struct{})}
			address := l.serve(t, func(r *http.Request) string {
				if r.URL.Path == "/stats" {
					return httpAnswer("failed_ps=0,pending=1")
				}
				return httpAnswer("done")
			}, func(r *http.Request, first bool, in, out uint64) {
				kind := &l.call
				if r.URL.Path == "/stats" {
					kind = &l.probe
				}
				kind.add(in, out)
				if first {
					kind.conns++
				}
			})
			list, _ := json.Marshal(discovery.List{Version: 7, IsFull: true, Endpoints: []discovery.Endpoint{ready("s-1", address)}})
			agent := l.serve(t, func(r *http.Request) string {
				if r.FormValue("after") == "" {
					return httpAnswer(string(list))
				}
				if r.FormValue("wait_ms") != "0" {
					<-l.news // one more answer, and then none
				}
				return httpAnswer(`{"seq":7,"whole":false,"hosts":[]}`)
			}, func(r *http.Request, first bool, in, out uint64) {
				l.discovery.add(in, out)
				if first {
					l.discovery.conns++
				}
			})
			w := &world{t: t, before: c.spoil}
			cfg := configure(t, agent, func(settings map[string]any) {
				settings["limits"].(map[string]any)["probes"] = true
				settings["prices"] = map[string]any{"probe": 1.0}
			})
			cfg.AdminAddress = "127.0.0.1:0"
			w.launch(cfg)
			w.openAdmin()
			seen := func(of *counted) uint64 {
				l.mu.Lock()
				defer l.mu.Unlock()
				return of.received
			}
			w.until("lists and probes", func() bool { return seen(&l.discovery) >= 1 && seen(&l.probe) >= 2 })
			for range 3 {
				if got := w.send(w.request("read", "", 2*time.Second)); got.code != http.StatusOK {
					t.Fatalf("a call: %+v", got)
				}
			}
			order := func(text string) { // a call of an operator's, read to its end
				conn, err := net.Dial("tcp", w.adminAddress)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(patience))
				io.WriteString(conn, text)
				answer, err := io.ReadAll(conn)
				if err != nil {
					t.Fatal(err)
				}
				l.mu.Lock()
				defer l.mu.Unlock()
				// An operator's call is received, its answer sent.
				l.orders.add(uint64(len(answer)), uint64(len(text)))
				l.orders.conns++
			}
			order("GET /pin-servers HTTP/1.1\r\nHost: o\r\n\r\n")
			order("POST /pin-servers/disable HTTP/1.1\r\nHost: o\r\nContent-Length: 3\r\n\r\ns-9")
			order("GET /control HTTP/1.1\r\nHost: o\r\n\r\n")
			// All is counted once nothing is on its way: the counts are equal at some time, or never.
			equal := func(kind string) bool {
				l.mu.Lock()
				before := map[string]counted{"probe": l.probe, "discovery": l.discovery, "orders": l.orders}
				l.mu.Unlock()
				return told(w.loop.control.Status(nil).Kinds[kind]) == before[kind]
			}
			close(l.news)
			for _, kind := range []string{"probe", "discovery", "orders"} {
				if kind != c.wrong {
					if kind == "probe" && c.wrong != "" {
						continue // some of the wrong counts take probes away
					}
					w.until("the right count of "+kind, func() bool { return equal(kind) })
					continue
				}
				// By now there was one of it, and what is wrong stays so: also after the next probes.
				for n := seen(&l.probe); seen(&l.probe) < n+2; time.Sleep(5 * time.Millisecond) {
					if equal(kind) {
						t.Fatalf("%s is counted as it should be", kind)
					}
				}
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.call.received != 3 || l.discovery.received < 2 || l.orders.received != 3 {
				t.Errorf("calls %+v, discovery %+v, orders %+v", l.call, l.discovery, l.orders)
			}
		})
	}
}

// A process without operators counts nothing, and its calls of discovery use the system's connections.
func TestControlTrafficIsNotCountedWithoutAnAdminAddress(t *testing.T) {
	l, err := newLoop(context.Background(), configure(t, "127.0.0.1:1", nil), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	calls := l.disc.Options()
	if l.control != nil || l.up.probes != nil || calls.Traffic != nil {
		t.Errorf("counted without operators: %v, %v, %v", l.control, l.up.probes, calls.Traffic)
	}
	if calls.Dial != nil || calls.Transport != nil { // else connections are bare, as the client's own test shows
		t.Errorf("discovery is called through %+v, want the system's connections", calls)
	}
}

// The operators' address tells the counts, and discovery at a new address is counted like the first.
func TestControlStatusCoversEveryKindAndAChangedDiscovery(t *testing.T) {
	w := &world{t: t, dir: newDirectory(t, ready("s-1", newEndpoint(t, always(served)).address))}
	cfg := configure(t, w.dir.address, nil)
	cfg.AdminAddress = "127.0.0.1:0"
	w.launch(cfg)
	w.openAdmin()
	ask := func() (s controltraffic.Status) {
		r, _ := http.NewRequest(http.MethodGet, "http://"+w.adminAddress+"/control", nil)
		got := w.send(r)
		decoder := json.NewDecoder(strings.NewReader(got.body))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&s); err != nil || got.code != http.StatusOK {
			t.Fatalf("%+v: %v", got, err)
		}
		return s
	}
	w.until("a list to be told", func() bool { return ask().Kinds["discovery"].Received.Messages > 0 })
	s := ask()
	sum := uint64(0)
	for _, name := range controltraffic.Kinds {
		k, ok := s.Kinds[name]
		if !ok {
			t.Errorf("%s is not told", name)
		}
		sum += k.TotalWireBytes()
	}
	if len(s.Kinds) != len(controltraffic.Kinds) || sum != s.WireBytes || s.Seconds <= 0 {
		t.Errorf("told %+v, want a sum of %d", s, sum)
	}
	if orders := s.Kinds["orders"]; orders.Accepted < 2 || orders.Sent.Messages+1 < orders.Received.Messages {
		t.Errorf("orders %+v", orders)
	}
	before := s.Kinds["discovery"].Opened
	second := newDirectory(t, ready("s-1", newEndpoint(t, always(served)).address))
	w.do(func() { w.loop.rediscover(second.address) })
	w.until("calls of the new discovery", func() bool { return second.count() > 0 && ask().Kinds["discovery"].Opened > before })
}
