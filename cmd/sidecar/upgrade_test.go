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

// Two processes overlap on one address, under requests on new and on kept connections: none is turned back.
func TestUpgradeRejectsNoRequest(t *testing.T) {
	listen, folder := freeAddress(t), t.TempDir()
	// Two of them: with one, a lot that its breaker draws against a request refuses it, as it should.
	text := strings.Replace(newConfigText(listen), `"dial":"127.0.0.1:1"`, fmt.Sprintf(`"dial":%q`, newEndpoint(t)), 1)
	one := text[strings.Index(text, `{"host"`):strings.Index(text, `]},`)]
	text = strings.Replace(text, one, one+","+strings.Replace(one, "s-1", "s-2", 1), 1)
	old, _ := startWithAdmin(t, text, folder)
	var served, lost atomic.Int64
	stop, ended := make(chan struct{}), make(chan struct{})
	const clients = 4
	for i := range clients {
		go func() {
			defer func() { ended <- struct{}{} }()
			client := &http.Client{Transport: &http.Transport{}}
			for {
				select {
				case <-stop:
					return
				default:
				}
				if code := sendRead(client, listen, i%2 == 0); code == http.StatusOK {
					served.Add(1)
				} else {
					t.Logf("a request on %s connection got %d", map[bool]string{true: "a new", false: "a kept"}[i%2 == 0], code)
					lost.Add(1)
				}
			}
		}()
	}
	waitUntil(t, "requests served", func() bool { return served.Load() > 0 })
	fresh, _ := startWithAdmin(t, text, folder)
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
	if err := fresh.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := fresh.Wait(); err != nil {
		t.Errorf("the new process ended with %v, want exit code 0", err)
	}
}

// What operators said holds over an upgrade, in whichever process a call came to.
func TestDrainHoldsOverAnUpgrade(t *testing.T) {
	listen, folder := freeAddress(t), t.TempDir()
	old, first := startWithAdmin(t, newConfigText(listen), folder)
	if code := callAdmin(first, "/drain", ""); code != http.StatusOK {
		t.Fatalf("drain: %d", code)
	}
	_, second := startWithAdmin(t, newConfigText(listen), folder)
	// Each new connection comes to either process.
	readiness := func(code int) func() bool {
		return func() bool {
			for range 20 {
				if statusCode(http.Get("http://"+listen+"/health/ready")) != code {
					return false
				}
			}
			return true
		}
	}
	if !readiness(http.StatusServiceUnavailable)() {
		t.Error("a process of a drained sidecar says that it is ready")
	}
	if code := callAdmin(second, "/undrain", ""); code != http.StatusOK {
		t.Fatalf("undrain: %d", code)
	}
	waitUntil(t, "both processes to take clients again", readiness(http.StatusOK))
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	old.Wait()
	if !readiness(http.StatusOK)() {
		t.Error("the new process alone does not take clients")
	}
}

// Without an operators' address nothing is shared: a second process is told that the address is taken.
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
