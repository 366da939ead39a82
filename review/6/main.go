// Command 6 is a case of the second review: improper peers send `OPTIONS *` and stay. They are served with 200 and never closed
// or evicted, until the requests of proper clients are no longer accepted.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"bramblestand/review/lib2"
)

const (
	improperPeers = 130 // a sidecar with 256 descriptors has room for 112 clients
	peerInterval  = 10 * time.Millisecond
	owed          = 3 * time.Second // an improper peer is owed an error or a close within this time of connecting
	requests      = 40
	interval      = 200 * time.Millisecond
	timeLeft      = 2 * time.Second
	allowance     = 500*time.Millisecond + 50*time.Millisecond + 50*time.Millisecond // half a second, the slack on sockets, and the stand-in's own lateness
)

func main() { lib2.Main(run) }

func run(c *lib2.Case) (int, string) {
	var mu sync.Mutex
	counts := map[string]int{}
	count := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		counts[what]++
	}
	handle := func(conn net.Conn, request *http.Request, _ []byte) bool {
		if id := request.Header.Get("X-Correlation-Id"); id == insideID {
			c.Printf("a pin server got request %s, which stood inside the body of another", id)
			count("pin server got a request from inside a body")
		}
		time.Sleep(100 * time.Millisecond)
		io.WriteString(conn, lib2.OK("saved:"+request.Header.Get("X-Correlation-Id")))
		return true
	}
	agent := lib2.StartAgent(lib2.ReadyHost("s-0", c.StartPinServer(handle).Address, 1),
		lib2.ReadyHost("s-1", c.StartPinServer(handle).Address, 1))
	sidecar := c.StartSidecar(lib2.SidecarOptions{Name: "n1", Discovery: agent.Address, Settings: lib2.Settings()})
	time.Sleep(time.Second)

	if c.Trouble {
		hiddenRequest(c, sidecar.Listen)
		for i := range improperPeers {
			go improperPeer(c, sidecar.Listen, i, count)
			time.Sleep(peerInterval)
		}
		time.Sleep(owed)
	}

	var clients sync.WaitGroup
	for i := range requests {
		lib2.Go(&clients, func() {
			id := fmt.Sprintf("r%d", i)
			conn, err := c.DialClient(sidecar.Listen)
			lib2.Must(err)
			defer conn.Close()
			answer := conn.Do(lib2.Request{Class: "save-pins", ID: id, Key: "k-" + id, TimeLeft: timeLeft, Body: "pin"}, 2*time.Second)
			c.Printf("%s: %d %q %v after %v", id, answer.Status, answer.Body, answer.Err, answer.Took)
			count(fmt.Sprint("proper request: status ", answer.Status))
			if answer.Status == 0 || answer.Took > timeLeft+allowance {
				count("lost")
			}
		})
		time.Sleep(interval)
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if counts["lost"] > 0 || counts["pin server got a request from inside a body"] > 0 || counts["improper peer: served with 200"] > 0 {
		return lib2.Broken, fmt.Sprint(counts)
	}
	return lib2.Held, fmt.Sprint(counts)
}

// insideID is the id of the request that no client sends as a request of its own.
const insideID = "inside"

// hiddenRequest sends, after an `OPTIONS *`, a second one whose body has a length and chunks, and has a request inside.
func hiddenRequest(c *lib2.Case, address string) {
	conn, err := net.Dial("tcp", address)
	lib2.Must(err)
	defer conn.Close()
	body := "0\r\n\r\n" + lib2.Request{Class: "save-pins", ID: insideID, Key: "k-inside", TimeLeft: timeLeft, Body: "pin"}.Text()
	fmt.Fprintf(conn, "OPTIONS * HTTP/1.1\r\nHost: api.internal\r\n\r\nOPTIONS * HTTP/1.1\r\nHost: api.internal\r\n"+
		"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(body), body)
	conn.SetReadDeadline(time.Now().Add(time.Second))
	text, _ := io.ReadAll(conn)
	c.Printf("the peer that hid a request got %q", text)
}

// improperPeer sends a request that is none of the protocol's, and stays until it is closed.
func improperPeer(c *lib2.Case, address string, i int, count func(string)) {
	conn, err := net.Dial("tcp", address)
	lib2.Must(err)
	defer conn.Close()
	c.Printf("improper peer %d sends OPTIONS *", i)
	io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: api.internal\r\n\r\n")
	buffer := make([]byte, 4096)
	conn.SetReadDeadline(time.Now().Add(owed))
	n, err := conn.Read(buffer)
	line, _, _ := strings.Cut(string(buffer[:n]), "\r\n")
	c.Printf("improper peer %d got %q %v", i, line, err)
	switch {
	case strings.HasPrefix(line, "HTTP/1.1 200"):
		count("improper peer: served with 200")
	case n == 0 && lib2.IsTimeout(err):
		count("improper peer: nothing within 3 s")
	default:
		count("improper peer: error or close")
	}
	conn.SetReadDeadline(time.Time{})
	for err == nil || lib2.IsTimeout(err) {
		_, err = conn.Read(buffer)
	}
}
