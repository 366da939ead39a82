package sidecar

import (
	"context"

	"bramblestand/balancer"
	"bramblestand/internal/config"
	"bramblestand/internal/discovery"
)

// WatchEndpoints starts to watch the endpoint list, from the last version received on, or stops it. It implements balancer.Actions:
// the loop's goroutine calls it.
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

// postEndpointUpdate queues an update of the watch that ends with watchCtx. It is dropped if the watch has been stopped meanwhile.
// The watch's goroutine calls it.
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

// switchDiscovery changes the address of discovery. Versions there may not be the old address's, so a watch starts again with the
// full list. The loop's goroutine calls it.
func (l *eventLoop) switchDiscovery(address string) {
	l.log.Info("discovery address changed", "old_address", l.discoveryClient.Address(), "new_address", address)
	old := l.discoveryClient
	l.discoveryClient, l.listVersion = discovery.NewClient(address, old.Options()), nil
	if l.isWatching {
		l.WatchEndpoints(true)
	}
	old.CloseIdleConnections()
}
