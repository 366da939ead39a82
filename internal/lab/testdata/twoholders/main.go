// Command twoholders is a faulty sidecar for a test of the lab. A sidecar holds
// the lease "sweep" if it has received no announcement of a lower name in the
// last 300 ms. Since it needs no majority, two sidecars hold the lease once a
// link between them is cut. The program implements only as much of a sidecar as
// the lab needs, and rejects all requests.
package main

import (
	"encoding/json"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	announceInterval = 50 * time.Millisecond
	peerTimeout      = 300 * time.Millisecond // a peer without an announcement for this long counts as down
	startDelay       = 400 * time.Millisecond // long enough to receive the peers' announcements before serving
)

// configuration is the part of a sidecar's configuration that this program uses.
type configuration struct {
	Name           string `json:"name"`
	ListenAddress  string `json:"listen"`
	PeerAddress    string `json:"peer_listen"`
	AllPeerAddress string `json:"peers_all"`
}

// holder announces this sidecar to its peers, and decides whether it holds the lease.
type holder struct {
	name   string
	socket net.PacketConn
	all    *net.UDPAddr // reaches all peers

	mu       sync.Mutex           // guards the fields below
	lastSeen map[string]time.Time // time of the last announcement, by the peer's name
	token    uint64               // fencing token of the current lease; 0 for none
}

func main() {
	config, err := readConfiguration()
	if err != nil {
		log.Fatal(err)
	}
	h, err := newHolder(config)
	if err != nil {
		log.Fatal(err)
	}
	go h.receive()
	go h.announce()
	time.Sleep(startDelay)
	http.HandleFunc("/duties", h.serveLeases)
	http.HandleFunc("/ready", func(http.ResponseWriter, *http.Request) {})
	http.HandleFunc("/health/ready", func(http.ResponseWriter, *http.Request) {})
	http.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusTooManyRequests) })
	go func() { log.Fatal(http.ListenAndServe(config.ListenAddress, nil)) }()
	log.Fatal(http.ListenAndServe(os.Getenv("BALANCER_OPS"), nil))
}

// readConfiguration reads the file that BALANCER_CONFIG names.
func readConfiguration() (c configuration, err error) {
	text, err := os.ReadFile(os.Getenv("BALANCER_CONFIG"))
	if err != nil {
		return c, err
	}
	return c, json.Unmarshal(text, &c)
}

// newHolder opens the socket for announcements.
func newHolder(c configuration) (*holder, error) {
	socket, err := net.ListenPacket("udp4", c.PeerAddress)
	if err != nil {
		return nil, err
	}
	all, err := net.ResolveUDPAddr("udp4", c.AllPeerAddress)
	if err != nil {
		return nil, err
	}
	return &holder{name: c.Name, socket: socket, all: all, lastSeen: map[string]time.Time{}}, nil
}

// receive records the peers' announcements until the socket is closed.
func (h *holder) receive() {
	buffer := make([]byte, 256)
	for {
		n, _, err := h.socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		h.mu.Lock()
		h.lastSeen[string(buffer[:n])] = time.Now()
		h.mu.Unlock()
	}
}

// announce periodically sends this sidecar's name to all peers and updates the lease.
func (h *holder) announce() {
	for range time.Tick(announceInterval) {
		h.socket.WriteTo([]byte(h.name), h.all)
		h.lease()
	}
}

// lease acquires or releases the lease and returns its token. The token is 0, and the lease released, if a peer with a
// lower name is up.
func (h *holder) lease() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, at := range h.lastSeen {
		if name < h.name && time.Since(at) < peerTimeout {
			h.token = 0
			return 0
		}
	}
	if h.token == 0 {
		h.token = uint64(time.Now().UnixMilli())
	}
	return h.token
}

// serveLeases responds with the leases that this sidecar holds, in the form that the lab's check "holder" reads.
func (h *holder) serveLeases(w http.ResponseWriter, _ *http.Request) {
	if token := h.lease(); token > 0 {
		fmt.Fprintf(w, `{"duties":{"sweep":%d}}`, token)
	} else {
		fmt.Fprint(w, `{"duties":{}}`)
	}
}
