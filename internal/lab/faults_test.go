package lab

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bramblestand/internal/lab/history"
)

const testTimeout = 20 * time.Second

// rig is a testbed without load, whose faults a test begins and ends one by one.
type rig struct {
	*testing.T
	*testbed
	faultsBegun map[int]chan struct{}
	acting      sync.WaitGroup
	sockets     []*net.UDPConn // in place of sidecars, in tests that send datagrams for them
	received    []chan string  // what each received
}

// newRig makes 4 sidecars on 2 machines, 2 servers; with started real processes run, otherwise the test sends datagrams for them.
func newRig(t *testing.T, started bool, more string, fleet ...string) *rig {
	t.Helper()
	exp, err := Parse("rig.toml", []byte("duration = \"60s\"\n"+more+
		"[fleet]\nsidecars = 4\nservers = 2\nmachines = 2\npeers = true\nstate = true\n"+strings.Join(fleet, "")+"[load]\nrate = 0\n[ops]\non = true\n"))
	if err != nil {
		t.Fatal(err)
	}
	w, err := newTestbed(exp, filepath.Join(programs, "sidecar"), t.TempDir(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{T: t, testbed: w, faultsBegun: map[int]chan struct{}{}}
	t.Cleanup(func() { r.acting.Wait(); w.close() })
	if started {
		if err := w.sidecars.startAll(); err != nil {
			t.Fatal(err)
		}
		return r
	}
	for i := range exp.Fleet.Sidecars {
		sock, err := net.ListenPacket("udp4", w.relay.ListenAddress(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { sock.Close() })
		heard := make(chan string, 1000)
		r.sockets, r.received = append(r.sockets, sock.(*net.UDPConn)), append(r.received, heard)
		go func() {
			buffer := make([]byte, 512)
			for {
				n, _, err := sock.ReadFrom(buffer)
				if err != nil {
					return
				}
				heard <- string(buffer[:n])
			}
		}()
	}
	return r
}

// fault begins a fault and returns the function that ends it; both return when it is applied.
func (r *rig) fault(f Fault) (heal func()) {
	r.Helper()
	f.For = Duration{time.Second}
	if err := r.exp.validateFault(f); err != nil {
		r.Fatal(err)
	}
	id := len(r.faultsBegun) + len(r.endRules) + 1
	for r.faultsBegun[id] != nil || r.endRules[id] != nil {
		id++
	}
	apply := func(heal bool) {
		r.startEvent(Event{Fault: f, ID: id, Heal: heal}, r.faultsBegun, &r.acting)
		r.acting.Wait()
	}
	apply(false)
	return func() { apply(true) }
}

// send sends a datagram of sidecar i to all others.
func (r *rig) send(i int, text string) {
	r.Helper()
	to, err := net.ResolveUDPAddr("udp4", r.relay.Hub())
	if err != nil {
		r.Fatal(err)
	}
	if _, err := r.sockets[i].WriteTo([]byte(text), to); err != nil {
		r.Fatal(err)
	}
}

func (r *rig) await(what string, is func() bool) {
	r.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.Fatalf("timed out waiting for %s", what)
		}
	}
}

// deliveredPairs has each sidecar send one datagram and returns which arrive, as "01" from 0 to 1. The relay drops at
// once, so that the number of relayed and dropped ones is known without a timeout.
func (r *rig) deliveredPairs() string {
	r.Helper()
	relayed, dropped, _, _ := r.relay.Counts()
	for i := range r.sockets {
		r.send(i, fmt.Sprint(i))
	}
	now := 0
	r.await("all datagrams to be relayed or dropped", func() bool {
		var lost int
		now, lost, _, _ = r.relay.Counts()
		return now+lost == relayed+dropped+len(r.sockets)*(len(r.sockets)-1)
	})
	var pairs []string
	r.await("what was relayed to arrive", func() bool {
		for j, heard := range r.received {
			for len(heard) > 0 {
				pairs = append(pairs, <-heard+fmt.Sprint(j))
			}
		}
		return len(pairs) == now-relayed
	})
	slices.Sort(pairs)
	return strings.Join(pairs, " ")
}

const everyPair = "01 02 03 10 12 13 20 21 23 30 31 32"

// Datagrams of a cut link never arrive, those of the other direction do; overlapping cuts end in any order.
func TestLinkFaultsCutDatagrams(t *testing.T) {
	r := newRig(t, false, "[groups]\nleft = [\"s0\", \"s2\"]\n")
	for name, c := range map[string]struct {
		fault Fault
		pass  string
	}{
		"one direction":   {Fault{Kind: "cut", From: []string{"s0"}, To: []string{"s1"}, Direction: "out"}, "02 03 10 12 13 20 21 23 30 31 32"},
		"both directions": {Fault{Kind: "cut", From: []string{"machine:1"}, To: []string{"s0"}}, "02 12 13 20 21 23 31 32"},
		"isolated in":     {Fault{Kind: "isolate", Sidecars: []int{3}, Direction: "in"}, "01 02 10 12 20 21 30 31 32"},
		"split, 2 all":    {Fault{Kind: "split", Groups: [][]string{{"group:left"}, {"s1", "s2", "s3"}}}, "02 12 13 20 21 23 31 32"},
		"all lost":        {Fault{Kind: "link", From: []string{"s3"}, Loss: 1, Direction: "out"}, "01 02 03 10 12 13 20 21 23"},
		"flapping":        {Fault{Kind: "flap", From: []string{"s0-s1"}, To: []string{"s3"}, Period: Duration{time.Second}}, "01 02 10 12 20 21 23 32"},
		"peers":           {Fault{Kind: "peers", Share: 1}, ""},
	} {
		heal := r.fault(c.fault)
		if got := r.deliveredPairs(); got != c.pass {
			t.Errorf("%s: %s delivered, want %s", name, got, c.pass)
		}
		heal()
		if got := r.deliveredPairs(); got != everyPair {
			t.Errorf("%s healed: %s delivered", name, got)
		}
	}
	first := r.fault(Fault{Kind: "cut", From: []string{"s0"}, To: []string{"all"}})
	second := r.fault(Fault{Kind: "isolate", Sidecars: []int{0, 1}})
	first()
	if got := r.deliveredPairs(); got != "23 32" {
		t.Errorf("the first of two cuts ended: %s delivered", got)
	}
	second()
	if got := r.deliveredPairs(); got != everyPair {
		t.Errorf("both ended: %s pass", got)
	}
}

// A link duplicates, delays and limits datagrams in its direction alone.
func TestLinkFaultsShapeDatagrams(t *testing.T) {
	r := newRig(t, false, "")
	const n = 60                     // doubled, they still fit a socket's buffer on a machine too busy to read it
	send := func(f Fault) []string { // what s1 received of n datagrams of s0
		before, lost, _, _ := r.relay.Counts()
		heal := r.fault(f)
		for k := range n {
			r.send(0, fmt.Sprint(k))
		}
		r.await("the relay", func() bool { a, b, _, _ := r.relay.Counts(); return a+b-before-lost >= 3*n })
		heal()
		now, _, _, _ := r.relay.Counts()
		var got []string
		r.await("all that was relayed to arrive", func() bool {
			for len(r.received[1]) > 0 {
				got = append(got, <-r.received[1])
			}
			return len(got) == now-before-2*n // s2 and s3 receive each once
		})
		return got
	}
	link := Fault{Kind: "link", From: []string{"s0"}, To: []string{"s1"}, Direction: "out"}
	doubled, thinned, reordered := link, link, link
	doubled.Duplicate, thinned.Rate, reordered.Reorder = 1, 1, 0.3
	if got := send(doubled); len(got) != 2*n {
		t.Errorf("doubled: %d of %d came", len(got), 2*n)
	}
	if got := send(thinned); len(got) == 0 || len(got) > n/2 {
		t.Errorf("one a second: %d of %d came", len(got), n)
	}
	got, overtaken := send(reordered), 0
	for k := 1; k < len(got); k++ {
		var before, after int
		fmt.Sscan(got[k-1], &before)
		fmt.Sscan(got[k], &after)
		if after < before {
			overtaken++
		}
	}
	if len(got) != n || overtaken == 0 {
		t.Errorf("reordered: %d of %d came, %d overtaken", len(got), n, overtaken)
	}
}

// A flap is a cut in each period, which ends before the next one.
func TestFlapCutsTheLinkInEachPeriod(t *testing.T) {
	exp, err := Parse("flap.toml", []byte("duration = \"9s\"\n[fleet]\nsidecars = 2\nservers = 1\npeers = true\n[[fault]]\nat = \"1s\"\nfor = \"2s\"\nkind = \"flap\"\nperiod = \"500ms\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	var times []string
	for _, ev := range exp.Schedule() {
		times = append(times, fmt.Sprint(ev.At, ev.Heal))
	}
	if got := strings.Join(times, " "); got != "1s false 1.25s true 1.5s false 1.75s true 2s false 2.25s true 2.5s false 2.75s true" {
		t.Errorf("a flap of 2 s by 500 ms: %s", got)
	}
}

// get calls a server or discovery as sidecar i does, and returns the body, "" for none.
func (r *rig) get(i int, f *FaultListener, path string, patience time.Duration) string {
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + f.AddressFor(r.sidecars.subnet.address(i)) + path)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

// The link from one sidecar to one server is cut while the others are not; blocked bytes are delivered afterwards. So is one to discovery.
func TestLinkFaultsAffectServersAndDiscovery(t *testing.T) {
	r := newRig(t, false, "")
	server, agent := r.servers[1].Listener, r.discovery.listener
	heal := r.fault(Fault{Kind: "cut", From: []string{"s2"}, To: []string{"v1", "discovery"}, Direction: "in"})
	held := make(chan string, 2)
	for path, f := range map[string]*FaultListener{"/stats": server, "/registry/instances": agent} {
		go func() { held <- r.get(2, f, path, testTimeout) }()
	}
	if r.get(1, server, "/stats", testTimeout) == "" || r.get(2, r.servers[0].Listener, "/stats", testTimeout) == "" || r.get(0, agent, "/registry/instances", testTimeout) == "" {
		t.Error("a link that is not cut is silent")
	}
	select {
	case text := <-held:
		t.Errorf("through a cut link came %q", text)
	default:
	}
	heal()
	for range 2 {
		if text := <-held; text == "" {
			t.Error("what the cut blocked was not delivered after it")
		}
	}
	heal = r.fault(Fault{Kind: "delay", Servers: []int{0}, Delay: Duration{50 * time.Millisecond}})
	if began := time.Now(); r.get(0, r.servers[0].Listener, "/stats", testTimeout) == "" || time.Since(began) < 100*time.Millisecond {
		t.Errorf("delayed by 50 ms in each direction, a call took %v", time.Since(began))
	}
	heal()
	healths := func() string {
		text := r.get(0, agent, "/registry/instances", testTimeout)
		return fmt.Sprint(strings.Count(text, "Ready"), strings.Count(text, "Terminating"))
	}
	both := r.fault(Fault{Kind: "drain", Servers: []int{0, 1}})
	heal = r.fault(Fault{Kind: "drain", Servers: []int{0}})
	if got := healths(); got != "0 2" {
		t.Errorf("two drained: %s ready and terminating", got)
	}
	both()
	if got := healths(); got != "1 1" {
		t.Errorf("the first of two drains ended: %s ready and terminating", got)
	}
	lag := r.fault(Fault{Kind: "discovery", Mode: "lag", Delay: Duration{time.Hour}})
	heal()
	if got := healths(); got != "1 1" {
		t.Errorf("a change under lag was published at once: %s", got)
	}
	lag()
	heal = r.fault(Fault{Kind: "discovery", Mode: "down"})
	if text := r.get(0, agent, "/registry/instances", 100*time.Millisecond); text != "" {
		t.Errorf("discovery responded %q while down", text)
	}
	heal()
	heal = r.fault(Fault{Kind: "reset", Servers: []int{0}})
	if text := r.get(0, r.servers[0].Listener, "/stats", testTimeout); text != "" {
		t.Errorf("under resets came %q", text)
	}
	heal()
	if r.get(0, r.servers[0].Listener, "/stats", testTimeout) == "" {
		t.Error("silent after the resets")
	}
}

// adminCall calls sidecar i's admin address; -1 if it is down.
func (r *rig) adminCall(method string, i int, path, body string) (int, string) {
	return newOperators(r.exp, r.sidecars, r.requests, &history.Log{}).adminCall(method, i, path, body)
}

func (r *rig) pids(i int) (pids []int) {
	r.sidecars.mu.Lock()
	defer r.sidecars.mu.Unlock()
	for _, l := range r.sidecars.states[i].processes {
		pids = append(pids, l.cmd.Process.Pid)
	}
	return pids
}

// state is a process's state by the system: R, S, T (stopped) ...
func state(pid int) string { return append(statFields(pid), "")[0] }

// Machines are killed, paused and replaced: with their disk a ban persists, with an empty one it is lost. Overlapping
// faults end in any order, and a sidecar stays down until the last has ended.
func TestMachineFaults(t *testing.T) {
	t.Parallel()
	r := newRig(t, true, "")
	banned := func(i int) string { _, text := r.adminCall(http.MethodGet, i, "/pin-servers", ""); return text }
	for i := range 2 { // s0 on machine 0, s1 on machine 1
		if status, text := r.adminCall(http.MethodPost, i, "/pin-servers/disable", "v001"); status != http.StatusOK {
			t.Fatalf("ban: %d %s", status, text)
		}
	}
	before := [][]int{r.pids(0), r.pids(1), r.pids(2)}
	machine := r.fault(Fault{Kind: "machine-kill", Machines: []int{0}})
	if len(r.pids(0))+len(r.pids(2)) != 0 || r.pids(1)[0] != before[1][0] {
		t.Errorf("machine 0 killed: processes %v %v %v, before %v", r.pids(0), r.pids(1), r.pids(2), before)
	}
	again := r.fault(Fault{Kind: "kill", Sidecars: []int{0}}) // already down
	paused := r.fault(Fault{Kind: "machine-pause", Machines: []int{0}})
	machine()
	if len(r.pids(0)) != 0 {
		t.Error("a sidecar under another kill and a pause runs")
	}
	again()
	if len(r.pids(0)) != 0 {
		t.Error("a sidecar of a paused machine started")
	}
	paused()
	if !strings.Contains(banned(0), "v001") {
		t.Errorf("killed and back with its disk: %s", banned(0))
	}
	paused = r.fault(Fault{Kind: "pause", Sidecars: []int{0}})
	r.await("a stopped process", func() bool { return state(r.pids(0)[0]) == "T" })
	paused()
	r.await("it to continue", func() bool { return state(r.pids(0)[0]) != "T" })
	r.fault(Fault{Kind: "machine-replace", Machines: []int{0}})()
	if text := banned(0); text == "" || strings.Contains(text, "v001") {
		t.Errorf("replaced with an empty disk: %s", text)
	}
	if !strings.Contains(banned(1), "v001") {
		t.Errorf("the other machine: %s", banned(1))
	}
	old := r.pids(1)
	r.fault(Fault{Kind: "upgrade", Sidecars: []int{1}})
	if now := r.pids(1); len(now) != 1 || now[0] == old[0] || !strings.Contains(banned(1), "v001") {
		t.Errorf("upgraded: processes %v after %v, %s", now, old, banned(1))
	}
	r.fault(Fault{Kind: "term", Sidecars: []int{1}})
	if len(r.pids(1)) != 0 {
		t.Error("a sidecar that was removed runs")
	}
	r.fault(Fault{Kind: "join", Sidecars: []int{1}})
	if len(r.pids(1)) != 1 {
		t.Error("a sidecar that joins does not run")
	}
	if failures := r.sidecars.UnexpectedFailures(); len(failures) > 0 {
		t.Error(failures)
	}
	if syscall.Kill(r.pids(3)[0], syscall.SIGKILL) != nil {
		t.Fatal("kill")
	}
	r.await("the unexpected exit to be recorded", func() bool {
		return strings.Contains(strings.Join(r.sidecars.UnexpectedFailures(), ""), "s3: ended by itself")
	})
}

// With a full or read-only disk calls that must write fail, and a slow one delays saves; the sidecar goes on running and
// accepts calls again afterwards.
func TestDiskFaults(t *testing.T) {
	t.Parallel()
	r := newRig(t, true, "")
	ban := func(id string) int {
		status, _ := r.adminCall(http.MethodPost, 0, "/pin-servers/disable", id)
		return status
	}
	for _, mode := range []string{"full", "readonly"} {
		heal := r.fault(Fault{Kind: "disk", Mode: mode, Machines: []int{0}})
		if status := ban("v000"); status != http.StatusServiceUnavailable {
			t.Errorf("%s: a ban is answered %d", mode, status)
		}
		if status, _ := r.adminCall(http.MethodPost, 1, "/pin-servers/disable", "v000"); status != http.StatusOK {
			t.Errorf("%s: on the other machine a ban is answered %d", mode, status)
		}
		heal()
		if status := ban("v001"); status != http.StatusOK {
			t.Errorf("%s healed: a ban is answered %d", mode, status)
		}
	}
	file := filepath.Join(r.disks[0].state(), "s0.db")
	saved := func() time.Time { info, err := os.Stat(file); r.fatal(err); return info.ModTime() }
	heal := r.fault(Fault{Kind: "disk", Mode: "slow", Delay: Duration{time.Hour}, Machines: []int{0}})
	r.await("a save to time out", func() bool {
		log, _ := os.ReadFile(filepath.Join(r.sidecars.folder, "s00.log"))
		return strings.Contains(string(log[max(0, len(log)-20_000):]), "state snapshot not saved")
	})
	last := saved()
	if status := ban("v000"); status != http.StatusServiceUnavailable {
		t.Errorf("slow: a ban that cannot be persisted in time is answered %d", status)
	}
	heal()
	r.await("the next save", func() bool { return saved().After(last) })
}

func (r *rig) fatal(err error) {
	r.Helper()
	if err != nil {
		r.Fatal(err)
	}
}
