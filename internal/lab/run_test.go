package lab

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"
)

var programs string // folder with the programs that TestMain builds: sidecar, faultlab, twoholders and forgetsbans

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "lab")
	if err == nil {
		for _, build := range [][]string{{"-o", folder, "bramblestand/cmd/sidecar", "bramblestand/cmd/faultlab"},
			{"-o", folder, "./testdata/twoholders"},
			{"-tags", "mutant_forgets_bans", "-o", filepath.Join(folder, "forgetsbans"), "bramblestand/cmd/sidecar"}} {
			if out, buildErr := exec.Command("go", append([]string{"build"}, build...)...).CombinedOutput(); buildErr != nil {
				os.Stderr.Write(out)
				err = buildErr
			}
		}
	}
	if err != nil {
		os.Stderr.WriteString("build of the programs: " + err.Error() + "\n")
		os.Exit(1)
	}
	programs = folder
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// experiment reads an experiment from a file.
func experiment(t *testing.T, path string) *Experiment {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	exp, err := Parse(path, text)
	if err != nil {
		t.Fatal(err)
	}
	return exp
}

// runLab runs an experiment with the built sidecar, and fails the test on any breach of the rules.
func runLab(t *testing.T, exp *Experiment, folder string) *Result {
	t.Helper()
	result, err := Run(context.Background(), exp, filepath.Join(programs, "sidecar"), folder, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Log(result.Summary())
	if n := result.Breaches(); n > 0 {
		t.Errorf("%d breaches: %v, examples %v", n, result.Outcomes, result.Examples)
	}
	return result
}

// In the experiment for CI (5 sidecars, 8 servers, kill -9 of one sidecar, a
// partition of two servers, and faults between peers) no request is lost,
// forged or run twice, and no datagram is too long.
func TestKillAndPartitionLoseNothing(t *testing.T) {
	t.Parallel()
	exp := experiment(t, "../../lab/ci.toml")
	folder := t.TempDir()
	result := runLab(t, exp, folder)
	if served := result.Outcomes[Served]; served < result.Requests*9/10 {
		t.Errorf("served %d of %d", served, result.Requests)
	}
	if len(result.Faults) != 8 {
		t.Errorf("faults %v, want 4 and their ends", result.Faults)
	}
	if d := result.Datagrams; d.Relayed == 0 || d.Dropped == 0 || d.Unknown > 0 {
		t.Errorf("datagrams %+v, want some relayed and some dropped, none from unknown senders", d)
	}
	if err := MergeLogs(folder, filepath.Join(folder, "merged.jsonl")); err != nil {
		t.Fatal(err)
	}
	merged, _ := os.ReadFile(filepath.Join(folder, "merged.jsonl"))
	for _, sidecar := range []string{`"file":"s00.log"`, `"file":"s04.log"`} {
		if !strings.Contains(string(merged), sidecar) {
			t.Errorf("the merged log has no lines of %s", sidecar)
		}
	}
}

// No sidecar outlives a lab that is killed during a run.
func TestKilledLabLeavesNoProcess(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	path := filepath.Join(folder, "long.toml")
	text := "name = \"long\"\nduration = \"60s\"\n[fleet]\nsidecars = 3\nservers = 2\n[load]\nrate = 5\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	lab := exec.Command(filepath.Join(programs, "faultlab"), "run", "-out", folder, "-sidecar", filepath.Join(programs, "sidecar"), path)
	if err := lab.Start(); err != nil {
		t.Fatal(err)
	}
	defer lab.Process.Kill()
	children := func() (n int) {
		entries, _ := os.ReadDir("/proc")
		for _, e := range entries {
			environ, err := os.ReadFile(filepath.Join("/proc", e.Name(), "environ"))
			if err == nil && strings.Contains(string(environ), "BALANCER_CONFIG="+filepath.Join(folder, "logs")) {
				n++
			}
		}
		return n
	}
	for end := time.Now().Add(30 * time.Second); children() < 3; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the lab started %d sidecars, want 3", children())
		}
	}
	lab.Process.Signal(syscall.SIGKILL)
	lab.Wait()
	for end := time.Now().Add(10 * time.Second); children() > 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d sidecars outlived the lab", children())
		}
	}
}

// The error for an invalid experiment names the file and the invalid field.
func TestInvalidExperimentsNameTheField(t *testing.T) {
	good := "duration = \"5s\"\n[fleet]\nsidecars = 2\nservers = 2\n[load]\nrate = 5\n"
	for text, field := range map[string]string{
		good + "colour = 1\n": "colour",
		strings.Replace(good, "sidecars = 2", "sidecars = 999", 1):                "fleet.sidecars",
		strings.Replace(good, `"5s"`, `"five"`, 1):                                "duration",
		good + "[[fault]]\nat = \"1s\"\nkind = \"kill\"\n":                        "fault[0].sidecars",
		strings.Replace(good, "servers = 2", "servers = 2\nprobe_price = -1", 1):  "fleet.probe_price",
		good + "[[fault]]\nat = \"1s\"\nkind = \"melt\"\n":                        "fault[0].kind",
		good + "[[fault]]\nat = \"9s\"\nkind = \"discovery\"\n":                   "fault[0].at",
		good + "[[fault]]\nkind = \"reset\"\nservers = [2]\n":                     "fault[0].servers",
		good + "[[fault]]\nkind = \"cut\"\nfrom = [\"s7\"]\n":                     "fault[0].from: \"s7\"",
		good + "[[fault]]\nkind = \"split\"\ngroups = [[\"s0\"], [\"zone:q\"]]\n": "fault[0].groups[1]: \"zone:q\"",
		good + "[[fault]]\nkind = \"link\"\nloss = 2.0\n":                         "fault[0].loss",
		good + "[[fault]]\nkind = \"disk\"\nmode = \"wet\"\nmachines = [0]\n":     "fault[0].mode",
		good + "[[fault]]\nkind = \"machine-kill\"\nmachines = [2]\n":             "fault[0].machines",
		good + "[[fault]]\nkind = \"upgrade\"\nsidecars = [0]\n":                  "fault[0].kind",
		good + "[[call]]\nop = \"sing\"\n[ops]\non = true\n":                      "call[0].op",
		good + "[[chaos]]\nkind = \"discovery\"\ncount = 1\n":                     "chaos[0].kind",
		strings.Replace(good, "rate = 5", "rate = 5\nshape = \"x\"", 1):           "load.shape",
	} {
		_, err := Parse("e.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), field) || !strings.HasPrefix(err.Error(), "e.toml") {
			t.Errorf("error %v, want one that names e.toml and %s", err, field)
		}
	}
}

// The same seed gives the same schedule and the same arrivals; another seed gives different ones.
func TestScheduleFollowsFromTheSeed(t *testing.T) {
	text := "seed = 5\nduration = \"30s\"\n[fleet]\nsidecars = 4\nservers = 9\n[load]\nrate = 20\nshape = \"bursts\"\n" +
		"burst_every = \"5s\"\nburst_for = \"1s\"\nburst_factor = 3\n[[chaos]]\nkind = \"kill\"\ncount = 3\nfor = \"1s\"\n" +
		"[[chaos]]\nkind = \"partition\"\ncount = 2\n"
	one, _ := Parse("a", []byte(text))
	two, _ := Parse("b", []byte(text))
	other, _ := Parse("c", []byte(strings.Replace(text, "seed = 5", "seed = 6", 1)))
	if !reflect.DeepEqual(one.Schedule(), two.Schedule()) || !reflect.DeepEqual(one.Arrivals(1), two.Arrivals(1)) {
		t.Error("the same seed gave different schedules or arrivals")
	}
	if reflect.DeepEqual(one.Schedule(), other.Schedule()) || reflect.DeepEqual(one.Arrivals(1), other.Arrivals(1)) {
		t.Error("different seeds gave the same schedule or arrivals")
	}
	if n := len(one.Schedule()); n != 8 {
		t.Errorf("%d events, want 3 kills with their ends and 2 partitions", n)
	}
}

// A partition in one direction blocks the traffic in that direction. At its end, connections that existed during it are
// reset.
func TestPartitionBlocksThenResetsConnections(t *testing.T) {
	network := NewNetwork(1)
	listener, err := network.Listen(7, 0) // of an echo server
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	conn, err := net.Dial("tcp", listener.AddressFor("127.0.0.1"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answer := make([]byte, 1)
	roundTrip := func() error {
		conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, answer)
		return err
	}
	if err := roundTrip(); err != nil {
		t.Fatalf("before the partition: %v", err)
	}
	heal := network.Begin(&Rule{Cut: true, Resets: true, Match: func(from, _ endpoint) bool { return from == 7 }}) // responses are blocked
	if err := roundTrip(); err == nil || !os.IsTimeout(err) {
		t.Errorf("during the partition: %v, want a timeout", err)
	}
	heal()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.ReadAll(conn); err == nil || !strings.Contains(err.Error(), "reset") {
		t.Errorf("after the partition: %v, want a reset", err)
	}
}

// discovery returns a fake discovery service that runs until the test's end.
func discovery(t *testing.T, network *Network) *FakeDiscovery {
	t.Helper()
	listener, err := network.Listen(9, 0)
	if err != nil {
		t.Fatal(err)
	}
	d := NewFakeDiscovery(1, listener)
	t.Cleanup(d.Close)
	return d
}

// A watch returns only the next change. While the service is down there is no response.
func TestFakeDiscoveryWatchAndDown(t *testing.T) {
	d := discovery(t, NewNetwork(1))
	d.Set(Instance{Name: "v1", Address: "127.0.0.1:9", Health: "Ready"}, nil)
	get := func(query string, timeout time.Duration) string {
		client := http.Client{Timeout: timeout}
		r, err := client.Get("http://" + d.Address() + "/registry/instances" + query)
		if err != nil {
			return "no answer"
		}
		defer r.Body.Close()
		body, _ := io.ReadAll(r.Body)
		return string(body)
	}
	if list := get("", time.Second); !strings.Contains(list, `"whole":true`) || !strings.Contains(list, "v1") {
		t.Errorf("the full list: %s", list)
	}
	time.AfterFunc(100*time.Millisecond, func() { d.Set(Instance{Name: "v2", Address: "127.0.0.1:9", Health: "Ready"}, nil) })
	if change := get("?after=2&wait_ms=5000", 3*time.Second); !strings.Contains(change, "v2") || strings.Contains(change, "v1") {
		t.Errorf("the watch: %s, want only v2", change)
	}
	d.SetDown(true)
	if silent := get("", 300*time.Millisecond); silent != "no answer" {
		t.Errorf("down: %s, want no response", silent)
	}
}

// A sidecar whose port is in use gets another one. A sidecar that does not exit
// after SIGTERM, here since it is paused, is killed.
func TestPortInUseAndProcessThatIgnoresSIGTERM(t *testing.T) {
	exp, err := Parse("e.toml", []byte("duration = \"5s\"\n[fleet]\nsidecars = 1\nservers = 1\n[load]\nrate = 5\n"))
	if err != nil {
		t.Fatal(err)
	}
	network := NewNetwork(1)
	disco := discovery(t, network)
	listener, err := network.Listen(1, 0)
	if err != nil {
		t.Fatal(err)
	}
	server := NewFakeServer("v0", "a", exp.Server, NewRequestTable(), 1, listener)
	defer server.Close()
	disco.Set(instanceOf(server, "Ready"), nil)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	d, err := newDisk(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	s := newSidecars(filepath.Join(programs, "sidecar"), t.TempDir(), exp, newSubnet(), disco, nil, []*disk{d}, NewRequestTable(), slog.New(slog.DiscardHandler))
	defer s.Stop()
	s.states[0].listenAddress = taken.Addr().String()
	if err := s.Start(0); err != nil {
		t.Fatal(err)
	}
	if s.ListenAddress(0) == taken.Addr().String() {
		t.Error("the sidecar has a port that was in use")
	}
	s.Pause(0)
	s.Terminate(0)
	if len(s.states[0].processes) > 0 {
		t.Error("a paused sidecar was not killed after SIGTERM")
	}
	if !s.WasDown(0, 0, s.requests.Elapsed()) {
		t.Error("the SIGKILL of a paused sidecar is not recorded as an outage")
	}
}

// Sidecars that are killed while discovery is down serve from the persisted endpoint list after their restart. A sidecar
// whose state file is invalid logs that, renames the file and starts empty.
func TestPersistedListServesWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	exp, err := Parse("blind.toml", []byte(`name = "blind"
seed = 5
duration = "8s"
[fleet]
sidecars = 3
servers = 6
zones = ["a"]
state = true
[server]
capacity = 8
queue = 16
latency = "4ms"
[load]
rate = 30
deadline = "1s"
order_share = 0.3
[[fault]]
at = "2s"
kind = "discovery"
mode = "down"
for = "5s"
[[fault]]
at = "3s"
kind = "kill"
sidecars = [0, 1]
for = "500ms"
`))
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	os.MkdirAll(filepath.Join(folder, "m2", "state"), 0o700)
	os.WriteFile(filepath.Join(folder, "m2", "state", "s2.db"), []byte("not a state file"), 0o600)
	result := runLab(t, exp, folder)
	if len(result.Restarts) != 2 {
		t.Fatalf("restarts %+v, want 2", result.Restarts)
	}
	discoveryUpMs := 0.0 // when discovery responded again
	for _, m := range result.Faults {
		if m.Label == "heal discovery down" {
			discoveryUpMs = m.AtMs
		}
	}
	for _, r := range result.Restarts {
		// Without persisted state neither sidecar would be ready before discovery responded again.
		if r.FirstServedMs < 0 || r.At*1000+r.ReadyMs > discoveryUpMs || r.At*1000+r.FirstServedMs > discoveryUpMs {
			t.Errorf("restart %+v: not served from the persisted list while discovery was down, until %.0f ms", r, discoveryUpMs)
		}
	}
	if renamed, _ := filepath.Glob(filepath.Join(folder, "m2", "state", "s2.db.bad-*")); len(renamed) != 1 {
		t.Errorf("the invalid state file was not renamed: %v", renamed)
	}
	if log, _ := os.ReadFile(filepath.Join(folder, "s02.log")); !strings.Contains(string(log), "s2.db: invalid") {
		t.Errorf("the log of s2 does not name its invalid state file")
	}
}
