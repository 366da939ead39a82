package lab

import (
	"context"
	"math"
	"path/filepath"
	"testing"
	"time"
)

// Both ways serve all of their calls, as many of each, and what is added is the one less the other.
func TestLatencyServesBothWays(t *testing.T) {
	t.Parallel()
	o := LatencyOptions{Servers: 3, Rate: 60, Plays: 1, Warm: 500 * time.Millisecond, Duration: 1500 * time.Millisecond, Seed: 4}
	l, err := MeasureLatency(context.Background(), filepath.Join(programs, "sidecar"), t.TempDir(), o, func(line string) { t.Log(line) })
	if err != nil {
		t.Fatal(err)
	}
	p := l.Plays[0]
	if p.Straight.Sent != p.Through.Sent || p.Straight.Served != p.Straight.Sent || p.Through.Served != p.Through.Sent {
		t.Errorf("straight %d of %d, through %d of %d: want all, and as many", p.Straight.Served, p.Straight.Sent, p.Through.Served, p.Through.Sent)
	}
	if n := p.Through.Sent; n < 50 || n > 150 {
		t.Errorf("%d calls a way in 1.5 s at 60 a second", n)
	}
	for _, q := range levels {
		straight, through, added := l.Straight[q.name], l.Through[q.name], l.Added[q.name]
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
