package lab

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// sampleUsage reads a running process's CPU time and peak memory from /proc, which are lost when the process ends. It may
// be called any number of times for a process. The caller holds s.mu.
func (s *Sidecars) sampleUsage(state *sidecarState, process *sidecarProcess) {
	pid := process.cmd.Process.Pid
	if fields := statFields(pid); len(fields) > 12 {
		user, _ := strconv.ParseInt(fields[11], 10, 64)
		system, _ := strconv.ParseInt(fields[12], 10, 64)
		process.cpu = time.Duration(user+system) * 10 * time.Millisecond // in clock ticks of 100 Hz
	}
	if status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		for _, line := range strings.Split(string(status), "\n") {
			if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
				state.peakMemoryKB = max(state.peakMemoryKB, kb)
			}
		}
	}
}

// statFields returns the fields of /proc/PID/stat, beginning with the process's state. It returns none if there is no
// such process.
func statFields(pid int) []string {
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:])) // the process's name before may contain any character
}

// Usage returns the CPU time of all sidecars until now, in seconds, and the mean
// and the maximum of the sidecars' peak resident memory, in MB.
func (s *Sidecars) Usage() (cpu float64, meanMB, peakMB float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.states {
		cpu += state.endedCPU.Seconds()
		for _, process := range state.processes {
			s.sampleUsage(state, process)
			cpu += process.cpu.Seconds()
		}
		meanMB += float64(state.peakMemoryKB) / 1024 / float64(len(s.states))
		peakMB = max(peakMB, float64(state.peakMemoryKB)/1024)
	}
	return
}

// cpuTime returns the CPU time of sidecar i's running processes. It reads the scheduler's statistics of each thread,
// whose resolution is finer than that of the clock ticks that Usage reads.
func (s *Sidecars) cpuTime(i int) (sum time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, process := range s.states[i].processes {
		threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", process.cmd.Process.Pid))
		for _, path := range threads {
			text, _ := os.ReadFile(path)
			ran, _, _ := strings.Cut(string(text), " ")
			n, _ := strconv.ParseInt(ran, 10, 64)
			sum += time.Duration(n)
		}
	}
	return sum
}

// labUsage returns the CPU time of the lab's own process in seconds and its peak resident memory in MB.
func labUsage() (cpu, peakMB float64) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0, 0
	}
	seconds := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return seconds(usage.Utime) + seconds(usage.Stime), float64(usage.Maxrss) / 1024
}
