// Package lab runs experiments on many real sidecar processes: stand-in pin
// servers and discovery written from the platform's protocol, faults of the
// network in every server's listener and between peers, an open-loop load per
// sidecar, and a schedule of faults. Every request is tracked by its id, so that a result counts exactly
// what was served, refused, failed, late, lost or run twice.
package lab
