package lab

import (
	"os/exec"
	"sync"
	"time"
)

// sidecarState is the state of one sidecar, over all of its processes. Sidecars.mu guards the fields except startMu.
type sidecarState struct {
	startMu       sync.Mutex // held during a start or an upgrade, of which there is one at a time; locked before Sidecars.mu
	listenAddress string
	processes     []*sidecarProcess // those that have not exited: one, or two during an upgrade
	isAccepting   bool              // whether its application sends requests
	downFaults    int               // active faults that keep it from running
	pauseFaults   int               // active faults that pause it by SIGSTOP
	wasStarted    bool              // at least once
	outages       []window          // in which it was killed or paused, on the lab's clock
	endedCPU      time.Duration     // CPU time of the processes that have exited
	peakMemoryKB  int64             // maximum of the processes' peak resident memory
}

// sidecarProcess is one process of a sidecar.
type sidecarProcess struct {
	cmd           *exec.Cmd
	exited        chan struct{} // closed when the process has exited
	adminAddress  string        // host:port; empty without operators
	isReady       bool          // it has passed a readiness check
	isEndExpected bool          // the lab has killed or terminated it
	cpu           time.Duration // CPU time at the last sample
}

// hasExited reports whether the process has exited.
func (p *sidecarProcess) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// window is a span of time on the lab's clock.
type window struct{ from, to time.Duration }

// endOutage ends the current outage, if any.
func (s *sidecarState) endOutage(at time.Duration) {
	if n := len(s.outages); n > 0 && s.outages[n-1].to == openEnd {
		s.outages[n-1].to = at
	}
}

// beginOutage begins an outage, unless one is in progress.
func (s *sidecarState) beginOutage(at time.Duration) {
	if n := len(s.outages); n == 0 || s.outages[n-1].to != openEnd {
		s.outages = append(s.outages, window{from: at, to: openEnd})
	}
}

// openEnd is the end of a window that has not ended.
const openEnd = time.Duration(1<<63 - 1)
