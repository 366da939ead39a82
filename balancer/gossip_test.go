package balancer

import (
	"bytes"
	"os"
	"slices"
	"strings"
	"testing"
)

// largeFleetSettings returns settings for many balancers, each with few requests and expensive load probes.
func largeFleetSettings() Settings {
	s := testSettings()
	s.Balancers = 80
	s.LoadReportFields = []LoadField{LoadFieldInFlight, LoadFieldQueueLength}
	s.Limits.AllowGossip = true
	s.Costs = Costs{LoadProbe: 0.08, CrossZone: 0.11, GossipMessage: 0.014}
	return s
}

// The answer to a load probe is shared with all balancers, unless each of them can probe often enough itself.
func TestReportsAreSharedWithOtherBalancers(t *testing.T) {
	b, r := start(t, largeFleetSettings(), ready(60))
	b.TimerFired(second, timerProbeRound)
	b.LoadProbeResult(second+500, r.probes[0], OK, 500, []float32{7, 3})
	if len(r.gossip) != 1 {
		t.Fatalf("%d gossip messages after one report, want 1", len(r.gossip))
	}
	other, _ := start(t, largeFleetSettings(), ready(60))
	other.TimerFired(second, timerProbeRound)
	other.ReceiveGossip(second+2000, r.gossip[0])
	e := other.endpointsByID[r.probes[0]]
	if got := other.estimateLoad(second+2000, e); got != 7 || other.concurrencyOf(e) != 4 {
		t.Errorf("load %v and concurrency %v after a message of 7 in flight and 3 queued", got, other.concurrencyOf(e))
	}

	few := largeFleetSettings()
	few.Balancers, few.Costs.LoadProbe = 2, 0.0014
	b, r = start(t, few, ready(15))
	for i := range uint64(200) {
		b.RequestArrived(second+5000*Micros(i), requestOf(i, 0, second+5000*Micros(i)))
	}
	b.TimerFired(2*second, timerProbeRound)
	b.LoadProbeResult(2*second+500, r.probes[0], OK, 500, []float32{7, 3})
	if len(r.gossip) != 0 {
		t.Errorf("%d gossip messages, want none as a probe round over the fleet takes less than a second", len(r.gossip))
	}
}

// A shared report counts for only about the time of one request, because many balancers act on it.
func TestSharedLoadDecaysToBaseline(t *testing.T) {
	b, _ := start(t, largeFleetSettings(), ready(60))
	b.TimerFired(second, timerProbeRound)
	for id := uint32(1); id <= 60; id++ {
		b.ReceiveGossip(second, gossipEntry{endpointID: id, inFlight: 4}.encode())
	}
	b.ReceiveGossip(second, gossipEntry{endpointID: 1, inFlight: 0}.encode())
	e := b.endpointsByID[1]
	soon, late := b.estimateLoad(second, e), b.estimateLoad(second+10*Micros(b.classes[0].meanWork.value), e)
	if soon != 0 || late < 3 {
		t.Errorf("load %v at once and %v after the time of ten requests, want 0 and about the 4 of the others", soon, late)
	}
}

// While reports are shared, a slow response may have waited in a queue that no report shows. Its latency must
// not raise the mean work, which is learned from the service times in the reports.
func TestReportsTellMeanWork(t *testing.T) {
	s := largeFleetSettings()
	s.LoadReportFields, s.Classes = []LoadField{LoadFieldInFlight, LoadFieldQueueLength, LoadFieldServiceTime}, s.Classes[:1]
	b, r := start(t, s, ready(60))
	b.TimerFired(second, timerProbeRound)
	work := b.classes[0].meanWork.value
	for i := range uint64(100) {
		now := second + 1000*Micros(i)
		b.RequestArrived(now, requestOf(i, 0, now))
		if n := len(r.attempts); n > 0 && r.attempts[n-1].id == i {
			b.AttemptFinished(now, Outcome{ID: i, Endpoint: r.attempts[n-1].endpoint, Status: OK, Latency: 800_000, RequestDone: true})
		}
	}
	if got := b.classes[0].meanWork.value; got != work {
		t.Errorf("mean work %.0f us after slow responses, want the %.0f before them", got, work)
	}
	for i := range Micros(200) {
		b.LoadProbeResult(2*second+i, 1, OK, 500, []float32{2, 0, 50})
	}
	if got := b.classes[0].meanWork.value; got > 51_000 || got < 49_000 {
		t.Errorf("mean work %.0f us with reports of 50 ms, want 49000 to 51000", got)
	}
}

// A message that is truncated or no gossip message at all, and one about an unknown endpoint or an earlier
// process of an endpoint, must change nothing.
func TestInvalidGossipIsDropped(t *testing.T) {
	list := ready(3)
	list[0].StartTime = 5000
	for name, data := range map[string][]byte{
		"empty":           {},
		"foreign":         []byte("hi, there"),
		"truncated":       gossipEntry{endpointID: 2, inFlight: 9}.encode()[:7],
		"other version":   append([]byte{9}, gossipEntry{endpointID: 2, inFlight: 9}.encode()[1:]...),
		"too long":        make([]byte, 257),
		"unknown":         gossipEntry{endpointID: 77, inFlight: 9}.encode(),
		"earlier process": gossipEntry{endpointID: 1, truncatedStartTime: 4, inFlight: 9}.encode(),
	} {
		b, r := start(t, largeFleetSettings(), list)
		b.ReceiveGossip(10*second, data)
		for _, e := range b.endpoints {
			if e.report.known {
				t.Errorf("%s: the message set a report of endpoint %d", name, e.ID)
			}
		}
		isWellFormed := name == "unknown" || name == "earlier process"
		if isLogged := len(r.logs) == 1 && strings.HasPrefix(r.logs[0], "gossip message dropped error="); isLogged == isWellFormed {
			t.Errorf("%s: log lines %q, want one exactly if the message is malformed", name, r.logs)
		}
	}
}

// A balancer without listed endpoints in its own zone must still choose among three random candidates. With
// one candidate half of its requests would go to full endpoints.
func TestPickSpreadsRequestsWithoutLocalEndpoints(t *testing.T) {
	s := largeFleetSettings()
	s.Zone = 200 // no endpoint of it is listed
	b, r := start(t, s, ready(60))
	b.TimerFired(second, timerProbeRound)
	for id := uint32(1); id <= 60; id++ {
		b.ReceiveGossip(second, gossipEntry{endpointID: id, inFlight: uint8(id % 2 * 7)}.encode())
	}
	full := 0
	for i := range uint64(100) {
		b.RequestArrived(second+1000, requestOf(i, 0, second+1000))
		full += int(r.attempts[i].endpoint % 2)
	}
	if full > 30 {
		t.Errorf("%d of 100 requests go to full endpoints, want at most 30", full)
	}
}

// The messages in testdata were written by main 0bd2efd: balancers of that version send and read this format.
func TestGossipMessageReadsAndWritesGoldenBytes(t *testing.T) {
	for _, c := range []struct {
		file string
		want []gossipEntry
	}{
		{"gossip-one.bin", []gossipEntry{{endpointID: 305_419_896, truncatedStartTime: 0xbeef, inFlight: 7, queueLength: 2}}},
		{"gossip-several.bin", []gossipEntry{
			{endpointID: 1, truncatedStartTime: 0, inFlight: 0, queueLength: 0},
			{endpointID: 4_294_967_295, truncatedStartTime: 65_535, inFlight: 255, queueLength: 255},
			{endpointID: 70_000, truncatedStartTime: 258, inFlight: 12, queueLength: 10},
		}},
	} {
		golden, err := os.ReadFile("testdata/" + c.file)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeGossip(golden)
		if err != nil || !slices.Equal(got, c.want) {
			t.Errorf("%s reads as %+v, %v; want %+v", c.file, got, err, c.want)
		}
		written := []byte{golden[0]}
		for _, n := range got {
			written = append(written, n.encode()[1:]...)
		}
		if !bytes.Equal(written, golden) {
			t.Errorf("%s is written again as %x, want %x", c.file, written, golden)
		}
	}
}
