//go:build go1.25

package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/discovery"
)

// outage is how discovery is out of reach.
type outage int

const (
	refuses     outage = iota // connections are refused
	unheard                   // they don't come up: the system tries again after 1, 3, 7, 15 ... s
	silent4ever               // calls are taken and never answered, nor are those that were open, also once it is back
	hangsUp                   // calls are closed just before they would be given up
	turnsAway                 // calls are answered with 503 at once
	stalls                    // half an answer comes
	outages
)

func (o outage) String() string {
	return [...]string{"refuses", "does not come up", "is silent", "hangs up late", "turns away", "stalls amid its answer"}[o]
}

// agentIn is a discovery service in virtual time, on pipes in place of sockets. It is out of reach from one instant to
// another, and has a new list from its return on.
type agentIn struct {
	how        outage
	down, back time.Time
	anew       bool // its versions begin anew with its return, and the whole list is still out of reach for so long:
	wholeFrom  time.Time
	slow       time.Duration // each answer takes

	mu    sync.Mutex
	conns []net.Conn
	waits time.Time // when the latest call before the return came, if it is one that may wait
}

func (a *agentIn) out(now time.Time) bool { return !now.Before(a.down) && now.Before(a.back) }

var errRefused = errors.New("connection refused")

func (a *agentIn) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	for wait := time.Second; a.out(time.Now()) && a.how == unheard; wait *= 2 {
		if wait > time.Minute {
			return nil, errors.New("connection timed out")
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if a.out(time.Now()) && a.how == refuses {
		return nil, errRefused
	}
	here, there := net.Pipe()
	a.mu.Lock()
	a.conns = append(a.conns, there)
	a.mu.Unlock()
	go a.serve(there)
	return here, nil
}

// goDown ends or silences what is open, as the outage has it.
func (a *agentIn) goDown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.how != silent4ever && a.how != unheard {
		for _, c := range a.conns {
			c.Close()
		}
	}
}

func (a *agentIn) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	begun := time.Now()
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		now := time.Now()
		a.mu.Lock()
		if now.Before(a.back) {
			if a.waits = (time.Time{}); r.FormValue("wait_ms") > "0" {
				a.waits = now
			}
		}
		a.mu.Unlock()
		answer := func(code int, list discovery.List) {
			body, _ := json.Marshal(list)
			fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", code, len(body), body)
		}
		deaf := func() { in.ReadByte() } // until the sidecar closes
		if a.out(now) {
			switch a.how {
			case hangsUp:
				time.Sleep(discovery.CallTimeout - 10*time.Millisecond)
				return
			case turnsAway:
				answer(http.StatusServiceUnavailable, discovery.List{})
				continue
			case stalls:
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"seq\":")
			}
			deaf()
			return
		}
		if now.Before(a.down) { // the list as it was: it has nothing newer than version 1
			if r.FormValue("wait_ms") != "0" && r.FormValue("after") == "1" {
				deaf() // until it goes down, or for good
				return
			}
			answer(http.StatusOK, discovery.List{Version: 1, IsFull: true, Endpoints: []discovery.Endpoint{ready("s-1", "127.0.0.1:1")}})
			continue
		}
		if begun.Before(a.back) && a.how == silent4ever {
			deaf()
			return
		}
		time.Sleep(a.slow)
		seq := uint64(2)
		if a.anew {
			seq = 0
			if r.FormValue("after") != "" {
				answer(http.StatusOK, discovery.List{Version: seq, Endpoints: []discovery.Endpoint{}})
				continue
			}
			if now.Before(a.wholeFrom) {
				deaf()
				return
			}
		}
		if r.FormValue("wait_ms") != "0" && r.FormValue("after") == fmt.Sprint(seq) {
			deaf()
			return
		}
		answer(http.StatusOK, discovery.List{Version: seq, IsFull: true, Endpoints: []discovery.Endpoint{ready("s-1", "127.0.0.1:1"), ready("s-2", "127.0.0.1:2")}})
	}
}

// tellings keeps when the balancer was told of s-2.
type tellings struct {
	decider
	id     uint32
	told   chan time.Time // has room
	timers int
	enough func() // called when the balancer asks for timers without end: virtual time would hardly go on
}

const timersMost = 5000

func (s *tellings) TimerFired(now balancer.Micros, token uint32) {
	if s.timers++; s.timers > timersMost {
		s.enough()
		return
	}
	s.decider.TimerFired(now, token)
}

func (s *tellings) UpdateEndpoints(now balancer.Micros, kind balancer.UpdateKind, entries []balancer.Endpoint) {
	if slices.ContainsFunc(entries, func(e balancer.Endpoint) bool { return e.ID == s.id }) {
		select {
		case s.told <- time.Now():
		default:
		}
	}
	s.decider.UpdateEndpoints(now, kind, entries)
}

// learns runs a sidecar against a discovery service and returns when it had the new list. With moved it turns from a first
// address to that one at that time, as after SIGHUP.
func learns(t *testing.T, alter func(map[string]any), a *agentIn, moved time.Duration, known bool) (told time.Time) {
	t.Helper()
	begin := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	hosts := []discovery.Endpoint{}
	if known {
		hosts = append(hosts, ready("s-1", "127.0.0.1:1"))
	}
	cfg := configure(t, "127.0.0.1:1", alter, hosts...)
	cfg.KnownEndpoints.Version = 1
	cfg.Seed = uint64(a.back.UnixNano())
	l, err := newLoop(ctx, cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	first := &agentIn{down: begin.Add(time.Hour), back: begin.Add(time.Hour)}
	dial := a.dial
	if moved > 0 {
		dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if strings.HasSuffix(address, ":1") {
				return first.dial(ctx, network, address)
			}
			return a.dial(ctx, network, address)
		}
	}
	l.disc = discovery.NewClient(cfg.DiscoveryAddress, discovery.Options{Dial: dial})
	spy := &tellings{decider: l.balancer, id: l.number("s-2"), told: make(chan time.Time, 1), enough: stop}
	l.balancer = spy
	ended := make(chan struct{})
	go func() { l.run(); close(ended) }()
	if moved > 0 {
		time.Sleep(moved)
		l.post(func(balancer.Micros) { l.rediscover("127.0.0.1:2") })
	} else if a.down.After(begin) {
		time.Sleep(a.down.Sub(begin))
		a.goDown()
	}
	told = begin.Add(time.Hour)
	select {
	case told = <-spy.told:
	case <-ctx.Done():
	case <-time.After(2 * time.Minute):
	}
	stop()
	<-ended
	time.Sleep(5 * time.Minute) // until all that goes on by itself is over
	l.disc.CloseIdleConnections()
	for _, of := range []*agentIn{a, first} {
		of.mu.Lock()
		for _, c := range of.conns {
			c.Close()
		}
		of.mu.Unlock()
	}
	time.Sleep(time.Second)
	return told
}

// waysToAsk are the settings that bear on when discovery is called: lists that are pushed, and such that are asked for,
// whatever time the settings name for that.
var waysToAsk = map[string]func(map[string]any){"pushed": func(s map[string]any) { s["discovery"] = "automatic" }}

func init() {
	for _, within := range []time.Duration{0, time.Second, 10 * time.Second, time.Hour} {
		waysToAsk[fmt.Sprint("asked within ", within)] = func(s map[string]any) {
			s["contract"].(map[string]any)["ask-within"] = within.Microseconds()
		}
	}
}

// A change counts as told toldMost after discovery had it and could be reached, whatever calls failed before, and what a
// waiting call missed waitMost after its wait's end, if that is later. The margins are for answers that are on their way
// and for a busy machine.
const (
	toldMost, toldMargin = 6 * time.Second, time.Second
	waitMost, waitMargin = 2 * time.Second, 300 * time.Millisecond
)

// Whatever calls of discovery failed, were refused or given up, a change is known well within the time after which it
// counts as told: at a start, amid a watch, and after SIGHUP, however discovery was out of reach, and at whichever instant
// of the sidecar's calls and pauses it returns. Time is virtual, and so are the connections.
func TestChangeIsKnownInTimeAfterAnyOutage(t *testing.T) {
	const begin = 5 * time.Second // of an outage amid a watch, and of SIGHUP
	for way, alter := range waysToAsk {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			var worst, worstWait time.Duration
			var worstAt string
			for how := range outages {
				for _, when := range []string{"start", "start without a list", "watch", "SIGHUP"} {
					most := 12 * time.Second // turns of calls and pauses
					if how == unheard {
						most = 26 * time.Second // the system's tries are ever further apart
					}
					for lasts := 50 * time.Millisecond; lasts < most; lasts += 1430 * time.Millisecond {
						synctest.Test(t, func(t *testing.T) {
							zero := time.Now()
							a := &agentIn{how: how, down: zero, back: zero.Add(lasts)}
							moved := time.Duration(0)
							switch when {
							case "watch":
								a.down, a.back = zero.Add(begin), zero.Add(begin+lasts)
							case "SIGHUP":
								moved, a.back = begin, zero.Add(begin+lasts)
							}
							told := learns(t, alter, a, moved, when != "start without a list")
							late, waited := told.Sub(a.back), told.Sub(a.waits.Add(discovery.MaxWait))
							switch {
							case !a.waits.IsZero() && waited <= waitMost-waitMargin:
								worstWait = max(worstWait, waited)
							case late <= toldMost-toldMargin:
								if late > worst {
									worst, worstAt = late, fmt.Sprintf("%s, discovery %v for %v", when, how, lasts)
								}
							default:
								t.Errorf("%s, discovery %v for %v: known %v after its return, %v after the last wait's end",
									when, how, lasts, late, waited)
							}
						})
					}
				}
			}
			t.Logf("known at most %v after discovery's return (%s), or %v after a wait's end", worst, worstAt, worstWait)
		})
	}
}

// Versions that begin anew are no reason to wait for longer: the call for the whole list does not wait, and is given up as
// such a call is.
func TestFullListIsRequestedAgainSoonAfterARestart(t *testing.T) {
	for way, alter := range waysToAsk {
		synctest.Test(t, func(t *testing.T) {
			zero := time.Now()
			a := &agentIn{how: refuses, down: zero, back: zero.Add(10 * time.Millisecond), anew: true}
			a.wholeFrom = zero.Add(1500 * time.Millisecond)
			if late := learns(t, alter, a, 0, true).Sub(a.wholeFrom); late > toldMost-toldMargin {
				t.Errorf("%s: known %v after the whole list could be had", way, late)
			}
		})
	}
}

// A call that discovery is slow to answer is left to it, whatever time the settings name for asking again.
func TestSlowResponseIsAwaited(t *testing.T) {
	for way, alter := range waysToAsk {
		synctest.Test(t, func(t *testing.T) {
			zero := time.Now()
			a := &agentIn{how: refuses, down: zero, back: zero, slow: 3 * time.Second}
			if late := learns(t, alter, a, 0, false).Sub(zero); late > toldMost-toldMargin {
				t.Errorf("%s: known %v after the start", way, late)
			}
		})
	}
}
