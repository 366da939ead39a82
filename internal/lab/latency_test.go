package lab

import (
	"context"
	"math"
	"path/filepath"
	"testing"
	"time"
)

// Both paths serve all of their calls, as many of each, and the added latency is the difference.
func TestLatencyCallsBothPathsEqually(t *testing.T) {
	t.Parallel()
	o := LatencyOptions{Servers: 3, Rate: 60, Runs: 1, Warmup: 500 * time.Millisecond, Duration: 1500 * time.Millisecond, Seed: 4}
	l, err := MeasureLatency(context.Background(), filepath.Join(programs, "sidecar"), t.TempDir(), o, func(line string) { t.Log(line) })
	if err != nil {
		t.Fatal(err)
	}
	p := l.Runs[0]
	if p.Direct.Sent != p.Proxied.Sent || p.Direct.Served != p.Direct.Sent || p.Proxied.Served != p.Proxied.Sent {
		t.Errorf("straight %d of %d, through %d of %d: want all, and as many", p.Direct.Served, p.Direct.Sent, p.Proxied.Served, p.Proxied.Sent)
	}
	if n := p.Proxied.Sent; n < 50 || n > 150 {
		t.Errorf("%d calls per path in 1.5 s at 60 a second", n)
	}
	for _, q := range quantiles {
		straight, through, added := l.Direct[q.name], l.Proxied[q.name], l.Added[q.name]
		if straight.Median <= 0 || through.Median <= 0 || math.Abs(through.Median-straight.Median-added.Median) > 0.01*through.Median+0.002 {
			t.Errorf("%s: straight %+v, through %+v, added %+v", q.name, straight, through, added)
		}
	}
	if p.CPU <= 0 {
		t.Errorf("%v ms of processor a call", p.CPU)
	}
	if l.Table() == "" {
		t.Error("no table")
	}
}
