package lab

import (
	"context"
	"math"
	"path/filepath"
	"testing"
	"time"
)

// Both paths get the same number of calls and serve all of them. The added latency is the difference of the two paths'.
func TestLatencyCallsBothPathsEqually(t *testing.T) {
	t.Parallel()
	o := LatencyOptions{Servers: 3, Rate: 60, Runs: 1, Warmup: 500 * time.Millisecond, Duration: 1500 * time.Millisecond, Seed: 4}
	l, err := MeasureLatency(context.Background(), filepath.Join(programs, "sidecar"), t.TempDir(), o, func(line string) { t.Log(line) })
	if err != nil {
		t.Fatal(err)
	}
	p := l.Runs[0]
	if p.Direct.Sent != p.Proxied.Sent || p.Direct.Served != p.Direct.Sent || p.Proxied.Served != p.Proxied.Sent {
		t.Errorf("direct: %d of %d served, proxied: %d of %d served; want all, and the same number on both paths", p.Direct.Served, p.Direct.Sent, p.Proxied.Served, p.Proxied.Sent)
	}
	if n := p.Proxied.Sent; n < 50 || n > 150 {
		t.Errorf("%d calls per path in 1.5 s at 60 per second", n)
	}
	for _, q := range quantiles {
		direct, proxied, added := l.Direct[q.name], l.Proxied[q.name], l.Added[q.name]
		if direct.Median <= 0 || proxied.Median <= 0 || math.Abs(proxied.Median-direct.Median-added.Median) > 0.01*proxied.Median+0.002 {
			t.Errorf("%s: direct %+v, proxied %+v, added %+v", q.name, direct, proxied, added)
		}
	}
	if p.CPU <= 0 {
		t.Errorf("%v ms of CPU time per call", p.CPU)
	}
	if l.Table() == "" {
		t.Error("no table")
	}
}
