// Package fleet connects one sidecar to the fleet of sidecars. It sends and
// receives the balancer's gossip over a datagram transport and, if enabled,
// takes part in the fleet's membership. It also defines the settings of both and
// the status that operators see.
//
// The sidecar (internal/sidecar) opens a Fleet and passes it the handler of
// received gossip. The package depends neither on HTTP nor on the balancer. See
// docs/design-fleet.md.
package fleet
