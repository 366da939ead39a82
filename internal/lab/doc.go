// Package lab runs experiments on many real sidecar processes: fake servers
// and a fake discovery service that speak the platform's protocol, faults of
// the network in every server's listener and between peers, an open-loop load
// per sidecar, and a schedule of faults. Every request is tracked by its id, so
// that a result counts exactly what was served, rejected, failed, late, lost or
// run twice.
//
// Parse reads an Experiment, Run carries it out and returns a Result, Search
// looks for schedules of faults that break a rule. MeasureLatency and
// MeasureControl are benchmarks of one sidecar's overhead.
package lab
