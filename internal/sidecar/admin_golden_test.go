package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"bramblestand/balancer"
	"bramblestand/internal/admin"
	"bramblestand/internal/discovery"
	"bramblestand/internal/fleet"
)

// transcript collects operators' calls and their answers as release 21.0 wrote them into testdata/admin_calls.txt.
type transcript struct {
	t    *testing.T
	w    *world
	text strings.Builder
	norm func(string) string // puts words in place of what differs from run to run
}

func (tr *transcript) section(title string) { fmt.Fprintf(&tr.text, "## %s\n\n", title) }

// call makes a call and writes down status, headers and body.
func (tr *transcript) call(method, path, body string) {
	tr.t.Helper()
	r, err := http.NewRequest(method, "http://"+tr.w.adminAddress+path, strings.NewReader(body))
	if err != nil {
		tr.t.Fatal(err)
	}
	got := tr.w.send(r)
	if got.err != nil {
		tr.t.Fatalf("%s %s: %v", method, path, got.err)
	}
	if len(body) > 20 {
		body = fmt.Sprintf("(%d bytes)", len(body))
	}
	fmt.Fprintf(&tr.text, "> %s %s %q\n", method, path, body)
	tr.answer(got.code, got.header, got.body)
}

// raw sends these bytes and no more, and writes down the answer.
func (tr *transcript) raw(sends string) {
	tr.t.Helper()
	conn, err := net.Dial("tcp", tr.w.adminAddress)
	if err != nil {
		tr.t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, sends)
	conn.(*net.TCPConn).CloseWrite()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		tr.t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		tr.t.Fatal(err)
	}
	fmt.Fprintf(&tr.text, "> %q\n", sends)
	tr.answer(response.StatusCode, response.Header, string(body))
}

func (tr *transcript) answer(code int, header http.Header, body string) {
	fmt.Fprintf(&tr.text, "< %d\n", code)
	normal := tr.norm(body)
	var lines []string
	for name, values := range header {
		if name == "Date" || name == "Content-Length" && normal != body {
			continue
		}
		lines = append(lines, fmt.Sprintf("< %s: %s\n", name, strings.Join(values, ", ")))
	}
	slices.Sort(lines)
	fmt.Fprintf(&tr.text, "%s%s\n\n", strings.Join(lines, ""), strings.TrimSuffix(normal, "\n"))
}

var (
	volatileNumber = regexp.MustCompile(`("(?:seconds|heard_ms|messages|bytes|packets|wire_bytes|opened|accepted|failed|\w*_per_s|sent|sent_bytes|received|received_bytes|held_back|refused|name_conflicts|refused_members|improper_messages|dropped_packets|unknown_datagrams)":)-?[0-9.]+`)
	volatileTime   = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+(Z|[+-]\d\d:\d\d)`)
	volatileHeard  = regexp.MustCompile(`heard -?\d+ ms`)
)

// Every admin call, the rejected ones too, is answered as release 21.0 answered it.
func TestAnswersOfAnEarlierRelease(t *testing.T) {
	// One more than are banned: a list that arrives while all endpoints are banned makes the sidecar not ready.
	hosts := []discovery.Endpoint{ready("s-1", "127.0.0.1:1"), ready("s-2", "127.0.0.1:1"), ready("s-3", "127.0.0.1:1")}
	plain := start(t, nil, hosts...) // counts no control and keeps no view
	plain.openAdmin()
	w := &world{t: t, dir: newDirectory(t, hosts...)}
	cfg := configure(t, w.dir.address, nil, hosts...)
	cfg.AdminAddress = "127.0.0.1:0" // control is counted
	cfg.Fleet = fleet.Settings{Enabled: true, StabilizationSeconds: 1, ProbeIntervalMillis: 400, MaxMembers: 10, MaxDatagramsPerSecond: 100}
	peers, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.PeerListen = netip.MustParseAddrPort(peers.LocalAddr().String())
	peers.Close()
	w.launch(cfg)
	w.until("serving", func() bool { return w.server.isServing() })
	call := w.openAdmin()
	file := filepath.Join(w.handoverFolder, "pinedale-n0.json")
	tr := &transcript{t: t, w: w, norm: func(text string) string {
		text = strings.ReplaceAll(text, w.handoverFolder, "DIR")
		text = strings.ReplaceAll(text, fmt.Sprintf("%-21s", cfg.PeerListen), "ADDRESS")
		text = strings.ReplaceAll(text, cfg.PeerListen.String(), "ADDRESS")
		text = strings.ReplaceAll(text, fmt.Sprintf("%-8s", fleet.Version), "VERSION")
		text = strings.ReplaceAll(text, `"`+fleet.Version+`"`, `"VERSION"`)
		text = volatileNumber.ReplaceAllString(text, "${1}0")
		text = volatileTime.ReplaceAllString(text, "TIME")
		return volatileHeard.ReplaceAllString(text, "heard 0 ms")
	}}

	tr.section("ready")
	tr.call("GET", "/ready", "")
	w.server.up.Store(false)
	tr.call("GET", "/ready", "")
	w.server.up.Store(true)

	tr.section("bans and drain")
	tr.call("GET", "/pin-servers", "")
	tr.call("POST", "/pin-servers/disable", "s-2\n")
	tr.call("POST", "/pin-servers/disable", "s-1")
	tr.call("POST", "/pin-servers/disable", " s-1 ")
	tr.call("POST", "/drain", "")
	tr.call("GET", "/pin-servers", "")
	tr.call("GET", "/ready", "")
	tr.call("POST", "/pin-servers/enable", "s-1")
	tr.call("POST", "/pin-servers/enable", "s-2")
	tr.call("POST", "/undrain", "and a body")
	tr.call("GET", "/pin-servers", "")

	tr.section("calls that are wrong")
	tr.call("GET", "/", "")
	tr.call("GET", "/health/ready", "")
	tr.call("POST", "/ready", "")
	tr.call("POST", "/pin-servers", "")
	tr.call("GET", "/drain", "")
	tr.call("DELETE", "/pin-servers/disable", "s-1")
	tr.call("POST", "/pin-servers/disable", "")
	tr.call("POST", "/pin-servers/disable", " \n")
	tr.call("POST", "/pin-servers/disable", "s-9")
	tr.call("POST", "/pin-servers/enable", "s-9")
	tr.call("POST", "/pin-servers/enable", strings.Repeat("s", admin.MaxBodyBytes))
	tr.call("POST", "/pin-servers/enable", strings.Repeat("s", admin.MaxBodyBytes+1))
	tr.call("POST", "/undrain", strings.Repeat("x", admin.MaxBodyBytes+1))
	tr.raw("POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc")

	tr.section("control")
	tr.call("GET", "/control", "")
	tr.w = plain
	tr.call("GET", "/control", "")

	tr.section("fleet")
	tr.call("GET", "/fleet", "")
	tr.w = w
	tr.call("GET", "/fleet", "")
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan struct{})
	go func() { defer close(left); w.server.runMembership(ctx) }()
	t.Cleanup(func() { leave(); <-left })
	w.until("the view", func() bool {
		f := w.loop.fleet.Load()
		if f == nil {
			return false
		}
		status, on := f.Status(false)
		return on && len(status.StableMembers) == 1 && len(status.Members) == 1
	})
	tr.call("GET", "/fleet", "")
	tr.call("GET", "/fleet?brief=1", "")
	tr.call("GET", "/fleet?format=text", "")
	tr.call("GET", "/fleet?format=text&brief=1", "")

	tr.section("calls that cannot be carried out")
	blocked, free := make(chan struct{}), make(chan struct{})
	w.loop.post(func(balancer.Micros) { close(blocked); <-free })
	<-blocked
	tr.call("POST", "/pin-servers/disable", "s-1")
	close(free)
	if err := os.Mkdir(file+".new", 0o700); err != nil {
		t.Fatal(err)
	}
	tr.call("POST", "/drain", "")
	if err := os.Remove(file + ".new"); err != nil {
		t.Fatal(err)
	}
	w.server.handover.Close()
	tr.call("POST", "/pin-servers/disable", "s-1")
	tr.call("POST", "/undrain", "")
	if code := call("GET", "/ready", ""); code != 200 {
		t.Errorf("after all: %d, want 200", code)
	}

	want, err := os.ReadFile("testdata/admin_calls.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got := tr.text.String(); got != string(want) {
		t.Errorf("the answers differ from the earlier release's; first at\n%s", firstDifference(got, string(want)))
	}
}

// firstDifference shows the first line in which two texts differ.
func firstDifference(got, want string) string {
	g, w := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(g), len(w)) {
		if g[i] != w[i] {
			return fmt.Sprintf("line %d:\n got %s\nwant %s", i+1, g[i], w[i])
		}
	}
	return fmt.Sprintf("the end: got %d lines, want %d", len(g), len(w))
}
