package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramblestand/internal/endpointtest"
)

// While discovery is down, idle clients hold all the connections that the program allows clients, and more idle clients keep
// connecting. The program must still serve a client that sends requests, send health checks, and have a descriptor free to
// call discovery when that is back. In this test the system limits the program's descriptors.
func TestIdleClientsLeaveDescriptorsFree(t *testing.T) {
	const descriptors, idleClients, requests = 128, 200, 20
	firstAddress, firstHealthChecks, _ := newEndpoint(t)
	secondAddress, secondHealthChecks, secondRequests := newEndpoint(t)
	listen, discovery := freeAddress(t), freeAddress(t)
	cmd := newCommand(t, strings.NewReplacer(`"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, discovery),
		`"dial":"127.0.0.1:1"`, fmt.Sprintf(`"dial":%q`, firstAddress),
		`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, descriptors),
		`"limits":{"keepalive"`, `"limits":{"probes":true,"keepalive"`).Replace(newConfigText(listen)))
	cmd.Path, cmd.Args = "/bin/sh", []string{"sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, descriptors), os.Args[0]}
	log := &endpointtest.LogBuffer{}
	cmd.Stderr = log
	startProgram(t, cmd)
	waitUntil(t, "the program to be ready", func() bool { return isReady(listen) })

	opened := keepIdleClients(t, listen, idleClients)
	waitUntil(t, "the idle clients", func() bool { return opened.Load() > 2*idleClients })
	inUse := countDescriptors(t, cmd.Process.Pid)
	if inUse < descriptors/3 {
		t.Errorf("only %d descriptors are in use: the idle clients do not hold the connections that the test needs", inUse)
	}
	healthChecksBefore := firstHealthChecks.Load()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	served := 0
	for range requests {
		if sendRead(client, listen, true) == http.StatusOK {
			served++
		}
	}
	if served < 18 { // on a busy machine a request may be late
		t.Errorf("of %d requests, %d were served while discovery is down\n%s", requests, served, log)
	}
	waitUntil(t, "health checks", func() bool { return firstHealthChecks.Load() > healthChecksBefore })

	start := time.Now()
	serveSecondEndpoint(t, discovery, secondAddress)
	waitUntil(t, "the new list", func() bool {
		return sendRead(client, listen, true) == http.StatusOK && secondRequests.Load() > 0
	})
	listDelay := time.Since(start)
	waitUntil(t, "health checks of the new endpoint", func() bool { return secondHealthChecks.Load() > 0 })
	t.Logf("%d descriptors in use of %d, %d idle clients connected, %d of %d requests were served; the new list was used %v after discovery's return",
		inUse, descriptors, opened.Load(), served, requests, listDelay.Round(time.Millisecond))
	if strings.Contains(log.String(), "too many open files") {
		t.Errorf("descriptors ran out:\n%s", log)
	}
}

// keepIdleClients opens connections that send nothing, until the test ends. It keeps count connections open; from then on each
// new connection replaces the oldest. It returns the number of connections opened so far.
func keepIdleClients(t *testing.T, address string, count int) *atomic.Int64 {
	stop, ended := make(chan struct{}), make(chan struct{})
	opened := new(atomic.Int64)
	go func() {
		defer close(ended)
		var conns []net.Conn
		defer func() {
			for _, conn := range conns {
				conn.Close()
			}
		}()
		for {
			select {
			case <-stop:
				return
			default:
			}
			if conn, err := net.Dial("tcp", address); err == nil {
				opened.Add(1)
				conns = append(conns, conn)
			}
			if len(conns) > count {
				conns[0].Close()
				conns = conns[1:]
				time.Sleep(2 * time.Millisecond)
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-ended
	})
	return opened
}

// countDescriptors returns how many descriptors a process has open.
func countDescriptors(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// serveSecondEndpoint starts a discovery service at address whose list names s-2 alone.
func serveSecondEndpoint(t *testing.T, address, endpointAddress string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	service := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("after") == "2" && r.FormValue("wait_ms") != "0" {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"seq":2,"whole":true,"hosts":[{"host":"s-2","dial":%q,"site":"a","health":"Ready","share":1}]}`, endpointAddress)
	})}
	go service.Serve(listener)
	t.Cleanup(func() { service.Close() })
}

// Of processes that start at the same time, nine in ten are ready within 10 s. With a cached list they are ready at once,
// whatever discovery does. Without one they are ready although discovery never answers their first call, both if lists are
// polled and if they are pushed.
func TestNineInTenAreReadyWithinTenSeconds(t *testing.T) {
	const processes, limit = 10, 10 * time.Second
	for _, hasCachedList := range []bool{true, false} {
		t.Run(fmt.Sprintf("cached list %v", hasCachedList), func(t *testing.T) {
			t.Parallel()
			durations := make([]time.Duration, processes)
			var all sync.WaitGroup
			for i := range processes {
				mustSubscribe := i%2 == 0
				listen := freeAddress(t)
				cmd := newCommand(t, startConfigText(t, listen, hasCachedList, mustSubscribe))
				start := time.Now()
				startProgram(t, cmd)
				all.Add(1)
				go func() {
					defer all.Done()
					for time.Since(start) < 2*limit && !isReady(listen) {
						time.Sleep(10 * time.Millisecond)
					}
					durations[i] = time.Since(start)
				}()
			}
			all.Wait()
			slices.Sort(durations)
			p90 := durations[processes*9/10-1]
			t.Logf("ready after p50 %v, nine in ten %v, max %v", durations[processes/2].Round(time.Millisecond),
				p90.Round(time.Millisecond), durations[processes-1].Round(time.Millisecond))
			if p90 > limit {
				t.Errorf("nine in ten are ready after %v, want %v", p90, limit)
			}
		})
	}
}

// startConfigText returns a configuration and starts the discovery service for it. The service never answers the first call;
// if the configuration has a cached list, it answers no call at all.
func startConfigText(t *testing.T, listen string, hasCachedList, mustSubscribe bool) string {
	t.Helper()
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 || hasCachedList || r.FormValue("wait_ms") > "0" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, `{"seq":2,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","site":"a","health":"Ready","share":1}]}`)
	}))
	t.Cleanup(server.CloseClientConnections)
	configText := strings.Replace(newConfigText(listen), `"discovery":"127.0.0.1:1"`,
		fmt.Sprintf(`"discovery":%q`, server.Listener.Addr()), 1)
	if !hasCachedList {
		configText = configText[:strings.Index(configText, `{"host"`)] + configText[strings.Index(configText, `]},`):]
	}
	if !mustSubscribe {
		configText = strings.Replace(configText, `"subscribe"`, `"automatic"`, 1)
	}
	return configText
}
