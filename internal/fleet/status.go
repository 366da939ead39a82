package fleet

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"bramblestand/internal/datagram"
	"bramblestand/internal/membership"
)

// Status describes the membership to operators. The JSON keys are part of the operators' interface.
type Status struct {
	Name          string    `json:"name"`
	Epoch         uint64    `json:"epoch"`         // of this sidecar's stable view; changes whenever the set of members does
	Digest        string    `json:"digest"`        // equal at two sidecars that have the same members
	StableSince   time.Time `json:"settled_since"` // when the set of members last changed
	Isolated      bool      `json:"cut_off"`       // this sidecar receives from too few members and keeps its last view
	StableMembers []string  `json:"settled"`       // names of the stable view, sorted

	Members  []MemberStatus     `json:"members,omitempty"`
	Traffic  map[string]Traffic `json:"traffic,omitempty"` // by channel
	Counters map[string]uint64  `json:"counts,omitempty"`
}

// MemberStatus describes one member to operators.
type MemberStatus struct {
	Name              string    `json:"name"`
	State             string    `json:"state"` // alive, failed, left
	Since             time.Time `json:"since"`
	Zone              string    `json:"zone"`
	Version           string    `json:"version"`
	Features          []string  `json:"features"`
	Address           string    `json:"address"`
	StartTime         time.Time `json:"start"`
	LastContactMillis float64   `json:"heard_ms"` // time since its last datagram; -1 if there was none, and for this sidecar itself
}

// Traffic holds the traffic of one channel: rates over the last 5 to 10 s, and counts since the start.
type Traffic struct {
	SentPerSecond          float64 `json:"sent_per_s"`
	SentBytesPerSecond     float64 `json:"sent_bytes_per_s"`
	ReceivedPerSecond      float64 `json:"received_per_s"`
	ReceivedBytesPerSecond float64 `json:"received_bytes_per_s"`
	Sent                   uint64  `json:"sent"`
	SentBytes              uint64  `json:"sent_bytes"`
	Received               uint64  `json:"received"`
	RateLimited            uint64  `json:"held_back"` // not sent because of the rate limit
	Rejected               uint64  `json:"refused"`   // received, but rejected by the channel's handler
}

// channelNames holds the names of the channels in the status.
var channelNames = map[datagram.Channel]string{
	datagram.ChannelGossip:     "news",
	datagram.ChannelPackets:    "packets",
	datagram.ChannelToListener: "streams_out",
	datagram.ChannelToDialer:   "streams_in",
}

// Status returns the membership's status, or false if the membership is
// disabled. A brief status omits members, traffic and counters.
func (f *Fleet) Status(isBrief bool) (Status, bool) {
	if f.agent == nil {
		return Status{}, false
	}
	view := f.agent.StableView()
	s := Status{
		Name:          f.options.Name,
		Epoch:         view.Epoch,
		Digest:        fmt.Sprintf("%016x", view.Digest),
		StableSince:   view.ChangedAt,
		Isolated:      view.Isolated,
		StableMembers: view.Names,
	}
	if isBrief {
		return s, true
	}
	now := time.Now()
	for _, m := range f.agent.Members() {
		s.Members = append(s.Members, memberStatus(m, now))
	}
	counts, unknown := f.transport.Counts()
	s.Traffic = f.traffic(now, counts)
	s.Counters = counterNames(f.agent.Counters(), unknown)
	return s, true
}

// memberStatus converts a member's status to the form shown to operators.
func memberStatus(m membership.MemberStatus, now time.Time) MemberStatus {
	lastContactMillis := -1.0
	if !m.LastContact.IsZero() {
		lastContactMillis = math.Round(now.Sub(m.LastContact).Seconds()*1e6) / 1e3
	}
	return MemberStatus{
		Name:              m.Name,
		State:             string(m.State),
		Since:             m.StateSince,
		Zone:              m.Zone,
		Version:           m.Version,
		Features:          m.Features.Names(),
		Address:           m.Address.String(),
		StartTime:         m.StartTime,
		LastContactMillis: lastContactMillis,
	}
}

// counterNames returns the counters by their names in the status.
func counterNames(c membership.Counters, unknownDatagrams uint64) map[string]uint64 {
	return map[string]uint64{
		"name_conflicts":    c.NameConflicts,
		"refused_members":   c.RejectedMembers,
		"improper_messages": c.RejectedMessages,
		"dropped_packets":   c.DroppedPackets,
		"unknown_datagrams": unknownDatagrams,
	}
}

// trafficSample holds the transport's counts at one time.
type trafficSample struct {
	at     time.Time
	counts map[datagram.Channel]datagram.ChannelCounts
}

const (
	sampleInterval = 5 * time.Second
	minRatePeriod  = 1e-3 // seconds; keeps the rates finite right after a sample
)

// sampleTraffic takes a sample every sampleInterval until ctx ends.
func (f *Fleet) sampleTraffic(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.takeSample()
		case <-ctx.Done():
			return
		}
	}
}

// takeSample adds a sample and drops the older of the two previous ones.
func (f *Fleet) takeSample() {
	counts, _ := f.transport.Counts()
	f.samplesMu.Lock()
	defer f.samplesMu.Unlock()
	f.samples[0] = f.samples[1]
	f.samples[1] = trafficSample{time.Now(), counts}
}

// oldestSample returns the older of the two samples, or the only sample if there is just one.
func (f *Fleet) oldestSample() trafficSample {
	f.samplesMu.Lock()
	defer f.samplesMu.Unlock()
	if f.samples[0].counts == nil {
		return f.samples[1]
	}
	return f.samples[0]
}

// traffic returns the counts at now by channel name, with the rates since the oldest sample.
func (f *Fleet) traffic(now time.Time, counts map[datagram.Channel]datagram.ChannelCounts) map[string]Traffic {
	oldest := f.oldestSample()
	seconds := max(now.Sub(oldest.at).Seconds(), minRatePeriod)
	rate := func(current, previous uint64) float64 {
		return math.Round(float64(current-previous)/seconds*100) / 100
	}
	byName := map[string]Traffic{}
	for channel, current := range counts {
		previous := oldest.counts[channel]
		byName[channelNames[channel]] = Traffic{
			SentPerSecond:          rate(current.SentDatagrams, previous.SentDatagrams),
			SentBytesPerSecond:     rate(current.SentBytes, previous.SentBytes),
			ReceivedPerSecond:      rate(current.ReceivedDatagrams, previous.ReceivedDatagrams),
			ReceivedBytesPerSecond: rate(current.ReceivedBytes, previous.ReceivedBytes),
			Sent:                   current.SentDatagrams,
			SentBytes:              current.SentBytes,
			Received:               current.ReceivedDatagrams,
			RateLimited:            current.RateLimited,
			Rejected:               current.Rejected,
		}
	}
	return byName
}

// Text returns the status as text: one line for the stable view, then one line per member.
func (s Status) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d members, epoch %d, digest %s, settled since %s",
		s.Name, len(s.StableMembers), s.Epoch, s.Digest, s.StableSince.Format(time.RFC3339))
	if s.Isolated {
		b.WriteString(", CUT OFF")
	}
	b.WriteByte('\n')
	for _, m := range s.Members {
		fmt.Fprintf(&b, "%-20s %-7s %-8s %-8s %-21s heard %.0f ms ago, since %s\n",
			m.Name, m.State, m.Zone, m.Version, m.Address, m.LastContactMillis, m.Since.Format(time.RFC3339))
	}
	return b.String()
}
