package sidecar

import (
	"testing"
	"time"
)

func TestPaceBoundsTheWaitForAClient(t *testing.T) {
	for _, c := range []struct {
		p    pace
		want time.Duration
	}{
		{pace{}, paceGrace},
		{pace{bytes: minPace}, paceGrace + time.Second},
		{pace{bytes: minPace, spent: 3 * time.Second}, paceGrace - 2*time.Second},
		{pace{bytes: 100 * minPace}, maxClientStall},
		{pace{bytes: 100 * minPace, spent: 103 * time.Second}, paceGrace - 3*time.Second},
	} {
		if got := c.p.remaining(); got != c.want {
			t.Errorf("%+v has %v remaining, want %v", c.p, got, c.want)
		}
	}
}
