package controltraffic

import (
	"log/slog"
	"math"
	"time"

	"bramblestand/internal/datagram"
)

// Names of the kinds of control traffic in the response to GET /control and in the log.
const (
	KindLoadProbe  = "probe"
	KindDiscovery  = "discovery"
	KindGossip     = "news"
	KindMembership = "view"
	KindAdmin      = "orders"
)

// Kinds lists all kinds of control traffic in the order in which logs and reports list them.
var Kinds = []string{KindLoadProbe, KindDiscovery, KindGossip, KindMembership, KindAdmin}

// Accounting counts the control traffic of this process since its start. Datagrams are counted by their transport, whose
// counts are passed to Status and Log.
type Accounting struct {
	Started                      time.Time // start of the process
	LoadProbes, Discovery, Admin Counter
}

// Status is the response to GET /control: the control traffic since the start of this process.
type Status struct {
	Seconds   float64            `json:"seconds"`    // since the start
	Kinds     map[string]Traffic `json:"kinds"`      // by kind, with an entry for each of Kinds
	WireBytes uint64             `json:"wire_bytes"` // of all kinds, in both directions, headers included
}

// Status returns the traffic counted so far. The datagrams are the counts of the datagram transport, nil if there is none.
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

// Log logs one line with the bytes on the wire so far, in total and of each kind.
func (a *Accounting) Log(log *slog.Logger, datagrams map[datagram.Channel]datagram.ChannelCounts) {
	s := a.Status(datagrams)
	args := []any{"seconds", s.Seconds, "wire_bytes", s.WireBytes}
	for _, kind := range Kinds {
		args = append(args, kind, s.Kinds[kind].TotalWireBytes())
	}
	log.Info("control traffic", args...)
}
