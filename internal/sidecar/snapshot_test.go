package sidecar

import (
	"context"
	"log/slog"
	"reflect"
	"testing"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/config"
	"bramblestand/internal/discovery"
	"bramblestand/internal/state"
)

// newIdleLoop returns an event loop that is not run.
func newIdleLoop(t *testing.T, cfg *config.Config) *eventLoop {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	l, err := newEventLoop(ctx, cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// After a restart the sidecar starts with the persisted list if that is fresh, valid and not older than the configured one. The
// persisted bans are in force in any case.
func TestRestoreChoosesTheFirstList(t *testing.T) {
	persistedEndpoint, knownEndpoint := readyEndpoint("s-1", "127.0.0.1:1"), readyEndpoint("s-2", "127.0.0.1:2")
	invalidEndpoint := readyEndpoint("s-1", "no port")
	for _, c := range []struct {
		name           string
		age            time.Duration
		version        uint64
		endpoint       discovery.Endpoint
		wantsPersisted bool
		knownVersion   uint64
	}{
		{"fresh and newer", time.Minute, 7, persistedEndpoint, true, 6},
		{"fresh and the same version", time.Minute, 7, persistedEndpoint, true, 7},
		{"fresh and older than the configuration's", time.Minute, 7, persistedEndpoint, false, 8},
		{"too old (state_max_age_s is 600)", 600*time.Second + time.Second, 7, persistedEndpoint, false, 6},
		{"dated in the future", -2 * time.Minute, 7, persistedEndpoint, false, 6},
		{"not valid", time.Minute, 7, invalidEndpoint, false, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := newTestConfig(t, "127.0.0.1:1", nil, knownEndpoint)
			cfg.KnownEndpoints.Version = c.knownVersion
			l := newIdleLoop(t, cfg)
			list := l.restoreSnapshot(l.clock.now(), &state.Snapshot{
				ListedAt: time.Now().Add(-c.age), ListVersion: c.version, IsFullList: true, Endpoints: []discovery.Endpoint{c.endpoint},
				Admin: state.AdminSettings{Banned: []string{"s-1"}},
			})
			want := cfg.KnownEndpoints
			if c.wantsPersisted {
				want = discovery.List{Version: c.version, IsFull: true, Endpoints: []discovery.Endpoint{c.endpoint}}
			}
			if !reflect.DeepEqual(list, want) {
				t.Errorf("the list to start with is %+v, want %+v", list, want)
			}
			if names := l.bannedNames(); !reflect.DeepEqual(names, []string{"s-1"}) {
				t.Errorf("banned: %v, want s-1", names)
			}
		})
	}
}

// A process restores what an earlier one persisted: the list, the bans, and what was learned about the listed endpoints.
func TestSnapshotIsRestored(t *testing.T) {
	listed, removed := readyEndpoint("s-1", "127.0.0.1:1"), readyEndpoint("s-2", "127.0.0.1:2")
	first := newIdleLoop(t, newTestConfig(t, "127.0.0.1:1", nil))
	now := first.clock.now()
	first.applyEndpointUpdate(now, balancer.UpdateFull, discovery.List{Version: 3, IsFull: true, Endpoints: []discovery.Endpoint{listed, removed}})
	first.applyEndpointUpdate(now, balancer.UpdateFull, discovery.List{Version: 4, IsFull: true, Endpoints: []discovery.Endpoint{listed}})
	first.setBans(now, []string{"s-9"})
	first.restoreEndpointStates(now, &state.Snapshot{EndpointStates: []state.EndpointState{
		{Name: "s-1", LatencyBaseline: 1000, LatencyCurrent: 1200, ServiceTime: 50, FailureRate: 0.25},
		{Name: "s-8", LatencyBaseline: 1000, LatencyCurrent: 1200, ServiceTime: 50},
	}})
	persisted := first.snapshot(now)
	if persisted.SidecarName != "n0" || persisted.ListVersion != 4 || !reflect.DeepEqual(persisted.Endpoints, []discovery.Endpoint{listed}) ||
		!reflect.DeepEqual(persisted.Admin, state.AdminSettings{Banned: []string{"s-9"}}) {
		t.Errorf("persisted %+v", persisted)
	}

	second := newIdleLoop(t, newTestConfig(t, "127.0.0.1:1", nil))
	now = second.clock.now()
	list := second.restoreSnapshot(now, persisted)
	second.applyEndpointUpdate(now, balancer.UpdateCached, list)
	second.restoreEndpointStates(now, persisted)
	again := second.snapshot(now)
	if !reflect.DeepEqual(again.Endpoints, persisted.Endpoints) || !reflect.DeepEqual(again.Admin, persisted.Admin) {
		t.Errorf("persisted again %+v, want %+v", again, persisted)
	}
	if len(again.EndpointStates) != 1 || again.EndpointStates[0].LatencyBaseline != 1000 || again.EndpointStates[0].ServiceTime != 50 {
		t.Errorf("endpoint states %+v, want those of s-1", again.EndpointStates)
	}
	if !again.ListedAt.Equal(persisted.ListedAt) {
		t.Errorf("a cached list is dated %v, want %v as persisted", again.ListedAt, persisted.ListedAt)
	}
}
