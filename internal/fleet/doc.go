// Package fleet is one sidecar's part in the fleet of sidecars: the balancer's
// gossip over a datagram transport and, where it is enabled, the membership of
// the fleet, with their settings and the status that operators see.
//
// The sidecar (internal/sidecar) opens a Fleet and hands it what takes the
// gossip. The package knows neither HTTP nor the balancer. See
// docs/design-fleet.md.
package fleet
