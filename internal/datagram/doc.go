// Package datagram is the transport between the sidecars of a fleet. It carries
// UDP datagrams of at most MaxSize bytes, which may be lost, duplicated or
// reordered (see PROTOCOL, "Between sidecars").
//
// The first byte of a datagram is its Channel. A Transport sends datagrams,
// passes each received one to the handler of its channel, counts both, and
// limits the sending rate of all channels except gossip. Streams adds reliable
// byte streams (KCP) on two of the channels.
//
// The package does not interpret the content of the datagrams: internal/fleet
// connects the gossip channel to the balancer, and internal/membership uses the
// other channels.
package datagram
