package lab

import (
	"os/exec"
	"sync"
	"time"
)

type sidecarState struct {
	startMu       sync.Mutex // one start or upgrade at a time; taken before Sidecars.mu
	listenAddress string
	processes     []*sidecarProcess // its processes: one, or two amid an upgrade
	isAccepting   bool
	downFaults    int           // faults that keep it from running
	pauseFaults   int           // faults that stop it by SIGSTOP
	wasStarted    bool          // once before
	outages       []window      // killed or paused, on the lab's clock
	endedCPU      time.Duration // of the lives that ended
	peakMemoryKB  int64
}

// sidecarProcess is one process of a sidecar.
type sidecarProcess struct {
	cmd           *exec.Cmd
	exited        chan struct{}
	adminAddress  string // its operators' address, host:port; empty without
	isReady       bool   // it gave its yes
	isEndExpected bool   // the lab ends it
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

// endOutage closes the window that is open, if any, at this time.
func (p *sidecarState) endOutage(at time.Duration) {
	if n := len(p.outages); n > 0 && p.outages[n-1].to == openEnd {
		p.outages[n-1].to = at
	}
}

// beginOutage opens a window at this time, where none is open.
func (p *sidecarState) beginOutage(at time.Duration) {
	if n := len(p.outages); n == 0 || p.outages[n-1].to != openEnd {
		p.outages = append(p.outages, window{from: at, to: openEnd})
	}
}

// openEnd marks a window that has not ended.
const openEnd = time.Duration(1<<63 - 1)
