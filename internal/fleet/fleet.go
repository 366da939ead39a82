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

// Version is the version of this program, which members announce to each other.
const Version = "21.0"

// Options configures a Fleet.
type Options struct {
	Settings
	Name, Zone      string
	PersistentState bool             // whether this sidecar persists its state on a disk
	Listen          netip.AddrPort   // address on which datagrams are received
	Peers           []netip.AddrPort // all sidecars of the tier, by index: gossip is accepted only from them, and they are the membership's seeds
	PeerIndex       int              // this sidecar's index in Peers
	PeerBroadcast   netip.AddrPort   // address that reaches all peers
	Snapshot        json.RawMessage  // membership snapshot of an earlier process; nil for none

	// Transport is used instead of a socket. Its owner delivers received datagrams to it and closes it. nil means that
	// the Fleet opens a socket.
	Transport *datagram.Transport
	// ControlSocket sets socket options before the socket is bound, and OnSocket is called with the bound socket. Either
	// may be nil.
	ControlSocket func(network, address string, raw syscall.RawConn) error
	OnSocket      func(socket syscall.Conn)

	// OnGossip is called with each gossip message of a peer, in the receiving goroutine. nil if gossip is not used.
	OnGossip func(data []byte)
	// OnMemberCount is called with the number of members whenever the stable view changes, unless this sidecar is
	// isolated. It runs in the membership's goroutine and must not wait for the Fleet. nil for none.
	OnMemberCount func(members int)

	Logger *slog.Logger
}

// advertisedAddress returns the address at which the other sidecars reach this one.
func (o *Options) advertisedAddress() netip.AddrPort {
	if o.Advertise != "" {
		return netip.MustParseAddrPort(o.Advertise) // ParseSettings has validated it
	}
	if o.PeerIndex >= 0 && o.PeerIndex < len(o.Peers) {
		return o.Peers[o.PeerIndex]
	}
	return o.Listen
}

// Self returns this sidecar's description of itself, which it announces to the
// others. The error is a membership.InvalidMemberError.
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

// Fleet connects one process to the fleet. It is safe for concurrent use.
//
// It owns up to two goroutines: one reads the socket, if there is one, until the
// socket is closed, and one samples the traffic of an enabled membership until
// Close. The membership agent has goroutines of its own.
type Fleet struct {
	options      Options
	transport    *datagram.Transport
	agent        *membership.Agent // nil if the membership is disabled
	stopSampling context.CancelFunc

	samplesMu sync.Mutex // guards samples
	samples   [2]trafficSample
}

// Open opens the socket and, if the membership is enabled, starts its agent,
// which Close stops. The socket is closed when ctx ends. Until then gossip
// continues, even after Close(true).
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

// openTransport uses the transport of the options, or binds a socket if there is none.
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

// gossipHandler returns the handler of the gossip channel. It passes the gossip of the other peers to OnGossip and
// rejects datagrams from any other address.
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

// openMembership starts the membership agent and the sampling of traffic.
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

// onStableView passes the number of members to OnMemberCount, unless this sidecar is isolated.
func (f *Fleet) onStableView(view membership.StableView) {
	if f.options.OnMemberCount != nil && !view.Isolated {
		f.options.OnMemberCount(len(view.Names))
	}
}

// decodeSnapshot returns the snapshot of an earlier process. It returns an empty one if there is none or it cannot be
// decoded.
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

// closeSocket closes the socket, unless the transport belongs to the caller of Open.
func (f *Fleet) closeSocket() {
	if f.options.Transport == nil {
		f.transport.Conn().Close()
	}
}

// Close stops the membership. With leave, this sidecar announces that it leaves
// the fleet, and the socket stays open until the context of Open ends. Without
// leave, another process of this sidecar continues as the same member. The
// socket is then closed, so that the other process receives all datagrams.
func (f *Fleet) Close(leave bool) {
	f.stopSampling()
	if f.agent != nil {
		f.agent.Close(leave)
	}
	if !leave {
		f.closeSocket()
	}
}

// SendGossip sends the balancer's gossip to all peers. Errors are only logged: gossip may be lost on the network anyway.
func (f *Fleet) SendGossip(data []byte) {
	if err := f.transport.Send(f.options.PeerBroadcast, data); err != nil {
		f.options.Logger.Debug("gossip not sent", "error", err)
	}
}

// Counts returns the datagram counts of each channel since the start.
func (f *Fleet) Counts() map[datagram.Channel]datagram.ChannelCounts {
	counts, _ := f.transport.Counts()
	return counts
}

// Snapshot returns the membership snapshot to pass to the next process of this
// sidecar, or nil if the membership is disabled.
func (f *Fleet) Snapshot() json.RawMessage {
	if f.agent == nil {
		return nil
	}
	data, err := json.Marshal(f.agent.Snapshot())
	if err != nil { // cannot happen: strings, numbers and addresses can always be encoded
		return nil
	}
	return data
}
