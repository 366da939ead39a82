package world

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is one entry of discovery's list.
type Host struct {
	Name    string  `json:"host"`
	Address string  `json:"dial"`
	Zone    string  `json:"site"`
	Kind    string  `json:"class"`
	Pod     int     `json:"block"`
	Health  string  `json:"health"`
	Share   float64 `json:"share"`
	BornMS  int64   `json:"born_ms"`
}

// Discovery is a stand-in for discovery with a list that does not change.
type Discovery struct {
	Address string
	server  *http.Server
	hosts   []Host
	ended   chan struct{}
	once    sync.Once
}

// StartDiscovery serves the list.
func StartDiscovery(hosts []Host) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: listener.Addr().String(), hosts: hosts, ended: make(chan struct{})}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: 5 * time.Second}
	go d.server.Serve(listener)
	return d, nil
}

// Close ends the service.
func (d *Discovery) Close() {
	d.once.Do(func() { close(d.ended) })
	d.server.Close()
}

// ServeHTTP answers a call for the list at once, and a watch when its wait is over.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const version = 1
	after, err := strconv.Atoi(r.FormValue("after"))
	isWhole := err != nil || after < version
	hosts := d.hosts
	if !isWhole {
		hosts = []Host{}
		wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
		select {
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-d.ended:
			return
		}
	}
	json.NewEncoder(w).Encode(map[string]any{"seq": version, "whole": isWhole, "hosts": hosts})
}
