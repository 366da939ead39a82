package balancer

import (
	"crypto/sha256"
	"encoding/hex"
	"runtime"
	"testing"
)

// These tests run generated scripts of events against a balancer on a virtual clock. All actions except log
// lines are written in a fixed binary form to a digest. The expected digests come from the code of main
// 0bd2efd. A refactoring must not change them. A commit that changes a decision replaces them and gives the
// reason.

// goldenSettings returns the settings from which those of the scripts are derived.
func goldenSettings() Settings {
	return Settings{
		Balancers: 4, Index: 1, Zone: 0, Zones: 3, MachineTypes: 2, Tick: 5000,
		Classes:          []Class{{Name: "read", RetrySafety: Idempotent, LatencyObjective: 100_000, ClientTimeout: 600_000, PriorityWeight: 1, LateWeight: 0.3}},
		LoadReportFields: []LoadField{LoadFieldInFlight, LoadFieldQueueLength},
		Limits: Limits{AllowCancel: true, AllowLoadProbes: true, AllowRetryAfter: true, MaxAttempts: 3, MaxUnanswered: 400,
			MaxRetryAfter: 2_000_000, DialTimeout: 100_000},
		Rules: Rules{DrainGrace: 500_000, SlowStartMinCapacity: 0.2, SlowStartDuration: 10_000_000, OverloadMultiple: 2.5,
			OverloadDuration: 1_000_000, MaxPollInterval: 8_000_000},
		Costs:     Costs{CrossZone: 0.02, LoadProbe: 0.002},
		Objective: Objective{Overall: 0.6, WorstWindow: 0.2, WorstClass: 0.1, WorstTenant: 0.1},
	}
}

func goldenScripts() []scriptOptions {
	vary := func(change func(*Settings)) Settings {
		s := goldenSettings()
		change(&s)
		return s
	}
	keyed := []Class{
		{Name: "read", RetrySafety: Idempotent, LatencyObjective: 80_000, ClientTimeout: 500_000, PriorityWeight: 1},
		{Name: "all", RetrySafety: IdempotentWithKey, DedupScope: DedupScopeFleet, DedupWindow: 200_000, LatencyObjective: 100_000, ClientTimeout: 600_000, PriorityWeight: 2},
		{Name: "zone", RetrySafety: IdempotentWithKey, DedupScope: DedupScopeZone, DedupWindow: 400_000, LatencyObjective: 100_000, ClientTimeout: 600_000, PriorityWeight: 2},
		{Name: "pod", RetrySafety: IdempotentWithKey, DedupScope: DedupScopePod, DedupWindow: 400_000, LatencyObjective: 150_000, ClientTimeout: 900_000, PriorityWeight: 1},
		{Name: "write", RetrySafety: NonIdempotent, LatencyObjective: 200_000, ClientTimeout: 900_000, PriorityWeight: 4, LateWeight: 0.5},
	}
	return []scriptOptions{
		{name: "push, hints", settings: goldenSettings(),
			servers: 12, rate: 900, work: 15_000, hints: 0.9, operators: true, outages: 1_500_000, length: 20_000_000},
		{name: "subscribe, sparse, keyed and unsafe",
			settings: vary(func(s *Settings) { s.MustSubscribe, s.Classes, s.Costs.LoadProbe = true, keyed, 0.01 }),
			servers:  160, rate: 400, work: 30_000, operators: true, length: 30_000_000},
		{name: "tenants, overload, priority by work", settings: vary(func(s *Settings) {
			s.Classes, s.PriorityPerWork, s.OverQuotaWeight = keyed, true, 0.3
			s.Tenants = []Tenant{{Name: "a", Quota: 100, Fraction: 0.5}, {Name: "b", Quota: 50, Fraction: 0.5}, {}}
			s.Limits.MaxUnanswered = 60
		}), servers: 10, rate: 900, work: 20_000, hints: 0.5, operators: true, outages: 1_500_000, length: 20_000_000},
		{name: "gossip, work from reports", settings: vary(func(s *Settings) {
			s.Limits.AllowGossip, s.Costs.LoadProbe, s.Costs.GossipMessage = true, 0.03, 0.0001
			s.LoadReportFields = []LoadField{LoadFieldQueueLength, LoadFieldInFlight, LoadFieldServiceTime, LoadFieldUnknown}
		}), servers: 60, rate: 900, work: 20_000, operators: true, length: 20_000_000},
		{name: "gossip, subscribe, classes, hints", settings: vary(func(s *Settings) {
			s.Limits.AllowGossip, s.Costs.LoadProbe, s.Costs.GossipMessage = true, 0.03, 0.0001
			s.MustSubscribe, s.Classes = true, keyed
		}), servers: 60, rate: 700, work: 30_000, hints: 0.5, operators: true, outages: 1_500_000, length: 20_000_000},
		{name: "streams, uploads, late reports", settings: vary(func(s *Settings) {
			s.Classes = []Class{keyed[0], keyed[4], {Name: "feed", RetrySafety: Idempotent, LatencyObjective: 150_000, ClientTimeout: 900_000, PriorityWeight: 1, Streaming: true}}
			s.LoadReportFields = []LoadField{LoadFieldInFlight, LoadFieldErrorRate}
		}), servers: 12, rate: 500, work: 20_000, uploads: 0.4, operators: true, lateLoad: true, length: 20_000_000},
		{name: "utilisation only, no cancel, no retry-after", settings: vary(func(s *Settings) {
			s.LoadReportFields = []LoadField{LoadFieldUtilization}
			s.Limits.AllowCancel, s.Limits.AllowRetryAfter, s.Objective = false, false, Objective{Overall: 1}
		}), servers: 8, rate: 700, work: 15_000, outages: 1_500_000, length: 15_000_000},
		{name: "queue only, sparse, one request in many", settings: vary(func(s *Settings) {
			s.LoadReportFields, s.MustSubscribe, s.Costs.LoadProbe = []LoadField{LoadFieldQueueLength}, true, 0
			s.Classes[0].PriorityWeight, s.Objective = 0, Objective{}
		}), servers: 200, rate: 60, work: 25_000, hints: 0.2, operators: true, length: 40_000_000},
		{name: "long outages", settings: vary(func(s *Settings) { s.Balancers = 2 }),
			servers: 10, rate: 1200, work: 10_000, outages: 12_000_000, length: 90_000_000},
		{name: "no probes", settings: vary(func(s *Settings) {
			s.Limits.AllowLoadProbes, s.LoadReportFields, s.Balancers, s.Limits.MaxAttempts = false, nil, 1, 2
		}), servers: 5, rate: 400, work: 15_000, operators: true, outages: 1_500_000, length: 30_000_000},
	}
}

// goldenResult is the expected result of a script.
type goldenResult struct {
	events, actions int
	digest          string // SHA-256 of all records
}

var goldenResults = map[string]goldenResult{
	"push, hints": {
		events: 38677, actions: 27276,
		digest: "652ffa631be14491052747bdeb647a88425e528c80d459b58e453f2870248e95",
	},
	"subscribe, sparse, keyed and unsafe": {
		events: 45103, actions: 34574,
		digest: "ea4e000a8ef3662dca6fc51692721f83917dabdb18d60c5d3aefe2a5df53cb48",
	},
	"tenants, overload, priority by work": {
		events: 30883, actions: 22529,
		digest: "2c2b4df096d20610bc17bc933fa984d8fce0774a2afbd18ebea29333bceb1b40",
	},
	"gossip, work from reports": {
		events: 44810, actions: 27095,
		digest: "b709bed7ac32e25f114e3b466d2b0a1efa90d80f824f6eb08055cdef24ec2054",
	},
	"gossip, subscribe, classes, hints": {
		events: 23471, actions: 15998,
		digest: "4c6264d85259be4047a092452515932327560240146b5ae861861f90173258b6",
	},
	"streams, uploads, late reports": {
		events: 31179, actions: 20529,
		digest: "7a79a4207196625e52b9a8ed34c57c1a65c45dbb8d30f9bc527ad5ad4b7b8389",
	},
	"utilisation only, no cancel, no retry-after": {
		events: 16453, actions: 11968,
		digest: "464872346c31cdb0627c5ab63d38f139e63b61f580f8d54ff2bc18577b7cb3b3",
	},
	"queue only, sparse, one request in many": {
		events: 14183, actions: 12079,
		digest: "846010610dad2d3be829c4da84f6c4743bc969479610c0dc530fa813437b3f9d",
	},
	"long outages": {
		events: 203681, actions: 144893,
		digest: "aba10b9bad9ead4477786b924e051d23a58ec8116ade81cb2cf8bcdd792229b2",
	},
	"no probes": {
		events: 22851, actions: 13961,
		digest: "513df8b263bede18a181b7f45b5b0738c2a1139543671eb2c1782f747471c0fe",
	},
}

// TestDecisionsMatchGoldenDigests runs the scripts and compares the digests of all actions.
func TestDecisionsMatchGoldenDigests(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the digests hold for amd64 only: on other architectures the compiler may fuse a product and a sum")
	}
	total := map[byte]int{}
	for _, options := range goldenScripts() {
		t.Run(options.name, func(t *testing.T) {
			s := &script{t: t, options: options, random: 33, digest: sha256.New(), actions: map[byte]int{},
				requests: map[uint64]*scriptRequest{}}
			s.run()
			got := goldenResult{events: s.events, digest: hex.EncodeToString(s.digest.Sum(nil))}
			for code, n := range s.actions {
				got.actions += n
				total[code] += n
			}
			if want := goldenResults[options.name]; got != want {
				t.Errorf("the script ended with %+v, want %+v; actions by kind: %v", got, want, s.actions)
			}
		})
	}
	for _, code := range []byte("SRFCTPNWK") {
		if total[code] == 0 {
			t.Errorf("no script led to an action %c", code)
		}
	}
}
