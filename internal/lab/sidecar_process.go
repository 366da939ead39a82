package lab

import (
	"os/exec"
	"sync"
	"time"
)

type sidecarState struct {
	startMu       sync.Mutex // one start or upgrade at a time; locked before Sidecars.mu
	listenAddress string
	processes     []*sidecarProcess // one, or two during an upgrade
	isAccepting   bool
	downFaults    int           // faults that keep it from running
	pauseFaults   int           // faults that stop it by SIGSTOP
	wasStarted    bool          // at least once
	outages       []window      // killed or paused, on the lab's clock
	endedCPU      time.Duration // of the processes that ended
	peakMemoryKB  int64
}

// sidecarProcess is one process of a sidecar.
type sidecarProcess struct {
	cmd           *exec.Cmd
	exited        chan struct{}
	adminAddress  string // host:port; empty without operators
	isReady       bool   // it has responded to a readiness check
	isEndExpected bool   // the lab has killed or terminated it
	cpu           time.Duration
}

func (p *sidecarProcess) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

type window struct{ from, to time.Duration }

// endOutage ends the current outage, if any.
func (p *sidecarState) endOutage(at time.Duration) {
	if n := len(p.outages); n > 0 && p.outages[n-1].to == openEnd {
		p.outages[n-1].to = at
	}
}

// beginOutage begins an outage, unless there is one.
func (p *sidecarState) beginOutage(at time.Duration) {
	if n := len(p.outages); n == 0 || p.outages[n-1].to != openEnd {
		p.outages = append(p.outages, window{from: at, to: openEnd})
	}
}

// openEnd is the end of a window that has not ended.
const openEnd = time.Duration(1<<63 - 1)
