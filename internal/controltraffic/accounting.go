package controltraffic

import (
	"log/slog"
	"math"
	"time"

	"bramblestand/internal/datagram"
)

// Names of the kinds of control traffic in the operators' JSON and the log.
const (
	KindLoadProbe  = "probe"
	KindDiscovery  = "discovery"
	KindGossip     = "news"
	KindMembership = "view"
	KindAdmin      = "orders"
)

// Kinds are all kinds of control traffic, in the order in which they are reported.
var Kinds = []string{KindLoadProbe, KindDiscovery, KindGossip, KindMembership, KindAdmin}

// Accounting counts the control traffic of this process since its start. Datagrams are counted by
// their transport, and are handed in where a status is made.
type Accounting struct {
	Started                      time.Time
	LoadProbes, Discovery, Admin Counter
}

// Status is the answer to GET /control: the control traffic since the start of this process.
type Status struct {
	Seconds   float64            `json:"seconds"`    // since the start
	Kinds     map[string]Traffic `json:"kinds"`      // one for each of Kinds
	WireBytes uint64             `json:"wire_bytes"` // of all kinds, in both directions, headers included
}

// Status returns what was counted so far. Datagrams are the transport's counts, nil where there is none.
func (a *Accounting) Status(datagrams map[datagram.Channel]datagram.ChannelCounts) Status {
	s := Status{
		Seconds: math.Round(time.Since(a.Started).Seconds()*1e3) / 1e3,
		Kinds: map[string]Traffic{
			KindLoadProbe:  a.LoadProbes.Traffic(),
			KindDiscovery:  a.Discovery.Traffic(),
			KindGossip:     datagramTraffic(datagrams, datagram.ChannelGossip),
			KindMembership: datagramTraffic(datagrams, datagram.ChannelPackets, datagram.ChannelToListener, datagram.ChannelToDialer),
			KindAdmin:      a.Admin.Traffic(),
		},
	}
	for _, kind := range s.Kinds {
		s.WireBytes += kind.TotalWireBytes()
	}
	return s
}

// Log writes one line with the bytes on the wire so far: the sum and each kind.
func (a *Accounting) Log(log *slog.Logger, datagrams map[datagram.Channel]datagram.ChannelCounts) {
	s := a.Status(datagrams)
	args := []any{"seconds", s.Seconds, "wire_bytes", s.WireBytes}
	for _, kind := range Kinds {
		args = append(args, kind, s.Kinds[kind].TotalWireBytes())
	}
	log.Info("control traffic", args...)
}
