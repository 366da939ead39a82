package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const patience = 20 * time.Second

// pinServer answers all that it is sent, each after 5 ms: beside that a busy machine's delays are no slowdown of its
// that a breaker would draw lots over.
func pinServer(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		io.WriteString(w, "done")
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// operated starts the program once more with an operators' address of its own and waits for its yes. Its log goes
// to log, if given.
func operated(t *testing.T, text, folder string, log ...io.Writer) (*exec.Cmd, string) {
	t.Helper()
	ops := freeAddress(t)
	cmd := command(t, strings.Replace(text, `{`, fmt.Sprintf(`{"ops":%q,`, ops), 1))
	cmd.Env = append(cmd.Env, "TMPDIR="+folder)
	if len(log) > 0 {
		cmd.Stderr = log[0]
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	await(t, "the yes of a process", func() bool { return status(http.Get("http://"+ops+"/ready")) == http.StatusOK })
	return cmd, ops
}

func await(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// status is an answer's status, 0 without one.
func status(response *http.Response, err error) int {
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode
}

func call(address, path, body string) int {
	return status(http.Post("http://"+address+path, "text/plain", strings.NewReader(body)))
}

// read is a client's request, on a connection of its own if close is set.
func read(client *http.Client, address string, close bool) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/read/x", nil)
	if err != nil {
		return 0
	}
	r.Close = close
	r.Header.Set("X-Correlation-Id", "9b1f03aa5c7e2d41")
	r.Header.Set("X-Service-Class", "read")
	r.Header.Set("X-Time-Left-Ms", "900")
	return status(client.Do(r))
}

// Two processes overlap on one address, under requests on new and on kept connections: none is turned back.
func TestUpgradeTurnsNobodyBack(t *testing.T) {
	listen, folder := freeAddress(t), t.TempDir()
	// Two of them: with one, a lot that its breaker draws against a request refuses it, as it should.
	text := strings.Replace(config(listen), `"dial":"127.0.0.1:1"`, fmt.Sprintf(`"dial":%q`, pinServer(t)), 1)
	one := text[strings.Index(text, `{"host"`):strings.Index(text, `]},`)]
	text = strings.Replace(text, one, one+","+strings.Replace(one, "s-1", "s-2", 1), 1)
	old, _ := operated(t, text, folder)
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
				if code := read(client, listen, i%2 == 0); code == http.StatusOK {
					served.Add(1)
				} else {
					t.Logf("a request on %s connection got %d", map[bool]string{true: "a new", false: "a kept"}[i%2 == 0], code)
					lost.Add(1)
				}
			}
		}()
	}
	await(t, "requests served", func() bool { return served.Load() > 0 })
	fresh, _ := operated(t, text, folder)
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := old.Wait(); err != nil {
		t.Errorf("the old process ended with %v, want exit code 0", err)
	}
	before := served.Load()
	await(t, "requests served by the new process", func() bool { return served.Load() > before+clients })
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
func TestDrainIsCarriedOver(t *testing.T) {
	listen, folder := freeAddress(t), t.TempDir()
	old, first := operated(t, config(listen), folder)
	if code := call(first, "/drain", ""); code != http.StatusOK {
		t.Fatalf("drain: %d", code)
	}
	_, second := operated(t, config(listen), folder)
	// Each new connection comes to either process.
	readiness := func(code int) func() bool {
		return func() bool {
			for range 20 {
				if status(http.Get("http://"+listen+"/health/ready")) != code {
					return false
				}
			}
			return true
		}
	}
	if !readiness(http.StatusServiceUnavailable)() {
		t.Error("a process of a drained sidecar says that it is ready")
	}
	if code := call(second, "/undrain", ""); code != http.StatusOK {
		t.Fatalf("undrain: %d", code)
	}
	await(t, "both processes to take clients again", readiness(http.StatusOK))
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	old.Wait()
	if !readiness(http.StatusOK)() {
		t.Error("the new process alone does not take clients")
	}
}

// Without an operators' address nothing is shared: a second process is told that the address is taken.
func TestNoSecondProcessWithoutOps(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if out, err := command(t, config(taken.Addr().String())).CombinedOutput(); err == nil || !strings.Contains(string(out), "listen") {
		t.Errorf("got %v, %q; want a failure that names listen", err, out)
	}
}
