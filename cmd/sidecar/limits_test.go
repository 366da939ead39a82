package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// While discovery is down, idle clients take all the connections that the program lets them have, and go on coming: a
// proper client is served, probes go out, and discovery gets its descriptor when it is back. The system holds the
// program to its descriptors here.
func TestIdleClientsLeaveDescriptorsFree(t *testing.T) {
	const descriptors, idle = 128, 200
	first, probes, _ := newCountingEndpoint(t)
	second, secondProbes, secondRequests := newCountingEndpoint(t)
	listen, discovery := freeAddress(t), freeAddress(t)
	text := strings.NewReplacer(`"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, discovery),
		`"dial":"127.0.0.1:1"`, fmt.Sprintf(`"dial":%q`, first), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, descriptors),
		`"limits":{"keepalive"`, `"limits":{"probes":true,"keepalive"`).Replace(newConfigText(listen))
	cmd := newCommand(t, text)
	cmd.Path, cmd.Args = "/bin/sh", []string{"sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, descriptors), os.Args[0]}
	log := &lockedBuffer{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	waitUntil(t, "the program", func() bool { return statusCode(http.Get("http://"+listen+"/health/ready")) == http.StatusOK })

	stop, ended := make(chan struct{}), make(chan struct{})
	var opened atomic.Int64
	go func() { // clients that say nothing: so many, and then ever new ones in place of the oldest
		defer close(ended)
		var open []net.Conn
		defer func() {
			for _, c := range open {
				c.Close()
			}
		}()
		for {
			select {
			case <-stop:
				return
			default:
			}
			if c, err := net.Dial("tcp", listen); err == nil {
				opened.Add(1)
				open = append(open, c)
			}
			if len(open) > idle {
				open[0].Close()
				open = open[1:]
				time.Sleep(2 * time.Millisecond)
			}
		}
	}()
	defer func() { close(stop); <-ended }()
	waitUntil(t, "the idle clients", func() bool { return opened.Load() > 2*idle })
	held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	if len(held) < descriptors/3 {
		t.Errorf("only %d descriptors are held: the idle clients fill nothing", len(held))
	}
	before := probes.Load()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	served := 0
	for range 20 {
		if sendRead(client, listen, true) == http.StatusOK {
			served++
		}
	}
	if served < 18 { // a busy machine may make one late
		t.Errorf("of 20 requests of proper clients %d were served while discovery is down\n%s", served, log)
	}
	waitUntil(t, "probes", func() bool { return probes.Load() > before })

	listener, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	back := time.Now()
	agent := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("after") == "2" && r.FormValue("wait_ms") != "0" {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"seq":2,"whole":true,"hosts":[{"host":"s-2","dial":%q,"site":"a","health":"Ready","share":1}]}`, second)
	})}
	go agent.Serve(listener)
	defer agent.Close()
	waitUntil(t, "the new list", func() bool { return sendRead(client, listen, true) == http.StatusOK && secondRequests.Load() > 0 })
	known := time.Since(back)
	waitUntil(t, "probes of the new server", func() bool { return secondProbes.Load() > 0 })
	t.Logf("%d descriptors held of %d, %d idle clients came, 20 proper ones of whom %d were served; the new list served %v after discovery's return", len(held), descriptors,
		opened.Load(), served, known.Round(time.Millisecond))
	if strings.Contains(log.String(), "too many open files") {
		t.Errorf("descriptors ran out:\n%s", log)
	}
}

// Of processes that start all at once, nine in ten are ready within 10 s: with a list at once, whatever discovery does, and
// without any though discovery never answers their first call,
// whether lists are asked for or pushed.
func TestNineInTenAreReadyWithinTenSeconds(t *testing.T) {
	const each, within = 10, 10 * time.Second
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprintf("known list %v", known), func(t *testing.T) {
			t.Parallel()
			took := make([]time.Duration, each)
			var all sync.WaitGroup
			for i := range each {
				all.Add(1)
				var calls atomic.Int64
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if calls.Add(1) == 1 || known || r.FormValue("wait_ms") > "0" {
						<-r.Context().Done()
						return
					}
					io.WriteString(w, `{"seq":2,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","site":"a","health":"Ready","share":1}]}`)
				}))
				t.Cleanup(server.CloseClientConnections)
				listen := freeAddress(t)
				text := strings.Replace(newConfigText(listen), `"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, server.Listener.Addr()), 1)
				if !known {
					text = text[:strings.Index(text, `{"host"`)] + text[strings.Index(text, `]},`):]
				}
				if i%2 == 1 {
					text = strings.Replace(text, `"subscribe"`, `"automatic"`, 1)
				}
				cmd := newCommand(t, text)
				start := time.Now()
				if err := cmd.Start(); err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
				go func(cmd *exec.Cmd) {
					defer all.Done()
					for time.Since(start) < 2*within && statusCode(http.Get("http://"+listen+"/health/ready")) != http.StatusOK {
						time.Sleep(10 * time.Millisecond)
					}
					took[i] = time.Since(start)
				}(cmd)
			}
			all.Wait()
			slices.Sort(took)
			t.Logf("ready after p50 %v, nine in ten %v, max %v", took[each/2].Round(time.Millisecond),
				took[each*9/10-1].Round(time.Millisecond), took[each-1].Round(time.Millisecond))
			if took[each*9/10-1] > within {
				t.Errorf("nine in ten are ready after %v, want %v", took[each*9/10-1], within)
			}
		})
	}
}
