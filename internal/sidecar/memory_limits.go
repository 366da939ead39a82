package sidecar

import (
	"runtime/debug"
	"sync"
)

// Shares of the platform's memory limit, in tenths.
const (
	// heapTenths is what the Go runtime may use. The rest is for memory that it does not count.
	heapTenths = 8
	// liveTenths is what may be in use. The difference to heapTenths is for garbage that was not collected yet.
	liveTenths = 7
)

// Memory in bytes that is in use apart from requests.
const (
	processMemory = 5 << 20 // of a process without clients and endpoints
	// endpointMemory is that of a listed endpoint: its entries in the tables of the loop and the balancer.
	endpointMemory = 3300
	// connectionMemory is that of a connection with a client, with requestAllotment for the request on it.
	connectionMemory = 16<<10 + requestAllotment
	// minClientsDivisor is the limit of memory in use divided by what clients may use at least, however many endpoints are listed.
	minClientsDivisor = 8
	// connectionsDivisor is what clients may use divided by what their connections may use of it.
	connectionsDivisor = 2
)

// memoryLimits divides the platform's memory limit among the Go runtime, clients' connections and their requests. Its methods may
// be called from any goroutine.
type memoryLimits struct {
	clients  *clientConns
	requests *requestMemory

	mu             sync.Mutex // guards the fields below, and the order in which limits are set
	memoryBytes    int64      // the platform's limit for all processes of this sidecar
	processes      int        // of this sidecar
	endpoints      int        // listed
	maxDescriptors int        // connections with clients that the platform's limit of descriptors allows
}

// setProcesses sets how many processes share the memory, and how many connections with clients the descriptors allow.
func (m *memoryLimits) setProcesses(processes, maxDescriptors int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.processes, m.maxDescriptors = processes, maxDescriptors
	debug.SetMemoryLimit(m.tenthsLocked(heapTenths))
	m.applyLocked()
}

// setEndpoints sets how many endpoints are listed.
func (m *memoryLimits) setEndpoints(endpoints int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.endpoints == endpoints {
		return
	}
	m.endpoints = endpoints
	if m.processes > 0 {
		m.applyLocked()
	}
}

// applyLocked sets the limits of connections and of requests. The caller holds m.mu.
func (m *memoryLimits) applyLocked() {
	live := m.tenthsLocked(liveTenths)
	available := max(live/minClientsDivisor, live-processMemory-int64(m.endpoints)*endpointMemory)
	maxConns := min(m.maxDescriptors, int(available/connectionsDivisor/connectionMemory))
	m.clients.setMaxConns(maxConns)
	m.requests.setMaxBytes(available - int64(maxConns)*connectionMemory)
}

// tenthsLocked returns this process's share of so many tenths of the platform's limit. The caller holds m.mu.
func (m *memoryLimits) tenthsLocked(tenths int64) int64 {
	return m.memoryBytes / 10 * tenths / int64(m.processes)
}
