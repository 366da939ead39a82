// Command twoholders is a sidecar's double that is wrong on purpose: the
// sidecar with the least name heard of in the last 300 ms holds the duty
// "sweep", with no majority asked, so that two hold it once a link is cut. It
// speaks as much of a sidecar's part as the lab needs, and refuses all requests.
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

func main() {
	var config struct {
		Name       string `json:"name"`
		Listen     string `json:"listen"`
		PeerListen string `json:"peer_listen"`
		PeersAll   string `json:"peers_all"`
	}
	text, err := os.ReadFile(os.Getenv("BALANCER_CONFIG"))
	if err == nil {
		err = json.Unmarshal(text, &config)
	}
	if err != nil {
		log.Fatal(err)
	}
	socket, err := net.ListenPacket("udp4", config.PeerListen)
	if err != nil {
		log.Fatal(err)
	}
	all, err := net.ResolveUDPAddr("udp4", config.PeersAll)
	if err != nil {
		log.Fatal(err)
	}
	var mu sync.Mutex
	heard := map[string]time.Time{}
	var token uint64 // of the claim now; 0 for none
	go func() {
		buffer := make([]byte, 256)
		for {
			n, _, err := socket.ReadFrom(buffer)
			if err != nil {
				return
			}
			mu.Lock()
			heard[string(buffer[:n])] = time.Now()
			mu.Unlock()
		}
	}()
	holds := func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		for name, at := range heard {
			if name < config.Name && time.Since(at) < 300*time.Millisecond {
				token = 0
				return 0
			}
		}
		if token == 0 {
			token = uint64(time.Now().UnixMilli())
		}
		return token
	}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			socket.WriteTo([]byte(config.Name), all)
			holds()
		}
	}()
	time.Sleep(400 * time.Millisecond) // until the others are heard
	http.HandleFunc("/duties", func(w http.ResponseWriter, r *http.Request) {
		if token := holds(); token > 0 {
			fmt.Fprintf(w, `{"duties":{"sweep":%d}}`, token)
		} else {
			fmt.Fprint(w, `{"duties":{}}`)
		}
	})
	http.HandleFunc("/ready", func(http.ResponseWriter, *http.Request) {})
	http.HandleFunc("/health/ready", func(http.ResponseWriter, *http.Request) {})
	http.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusTooManyRequests) })
	go func() { log.Fatal(http.ListenAndServe(config.Listen, nil)) }()
	log.Fatal(http.ListenAndServe(os.Getenv("BALANCER_OPS"), nil))
}
