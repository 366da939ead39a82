package sidecar

import (
	"testing"
	"time"
)

// The next wait for a client grows with the bytes that it has transferred, up to maxClientStall, and shrinks with the time spent.
func TestTransferRateBoundsTheWaitForAClient(t *testing.T) {
	for _, c := range []struct {
		rate transferRate
		want time.Duration
	}{
		{transferRate{}, transferGracePeriod},
		{transferRate{bytes: minTransferRate}, transferGracePeriod + time.Second},
		{transferRate{bytes: minTransferRate, elapsed: 3 * time.Second}, transferGracePeriod - 2*time.Second},
		{transferRate{bytes: 100 * minTransferRate}, maxClientStall},
		{transferRate{bytes: 100 * minTransferRate, elapsed: 103 * time.Second}, transferGracePeriod - 3*time.Second},
	} {
		if got := c.rate.remaining(); got != c.want {
			t.Errorf("%+v has %v remaining, want %v", c.rate, got, c.want)
		}
	}
}
