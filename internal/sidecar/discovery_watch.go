package sidecar

import (
	"context"

	"bramblestand/balancer"
	"bramblestand/internal/config"
	"bramblestand/internal/discovery"
)

// WatchEndpoints begins to watch discovery's list, from the last version on, or ends it.
func (l *eventLoop) WatchEndpoints(on bool) {
	l.stopWatch()
	if l.isWatching = on; !on {
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	l.stopWatch = stop
	watch := &discovery.Watch{
		Client: l.discoveryClient,
		After:  l.listVersion,
		Notify: func(kind balancer.UpdateKind, list discovery.List) {
			l.post(func(now balancer.Micros) {
				if ctx.Err() == nil { // else the watch was ended meanwhile
					l.applyEndpointUpdate(now, kind, list)
				}
			})
		},
		Resubscribes: !l.cfg.Settings.MustSubscribe,
		Log:          l.log,
	}
	go watch.Run(ctx)
}

// followReloads takes new configurations until the loop's context ends.
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

// switchDiscovery turns to discovery at another address. Its versions may not be the
// old one's: the watch begins with the whole list.
func (l *eventLoop) switchDiscovery(address string) {
	l.log.Info("discovery address changed", "old_address", l.discoveryClient.Address(), "new_address", address)
	old := l.discoveryClient
	l.discoveryClient, l.listVersion = discovery.NewClient(address, old.Options()), nil
	if l.isWatching {
		l.WatchEndpoints(true)
	}
	old.CloseIdleConnections()
}
