package lab

import (
	"context"
	"sync/atomic"
	"time"
)

// borne counts what stand-ins were asked.
type borne struct {
	probes atomic.Int64 // for load reports
	calls  atomic.Int64 // all other requests
}

// carried counts what came over a stand-in's connections, in bytes of payload, faults' holds past.
type carried struct{ conns, in, out atomic.Int64 }

// Borne is what the stand-ins and the loopback device had to bear from the start up to one instant of the lab's clock.
// Loopback counts all traffic of the network namespace, TCP, UDP and IP headers in, frames not.
type Borne struct {
	at            time.Time
	At            float64 `json:"at_s"` // before 0 while the sidecars start
	Probes        int64   `json:"probes"`
	Calls         int64   `json:"calls"`
	Conns         int64   `json:"conns"` // that pin servers took
	Bytes         int64   `json:"bytes"` // of pin servers' connections, both ways
	Lists         int64   `json:"lists"` // calls of discovery
	ListConns     int64   `json:"list_conns"`
	ListBytes     int64   `json:"list_bytes"` // of discovery's connections, both ways
	Datagrams     int64   `json:"datagrams"`  // relayed, each copy
	LoopbackBytes int64   `json:"loopback_bytes"`
	LoopbackPacks int64   `json:"loopback_packets"`
}

// borneEvery is the time between samples.
const borneEvery = time.Second

func (w *world) borne() Borne {
	b := Borne{at: time.Now()}
	for _, s := range w.servers {
		b.Probes += s.borne.probes.Load()
		b.Calls += s.borne.calls.Load()
		b.Conns += s.Faults.carried.conns.Load()
		b.Bytes += s.Faults.carried.in.Load() + s.Faults.carried.out.Load()
	}
	b.Lists = w.disco.borne.calls.Load()
	b.ListConns = w.disco.listener.carried.conns.Load()
	b.ListBytes = w.disco.listener.carried.in.Load() + w.disco.listener.carried.out.Load()
	if w.peers != nil {
		relayed, _, _, _ := w.peers.Counts()
		b.Datagrams = int64(relayed)
	}
	sent := loopback()
	b.LoopbackBytes, b.LoopbackPacks = int64(sent[0]), int64(sent[1])
	return b
}

// sampleBorne samples until ctx ends, and gives all.
func (w *world) sampleBorne(ctx context.Context) (all []Borne) {
	tick := time.NewTicker(borneEvery)
	defer tick.Stop()
	for {
		all = append(all, w.borne())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return append(all, w.borne())
		}
	}
}
