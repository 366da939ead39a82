package lab

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// config returns the configuration of sidecar i, in JSON.
func (s *Sidecars) config(i int, listen string) []byte {
	peers := ""
	if s.relay != nil {
		var known []string
		for j := range s.exp.Fleet.Sidecars {
			known = append(known, s.relay.RelayAddress(j))
		}
		peers = PeersConfig(s.relay.ListenAddress(i), s.relay.Hub(), known)
	}
	return s.exp.SidecarConfig(i, s.exp.Fleet.Sidecars, listen, s.discovery.listener.AddressFor(s.subnet.address(i)), peers+s.stateDirSetting(i))
}

// PeersConfig returns the JSON keys of a sidecar's configuration that concern its peers, followed by a comma. listen is
// the address on which it receives datagrams, all the one that reaches all peers, known those of single peers, each as
// address:port.
func PeersConfig(listen, all string, known []string) string {
	list, _ := json.Marshal(known)
	return fmt.Sprintf(`"peer_listen":%q,"peers_all":%q,"peers":%s,`, listen, all, list)
}

// SidecarConfig returns the configuration, in JSON, of sidecar i of total ones. listen is its listen address, discovery
// that of the discovery service. more contains additional JSON keys, each followed by a comma.
func (e *Experiment) SidecarConfig(i, total int, listen, discovery, more string) []byte {
	zones, _ := json.Marshal(e.Fleet.Zones)
	known, _ := json.Marshal(append([]Instance{}, e.Fleet.Known...)) // an empty list must become [], not null
	deadline := e.Load.Deadline.Microseconds()
	if e.Fleet.View {
		more += `"fleet":{"on":true},`
	}
	return fmt.Appendf(nil, `{"name":"s%d","listen":%q,"discovery":%q,"seed":"%x",%s
"limits":{"memory_mb":192,"sockets":%d},"known":{"seq":0,"whole":true,"hosts":%s},
"settings":{"areas":%s,"skus":["m"],"stages":["s"],"tenants":[],"discovery":"subscribe",
"classes":[{"name":"read","repeat":"pure","target":%d,"give-up":%d,"credit":1},
 {"name":"order","repeat":"side_effect","target":%d,"give-up":%d,"credit":1}],
"contract":{"answer-slack":20000,"ask-within":1000000,"cold-from":0.3,"drain-grace":1000000,"fall-multiple":2.5,"overload-for":1000000,"ramp-time":1},
"limits":{"may-tell":%t,"cancel":true,"dial-timeout":250000,"keepalive":5000000,"max-retry-after":1500000,"most-held":1000,"most-tries":3,"multiplex":1,"probes":true,"retry-after":true,"second-copies":true},
"prices":{"probe":%v,"peer":0.01},
"reporting":{"how":"probe","fields":["failed_ps","pending"]},"peers-total":%d,"position":%d,"zone":%d}}`,
		i, listen, discovery, e.Seed*1000+uint64(i), more, cmp.Or(e.Fleet.Sockets, sidecarSockets), known, zones, deadline*6/10, deadline, deadline*6/10, deadline, e.Fleet.Peers,
		cmp.Or(e.Fleet.ProbePrice, 1), total, i, i%len(e.Fleet.Zones))
}

// stateDirSetting returns the JSON key for sidecar i's folder of persisted state, followed by a comma. It is empty if the
// experiment's sidecars do not persist state.
func (s *Sidecars) stateDirSetting(i int) string {
	if !s.exp.Fleet.State {
		return ""
	}
	return fmt.Sprintf(`"state_dir":%q,`, s.disk(i).state())
}
