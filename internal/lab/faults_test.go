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

// testTimeout is how long a test waits for a condition.
const testTimeout = 20 * time.Second

// rig is a testbed without load, whose faults a test begins and ends one by one.
type rig struct {
	*testing.T
	*testbed
	faultsBegun map[int]chan struct{} // as in runSchedule
	changes     sync.WaitGroup        // changes of faults that are in progress
	sockets     []*net.UDPConn        // sockets in place of the sidecars, in tests that send datagrams for them
	received    []chan string         // datagrams received by each of the sockets
}

// newRig makes a rig of 4 sidecars on 2 machines and 2 servers. more and fleet are additional TOML, fleet of the table
// [fleet]. If started is set, real sidecar processes run. Otherwise the test sends and receives datagrams for them.
func newRig(t *testing.T, started bool, more string, fleet ...string) *rig {
	t.Helper()
	exp, err := Parse("rig.toml", []byte("duration = \"60s\"\n"+more+
		"[fleet]\nsidecars = 4\nservers = 2\nmachines = 2\npeers = true\nstate = true\n"+strings.Join(fleet, "")+"[load]\nrate = 0\n[ops]\non = true\n"))
	if err != nil {
		t.Fatal(err)
	}
	bed, err := newTestbed(exp, filepath.Join(programs, "sidecar"), t.TempDir(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{T: t, testbed: bed, faultsBegun: map[int]chan struct{}{}}
	t.Cleanup(func() { r.changes.Wait(); bed.close() })
	if started {
		if err := bed.sidecars.startAll(); err != nil {
			t.Fatal(err)
		}
		return r
	}
	for i := range exp.Fleet.Sidecars {
		socket, err := net.ListenPacket("udp4", bed.relay.ListenAddress(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { socket.Close() })
		received := make(chan string, 1000)
		r.sockets, r.received = append(r.sockets, socket.(*net.UDPConn)), append(r.received, received)
		go func() {
			buffer := make([]byte, 512)
			for {
				n, _, err := socket.ReadFrom(buffer)
				if err != nil {
					return
				}
				received <- string(buffer[:n])
			}
		}()
	}
	return r
}

// fault begins a fault and returns the function that ends it. Both return when the change has been applied.
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
		r.startEvent(Event{Fault: f, ID: id, Heal: heal}, r.faultsBegun, &r.changes)
		r.changes.Wait()
	}
	apply(false)
	return func() { apply(true) }
}

// send sends a datagram from sidecar i to all others.
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

// await waits until a condition holds, and fails the test if it does not within testTimeout.
func (r *rig) await(what string, holds func() bool) {
	r.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.Fatalf("timed out waiting for %s", what)
		}
	}
}

// deliveredPairs sends one datagram from each sidecar to all others and returns the pairs of sender and receiver between
// which it arrived, "01" from 0 to 1. The relay counts each datagram as relayed or dropped at once, so that the number
// of arrivals to wait for is known without a timeout.
func (r *rig) deliveredPairs() string {
	r.Helper()
	relayed, dropped, _, _ := r.relay.Counts()
	for i := range r.sockets {
		r.send(i, fmt.Sprint(i))
	}
	relayedNow := 0
	r.await("all datagrams to be relayed or dropped", func() bool {
		var droppedNow int
		relayedNow, droppedNow, _, _ = r.relay.Counts()
		return relayedNow+droppedNow == relayed+dropped+len(r.sockets)*(len(r.sockets)-1)
	})
	var pairs []string
	r.await("the relayed datagrams to arrive", func() bool {
		for j, received := range r.received {
			for len(received) > 0 {
				pairs = append(pairs, <-received+fmt.Sprint(j))
			}
		}
		return len(pairs) == relayedNow-relayed
	})
	slices.Sort(pairs)
	return strings.Join(pairs, " ")
}

// everyPair is the result of deliveredPairs without faults.
const everyPair = "01 02 03 10 12 13 20 21 23 30 31 32"

// Datagrams on a cut link do not arrive, while those in the other direction do. Overlapping cuts may end in any order.
func TestLinkFaultsCutDatagrams(t *testing.T) {
	r := newRig(t, false, "[groups]\nleft = [\"s0\", \"s2\"]\n")
	for name, c := range map[string]struct {
		fault Fault
		want  string // pairs that are still delivered
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
		if got := r.deliveredPairs(); got != c.want {
			t.Errorf("%s: %s delivered, want %s", name, got, c.want)
		}
		heal()
		if got := r.deliveredPairs(); got != everyPair {
			t.Errorf("%s ended: %s delivered, want all", name, got)
		}
	}
	first := r.fault(Fault{Kind: "cut", From: []string{"s0"}, To: []string{"all"}})
	second := r.fault(Fault{Kind: "isolate", Sidecars: []int{0, 1}})
	first()
	if got := r.deliveredPairs(); got != "23 32" {
		t.Errorf("the first of two cuts ended: %s delivered, want 23 32", got)
	}
	second()
	if got := r.deliveredPairs(); got != everyPair {
		t.Errorf("both cuts ended: %s delivered, want all", got)
	}
}

// A fault on a link duplicates, reorders and limits datagrams, and only those in its direction.
func TestLinkFaultsShapeDatagrams(t *testing.T) {
	r := newRig(t, false, "")
	const n = 60                     // when duplicated they still fit into a socket's buffer, if the machine is too busy to read it
	send := func(f Fault) []string { // sends n datagrams from s0 and returns those that s1 received
		relayed, dropped, _, _ := r.relay.Counts()
		heal := r.fault(f)
		for k := range n {
			r.send(0, fmt.Sprint(k))
		}
		r.await("all datagrams to be relayed or dropped", func() bool { a, b, _, _ := r.relay.Counts(); return a+b-relayed-dropped >= 3*n })
		heal()
		relayedNow, _, _, _ := r.relay.Counts()
		var got []string
		r.await("the relayed datagrams to arrive", func() bool {
			for len(r.received[1]) > 0 {
				got = append(got, <-r.received[1])
			}
			return len(got) == relayedNow-relayed-2*n // s2 and s3 receive each datagram once
		})
		return got
	}
	link := Fault{Kind: "link", From: []string{"s0"}, To: []string{"s1"}, Direction: "out"}
	duplicated, limited, reordered := link, link, link
	duplicated.Duplicate, limited.Rate, reordered.Reorder = 1, 1, 0.3
	if got := send(duplicated); len(got) != 2*n {
		t.Errorf("duplicated: %d of %d arrived", len(got), 2*n)
	}
	if got := send(limited); len(got) == 0 || len(got) > n/2 {
		t.Errorf("limited to one per second: %d of %d arrived", len(got), n)
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
		t.Errorf("reordered: %d of %d arrived, %d overtaken", len(got), n, overtaken)
	}
}

// A flap cuts its link in the first half of each period.
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
		t.Errorf("a flap for 2 s with a period of 500 ms: %s", got)
	}
}

// get calls a server or discovery as sidecar i does, and returns the body of the response, "" without a response.
func (r *rig) get(i int, f *FaultListener, path string, timeout time.Duration) string {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + f.AddressFor(r.sidecars.subnet.address(i)) + path)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

// Cutting the links from one sidecar to one server and to discovery affects no other links. The bytes that a cut blocks
// are delivered when it ends. Delay, drain, reset and faults of discovery take effect, and end when they are ended.
func TestLinkFaultsAffectServersAndDiscovery(t *testing.T) {
	r := newRig(t, false, "")
	server, registry := r.servers[1].Listener, r.discovery.listener
	heal := r.fault(Fault{Kind: "cut", From: []string{"s2"}, To: []string{"v1", "discovery"}, Direction: "in"})
	blocked := make(chan string, 2)
	for path, f := range map[string]*FaultListener{"/stats": server, "/registry/instances": registry} {
		go func() { blocked <- r.get(2, f, path, testTimeout) }()
	}
	if r.get(1, server, "/stats", testTimeout) == "" || r.get(2, r.servers[0].Listener, "/stats", testTimeout) == "" || r.get(0, registry, "/registry/instances", testTimeout) == "" {
		t.Error("no response through a link that is not cut")
	}
	select {
	case text := <-blocked:
		t.Errorf("response %q through a cut link", text)
	default:
	}
	heal()
	for range 2 {
		if text := <-blocked; text == "" {
			t.Error("what the cut blocked was not delivered after its end")
		}
	}
	heal = r.fault(Fault{Kind: "delay", Servers: []int{0}, Delay: Duration{50 * time.Millisecond}})
	if startedAt := time.Now(); r.get(0, r.servers[0].Listener, "/stats", testTimeout) == "" || time.Since(startedAt) < 100*time.Millisecond {
		t.Errorf("a call with a delay of 50 ms in each direction took %v", time.Since(startedAt))
	}
	heal()
	healths := func() string { // number of servers that are ready and that are terminating
		text := r.get(0, registry, "/registry/instances", testTimeout)
		return fmt.Sprint(strings.Count(text, "Ready"), strings.Count(text, "Terminating"))
	}
	both := r.fault(Fault{Kind: "drain", Servers: []int{0, 1}})
	heal = r.fault(Fault{Kind: "drain", Servers: []int{0}})
	if got := healths(); got != "0 2" {
		t.Errorf("two drained: %s ready and terminating, want 0 2", got)
	}
	both()
	if got := healths(); got != "1 1" {
		t.Errorf("the first of two drains ended: %s ready and terminating, want 1 1", got)
	}
	lag := r.fault(Fault{Kind: "discovery", Mode: "lag", Delay: Duration{time.Hour}})
	heal()
	if got := healths(); got != "1 1" {
		t.Errorf("a change under lag was published at once: %s", got)
	}
	lag()
	heal = r.fault(Fault{Kind: "discovery", Mode: "down"})
	if text := r.get(0, registry, "/registry/instances", 100*time.Millisecond); text != "" {
		t.Errorf("discovery responded %q while down", text)
	}
	heal()
	heal = r.fault(Fault{Kind: "reset", Servers: []int{0}})
	if text := r.get(0, r.servers[0].Listener, "/stats", testTimeout); text != "" {
		t.Errorf("response %q while connections are reset", text)
	}
	heal()
	if r.get(0, r.servers[0].Listener, "/stats", testTimeout) == "" {
		t.Error("no response after the end of the resets")
	}
}

// adminCall calls sidecar i's admin address as operators do. The status is -1 if the sidecar is down.
func (r *rig) adminCall(method string, i int, path, body string) (int, string) {
	return newOperators(r.exp, r.sidecars, r.requests, &history.Log{}).adminCall(method, i, path, body)
}

// pids returns the process ids of sidecar i's running processes.
func (r *rig) pids(i int) (pids []int) {
	r.sidecars.mu.Lock()
	defer r.sidecars.mu.Unlock()
	for _, process := range r.sidecars.states[i].processes {
		pids = append(pids, process.cmd.Process.Pid)
	}
	return pids
}

// state returns the kernel's letter for a process's state, such as R, S or T (stopped).
func state(pid int) string { return append(statFields(pid), "")[0] }

// A ban persists when its machine is killed and returns with its disk, and is lost when the machine is replaced.
// Overlapping faults may end in any order, and a sidecar stays down until the last of them has ended. An upgrade, a
// removal, a join and an unexpected exit of single sidecars work as well.
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
		t.Errorf("machine 0 killed: processes %v %v %v, %v before", r.pids(0), r.pids(1), r.pids(2), before)
	}
	again := r.fault(Fault{Kind: "kill", Sidecars: []int{0}}) // already down
	paused := r.fault(Fault{Kind: "machine-pause", Machines: []int{0}})
	machine()
	if len(r.pids(0)) != 0 {
		t.Error("a sidecar runs although two other faults, a kill and a pause, are active")
	}
	again()
	if len(r.pids(0)) != 0 {
		t.Error("a sidecar runs although its machine is paused")
	}
	paused()
	if !strings.Contains(banned(0), "v001") {
		t.Errorf("a ban was lost on a machine that returned with its disk: %s", banned(0))
	}
	paused = r.fault(Fault{Kind: "pause", Sidecars: []int{0}})
	r.await("the process to stop", func() bool { return state(r.pids(0)[0]) == "T" })
	paused()
	r.await("the process to continue", func() bool { return state(r.pids(0)[0]) != "T" })
	r.fault(Fault{Kind: "machine-replace", Machines: []int{0}})()
	if text := banned(0); text == "" || strings.Contains(text, "v001") {
		t.Errorf("no response of a sidecar on a replaced machine, or its ban persisted: %q", text)
	}
	if !strings.Contains(banned(1), "v001") {
		t.Errorf("a ban was lost on the other machine: %s", banned(1))
	}
	old := r.pids(1)
	r.fault(Fault{Kind: "upgrade", Sidecars: []int{1}})
	if now := r.pids(1); len(now) != 1 || now[0] == old[0] || !strings.Contains(banned(1), "v001") {
		t.Errorf("upgraded: processes %v, %v before, bans %s", now, old, banned(1))
	}
	r.fault(Fault{Kind: "term", Sidecars: []int{1}})
	if len(r.pids(1)) != 0 {
		t.Error("a removed sidecar runs")
	}
	r.fault(Fault{Kind: "join", Sidecars: []int{1}})
	if len(r.pids(1)) != 1 {
		t.Error("a sidecar that joined does not run")
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

// Calls that must write fail while the disk is full, read-only or too slow. The sidecar goes on running, and accepts such
// calls again afterwards.
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
			t.Errorf("%s: the status of a ban is %d", mode, status)
		}
		if status, _ := r.adminCall(http.MethodPost, 1, "/pin-servers/disable", "v000"); status != http.StatusOK {
			t.Errorf("%s: the status of a ban on the other machine is %d", mode, status)
		}
		heal()
		if status := ban("v001"); status != http.StatusOK {
			t.Errorf("%s ended: the status of a ban is %d", mode, status)
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
		t.Errorf("slow: the status of a ban that cannot be persisted in time is %d", status)
	}
	heal()
	r.await("the next save", func() bool { return saved().After(last) })
}

// fatal ends the test if err is not nil.
func (r *rig) fatal(err error) {
	r.Helper()
	if err != nil {
		r.Fatal(err)
	}
}
