// Package lab runs experiments on many real sidecar processes. It provides fake
// servers and a fake discovery service that speak the platform's protocol, an
// open-loop load for each sidecar, and a schedule of faults. Faults of the
// network are injected in the servers' listeners and in a relay for the
// datagrams between sidecars. Every request is tracked by its id, so that a
// result counts exactly what was served, rejected, failed, late, lost or run
// twice.
//
// Parse reads an Experiment, Run runs it and returns a Result, and Search looks
// for schedules of faults that break a rule. MeasureLatency and MeasureControl
// are benchmarks of a sidecar's overhead.
package lab
