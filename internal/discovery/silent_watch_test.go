//go:build go1.25

package discovery_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/discovery"
)

// silentService is a discovery service that never responds to the first call that waits for changes. It responds at once to the
// calls before that and to the next call. Later calls that wait for changes get no response.
type silentService struct {
	silentSince time.Time // time of the first call that waits for changes; zero before it
	calledAgain time.Time // time of the next call; zero before it
}

// RoundTrip responds to a call, or blocks until the call is cancelled.
func (s *silentService) RoundTrip(r *http.Request) (*http.Response, error) {
	isWaiting := r.URL.Query().Get("wait_ms") != "0"
	switch {
	case isWaiting && s.silentSince.IsZero():
		s.silentSince = time.Now()
		<-r.Context().Done()
		return nil, r.Context().Err()
	case !s.silentSince.IsZero() && s.calledAgain.IsZero():
		s.calledAgain = time.Now()
	case isWaiting:
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	body := `{"seq":3,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"Ready"}]}`
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), Request: r}, nil
}

// If a call of the watch gets no response although discovery can be reached, the watch calls again within 6 s. After that time
// the sidecar is expected to know all changes. Otherwise a sidecar whose call keeps waiting would use endpoints that were
// replaced long ago.
func TestSilentWatchIsOpenedAgainInTime(t *testing.T) {
	const maxSilence = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		service := &silentService{}
		version := uint64(3)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		watch := &discovery.Watch{
			Client:       discovery.NewClient("discovery.test:1", discovery.Options{Transport: service}),
			After:        &version,
			Notify:       func(balancer.UpdateKind, discovery.List) {},
			Resubscribes: true,
			Log:          slog.New(slog.DiscardHandler),
		}
		go watch.Run(ctx)
		time.Sleep(time.Minute)
		synctest.Wait()
		if service.calledAgain.IsZero() || service.calledAgain.Sub(service.silentSince) > maxSilence {
			t.Errorf("called again %v after the call that got no response, want %v at most", service.calledAgain.Sub(service.silentSince), maxSilence)
		}
	})
}
