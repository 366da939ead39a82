package discovery_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"bramblestand/internal/discovery"
	"bramblestand/internal/discovery/discoverytest"
	"bramblestand/internal/goldentest"
)

// Each list in testdata/lists is decoded as recorded in lists.golden, or fails with the error recorded there. The keys in the
// golden file are the JSON keys of the discovery protocol.
func TestDiscoveryListIsReadAsBefore(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join("testdata", "lists", "*.json"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("lists: %v, %v", paths, err)
	}
	slices.Sort(paths)
	var out strings.Builder
	for _, path := range paths {
		body, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s\n", filepath.Base(path))
		list, err := discovery.ParseList(body)
		if err != nil {
			fmt.Fprintf(&out, "\terror %q\n", goldentest.ErrorText(err))
			continue
		}
		out.WriteString(discoverytest.ListText("\t", list))
	}
	goldentest.EqualLines(t, out.String(), filepath.Join("testdata", "lists", "lists.golden"))
}

// serveInTurn starts a server that sends one of the responses to each request, in the given order. It sends the text of each
// request to the channel.
func serveInTurn(t *testing.T, responses ...string) (address string, requests chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	requests = make(chan string, len(responses))
	go func() {
		for len(responses) > 0 {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(conn)
			for len(responses) > 0 {
				var head strings.Builder
				for !strings.HasSuffix(head.String(), "\r\n\r\n") {
					line, err := in.ReadString('\n')
					if err != nil {
						break
					}
					head.WriteString(line)
				}
				if head.Len() == 0 {
					break
				}
				requests <- head.String()
				io.WriteString(conn, responses[0])
				responses = responses[1:]
			}
			conn.Close()
		}
	}()
	return listener.Addr().String(), requests
}

// Calls of discovery are written byte for byte as listed here, and responses that are not a valid list cause the listed errors.
func TestDiscoveryCallsAreWrittenAsBefore(t *testing.T) {
	const empty = `{"seq":43,"whole":false,"hosts":[]}`
	versionZero, knownVersion := uint64(0), uint64(41)
	for _, c := range []struct {
		name      string
		after     *uint64
		wait      time.Duration
		response  string
		request   string // method, path and query
		want      string // error text; empty for no error
		wantOlder bool
	}{
		{"the full list", nil, 0, httpResponse(empty), "GET /registry/instances", "", false},
		{"the full list, whatever the wait", nil, discovery.MaxWait, httpResponse(empty), "GET /registry/instances", "", false},
		{"from version 0 on", &versionZero, 0, httpResponse(empty), "GET /registry/instances?after=0&wait_ms=0", "", false},
		{"first call of a watch", &knownVersion, 0, httpResponse(empty), "GET /registry/instances?after=41&wait_ms=0", "", false},
		{"next call of a watch", &knownVersion, discovery.MaxWait, httpResponse(empty), "GET /registry/instances?after=41&wait_ms=4000", "", false},
		{"an older delta", &knownVersion, 0, httpResponse(`{"seq":40,"whole":false,"hosts":[]}`),
			"GET /registry/instances?after=41&wait_ms=0", "discovery's answer: seq: changes of an older version: 40 after 41", true},
		{"an older full list", &knownVersion, 0, httpResponse(`{"seq":40,"whole":true,"hosts":[]}`),
			"GET /registry/instances?after=41&wait_ms=0", "", false},
		{"a status that is not 200", nil, 0, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
			"GET /registry/instances", "discovery answered 503 Service Unavailable", false},
		{"an entry without an address", nil, 0, httpResponse(`{"seq":1,"whole":true,"hosts":[{"host":"s","health":"Ready"}]}`),
			"GET /registry/instances", `discovery's answer: hosts[0].dial: "" is not host:port`, false},
		{"no version", nil, 0, httpResponse(`{"whole":true,"hosts":[]}`), "GET /registry/instances", "discovery's answer: seq is missing", false},
		{"cut short", nil, 0, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\nConnection: close\r\n\r\n{", "GET /registry/instances", "unexpected EOF", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, requests := serveInTurn(t, c.response)
			client := discovery.NewClient(address, discovery.Options{})
			t.Cleanup(client.CloseIdleConnections)
			_, err := client.List(context.Background(), c.after, c.wait)
			if got := goldentest.ErrorText(err); got != c.want || errors.Is(err, discovery.ErrOlderVersion) != c.wantOlder {
				t.Errorf("error %q, want %q; is ErrOlderVersion: want %t", got, c.want, c.wantOlder)
			}
			want := c.request + " HTTP/1.1\r\nHost: " + address + "\r\nUser-Agent: Go-http-client/1.1\r\nAccept-Encoding: gzip\r\n\r\n"
			if got := <-requests; got != want {
				t.Errorf("request\n%q, want\n%q", got, want)
			}
		})
	}
}

// httpResponse returns a complete HTTP response with status code 200.
func httpResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
