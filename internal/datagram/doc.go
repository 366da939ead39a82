// Package datagram is the path between the sidecars of a fleet: UDP datagrams
// of at most MaxSize bytes that may be lost, duplicated or reordered (see
// PROTOCOL, "Between sidecars").
//
// The first byte of a datagram is its Channel. A Transport sends datagrams,
// hands received ones to the handler of their channel, counts both, and limits
// the rate of everything but gossip. Streams adds reliable byte streams (KCP)
// on two of the channels.
//
// The package knows nothing of what the datagrams carry: internal/fleet wires
// the gossip channel to the balancer, internal/membership uses the others.
package datagram
