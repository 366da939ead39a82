package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
)

// During an upgrade two processes listen on one address. Requests arrive on new and on persistent connections, and all of them
// must be served.
func TestUpgradeRejectsNoRequest(t *testing.T) {
	listen, folder := freeAddress(t), t.TempDir()
	endpointAddress, _, _ := newEndpoint(t)
	// There are two endpoints, because with only one a request that its breaker rejects could not go to another.
	configText := withSecondEndpoint(strings.Replace(newConfigText(listen), `"dial":"127.0.0.1:1"`,
		fmt.Sprintf(`"dial":%q`, endpointAddress), 1))
	old, _ := startWithAdmin(t, configText, folder)
	var served, lost atomic.Int64
	stop, ended := make(chan struct{}), make(chan struct{})
	const clients = 4
	for i := range clients {
		go func() {
			defer func() { ended <- struct{}{} }()
			client := &http.Client{Transport: &http.Transport{}}
			usesNewConnections := i%2 == 0
			for {
				select {
				case <-stop:
					return
				default:
				}
				if code := sendRead(client, listen, usesNewConnections); code == http.StatusOK {
					served.Add(1)
				} else {
					t.Logf("a request got %d; on a new connection: %v", code, usesNewConnections)
					lost.Add(1)
				}
			}
		}()
	}
	waitUntil(t, "requests served", func() bool { return served.Load() > 0 })
	next, _ := startWithAdmin(t, configText, folder)
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := old.Wait(); err != nil {
		t.Errorf("the old process ended with %v, want exit code 0", err)
	}
	before := served.Load()
	waitUntil(t, "requests served by the new process", func() bool { return served.Load() > before+clients })
	close(stop)
	for range clients {
		<-ended
	}
	if n := lost.Load(); n != 0 {
		t.Errorf("%d requests were not served, %d were", n, served.Load())
	}
	if err := next.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := next.Wait(); err != nil {
		t.Errorf("the new process ended with %v, want exit code 0", err)
	}
}

// Both processes of an upgrade apply a drain and its end, whichever of them received the operator's call.
func TestDrainHoldsOverAnUpgrade(t *testing.T) {
	listen, folder := freeAddress(t), t.TempDir()
	old, first := startWithAdmin(t, newConfigText(listen), folder)
	if code := callAdmin(first, "/drain", ""); code != http.StatusOK {
		t.Fatalf("the call to drain is answered with %d", code)
	}
	_, second := startWithAdmin(t, newConfigText(listen), folder)
	// A new connection may reach either process. Of 20 calls, some reach each of them.
	alwaysAnswers := func(code int) func() bool {
		return func() bool {
			for range 20 {
				if statusCode(http.Get("http://"+listen+"/health/ready")) != code {
					return false
				}
			}
			return true
		}
	}
	if !alwaysAnswers(http.StatusServiceUnavailable)() {
		t.Error("a process of a drained sidecar reports that it is ready")
	}
	if code := callAdmin(second, "/undrain", ""); code != http.StatusOK {
		t.Fatalf("the call to undrain is answered with %d", code)
	}
	waitUntil(t, "both processes to accept clients again", alwaysAnswers(http.StatusOK))
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	old.Wait()
	if !alwaysAnswers(http.StatusOK)() {
		t.Error("the new process does not accept clients once the old one has ended")
	}
}

// Without an admin address there is no handover: a second process fails to start, because the listen address is taken.
func TestSecondProcessNeedsAnAdminAddress(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if out, err := newCommand(t, newConfigText(taken.Addr().String())).CombinedOutput(); err == nil || !strings.Contains(string(out), "listen") {
		t.Errorf("got %v, %q; want a failure that names listen", err, out)
	}
}
