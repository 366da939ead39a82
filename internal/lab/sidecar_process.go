package lab

import (
	"os/exec"
	"sync"
	"time"
)

type proc struct {
	act       sync.Mutex // one start or upgrade at a time; taken before Sidecars.mu
	listen    string
	lives     []*life // its processes: one, or two amid an upgrade
	accepting bool
	holdDown  int           // faults that keep it from running
	holdPause int           // faults that stop it by SIGSTOP
	started   bool          // once before
	down      []window      // killed or paused, on the lab's clock
	cpuEnded  time.Duration // of the lives that ended
	peakKB    int64
}

// life is one process of a sidecar.
type life struct {
	cmd      *exec.Cmd
	exited   chan struct{}
	ops      string // its operators' address, host:port; empty without
	ready    bool   // it gave its yes
	expected bool   // the lab ends it
	cpu      time.Duration
}

func (l *life) over() bool {
	select {
	case <-l.exited:
		return true
	default:
		return false
	}
}

type window struct{ from, to time.Duration }

// up closes the window that is open, if any, at this time.
func (p *proc) up(at time.Duration) {
	if n := len(p.down); n > 0 && p.down[n-1].to == stillDown {
		p.down[n-1].to = at
	}
}

// gone opens a window at this time, where none is open.
func (p *proc) gone(at time.Duration) {
	if n := len(p.down); n == 0 || p.down[n-1].to != stillDown {
		p.down = append(p.down, window{from: at, to: stillDown})
	}
}

// stillDown marks a window that has not ended.
const stillDown = time.Duration(1<<63 - 1)
