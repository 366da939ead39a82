// Package membership keeps one sidecar's list of the fleet's members.
//
// hashicorp/memberlist (SWIM: incarnations, refuted suspicion, indirect pings,
// local health awareness, graceful leave) finds and probes members over a
// datagram.Transport. On top of it an Agent
//
//   - checks what strangers send before memberlist sees it (message_check.go),
//   - verifies a failure by pinging the member that is said to be dead (verify.go),
//   - looks for members that were lost, after a start, a partition or a pause (rejoin.go),
//   - derives a StableView, which changes at most once per stabilization period
//     and not at all while this sidecar is isolated (stabilizer.go).
//
// Member metadata, the checked messages and the Snapshot are forms on the wire
// and on the disk: the golden files in testdata hold them. See
// docs/design-fleet.md for the design and what was tried.
package membership
