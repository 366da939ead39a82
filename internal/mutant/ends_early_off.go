//go:build !mutant_ends_early

package mutant

// EndsEarly makes a sidecar close all connections, without waiting for requests in flight, once it accepts no more clients after
// SIGTERM.
const EndsEarly = false
