// Package fleet is what a sidecar has to do with the others: the datagrams'
// path (link) with the module's news on it and, where it is switched on, a
// view of the fleet kept by the sidecars themselves (view). It knows neither
// HTTP nor the module. See docs/design-fleet.md.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"bramblestand/internal/datagram"
	"bramblestand/internal/membership"
)

// Version is the program's, as members tell it to each other.
const Version = "21.0"

// Settings is the configuration's table "fleet".
type Settings struct {
	Enabled               bool    `json:"on"`              // keep a view of the fleet; off by default
	Advertise             string  `json:"advertise"`       // address:port at which the others reach this sidecar; by default its entry in peers, else peer_listen
	StabilizationSeconds  float64 `json:"quiet_s"`         // seconds that a change must last, and between views; 1
	ProbeIntervalMillis   float64 `json:"probe_ms"`        // milliseconds between probes of the failure detector; 400
	MaxMembers            int     `json:"members"`         // known at once, the gone included; 1000
	MaxDatagramsPerSecond float64 `json:"datagrams_per_s"` // a second, of the view, with a burst of 4 s; 100
}

// ParseSettings reads the table from JSON; none or null is the defaults. Errors name the key.
func ParseSettings(raw json.RawMessage) (Settings, error) {
	s := Settings{StabilizationSeconds: 1, ProbeIntervalMillis: 400, MaxMembers: 1000, MaxDatagramsPerSecond: 100}
	if len(raw) == 0 {
		return s, nil
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, err
	}
	for _, c := range []struct {
		key                string
		value, least, most float64
	}{{"quiet_s", s.StabilizationSeconds, 0.1, 60}, {"probe_ms", s.ProbeIntervalMillis, 50, 10_000}, {"members", float64(s.MaxMembers), 2, 10_000},
		{"datagrams_per_s", s.MaxDatagramsPerSecond, 10, 10_000}} {
		if !(c.value >= c.least && c.value <= c.most) {
			return s, fmt.Errorf("%s: %v is not within %v to %v", c.key, c.value, c.least, c.most)
		}
	}
	if s.Advertise != "" {
		if a, err := netip.ParseAddrPort(s.Advertise); err != nil || !a.Addr().Is4() || a.Port() == 0 {
			return s, fmt.Errorf("advertise: %q is not an IPv4 address:port", s.Advertise)
		}
	}
	return s, nil
}

// Options of a Fleet.
type Options struct {
	Settings
	Name, Zone      string
	PersistentState bool             // this sidecar keeps state on a disk
	Listen          netip.AddrPort   // where datagrams come in
	Peers           []netip.AddrPort // of the whole tier, by their numbers; news is taken from them alone, and they are the view's seeds
	PeerIndex       int              // the own number among Peers
	PeerBroadcast   netip.AddrPort   // reaches all of them
	Snapshot        json.RawMessage  // what Keep gave an earlier process
	// ControlSocket sets options of the socket before it is bound; Opened has it afterwards.
	ControlSocket func(network, address string, raw syscall.RawConn) error
	Transport     *datagram.Transport // carries the datagrams in place of a socket: who made it delivers, and ends that; nil for a socket
	OnSocket      func(socket syscall.Conn)
	OnGossip      func(data []byte) // takes news of the module; nil for none
	OnMemberCount func(living int)  // is told how many sidecars there are, whenever that is settled anew and not cut off
	Logger        *slog.Logger
}

// advertise is the own address as the others know it.
func (o *Options) advertise() netip.AddrPort {
	if o.Advertise != "" {
		return netip.MustParseAddrPort(o.Advertise)
	}
	if o.PeerIndex >= 0 && o.PeerIndex < len(o.Peers) {
		return o.Peers[o.PeerIndex]
	}
	return o.Listen
}

// Self is what this sidecar tells the others of itself; its error names what cannot be told.
func (o *Options) Self() (membership.Member, error) {
	m := membership.Member{Name: o.Name, Zone: o.Zone, Version: Version, StartTime: time.Now(), Address: o.advertise()}
	if o.OnGossip != nil {
		m.Features |= membership.FeatureGossip
	}
	if o.PersistentState {
		m.Features |= membership.FeaturePersistentState
	}
	return m, m.Validate()
}

// Fleet is one process's part in the fleet.
type Fleet struct {
	options      Options
	transport    *datagram.Transport
	agent        *membership.Agent // nil where it is off
	stopSampling context.CancelFunc

	samplesMu sync.Mutex
	samples   [2]trafficSample // of the counts, the older one first
}

type trafficSample struct {
	at     time.Time
	counts map[datagram.Channel]datagram.ChannelCounts
}

const sampleInterval = 5 * time.Second

// Open opens the socket and, where it is on, the view, which Close ends. The socket ends with ctx: news goes on until then, also after a Close
// with a goodbye.
func Open(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{options: o, stopSampling: func() {}}
	var kept membership.Snapshot
	if len(o.Snapshot) > 0 && o.Enabled {
		if err := json.Unmarshal(o.Snapshot, &kept); err != nil {
			o.Logger.Error("view: what was kept cannot be read; it is not used", "error", err)
			kept = membership.Snapshot{}
		}
	}
	var err error
	if f.transport = o.Transport; f.transport == nil {
		if f.transport, err = datagram.Listen(ctx, o.Listen, datagram.Options{MaxRate: o.MaxDatagramsPerSecond, ControlSocket: o.ControlSocket, Logger: o.Logger}); err != nil {
			return nil, err
		}
		if o.OnSocket != nil {
			o.OnSocket(f.transport.Conn())
		}
	}
	if o.OnGossip != nil {
		from := map[netip.AddrPort]bool{}
		for _, a := range o.Peers {
			from[a] = a != o.Listen
		}
		f.transport.Handle(datagram.ChannelGossip, func(a netip.AddrPort, data []byte) bool {
			if from[a] {
				o.OnGossip(data)
			}
			return from[a]
		})
	}
	if o.Enabled {
		self, err := o.Self()
		if err != nil {
			f.closeSocket()
			return nil, fmt.Errorf("fleet: %w", err)
		}
		f.agent, err = membership.Open(f.transport, membership.Options{Self: self, Seeds: o.Peers, Snapshot: kept, MaxMembers: o.MaxMembers, Logger: o.Logger,
			StabilizationPeriod: time.Duration(o.StabilizationSeconds * float64(time.Second)), ProbeInterval: time.Duration(o.ProbeIntervalMillis * float64(time.Millisecond)),
			OnChange: func(s membership.StableView) {
				if o.OnMemberCount != nil && !s.Isolated {
					o.OnMemberCount(len(s.Names))
				}
			}})
		if err != nil {
			f.closeSocket()
			return nil, err
		}
		var sampling context.Context
		sampling, f.stopSampling = context.WithCancel(ctx)
		f.takeSample()
		go f.sampleTraffic(sampling)
	}
	if o.Transport == nil {
		go f.transport.Serve()
	}
	return f, nil
}

// closeSocket ends the link where it is of our own making.
func (f *Fleet) closeSocket() {
	if f.options.Transport == nil {
		f.transport.Conn().Close()
	}
}

// Close ends the view, with a goodbye unless another process of this sidecar goes on as the same member. In
// that case the socket goes, too, so that the other has all that comes.
func (f *Fleet) Close(goodbye bool) {
	f.stopSampling()
	if f.agent != nil {
		f.agent.Close(goodbye)
	}
	if !goodbye {
		f.closeSocket()
	}
}

// SendGossip sends news of the module to all the others.
func (f *Fleet) SendGossip(data []byte) {
	if err := f.transport.Send(f.options.PeerBroadcast, data); err != nil {
		f.options.Logger.Debug("peers", "error", err) // as if lost on the way
	}
}

// Counts gives what passed on each channel since the start.
func (f *Fleet) Counts() map[datagram.Channel]datagram.ChannelCounts {
	counts, _ := f.transport.Counts()
	return counts
}

// Snapshot is what a next process of this sidecar should be given; nil where the view is off.
func (f *Fleet) Snapshot() json.RawMessage {
	if f.agent == nil {
		return nil
	}
	data, err := json.Marshal(f.agent.Snapshot())
	if err != nil {
		return nil
	}
	return data
}

func (f *Fleet) sampleTraffic(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f.takeSample()
		case <-ctx.Done():
			return
		}
	}
}

func (f *Fleet) takeSample() {
	counts, _ := f.transport.Counts()
	f.samplesMu.Lock()
	defer f.samplesMu.Unlock()
	f.samples[0] = f.samples[1]
	f.samples[1] = trafficSample{time.Now(), counts}
}

// Status is what operators are told of the view, as JSON.
type Status struct {
	Name          string    `json:"name"`
	Epoch         uint64    `json:"epoch"`         // of this sidecar's; moves when the set of members does
	Digest        string    `json:"digest"`        // the same at two sidecars that see the same members
	StableSince   time.Time `json:"settled_since"` // when the set last changed
	Isolated      bool      `json:"cut_off"`       // it hears almost nobody, and goes on with what it knew
	StableMembers []string  `json:"settled"`       // the members, sorted

	Members  []MemberStatus     `json:"members,omitempty"`
	Traffic  map[string]Traffic `json:"traffic,omitempty"` // by channel
	Counters map[string]uint64  `json:"counts,omitempty"`
}

// MemberStatus is one member as operators see it.
type MemberStatus struct {
	Name              string    `json:"name"`
	State             string    `json:"state"` // alive, failed, left
	Since             time.Time `json:"since"`
	Zone              string    `json:"zone"`
	Version           string    `json:"version"`
	Features          []string  `json:"features"`
	Address           string    `json:"address"`
	StartTime         time.Time `json:"start"`
	LastContactMillis float64   `json:"heard_ms"` // since a datagram of its last came; -1 for never, and for oneself
}

// Traffic of one channel: a second, over the last 5 to 10 s, and whole counts since the start.
type Traffic struct {
	SentPerSecond          float64 `json:"sent_per_s"`
	SentBytesPerSecond     float64 `json:"sent_bytes_per_s"`
	ReceivedPerSecond      float64 `json:"received_per_s"`
	ReceivedBytesPerSecond float64 `json:"received_bytes_per_s"`
	Sent                   uint64  `json:"sent"`
	SentBytes              uint64  `json:"sent_bytes"`
	Received               uint64  `json:"received"`
	RateLimited            uint64  `json:"held_back"` // over the budget
	Rejected               uint64  `json:"refused"`
}

var channelNames = map[datagram.Channel]string{datagram.ChannelGossip: "news", datagram.ChannelPackets: "packets", datagram.ChannelToListener: "streams_out", datagram.ChannelToDialer: "streams_in"}

// Status gives the view, false where it is off; brief leaves out members, traffic and counts.
func (f *Fleet) Status(brief bool) (Status, bool) {
	if f.agent == nil {
		return Status{}, false
	}
	settled := f.agent.StableView()
	s := Status{Name: f.options.Name, Epoch: settled.Epoch, Digest: fmt.Sprintf("%016x", settled.Digest), StableSince: settled.ChangedAt,
		Isolated: settled.Isolated, StableMembers: settled.Names}
	if brief {
		return s, true
	}
	now := time.Now()
	for _, m := range f.agent.Members() {
		ms := MemberStatus{Name: m.Name, State: string(m.State), Since: m.StateSince, Zone: m.Zone, Version: m.Version, Features: m.Features.Names(),
			Address: m.Address.String(), StartTime: m.StartTime, LastContactMillis: -1}
		if !m.LastContact.IsZero() {
			ms.LastContactMillis = math.Round(now.Sub(m.LastContact).Seconds()*1e6) / 1e3
		}
		s.Members = append(s.Members, ms)
	}
	counts, unknown := f.transport.Counts()
	f.samplesMu.Lock()
	old := f.samples[0]
	if old.counts == nil {
		old = f.samples[1]
	}
	f.samplesMu.Unlock()
	seconds := max(now.Sub(old.at).Seconds(), 1e-3)
	perS := func(now, then uint64) float64 { return math.Round(float64(now-then)/seconds*100) / 100 }
	s.Traffic = map[string]Traffic{}
	for channel, c := range counts {
		was := old.counts[channel]
		s.Traffic[channelNames[channel]] = Traffic{perS(c.SentDatagrams, was.SentDatagrams), perS(c.SentBytes, was.SentBytes),
			perS(c.ReceivedDatagrams, was.ReceivedDatagrams), perS(c.ReceivedBytes, was.ReceivedBytes),
			c.SentDatagrams, c.SentBytes, c.ReceivedDatagrams, c.RateLimited, c.Rejected}
	}
	conflicts, full, improper, dropped := f.agent.Counters()
	s.Counters = map[string]uint64{"name_conflicts": conflicts, "refused_members": full, "improper_messages": improper,
		"dropped_packets": dropped, "unknown_datagrams": unknown}
	return s, true
}

// Text is the status for people: a line of the view, then one a member.
func (s Status) Text() string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s: %d members, epoch %d, digest %s, settled since %s", s.Name, len(s.StableMembers), s.Epoch, s.Digest, s.StableSince.Format(time.RFC3339))
	if s.Isolated {
		b.WriteString(", CUT OFF")
	}
	b.WriteByte('\n')
	for _, m := range s.Members {
		fmt.Fprintf(&b, "%-20s %-7s %-8s %-8s %-21s heard %.0f ms ago, since %s\n", m.Name, m.State, m.Zone, m.Version, m.Address, m.LastContactMillis, m.Since.Format(time.RFC3339))
	}
	return b.String()
}
