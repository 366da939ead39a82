package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"bramblestand/internal/endpointtest"
)

// incompleteHead returns count lines of a head, of about size bytes in all, without the head's end.
func incompleteHead(size, count int) string {
	head := "GET /read/x HTTP/1.1\r\nHost: x\r\n"
	var lines strings.Builder
	for i := range count {
		name := strconv.FormatInt(int64(i), 36)
		fmt.Fprintf(&lines, "%s:%s\r\n", name, strings.Repeat("v", max(0, size/count-len(name)-3)))
	}
	return head + lines.String()
}

// Clients that send most of a request and stop do not make the program use more memory than the platform allows, with the least and
// the greatest limits of memory and descriptors, and other clients are served meanwhile. Guards against heads whose memory nothing
// limits (issue 52, review/7).
func TestRequestsInPartStayWithinTheMemoryLimit(t *testing.T) {
	headOfBody := "GET /read/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 1\r\nX-Service-Class: read\r\nX-Time-Left-Ms: 2000\r\n"
	for name, sent := range map[string]string{
		"heads of many lines":    incompleteHead(32000, 5000),
		"heads of several lines": incompleteHead(28000, 500),
		"heads of long lines":    incompleteHead(32000, 8),
		"bodies":                 headOfBody + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", 65000),
		"bodies in chunks":       headOfBody + "Transfer-Encoding: chunked\r\n\r\nfde8\r\n" + strings.Repeat("x", 65000),
	} {
		for _, limits := range []struct{ memoryMB, sockets int }{{32, 256}, {32, 1024}, {192, 1024}} {
			t.Run(fmt.Sprintf("%s, %d MB, %d descriptors", name, limits.memoryMB, limits.sockets), func(t *testing.T) {
				expectMemoryWithin(t, limits.memoryMB, limits.sockets, sent)
			})
		}
	}
}

// expectMemoryWithin runs the program with these limits, and as many clients as the descriptors allow that send the text and wait.
func expectMemoryWithin(t *testing.T, memoryMB, sockets int, sent string) {
	const requests = 20
	endpoint, _, _ := newEndpoint(t)
	listen := freeAddress(t)
	cmd := newCommand(t, strings.NewReplacer(`"dial":"127.0.0.1:1"`, fmt.Sprintf(`"dial":%q`, endpoint),
		`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets),
		`"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB)).Replace(newConfigText(listen)))
	cmd.Env = append(cmd.Env, "GOMAXPROCS=1") // a sidecar has one core
	log := &endpointtest.LogBuffer{}
	cmd.Stderr = log
	startProgram(t, cmd)
	waitUntil(t, "the program to be ready", func() bool { return isReady(listen) })
	stop := make(chan struct{})
	defer close(stop)
	for range sockets / 2 {
		go sendAndWait(listen, sent, stop)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	served, most := 0, 0
	for range requests {
		time.Sleep(100 * time.Millisecond)
		if statusCode(client.Do(newReadRequest(listen, "2000"))) == http.StatusOK {
			served++
		}
		most = max(most, anonymousKB(t, cmd.Process.Pid))
	}
	t.Logf("at most %d KB; %d of %d requests served", most, served, requests)
	if most > memoryMB<<10 {
		t.Errorf("the program used %d KB of %d", most, memoryMB<<10)
	}
	if served < requests*9/10 { // on a busy machine a request may be late
		t.Errorf("of %d requests, %d were served\n%s", requests, served, log)
	}
}

// sendAndWait connects and sends the text, again and again after each end of the connection, until stop is closed.
func sendAndWait(address, text string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(waitLimit))
		io.WriteString(conn, text)
		io.Copy(io.Discard, conn)
		conn.Close()
	}
}

// anonymousKB returns how much anonymous memory a process holds.
func anonymousKB(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "RssAnon:")
	var kilobytes int
	if _, err := fmt.Sscan(after, &kilobytes); err != nil {
		t.Fatal(err)
	}
	return kilobytes
}
