// Package soak terminates sidecar processes under load as the platform may: SIGTERM in the middle of the load, other signals around
// it, and SIGKILL at the earliest time that the protocol allows. Until then clients keep using their open connections.
//
// Draw draws a Scenario from a seed; Run executes it and returns a Report. The checks are the platform's rules, with only the
// tolerances that the rules give:
//
//   - Each request that was sent in full gets one complete response within its deadline and latenessAllowed. A request that the
//     sidecar has read is never dropped. Only SIGKILL may cut off a request: in a crash, or
//     before the request's time is over.
//   - No request that must not be repeated runs twice.
//   - Nothing is sent to a draining or banned endpoint after the grace.
//   - No attempt begins later than disconnectAllowed after its client has disconnected.
//   - A process is ready within maxStartTime and does not exit before SIGTERM.
//
// A client can't tell from its connection whether the sidecar has read a request. The records of the endpoints and the sidecar's log
// show it. If a request on a new connection appears in neither, it is counted as unclear.
package soak
