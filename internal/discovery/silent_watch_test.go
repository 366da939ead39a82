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

// silentWatch answers calls at once, but for the first one that waits for changes: that one is never answered.
type silentWatch struct {
	silentSince time.Time // of the waiting call; zero before
	calledAgain time.Time // the next call
}

// RoundTrip answers a call, or waits until it is given up.
func (s *silentWatch) RoundTrip(r *http.Request) (*http.Response, error) {
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

// A watch that falls silent although discovery can be reached is opened again within the time in which a change counts as known
// after a watch's silence. Guards against a sidecar that uses endpoints which were replaced long ago, since its call waits on.
func TestSilentWatchIsOpenedAgainInTime(t *testing.T) {
	const maxSilence = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		service := &silentWatch{}
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
			t.Errorf("called again %v after the watch fell silent, want %v at most", service.calledAgain.Sub(service.silentSince), maxSilence)
		}
	})
}
