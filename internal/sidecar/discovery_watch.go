package sidecar

import (
	"context"

	"bramblestand/balancer"
	"bramblestand/internal/config"
	"bramblestand/internal/discovery"
)

// WatchEndpoints starts to watch the endpoint list for versions after the last one received, or stops the watch. It implements
// balancer.Actions. The loop's goroutine calls it.
func (l *eventLoop) WatchEndpoints(on bool) {
	l.stopWatch()
	l.isWatching = on
	if !on {
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	l.stopWatch = stop
	watch := &discovery.Watch{
		Client:       l.discoveryClient,
		After:        l.listVersion,
		Notify:       func(kind balancer.UpdateKind, list discovery.List) { l.postEndpointUpdate(ctx, kind, list) },
		Resubscribes: !l.cfg.Settings.MustSubscribe,
		Log:          l.log,
	}
	go watch.Run(ctx)
}

// postEndpointUpdate queues an update from a watch. watchCtx is the context of the watch: if the watch is stopped before the
// update is handled, the update is dropped. The watch's goroutine calls it.
func (l *eventLoop) postEndpointUpdate(watchCtx context.Context, kind balancer.UpdateKind, list discovery.List) {
	l.post(func(now balancer.Micros) {
		if watchCtx.Err() == nil {
			l.applyEndpointUpdate(now, kind, list)
		}
	})
}

// followReloads applies reloaded configurations until the loop's context ends. Only the address of discovery may change.
func (l *eventLoop) followReloads(reloads <-chan *config.Config) {
	for {
		select {
		case cfg := <-reloads:
			l.post(func(balancer.Micros) {
				if cfg.DiscoveryAddress != l.discoveryClient.Address() {
					l.switchDiscovery(cfg.DiscoveryAddress)
				}
			})
		case <-l.ctx.Done():
			return
		}
	}
}

// switchDiscovery changes the address of discovery. Versions at the new address are unrelated to those at the old one, so a watch
// starts again with the full list. The loop's goroutine calls it.
func (l *eventLoop) switchDiscovery(address string) {
	l.log.Info("discovery address changed", "old_address", l.discoveryClient.Address(), "new_address", address)
	old := l.discoveryClient
	l.discoveryClient, l.listVersion = discovery.NewClient(address, old.Options()), nil
	if l.isWatching {
		l.WatchEndpoints(true)
	}
	old.CloseIdleConnections()
}
