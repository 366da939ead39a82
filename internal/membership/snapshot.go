package membership

import (
	"log/slog"
	"net/netip"
	"slices"
)

// Snapshot is the part of the membership that is persisted for the next process: the last stable view. Its JSON form is
// the stored format.
type Snapshot struct {
	Epoch   uint64           `json:"epoch"`
	Members []SnapshotMember `json:"members"`
}

// SnapshotMember is a member's name and address. The address is the zero value if it is not known.
type SnapshotMember struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"addr"`
}

// withoutInvalid returns s without the members whose name is not valid, and logs those.
func (s Snapshot) withoutInvalid(logger *slog.Logger) Snapshot {
	s.Members = slices.DeleteFunc(slices.Clone(s.Members), func(m SnapshotMember) bool {
		err := validateText(m.Name, 1, MaxNameLength)
		if err != nil {
			logger.Warn("persisted member not used", "member", m.Name, "error", err)
		}
		return err != nil
	})
	return s
}

func (s Snapshot) names() []string {
	var names []string
	for _, m := range s.Members {
		names = append(names, m.Name)
	}
	return names
}

// address returns the address of a member, or the zero value if it is not known.
func (s Snapshot) address(name string) netip.AddrPort {
	i := slices.IndexFunc(s.Members, func(m SnapshotMember) bool { return m.Name == name })
	if i < 0 {
		return netip.AddrPort{}
	}
	return s.Members[i].Address
}

// Snapshot returns the stable view and the known addresses of its members, for the next process.
func (a *Agent) Snapshot() Snapshot {
	view := a.StableView()
	s := Snapshot{Epoch: view.Epoch}
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	for _, name := range view.Names {
		address := a.options.Snapshot.address(name)
		if m := a.members[name]; m != nil {
			address = m.Address
		}
		s.Members = append(s.Members, SnapshotMember{Name: name, Address: address})
	}
	return s
}
