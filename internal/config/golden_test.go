package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"bramblestand/balancer"
	"bramblestand/internal/discovery/discoverytest"
	"bramblestand/internal/goldentest"
)

// The golden files hold the parsed value of each key of a configuration. They use the names of the keys in the file, so that
// they do not depend on names in the code.

// configText returns the values of a configuration, one line for each key of the file.
func configText(c *Config) string {
	var out strings.Builder
	line := func(key string, value any) { fmt.Fprintf(&out, "%s=%v\n", key, value) }
	line("name", c.Name)
	line("listen", c.ListenAddress)
	line("discovery", c.DiscoveryAddress)
	line("ops", c.AdminAddress)
	line("seed", strconv.FormatUint(c.Seed, 16))
	line("limits.memory_mb", c.Limits.MemoryMB)
	line("limits.sockets", c.Limits.Sockets)
	line("peer_listen", c.PeerListen)
	for i, peer := range c.Peers {
		line(fmt.Sprintf("peers.%d", i), peer)
	}
	line("peers_all", c.PeerBroadcast)
	line("state_dir", c.StateDir)
	line("state_max_age_s", c.MaxSnapshotAge.Seconds())
	line("fleet.on", c.Fleet.Enabled)
	line("fleet.advertise", c.Fleet.Advertise)
	line("fleet.quiet_s", c.Fleet.StabilizationSeconds)
	line("fleet.probe_ms", c.Fleet.ProbeIntervalMillis)
	line("fleet.members", c.Fleet.MaxMembers)
	line("fleet.datagrams_per_s", c.Fleet.MaxDatagramsPerSecond)
	out.WriteString(discoverytest.ListText("known.", c.KnownEndpoints))
	out.WriteString(settingsLines(&c.Settings))
	for i, name := range c.Zones {
		line(fmt.Sprintf("settings.areas.%d", i), name)
	}
	for i, name := range c.MachineTypes {
		line(fmt.Sprintf("settings.skus.%d", i), name)
	}
	for i, name := range c.LoadReportFields {
		line(fmt.Sprintf("settings.reporting.fields.%d (by name)", i), name)
	}
	line("settings.limits.keepalive", c.KeepaliveTimeout.Microseconds())
	return out.String()
}

// settingsLines returns the values of the settings, one line for each key.
func settingsLines(s *balancer.Settings) string {
	var out strings.Builder
	line := func(key string, value any) { fmt.Fprintf(&out, "settings.%s=%v\n", key, value) }
	line("peers-total", s.Balancers)
	line("position", s.Index)
	line("zone", s.Zone)
	line("areas (how many)", s.Zones)
	line("skus (how many)", s.MachineTypes)
	line("discovery", map[bool]string{false: "automatic", true: "subscribe"}[s.MustSubscribe])
	line("tick", s.Tick)
	line("over-share-worth", s.OverQuotaWeight)
	line("value-by", map[bool]string{false: "request", true: "work"}[s.PriorityPerWork])
	for i, c := range s.Classes {
		prefix := fmt.Sprintf("classes.%d.", i)
		line(prefix+"name", c.Name)
		line(prefix+"repeat", map[balancer.RetrySafety]string{balancer.Idempotent: "pure", balancer.IdempotentWithKey: "token", balancer.NonIdempotent: "side_effect"}[c.RetrySafety])
		line(prefix+"group", map[balancer.DedupScope]string{balancer.DedupScopeFleet: "all", balancer.DedupScopeZone: "zone", balancer.DedupScopePod: "cell"}[c.DedupScope])
		line(prefix+"window", c.DedupWindow)
		line(prefix+"target", c.LatencyObjective)
		line(prefix+"give-up", c.ClientTimeout)
		line(prefix+"credit", c.PriorityWeight)
		line(prefix+"late-value", c.LateWeight)
		line(prefix+"stream", c.Streaming)
	}
	for i, tenant := range s.Tenants {
		prefix := fmt.Sprintf("tenants.%d.", i)
		line(prefix+"name", tenant.Name)
		line(prefix+"allowance-per-s", tenant.Quota)
		line(prefix+"share", tenant.Fraction)
	}
	for i, f := range s.LoadReportFields {
		line(fmt.Sprintf("reporting.fields.%d", i), map[balancer.LoadField]string{balancer.LoadFieldUnknown: "(another)",
			balancer.LoadFieldInFlight: "busy_reqs", balancer.LoadFieldQueueLength: "pending", balancer.LoadFieldUtilization: "cpu_share",
			balancer.LoadFieldServiceTime: "svc_ms", balancer.LoadFieldThroughput: "served_ps", balancer.LoadFieldErrorRate: "failed_ps"}[f])
	}
	line("limits.cancel", s.Limits.AllowCancel)
	line("limits.probes", s.Limits.AllowLoadProbes)
	line("limits.second-copies", s.Limits.AllowHedging)
	line("limits.retry-after", s.Limits.AllowRetryAfter)
	line("limits.may-tell", s.Limits.AllowGossip)
	line("limits.most-tries", s.Limits.MaxAttempts)
	line("limits.most-held", s.Limits.MaxUnanswered)
	line("limits.max-retry-after", s.Limits.MaxRetryAfter)
	line("limits.dial-timeout", s.Limits.DialTimeout)
	line("contract.drain-grace", s.Rules.DrainGrace)
	line("contract.cold-from", s.Rules.SlowStartMinCapacity)
	line("contract.ramp-time", s.Rules.SlowStartDuration)
	line("contract.fall-multiple", s.Rules.OverloadMultiple)
	line("contract.overload-for", s.Rules.OverloadDuration)
	line("contract.ask-within", s.Rules.MaxPollInterval)
	line("contract.answer-slack", s.Rules.ResponseSlack)
	line("prices.cross-zone", s.Costs.CrossZone)
	line("prices.probe", s.Costs.LoadProbe)
	line("prices.peer", s.Costs.GossipMessage)
	line("prices.waste", s.Costs.WastedWork)
	line("prices.late-fail", s.Costs.LateFailure)
	line("goal.whole", s.Objective.Overall)
	line("goal.worst-window", s.Objective.WorstWindow)
	line("goal.worst-class", s.Objective.WorstClass)
	line("goal.worst-tenant", s.Objective.WorstTenant)
	return out.String()
}

func TestConfigIsReadAsBefore(t *testing.T) {
	for _, c := range []struct{ name, file, opsEnv, stateEnv string }{
		{name: "full", file: "full.json"},
		{name: "full-environment", file: "full.json", opsEnv: "127.0.0.9:9", stateEnv: "/tmp/elsewhere"},
		{name: "least", file: "least.json"},
		{name: "least-environment", file: "least.json", opsEnv: "127.0.0.9:9", stateEnv: "/tmp/elsewhere"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv("BALANCER_OPS", c.opsEnv)
			t.Setenv("BALANCER_STATE", c.stateEnv)
			cfg, err := Load(filepath.Join("testdata", c.file))
			if err != nil {
				t.Fatal(err)
			}
			goldentest.EqualLines(t, configText(cfg), filepath.Join("testdata", c.name+".golden"))
		})
	}
}

// setKey sets the JSON value at a dotted path of a decoded JSON document. The value "" deletes the key.
func setKey(t *testing.T, document any, path, value string) {
	t.Helper()
	t.Helper()
	key, rest, below := strings.Cut(path, ".")
	switch node := document.(type) {
	case map[string]any:
		if below {
			setKey(t, node[key], rest, value)
		} else if value == "" {
			delete(node, key)
		} else {
			var v any
			if err := json.Unmarshal([]byte(value), &v); err != nil {
				t.Fatal(err)
			}
			node[key] = v
		}
	case []any:
		i, err := strconv.Atoi(key)
		if err != nil || i >= len(node) {
			t.Fatalf("%q is not an index under %d", key, len(node))
		}
		if below {
			setKey(t, node[i], rest, value)
		} else if err := json.Unmarshal([]byte(value), &node[i]); err != nil {
			t.Fatal(err)
		}
	default:
		t.Fatalf("no object or list that contains %s", path)
	}
}

// fullConfigWith returns the full configuration with another value at a path. The value "" deletes the key.
func fullConfigWith(t *testing.T, path, value string) []byte {
	t.Helper()
	full, err := os.ReadFile(filepath.Join("testdata", "full.json"))
	if err != nil {
		t.Fatal(err)
	}
	var document any
	if err := json.Unmarshal(full, &document); err != nil {
		t.Fatal(err)
	}
	setKey(t, document, path, value)
	text, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// keyChanges are changes to the full configuration that Parse must reject, except for those marked "ok" in the golden file.
var keyChanges = []struct{ path, value string }{
	{"name", `7`}, {"name", `"a/b"`}, {"name", ``},
	{"listen", `"here"`}, {"listen", `7`}, {"listen", ``},
	{"discovery", `""`}, {"discovery", `"x"`}, {"ops", `"x"`}, {"ops", ``},
	{"seed", `"xyz"`}, {"seed", ``}, {"seed", `5`}, {"seed", `"18c1f30d27a5be9640"`},
	{"limits", ``}, {"limits.memory_mb", `0`}, {"limits.memory_mb", `"much"`}, {"limits.sockets", `63`}, {"limits.sockets", `1.5`},
	{"peer_listen", `"here"`}, {"peer_listen", ``}, {"peers.2", `"n4:7946"`}, {"peers", `"x"`}, {"peers_all", `"10.0.0.1"`},
	{"state_dir", `1`}, {"state_max_age_s", `0`}, {"state_max_age_s", `604801`}, {"state_max_age_s", `-1`}, {"state_max_age_s", `null`},
	{"fleet.on", `1`}, {"fleet.advertise", `"n4"`}, {"fleet.advertise", `"[fd00::1]:7946"`}, {"fleet.advertise", `"10.3.0.2:0"`},
	{"fleet.quiet_s", `0.05`}, {"fleet.quiet_s", `61`}, {"fleet.probe_ms", `49`}, {"fleet.probe_ms", `10001`}, {"fleet.members", `1`},
	{"fleet.members", `10001`}, {"fleet.datagrams_per_s", `9`}, {"fleet.datagrams_per_s", `10001`}, {"fleet.other", `1`}, {"fleet", `null`},
	{"known", ``}, {"known.seq", `-1`}, {"known.seq", ``}, {"known.whole", ``}, {"known.hosts.0.host", `""`}, {"known.hosts.1.health", `"Fine"`},
	{"known.hosts.0.dial", `"nowhere"`}, {"known.hosts.1.dial", `"nowhere"`}, {"known.hosts.0.block", `65536`}, {"known.hosts.0.share", `"1"`},
	{"settings", ``}, {"settings", `[]`}, {"settings", `null`},
	{"settings.peers-total", `0`}, {"settings.peers-total", `1.5`}, {"settings.position", `-1`}, {"settings.zone", `-1`}, {"settings.tick", `-1`},
	{"settings.discovery", `"gossip"`}, {"settings.value-by", `"love"`}, {"settings.over-share-worth", `-1`}, {"settings.over-share-worth", `"much"`},
	{"settings.areas", `"a"`}, {"settings.areas", `[1]`}, {"settings.skus", `{}`},
	{"settings.classes", ``}, {"settings.classes", `[]`}, {"settings.classes.0.repeat", `"twice"`}, {"settings.classes.0.repeat", ``},
	{"settings.classes.1.group", `"some"`}, {"settings.classes.1.window", `-1`}, {"settings.classes.1.target", ``}, {"settings.classes.1.target", `0`},
	{"settings.classes.1.give-up", ``}, {"settings.classes.1.give-up", `0`}, {"settings.classes.1.credit", `-1`},
	{"settings.classes.1.late-value", `1.5`}, {"settings.classes.0.stream", `"perhaps"`}, {"settings.classes.1", `{}`},
	{"settings.tenants.1.allowance-per-s", `-1`}, {"settings.tenants.1.share", `"x"`},
	{"settings.goal.whole", `-1`}, {"settings.goal.worst-class", `-1`}, {"settings.goal.worst-tenant", `-1`}, {"settings.goal.worst-window", `-1`},
	{"settings.limits.cancel", `2`}, {"settings.limits.probes", `"x"`}, {"settings.limits.second-copies", `"x"`}, {"settings.limits.retry-after", `"x"`},
	{"settings.limits.may-tell", `"x"`}, {"settings.limits.most-tries", `0`}, {"settings.limits.most-tries", `"3.5"`}, {"settings.limits.most-held", `0`},
	{"settings.limits.max-retry-after", `-1`}, {"settings.limits.dial-timeout", `-1`}, {"settings.limits.dial-timeout", `0`},
	{"settings.limits.keepalive", `0`}, {"settings.limits.keepalive", ``}, {"settings.limits.keepalive", `"x"`},
	{"settings.contract.drain-grace", `-1`}, {"settings.contract.cold-from", `0`}, {"settings.contract.cold-from", `1.1`},
	{"settings.contract.ramp-time", `-1`}, {"settings.contract.fall-multiple", `0`}, {"settings.contract.overload-for", `-1`},
	{"settings.contract.ask-within", `-1`}, {"settings.contract.answer-slack", `-1`},
	{"settings.prices.cross-zone", `-1`}, {"settings.prices.probe", `-1`}, {"settings.prices.peer", `-1`}, {"settings.prices.waste", `-1`},
	{"settings.prices.late-fail", `-1`}, {"settings.prices.late-fail", `"NaN"`},
	{"settings.reporting.how", `"loudly"`}, {"settings.reporting.how", `"none"`}, {"settings.reporting.fields", `"x"`},
}

func TestBrokenKeyIsNamedAsBefore(t *testing.T) {
	t.Setenv("BALANCER_OPS", "")
	t.Setenv("BALANCER_STATE", "")
	var out strings.Builder
	for _, c := range keyChanges {
		result := "ok"
		if _, err := Parse(fullConfigWith(t, c.path, c.value)); err != nil {
			result = goldentest.ErrorText(err)
		}
		value := c.value
		if value == "" {
			value = "(no such key)"
		}
		fmt.Fprintf(&out, "%s: %s -> %s\n", c.path, value, result)
	}
	goldentest.EqualLines(t, out.String(), filepath.Join("testdata", "errors.golden"))
}
