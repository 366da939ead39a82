package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"bramblestand/internal/datagram"
	"bramblestand/internal/membership"
)

// Version is the program's, as members tell it to each other.
const Version = "21.0"

// Options of a Fleet.
type Options struct {
	Settings
	Name, Zone      string
	PersistentState bool             // this sidecar persists its state on a disk
	Listen          netip.AddrPort   // where datagrams are received
	Peers           []netip.AddrPort // all sidecars of the tier, by their numbers: gossip is accepted from them alone, and they are the membership's seeds
	PeerIndex       int              // the own number among Peers
	PeerBroadcast   netip.AddrPort   // reaches all peers
	Snapshot        json.RawMessage  // of an earlier process; nil for none

	// Transport carries the datagrams in place of a socket: its owner delivers to it and ends it. nil for a socket.
	Transport *datagram.Transport
	// ControlSocket sets options of the socket before it is bound, OnSocket gets the bound one. nil for neither.
	ControlSocket func(network, address string, raw syscall.RawConn) error
	OnSocket      func(socket syscall.Conn)

	// OnGossip takes a peer's gossip, in the goroutine that receives; nil where gossip is not used.
	OnGossip func(data []byte)
	// OnMemberCount gets the number of sidecars with each new stable view, while this one is not isolated. It is called
	// by the membership's goroutine and must not wait for the Fleet. nil for none.
	OnMemberCount func(members int)

	Logger *slog.Logger
}

// advertisedAddress returns the own address as the others know it.
func (o *Options) advertisedAddress() netip.AddrPort {
	if o.Advertise != "" {
		return netip.MustParseAddrPort(o.Advertise) // ParseSettings validated it
	}
	if o.PeerIndex >= 0 && o.PeerIndex < len(o.Peers) {
		return o.Peers[o.PeerIndex]
	}
	return o.Listen
}

// Self returns what this sidecar tells the others of itself. Its error is a
// membership.InvalidMemberError.
func (o *Options) Self() (membership.Member, error) {
	m := membership.Member{
		Name:      o.Name,
		Zone:      o.Zone,
		Version:   Version,
		StartTime: time.Now(),
		Address:   o.advertisedAddress(),
	}
	if o.OnGossip != nil {
		m.Features |= membership.FeatureGossip
	}
	if o.PersistentState {
		m.Features |= membership.FeaturePersistentState
	}
	return m, m.Validate()
}

// Fleet is one process's part in the fleet. It is safe for concurrent use.
//
// It owns two goroutines: one receives from the socket until that is closed,
// one samples the traffic until Close. The membership agent has its own.
type Fleet struct {
	options      Options
	transport    *datagram.Transport
	agent        *membership.Agent // nil where the membership is disabled
	stopSampling context.CancelFunc

	samplesMu sync.Mutex // guards samples
	samples   [2]trafficSample
}

// Open opens the socket and, where it is enabled, joins the membership, which
// Close ends. The socket is closed when ctx ends: gossip goes on until then,
// also after a Close with a leave.
func Open(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{options: o, stopSampling: func() {}}
	if err := f.openTransport(ctx); err != nil {
		return nil, err
	}
	if o.OnGossip != nil {
		f.transport.Handle(datagram.ChannelGossip, f.gossipHandler())
	}
	if o.Enabled {
		if err := f.openMembership(ctx); err != nil {
			f.closeSocket()
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	if o.Transport == nil {
		go f.transport.Serve()
	}
	return f, nil
}

// openTransport takes the options' transport, or binds a socket.
func (f *Fleet) openTransport(ctx context.Context) error {
	o := &f.options
	if o.Transport != nil {
		f.transport = o.Transport
		return nil
	}
	transport, err := datagram.Listen(ctx, o.Listen, datagram.Options{
		MaxRate:       o.MaxDatagramsPerSecond,
		ControlSocket: o.ControlSocket,
		Logger:        o.Logger,
	})
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	f.transport = transport
	if o.OnSocket != nil {
		o.OnSocket(transport.Conn())
	}
	return nil
}

// gossipHandler passes on the gossip of the other peers, and rejects anybody else's.
func (f *Fleet) gossipHandler() datagram.Handler {
	o := &f.options
	isPeer := map[netip.AddrPort]bool{}
	for _, address := range o.Peers {
		isPeer[address] = address != o.Listen
	}
	return func(from netip.AddrPort, data []byte) bool {
		if !isPeer[from] {
			return false
		}
		o.OnGossip(data)
		return true
	}
}

// openMembership starts the agent and the sampling of traffic.
func (f *Fleet) openMembership(ctx context.Context) error {
	o := &f.options
	self, err := o.Self()
	if err != nil {
		return err
	}
	f.agent, err = membership.Open(f.transport, membership.Options{
		Self:                self,
		Seeds:               o.Peers,
		Snapshot:            o.decodeSnapshot(),
		StabilizationPeriod: time.Duration(o.StabilizationSeconds * float64(time.Second)),
		ProbeInterval:       time.Duration(o.ProbeIntervalMillis * float64(time.Millisecond)),
		MaxMembers:          o.MaxMembers,
		OnChange:            f.onStableView,
		Logger:              o.Logger,
	})
	if err != nil {
		return err
	}
	sampling, stop := context.WithCancel(ctx)
	f.stopSampling = stop
	f.takeSample()
	go f.sampleTraffic(sampling)
	return nil
}

// onStableView passes on the number of members.
func (f *Fleet) onStableView(view membership.StableView) {
	if f.options.OnMemberCount != nil && !view.Isolated {
		f.options.OnMemberCount(len(view.Names))
	}
}

// decodeSnapshot returns an earlier process's view, an empty one where it cannot be read.
func (o *Options) decodeSnapshot() membership.Snapshot {
	if len(o.Snapshot) == 0 {
		return membership.Snapshot{}
	}
	var snapshot membership.Snapshot
	if err := json.Unmarshal(o.Snapshot, &snapshot); err != nil {
		o.Logger.Error("persisted membership view not used", "error", err)
		return membership.Snapshot{}
	}
	return snapshot
}

// closeSocket closes the socket, if it is the Fleet's own.
func (f *Fleet) closeSocket() {
	if f.options.Transport == nil {
		f.transport.Conn().Close()
	}
}

// Close ends the membership: with a leave, or without one where another process
// of this sidecar goes on as the same member. Then the socket is closed, too,
// so that the other process receives everything.
func (f *Fleet) Close(leave bool) {
	f.stopSampling()
	if f.agent != nil {
		f.agent.Close(leave)
	}
	if !leave {
		f.closeSocket()
	}
}

// SendGossip sends the balancer's gossip to all peers. An error counts as a loss on the way.
func (f *Fleet) SendGossip(data []byte) {
	if err := f.transport.Send(f.options.PeerBroadcast, data); err != nil {
		f.options.Logger.Debug("gossip not sent", "error", err)
	}
}

// Counts returns the datagrams of each channel since the start.
func (f *Fleet) Counts() map[datagram.Channel]datagram.ChannelCounts {
	counts, _ := f.transport.Counts()
	return counts
}

// Snapshot returns what the next process of this sidecar should be given; nil
// where the membership is disabled.
func (f *Fleet) Snapshot() json.RawMessage {
	if f.agent == nil {
		return nil
	}
	data, err := json.Marshal(f.agent.Snapshot())
	if err != nil { // strings, numbers and addresses have no error
		return nil
	}
	return data
}
