// Package soak ends real sidecar processes under use, over and over, as the platform may end them: SIGTERM in the middle of load,
// other signals around it, SIGKILL at the earliest time that the protocol allows. Clients use their open connections until then.
//
// Draw draws a Scenario from a seed, Run plays it and returns a Report. What is checked are the platform's rules, with no allowance
// but those that the rules give:
//
//   - each request that was sent in full gets one whole response within its time and latenessAllowed, or by SIGKILL if it came in the
//     last moment; a request that the sidecar has read is never dropped
//   - no request that may not be repeated runs twice
//   - nothing is sent to an endpoint that drains or is banned after the grace
//   - no attempt begins later than departureAllowed after its client left
//   - a process is ready within maxStartTime, and does not end by itself before SIGTERM
//
// Whether a request was read can't be seen from its connection. The endpoints' records and the sidecar's log tell; a case that stays
// open, on a new connection, is counted as unclear.
package soak
