package lab

import (
	"testing"
	"time"

	"bramblestand/internal/controltraffic"
)

// status is what a sidecar has counted so many seconds after its start: the given number of probes, each of 300 bytes on
// the wire in both directions together.
func status(seconds float64, probes uint64) controltraffic.Status {
	k := controltraffic.Traffic{Sent: controltraffic.Totals{Messages: probes, Bytes: 100 * probes, Packets: probes, WireBytes: 150 * probes},
		Received: controltraffic.Totals{Messages: probes, Bytes: 100 * probes, Packets: probes, WireBytes: 150 * probes}, Opened: probes}
	return controltraffic.Status{Seconds: seconds, Kinds: map[string]controltraffic.Traffic{"probe": k}, WireBytes: k.TotalWireBytes()}
}

// Rates are computed over the time between two samples. A sidecar that restarted between them is left out.
func TestRatesBetweenControlSamples(t *testing.T) {
	at := func(d time.Duration) map[int]time.Duration { return map[int]time.Duration{0: d, 1: d, 2: d, 3: d} }
	from := controlSample{at: at(14 * time.Second), status: map[int]controltraffic.Status{0: status(15, 100), 1: status(15, 100), 2: status(15, 100)},
		cpu: map[int]time.Duration{0: time.Second}, loopback: [2]uint64{1000, 10}}
	to := controlSample{at: at(24500 * time.Millisecond), status: map[int]controltraffic.Status{0: status(25, 110), 1: status(25, 130), 2: status(4, 60), 3: status(5, 7)},
		cpu: map[int]time.Duration{0: 1200 * time.Millisecond}, loopback: [2]uint64{7000, 70}}
	s := spanBetween(from, to)
	p := s.Kinds["probe"]
	if s.Sidecars != 2 || s.Seconds != 10 || s.WireBytes != 600 || s.MaxBytes != 900 || s.CPU != 0.01 ||
		p.Sent != 2 || p.Received != 2 || p.SentBytes != 200 || p.Connections != 2 || p.Packets != 4 || p.WireBytes != 600 ||
		s.LoopbackBytes != 600 || s.LoopbackPackets != 6 {
		t.Errorf("steady %+v", s)
	}
	if s := spanBetween(controlSample{}, from); s.Sidecars != 3 || s.Seconds != 15 || s.WireBytes != 2000 {
		t.Errorf("start %+v", s)
	}
	if s := spanBetween(from, controlSample{}); s.Sidecars != 0 || s.WireBytes != 0 {
		t.Errorf("without samples: %+v", s)
	}
}

// A run with operators reports the control traffic that the sidecars counted: at the start each sends a burst of probes
// and calls discovery once or twice.
func TestRunReportsControlTraffic(t *testing.T) {
	t.Parallel()
	exp, err := Parse("control.toml", []byte("name = \"control\"\nduration = \"3s\"\n[fleet]\nsidecars = 2\nservers = 30\n[load]\nrate = 5\n[ops]\non = true\nobserve = []\n"))
	if err != nil {
		t.Fatal(err)
	}
	result := runLab(t, exp, t.TempDir())
	c := result.Control
	if c == nil || c.Steady != nil || c.Start.Sidecars != 2 {
		t.Fatalf("control %+v, want only the start span, of 2 sidecars", c)
	}
	probe, discovery, orders := c.Start.Kinds["probe"], c.Start.Kinds["discovery"], c.Start.Kinds["orders"]
	if n := probe.Sent * c.Start.Seconds; n < 30 {
		t.Errorf("%.1f probes per sidecar, want all 30 servers probed at the first list", n)
	}
	if n := discovery.Received * c.Start.Seconds; n < 1 || discovery.ReceivedBytes*c.Start.Seconds < 30*100 {
		t.Errorf("%.1f lists with %.0f bytes in total, want at least one, with 30 servers", n, discovery.ReceivedBytes*c.Start.Seconds)
	}
	if orders.Received <= 0 || c.Start.Kinds["news"].Sent != 0 || c.Start.WireBytes <= probe.WireBytes {
		t.Errorf("control %+v", c.Start)
	}
}
