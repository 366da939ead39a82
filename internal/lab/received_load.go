package lab

import (
	"context"
	"sync/atomic"
	"time"
)

// callCounters counts the requests that a fake server received.
type callCounters struct {
	probes atomic.Int64 // for load reports
	calls  atomic.Int64 // all other requests
}

// connTraffic counts the connections that a listener accepted and the payload bytes received (in) and sent (out) on them,
// without those that faults block.
type connTraffic struct{ conns, in, out atomic.Int64 }

// ReceivedLoad is the traffic that the fake servers, discovery, the relay and the loopback interface have counted up to
// one time of the lab's clock. The loopback interface counts all traffic of the network namespace, including TCP, UDP and
// IP headers and excluding frames.
type ReceivedLoad struct {
	at              time.Time
	At              float64 `json:"at_s"` // seconds from the load's start, negative while the sidecars start
	Probes          int64   `json:"probes"`
	Calls           int64   `json:"calls"`
	Conns           int64   `json:"conns"` // connections accepted by the servers
	Bytes           int64   `json:"bytes"` // payload of those connections in both directions
	DiscoveryCalls  int64   `json:"lists"` // calls to discovery
	DiscoveryConns  int64   `json:"list_conns"`
	DiscoveryBytes  int64   `json:"list_bytes"` // payload of discovery's connections in both directions
	Datagrams       int64   `json:"datagrams"`  // relayed, each copy
	LoopbackBytes   int64   `json:"loopback_bytes"`
	LoopbackPackets int64   `json:"loopback_packets"`
}

// receivedLoadInterval is the time between two samples of the received load.
const receivedLoadInterval = time.Second

// receivedLoad takes one sample.
func (bed *testbed) receivedLoad() ReceivedLoad {
	load := ReceivedLoad{at: time.Now()}
	for _, s := range bed.servers {
		load.Probes += s.received.probes.Load()
		load.Calls += s.received.calls.Load()
		load.Conns += s.Listener.traffic.conns.Load()
		load.Bytes += s.Listener.traffic.in.Load() + s.Listener.traffic.out.Load()
	}
	load.DiscoveryCalls = bed.discovery.received.calls.Load()
	load.DiscoveryConns = bed.discovery.listener.traffic.conns.Load()
	load.DiscoveryBytes = bed.discovery.listener.traffic.in.Load() + bed.discovery.listener.traffic.out.Load()
	if bed.relay != nil {
		relayed, _, _, _ := bed.relay.Counts()
		load.Datagrams = int64(relayed)
	}
	sent := loopbackSent()
	load.LoopbackBytes, load.LoopbackPackets = int64(sent[0]), int64(sent[1])
	return load
}

// sampleReceivedLoad takes a sample every receivedLoadInterval and one when ctx ends, and returns them all.
func (bed *testbed) sampleReceivedLoad(ctx context.Context) (all []ReceivedLoad) {
	tick := time.NewTicker(receivedLoadInterval)
	defer tick.Stop()
	for {
		all = append(all, bed.receivedLoad())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return append(all, bed.receivedLoad())
		}
	}
}
