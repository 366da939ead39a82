// Command 9 is a case of the second review: a retry of a keyed request is decided within the window for repeats, but the connection
// for it comes up late, and the request is written after the window.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramblestand/review/lib2"
)

const (
	window      = 900 * time.Millisecond
	slack       = 50*time.Millisecond + 150*time.Millisecond // on sockets, and for a sidecar that is held up
	resetAfter  = 400 * time.Millisecond                     // into the work of a request
	heldAfter   = 500 * time.Millisecond                     // after the reset: no connection comes up until then
	dialTimeout = 1200 * time.Millisecond
	work        = 100 * time.Millisecond
	timeLeft    = 2 * time.Second
	rounds      = 8
)

func main() { lib2.Main(run) }

// gate is the listener of a pin server whose connections can come up late: while its queue is full, the system drops attempts to
// connect, which the other side's system repeats a second after the first.
type gate struct {
	listener *net.TCPListener
	address  string
	accepts  sync.Mutex // held over an Accept, and while connections come up late
}

func newGate() *gate {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	lib2.Must(err)
	lib2.Must(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	lib2.Must(syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	listener, err := net.FileListener(file)
	lib2.Must(err)
	return &gate{listener: listener.(*net.TCPListener), address: listener.Addr().String()}
}

// serve accepts connections.
func (g *gate) serve(server *lib2.PinServer) {
	for {
		g.accepts.Lock()
		conn, err := g.listener.Accept()
		g.accepts.Unlock()
		if err == nil {
			go server.ServeConn(conn)
		}
		time.Sleep(100 * time.Microsecond) // lets hold take the lock
	}
}

// hold lets connections come up late for a time.
func (g *gate) hold(duration time.Duration) {
	g.listener.SetDeadline(time.Unix(1, 0))
	g.accepts.Lock()
	filler, err := net.Dial("tcp", g.address)
	lib2.Must(err)
	time.AfterFunc(duration, func() {
		filler.Close()
		g.listener.SetDeadline(time.Time{})
		g.accepts.Unlock()
	})
}

// pod is a pod of pin servers that drop a repeat of a request within the window.
type pod struct {
	*lib2.Case
	gates []*gate

	mu      sync.Mutex
	firstAt map[string]time.Time
	runs    map[string]int
	tooLate int // sends after the window and its slack
}

// arrive records that a request has arrived in full, and reports whether it is the first time.
func (p *pod) arrive(id string, server int) (isFirst bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, isRepeat := p.firstAt[id]
	if !isRepeat {
		p.firstAt[id] = time.Now()
		p.runs[id] = 1
		p.Printf("%s runs at s-%d", id, server)
		return true
	}
	after := time.Since(at)
	if after <= window {
		p.Printf("%s is sent again, to s-%d, %v after the first send: dropped as a repeat", id, server, after)
		return false
	}
	p.runs[id]++
	p.Printf("%s is sent again, to s-%d, %v after the first send: it runs AGAIN", id, server, after)
	if after > window+slack {
		p.tooLate++
	}
	return false
}

func (p *pod) handle(server int) func(net.Conn, *http.Request, []byte) bool {
	return func(conn net.Conn, request *http.Request, _ []byte) bool {
		id := request.Header.Get("X-Correlation-Id")
		if p.arrive(id, server) && p.Trouble && strings.HasPrefix(id, "reset") {
			for i, other := range p.gates {
				if i != server && os.Getenv("LATE") != "0" {
					go other.hold(resetAfter + heldAfter)
				}
			}
			time.Sleep(resetAfter)
			lib2.Reset(conn)
			return false
		}
		time.Sleep(work)
		text := "saved:" + id
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return false
	}
}

func run(c *lib2.Case) (int, string) {
	settings := lib2.Settings()
	settings["classes"].([]lib2.Object)[0]["window"] = window.Microseconds()
	limits := settings["limits"].(lib2.Object)
	limits["probes"], limits["dial-timeout"] = false, dialTimeout.Microseconds()
	p := &pod{Case: c, firstAt: map[string]time.Time{}, runs: map[string]int{}}
	var hosts []lib2.Host
	for i := range 3 {
		g := newGate()
		p.gates = append(p.gates, g)
		go g.serve(&lib2.PinServer{Handle: p.handle(i)})
		hosts = append(hosts, lib2.ReadyHost(fmt.Sprintf("s-%d", i), g.address, 1))
	}
	agent := lib2.StartAgent(hosts...)
	sidecar := c.StartSidecar(lib2.SidecarOptions{Name: "n1", Discovery: agent.Address, Settings: settings})
	time.Sleep(time.Second)

	counts := map[string]int{}
	for i := range rounds {
		// In each round six connections are made to pin servers, and one of them comes up late.
		for _, kind := range []string{"plain-a", "plain-b", "plain-c", "plain-d", "reset"} {
			id := fmt.Sprintf("%s-%d", kind, i)
			conn, err := c.DialClient(sidecar.Listen)
			lib2.Must(err)
			answer := conn.Do(lib2.Request{Class: "save-pins", ID: id, Key: "k-" + id, TimeLeft: timeLeft, Body: "pin"}, time.Second)
			conn.Close()
			c.Printf("%s: %d %q %v after %v", id, answer.Status, answer.Body, answer.Err, answer.Took)
			counts[fmt.Sprint("status ", answer.Status)]++
			time.Sleep(200 * time.Millisecond)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	twice := 0
	for _, runs := range p.runs {
		if runs > 1 {
			twice++
		}
	}
	text := fmt.Sprintf("requests %v, sent again after the window and its slack %d, run twice %d", counts, p.tooLate, twice)
	if p.tooLate > 0 {
		return lib2.Broken, text
	}
	return lib2.Held, text
}
