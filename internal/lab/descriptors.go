package lab

import (
	"fmt"
	"math"

	"golang.org/x/sys/unix"

	"bramblestand/internal/config"
)

const (
	sidecarSockets    = 1024 // limits.sockets of every sidecar's configuration
	descriptorsSpare  = 64   // for standard streams, the Go runtime, result files and connections being closed
	descriptorsExcess = 0.1  // fraction by which the estimate may exceed the limit, see CheckDescriptors
)

// Descriptors estimates the maximum number of file descriptors that the lab's own process needs at once for the
// experiment. The parts are:
//
//	listeners    one for each server and one for discovery
//	servers      for each sidecar: a connection to every server, since it probes all new endpoints at its first list, or
//	             one for each request in flight, whichever is more (requests reuse the probes' connections), limited by
//	             the part of limits.sockets that it uses for endpoints; 2 to discovery
//	load         for each sidecar: requests in flight, at most rate x deadline times the factor of a burst, limited by
//	             the sidecar's connections from clients; 1 for the lab's readiness check
//	operators    with operators: one to each sidecar for observations, and one for calls
//	datagrams    with peers or views: a relay socket for each sidecar, and the hub
//	processes    for each sidecar, twice if the experiment upgrades any: its log file, the pipe to it, the process's handle
//	disks        one for each machine if any disk is slow (the state file's lock)
//	spare        64
func (e *Experiment) Descriptors() int {
	f := &e.Fleet
	connections := config.Limits{Sockets: sidecarSockets}.MaxConnections(e.Ops.On)
	burstFactor := 1.0
	if e.Load.Shape == "bursts" {
		burstFactor = max(1, e.Load.BurstFactor)
	}
	inFlight := min(connections, int(math.Ceil(e.Load.Rate*burstFactor*e.Load.Deadline.Seconds())))
	perSidecar := min(connections, max(f.Servers, inFlight)) + 2 + inFlight + 1
	processes := 1
	slowDisks := 0
	for _, c := range e.Chaos {
		if c.Kind == "upgrade" {
			processes = 2
		}
	}
	for _, fault := range e.Faults {
		if fault.Kind == "upgrade" {
			processes = 2
		}
		if fault.Kind == "disk" && fault.Mode == "slow" {
			slowDisks = e.machineCount()
		}
	}
	perSidecar += 3 * processes
	if e.Ops.On {
		perSidecar += 2
	}
	if f.datagrams() {
		perSidecar++
	}
	return descriptorsSpare + f.Servers + 1 + f.Sidecars*perSidecar + slowDisks + 1
}

// CheckDescriptors returns an error if parallel runs of the experiment at a time need more file descriptors than this
// process may have. Without descriptors the fake servers would stop accepting and the load would stop connecting, which
// would look like failures of the sidecars. An excess of descriptorsExcess is tolerated, since the starting sidecars do
// not all reach their maximum at once.
func (e *Experiment) CheckDescriptors(parallel int) error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("read limit of file descriptors: %w", err)
	}
	return e.checkDescriptors(parallel, limit.Cur)
}

// checkDescriptors is CheckDescriptors for a given limit.
func (e *Experiment) checkDescriptors(parallel int, limit uint64) error {
	need := parallel * e.Descriptors()
	if float64(need) <= float64(limit)*(1+descriptorsExcess) {
		return nil
	}
	times := ""
	if parallel > 1 {
		times = fmt.Sprintf(", %d at a time", parallel)
	}
	return fmt.Errorf("fleet: %d sidecars x %d servers%s can need %d file descriptors in the lab's process, and its limit is %d (ulimit -n): take fewer",
		e.Fleet.Sidecars, e.Fleet.Servers, times, need, limit)
}
