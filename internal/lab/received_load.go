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

// connTraffic counts the connections that a listener accepted and their payload in bytes, without what faults block.
type connTraffic struct{ conns, in, out atomic.Int64 }

// ReceivedLoad is the traffic that the fake servers and the loopback interface received since the start, at one time of
// the lab's clock. Loopback counts all traffic of the network namespace, with TCP, UDP and IP headers, without frames.
type ReceivedLoad struct {
	at              time.Time
	At              float64 `json:"at_s"` // before 0 while the sidecars start
	Probes          int64   `json:"probes"`
	Calls           int64   `json:"calls"`
	Conns           int64   `json:"conns"` // accepted by servers
	Bytes           int64   `json:"bytes"` // of servers' connections, both directions
	DiscoveryCalls  int64   `json:"lists"` // calls of discovery
	DiscoveryConns  int64   `json:"list_conns"`
	DiscoveryBytes  int64   `json:"list_bytes"` // of discovery's connections, both directions
	Datagrams       int64   `json:"datagrams"`  // relayed, each copy
	LoopbackBytes   int64   `json:"loopback_bytes"`
	LoopbackPackets int64   `json:"loopback_packets"`
}

// receivedLoadInterval is the time between samples.
const receivedLoadInterval = time.Second

func (bed *testbed) receivedLoad() ReceivedLoad {
	b := ReceivedLoad{at: time.Now()}
	for _, s := range bed.servers {
		b.Probes += s.received.probes.Load()
		b.Calls += s.received.calls.Load()
		b.Conns += s.Listener.traffic.conns.Load()
		b.Bytes += s.Listener.traffic.in.Load() + s.Listener.traffic.out.Load()
	}
	b.DiscoveryCalls = bed.discovery.received.calls.Load()
	b.DiscoveryConns = bed.discovery.listener.traffic.conns.Load()
	b.DiscoveryBytes = bed.discovery.listener.traffic.in.Load() + bed.discovery.listener.traffic.out.Load()
	if bed.relay != nil {
		relayed, _, _, _ := bed.relay.Counts()
		b.Datagrams = int64(relayed)
	}
	sent := loopbackSent()
	b.LoopbackBytes, b.LoopbackPackets = int64(sent[0]), int64(sent[1])
	return b
}

// sampleReceivedLoad samples until ctx ends, and returns all samples.
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
