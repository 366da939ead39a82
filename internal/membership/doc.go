// Package membership maintains one sidecar's list of the fleet's members.
//
// hashicorp/memberlist (SWIM: incarnations, refuted suspicion, indirect pings,
// local health awareness, graceful leave) finds and probes members over a
// datagram.Transport. On top of it an Agent
//
//   - validates received messages before memberlist processes them, since anyone
//     can send datagrams (message_check.go, stream_check.go),
//   - verifies a failure by pinging the member that was declared dead (verify.go),
//   - looks for lost members after a start, a partition or a pause (rejoin.go),
//   - derives a StableView, which changes at most once per stabilization period
//     and not at all while this sidecar is isolated (stabilizer.go).
//
// The formats of member metadata and messages (on the wire) and of the Snapshot
// (on disk) must stay compatible: the golden files in testdata define them. See
// docs/design-fleet.md for the design and the alternatives that were tried.
package membership
