package lab

import (
	"fmt"
	"math"

	"golang.org/x/sys/unix"

	"bramblestand/internal/config"
)

const (
	sidecarSockets    = 1024 // limits.sockets of every sidecar's configuration
	descriptorsSpare  = 64   // standard streams, the runtime's own, result files, connections on their way out
	descriptorsExcess = 0.1  // share by which the reckoning may pass the limit, see CheckDescriptors
)

// Descriptors reckons the file descriptors that the lab's own process can need at once for the experiment:
//
//	listeners    one a server and one for discovery
//	stand-ins    for each sidecar: a connection to every server, as its first list has it probe all that is new, or
//	             one for each of the load's calls out, whichever is more (calls take the probes' connections over),
//	             bounded by what limits.sockets leaves it for endpoints; 2 to discovery
//	load         for each sidecar: calls out at once, rate x deadline at the most, times the factor of a burst,
//	             bounded by the sidecar's connections from clients; 1 for the lab's look whether it is ready
//	operators    where they are on: one to each sidecar that observes, and as many for calls
//	datagrams    where sidecars have a path between them: a relay socket a sidecar and the hub
//	processes    for each sidecar, twice where the experiment upgrades any: its log file, the pipe to it, the process's handle
//	disks        one a machine whose disk may be slow (the state file's lock)
//	spare        64
func (e *Experiment) Descriptors() int {
	f := &e.Fleet
	connections := config.Limits{Sockets: sidecarSockets}.MaxConnections(e.Ops.On)
	factor := 1.0
	if e.Load.Shape == "bursts" {
		factor = max(1, e.Load.BurstFactor)
	}
	out := min(connections, int(math.Ceil(e.Load.Rate*factor*e.Load.Deadline.Seconds())))
	sidecar := min(connections, max(f.Servers, out)) + 2 + out + 1
	processes := 1
	slow := 0
	for _, c := range e.Chaos {
		if c.Kind == "upgrade" {
			processes = 2
		}
	}
	for _, x := range e.Faults {
		if x.Kind == "upgrade" {
			processes = 2
		}
		if x.Kind == "disk" && x.Mode == "slow" {
			slow = e.machineCount()
		}
	}
	sidecar += 3 * processes
	if e.Ops.On {
		sidecar += 2
	}
	if f.datagrams() {
		sidecar++
	}
	return descriptorsSpare + f.Servers + 1 + f.Sidecars*sidecar + slow + 1
}

// CheckDescriptors refuses an experiment, played so many at a time, that needs more descriptors than this process may
// have: beyond that the stand-ins stop accepting and the load stops connecting, which looks like the sidecars' fault.
// A tenth over the limit is let pass: the fleet's starts do not all reach their most in one instant.
func (e *Experiment) CheckDescriptors(parallel int) error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("the limit of descriptors: %w", err)
	}
	return e.checkDescriptors(parallel, limit.Cur)
}

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
