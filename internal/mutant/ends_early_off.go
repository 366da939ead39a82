//go:build !mutant_ends_early

package mutant

// EndsEarly makes a sidecar end all connections once it accepts no more clients after SIGTERM.
const EndsEarly = false
