package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// runVariable makes the test binary run the program.
const runVariable = "SIDECAR_TEST_RUN"

// TestMain lets the test binary stand in for the program.
func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// newCommand runs the program with a configuration file of this text.
func newCommand(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), runVariable+"=1", "BALANCER_CONFIG="+path)
	return c
}

// freeAddress is one that nothing listens on, until the program does. It is of a loopback address that no other test
// process picks and that no outgoing connection is given: on 127.0.0.1 the port could be taken meanwhile.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 2+pid>>16%14, pid>>8&255, max(1, pid&255)))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func newConfigText(listen string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1f",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},
"known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","site":"a","health":"Ready","share":1}]},
"settings":{"areas":["a"],"skus":["m"],"discovery":"subscribe","limits":{"keepalive":5000000,"dial-timeout":250000},
"classes":[{"name":"read","repeat":"pure","target":600000,"give-up":1000000}]}}`, listen)
}

// newDiscovery is a discovery service that tells when it is first called, and always
// answers with an empty change.
func newDiscovery(t *testing.T) (address string, called <-chan string) {
	t.Helper()
	calls := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case calls <- r.URL.RawQuery:
		default:
		}
		if r.FormValue("wait_ms") > "0" {
			<-r.Context().Done()
		}
		io.WriteString(w, `{"seq":1,"whole":false,"hosts":[]}`)
	}))
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String(), calls
}

// newCountingEndpoint is a pin server that counts its probes and requests.
func newCountingEndpoint(t *testing.T) (address string, probes, requests *atomic.Int64) {
	t.Helper()
	probes, requests = new(atomic.Int64), new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Correlation-Id") == "" {
			probes.Add(1)
		} else {
			requests.Add(1)
		}
		time.Sleep(5 * time.Millisecond) // as pinServer does
		io.WriteString(w, "done")
	}))
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String(), probes, requests
}

// lockedBuffer is a log that a test may read while the program writes it.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

const waitLimit = 20 * time.Second

// newEndpoint answers all that it is sent, each after 5 ms: beside that a busy machine's delays are no slowdown of its
// that a breaker would draw lots over.
func newEndpoint(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		io.WriteString(w, "done")
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// startWithAdmin starts the program once more with an operators' address of its own and waits for its yes. Its log goes
// to log, if given.
func startWithAdmin(t *testing.T, text, folder string, log ...io.Writer) (*exec.Cmd, string) {
	t.Helper()
	ops := freeAddress(t)
	cmd := newCommand(t, strings.Replace(text, `{`, fmt.Sprintf(`{"ops":%q,`, ops), 1))
	cmd.Env = append(cmd.Env, "TMPDIR="+folder)
	if len(log) > 0 {
		cmd.Stderr = log[0]
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	waitUntil(t, "the yes of a process", func() bool { return statusCode(http.Get("http://"+ops+"/ready")) == http.StatusOK })
	return cmd, ops
}

func waitUntil(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// statusCode is an answer's status, 0 without one.
func statusCode(response *http.Response, err error) int {
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode
}

func callAdmin(address, path, body string) int {
	return statusCode(http.Post("http://"+address+path, "text/plain", strings.NewReader(body)))
}

// sendRead is a client's request, on a connection of its own if close is set.
func sendRead(client *http.Client, address string, close bool) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/read/x", nil)
	if err != nil {
		return 0
	}
	r.Close = close
	r.Header.Set("X-Correlation-Id", "9b1f03aa5c7e2d41")
	r.Header.Set("X-Service-Class", "read")
	r.Header.Set("X-Time-Left-Ms", "900")
	return statusCode(client.Do(r))
}
