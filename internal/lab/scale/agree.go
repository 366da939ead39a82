package scale

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"bramblestand/internal/lab"
)

// Agreement compares hollow sidecars with real processes under the same settings.
type Agreement struct {
	MaxDeviation float64        `json:"goal"` // largest relative deviation of a compared figure for WithinGoal
	Rows         []AgreementRow `json:"rows"`
	NotRun       []string       `json:"not_run"` // names of the runs without a stored real result
}

// AgreementRow is one fleet, run with real and with hollow sidecars for each seed.
type AgreementRow struct {
	Sidecars   int               `json:"sidecars"`
	Servers    int               `json:"servers"`
	Rate       float64           `json:"rate"` // calls per second of each sidecar
	Peers      bool              `json:"peers"`
	Seeds      []uint64          `json:"seeds"`
	LateRuns   int               `json:"late"` // real runs in which the lab itself ran late
	Figures    []AgreementFigure `json:"figures"`
	WithinGoal bool              `json:"used"`             // no compared figure deviates by more than MaxDeviation
	Exceeding  []string          `json:"beyond,omitempty"` // names of the figures that do
}

// AgreementFigure is one figure of a row: its mean over the seeds, and the smallest and largest value.
type AgreementFigure struct {
	Name        string     `json:"name"`
	Real        float64    `json:"real"`
	RealRange   [2]float64 `json:"real_span"`
	Hollow      float64    `json:"hollow"`
	HollowRange [2]float64 `json:"hollow_span"`
	Deviation   float64    `json:"deviation"` // of Hollow from Real, as a fraction of Real; 0 if it is not compared
	Compared    bool       `json:"judged"`    // the deviation counts for WithinGoal
}

// AgreementSpec returns the hollow run of a row for one seed. All delays are as short as those of loopback, since the real
// processes share one machine.
func AgreementSpec(sidecars, servers int, rate float64, peers bool, seed uint64) Spec {
	s := NewSpec(servers)
	s.Name = fmt.Sprintf("agree-%dx%d-%v-%v-%d", sidecars, servers, rate, peers, seed)
	s.Sidecars, s.Rate, s.Peers, s.Seed = sidecars, rate, peers, seed
	delay := lab.Duration{Duration: 60 * time.Microsecond}
	s.SameZoneDelay, s.SameRegionDelay, s.CrossRegionDelay = delay, delay, delay
	s.Server.ColdStart.Duration = 0
	s.WarmUp.Duration, s.SteadyDuration.Duration = 10*time.Second, measurementDuration
	s.Regions = 1
	return s
}

// measurementDuration is the length of the measured window: the interval between calls of discovery.
const measurementDuration = 20 * time.Second

// measurementStart is when the window begins on the lab's clock, which starts once all sidecars are ready.
const measurementStart = 8 * time.Second

// figureNames are the names of the figures. Rates are those of the whole fleet.
var figureNames = []string{"probes/s", "attempts a call", "connections/s", "discovery calls/s", "server payload B/s", "discovery payload B/s",
	"datagrams/s", "wire B/s with calls", "start probes a sidecar", "served %", "late %", "refused %", "failed %"}

// isCompared reports whether the deviation of a figure counts. It does not where the value is so close to 0 that a relative
// deviation is meaningless.
func isCompared(name string, real, hollow float64) bool {
	if strings.HasSuffix(name, "%") && name != "served %" || strings.HasPrefix(name, "start") {
		return max(real, hollow) >= 1
	}
	return real > 0
}

// httpBytes holds sizes of HTTP messages in bytes. Probe and Attempt are the payload of a request and its response together.
// DiscoveryCall is the same for a call of discovery, without the body of the response. ApplicationCall is a call of the
// application on the wire: to its sidecar, and from there to a server.
type httpBytes struct{ Probe, Attempt, DiscoveryCall, ApplicationCall float64 }

// realResultFile returns the file that holds the result of a run with real processes.
func realResultFile(s Spec, folder string) string { return filepath.Join(folder, s.Name+"-real.json") }

// runReal runs a row's fleet with real processes, or reads the result that an earlier invocation left in the folder.
func runReal(ctx context.Context, s Spec, program, folder string) (*lab.Result, error) {
	file := realResultFile(s, folder)
	if result, err := lab.ReadResult(file); err == nil {
		return result, nil
	}
	e := s.experiment()
	e.Duration.Duration = measurementStart + measurementDuration + 500*time.Millisecond
	e.Load.Shape = "poisson"
	result, err := lab.Run(ctx, e, program, filepath.Join(folder, s.Name), slog.New(slog.DiscardHandler))
	if err == nil {
		err = ctx.Err() // a run that was cancelled ends early, without an error
	}
	if err != nil {
		return nil, err
	}
	return result, lab.WriteJSON(file, result)
}

// realFigures returns the figures of a run with real processes, by name.
func realFigures(s Spec, result *lab.Result) map[string]float64 {
	from, to := receivedLoadAt(result.ReceivedLoad, measurementStart), receivedLoadAt(result.ReceivedLoad, measurementStart+measurementDuration)
	seconds := to.At - from.At
	perSecond := func(a, b int64) float64 { return float64(b-a) / seconds }
	figures := map[string]float64{"probes/s": perSecond(from.Probes, to.Probes), "attempts a call": 0, "connections/s": perSecond(from.Conns, to.Conns),
		"discovery calls/s": perSecond(from.DiscoveryCalls, to.DiscoveryCalls), "server payload B/s": perSecond(from.Bytes, to.Bytes), "discovery payload B/s": perSecond(from.DiscoveryBytes, to.DiscoveryBytes),
		"datagrams/s": perSecond(from.Datagrams, to.Datagrams), "wire B/s with calls": perSecond(from.LoopbackBytes, to.LoopbackBytes)}
	sent := 0
	for _, second := range result.Series {
		if at := float64(second.At); at >= measurementStart.Seconds() && at < (measurementStart+measurementDuration).Seconds() {
			sent += second.Served + second.Errors
		}
	}
	if sent > 0 {
		figures["attempts a call"] = float64(to.Calls-from.Calls) / float64(sent)
	}
	// The probes of the start are those before the window, minus what the steady rate accounts for since the sidecars started.
	figures["start probes a sidecar"] = (float64(from.Probes) - figures["probes/s"]*(from.At+meanStartLead(result.ReceivedLoad))) / float64(s.Sidecars)
	total := 0
	for _, n := range result.Outcomes {
		total += n
	}
	share := func(o lab.Outcome) float64 { return 100 * float64(result.Outcomes[o]) / math.Max(1, float64(total)) }
	if total > 0 {
		figures["served %"], figures["late %"] = share(lab.Served), share(lab.Late)+share(lab.Excused)
		figures["refused %"], figures["failed %"] = share(lab.Rejected), share(lab.Failed)
	}
	return figures
}

// receivedLoadAt returns the sample closest to a time.
func receivedLoadAt(samples []lab.ReceivedLoad, at time.Duration) lab.ReceivedLoad {
	nearest := samples[0]
	for _, sample := range samples {
		if math.Abs(sample.At-at.Seconds()) < math.Abs(nearest.At-at.Seconds()) {
			nearest = sample
		}
	}
	return nearest
}

// meanStartLead returns by how many seconds, on average, the sidecars started before the lab's clock did. It takes the time
// of their first calls of discovery.
func meanStartLead(samples []lab.ReceivedLoad) float64 {
	sum, calls := 0.0, int64(0)
	for i := 1; i < len(samples) && samples[i].At <= 0; i++ {
		n := samples[i].DiscoveryCalls - samples[i-1].DiscoveryCalls
		sum, calls = sum-float64(n)*(samples[i].At+samples[i-1].At)/2, calls+n
	}
	return sum / math.Max(1, float64(calls))
}

// figures returns the figures of a hollow run, by name, with the given sizes of HTTP messages.
func (r *Result) figures(h httpBytes) map[string]float64 {
	steady, sidecars := r.Phase("steady"), float64(r.Spec.Sidecars)
	fleetRate := func(k counter) float64 { return steady.Sidecar[counterNames[k]].Mean * sidecars }
	figures := map[string]float64{"probes/s": fleetRate(probes) - fleetRate(undelivered), "connections/s": fleetRate(probeConns) + fleetRate(attemptConns),
		"discovery calls/s": fleetRate(listCalls), "server payload B/s": fleetRate(probes)*h.Probe + fleetRate(attempts)*h.Attempt,
		"discovery payload B/s": fleetRate(listCalls)*h.DiscoveryCall + fleetRate(listBytes), "datagrams/s": fleetRate(gossipReceived) + fleetRate(viewReceived)}
	calls := int64(0)
	for _, c := range steady.Outcomes {
		calls += c
	}
	if calls > 0 {
		figures["attempts a call"] = fleetRate(attempts) * (steady.To - steady.From) / float64(calls)
	}
	figures["wire B/s with calls"] = steady.Bytes["all"].Mean*sidecars + fleetRate(attempts)*h.ApplicationCall + fleetRate(attemptConns)*r.Costs.Conn
	// The probes of the start are those of the start phase, minus what the steady rate accounts for. On average, the sidecars
	// started half of StartSpread after the run began.
	start := r.Phase("start")
	figures["start probes a sidecar"] = start.Sidecar["probes"].Mean*(start.To-start.From) - steady.Sidecar["probes"].Mean*(start.To-r.Spec.StartSpread.Seconds()/2)
	total := int64(0)
	for _, c := range r.Calls {
		total += c
	}
	if total -= r.Calls["cut"]; total > 0 { // the outcome of calls that were interrupted by the end of the run is unknown
		for _, o := range []string{"served", "late", "refused", "failed"} {
			figures[o+" %"] = 100 * float64(r.Calls[o]) / float64(total)
		}
	}
	return figures
}

// addRow adds a row from the figures of its runs, one of each kind per seed.
func (a *Agreement) addRow(s Spec, seeds []uint64, late int, real, hollow []map[string]float64) {
	row := AgreementRow{Sidecars: s.Sidecars, Servers: s.Servers, Rate: s.Rate, Peers: s.Peers, Seeds: seeds, LateRuns: late, WithinGoal: true}
	for _, name := range figureNames {
		f := AgreementFigure{Name: name}
		f.Real, f.RealRange = meanAndRange(real, name)
		f.Hollow, f.HollowRange = meanAndRange(hollow, name)
		if f.Compared = isCompared(name, f.Real, f.Hollow); f.Compared {
			f.Deviation = (f.Hollow - f.Real) / f.Real
			if math.Abs(f.Deviation) > a.MaxDeviation {
				row.WithinGoal, row.Exceeding = false, append(row.Exceeding, name)
			}
		} else if f.Real == 0 && f.Hollow == 0 && !strings.HasSuffix(name, "%") {
			continue
		}
		row.Figures = append(row.Figures, f)
	}
	a.Rows = append(a.Rows, row)
}

// meanAndRange returns the mean, and the smallest and largest value, of a figure over runs.
func meanAndRange(runs []map[string]float64, name string) (m float64, bounds [2]float64) {
	bounds = [2]float64{math.Inf(1), math.Inf(-1)}
	for _, p := range runs {
		m += p[name] / float64(len(runs))
		bounds[0], bounds[1] = math.Min(bounds[0], p[name]), math.Max(bounds[1], p[name])
	}
	return m, bounds
}

// Table returns the agreement as text, with one line per figure.
func (a *Agreement) Table() string {
	var b strings.Builder
	for _, row := range a.Rows {
		fmt.Fprintf(&b, "%d sidecars x %d servers, %v calls/s per sidecar, peers %v, seeds %v: ", row.Sidecars, row.Servers, row.Rate, row.Peers, row.Seeds)
		if row.WithinGoal {
			fmt.Fprintf(&b, "within %.0f%%", 100*a.MaxDeviation)
		} else {
			fmt.Fprintf(&b, "EXCEEDS %.0f%%, not used: %s", 100*a.MaxDeviation, strings.Join(row.Exceeding, ", "))
		}
		if row.LateRuns > 0 {
			fmt.Fprintf(&b, "; the lab ran late in %d runs", row.LateRuns)
		}
		b.WriteByte('\n')
		for _, f := range row.Figures {
			fmt.Fprintf(&b, "  %-24s real %10.2f (%.2f to %.2f)  hollow %10.2f (%.2f to %.2f)", f.Name, f.Real, f.RealRange[0], f.RealRange[1], f.Hollow, f.HollowRange[0], f.HollowRange[1])
			if f.Compared {
				fmt.Fprintf(&b, "  %+6.1f%%", 100*f.Deviation)
			}
			b.WriteByte('\n')
		}
	}
	if len(a.NotRun) > 0 {
		fmt.Fprintf(&b, "not run: %s\n", strings.Join(a.NotRun, ", "))
	}
	return b.String()
}

// agreementFleets are the fleets that CheckAgreement runs. The rate is in calls per second of each sidecar.
var agreementFleets = []struct {
	sidecars, servers int
	rate              float64
	peers             bool
}{
	{10, 6, 0.1, false}, {10, 60, 0.1, false}, {10, 240, 0.1, false}, // nearly idle
	{10, 6, 5, false}, {10, 60, 5, false}, {10, 240, 5, false},
	{50, 6, 5, false}, {50, 60, 5, false}, {50, 240, 5, false},
	{10, 60, 5, true},
}

// CheckAgreement runs all fleets with real and with hollow sidecars: first all real runs, one after the other, then the hollow
// ones. The results of real runs are stored in folder and reused. With reuseOnly no real run is started, and those without a
// stored result are listed in NotRun. It calls report with a line for each real run.
func CheckAgreement(ctx context.Context, program, sidecar string, seeds []uint64, reuseOnly bool, folder string, report func(string)) (*Agreement, error) {
	a := &Agreement{MaxDeviation: 0.15, NotRun: []string{}}
	missing := func(s Spec) bool {
		_, err := os.Stat(realResultFile(s, folder))
		return reuseOnly && err != nil
	}
	for _, row := range agreementFleets {
		for _, seed := range seeds {
			spec := AgreementSpec(row.sidecars, row.servers, row.rate, row.peers, seed)
			if missing(spec) {
				a.NotRun = append(a.NotRun, spec.Name)
				continue
			}
			result, err := runReal(ctx, spec, sidecar, folder)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", spec.Name, err)
			}
			report(fmt.Sprintf("%s: real %v", spec.Name, realFigures(spec, result)))
		}
	}
	for _, row := range agreementFleets {
		var realRuns, hollowRuns []map[string]float64
		var usedSeeds []uint64
		var spec Spec
		lateRuns := 0
		for _, seed := range seeds {
			seedSpec := AgreementSpec(row.sidecars, row.servers, row.rate, row.peers, seed)
			if missing(seedSpec) {
				continue
			}
			spec, usedSeeds = seedSpec, append(usedSeeds, seed)
			result, err := runReal(ctx, spec, sidecar, folder)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", spec.Name, err)
			}
			if lastSample := result.ReceivedLoad[len(result.ReceivedLoad)-1].At; lastSample < (measurementStart+measurementDuration).Seconds()-5 { // samples end with the last call
				return nil, fmt.Errorf("%s: the real run ended early, at %.1f s: delete its result file", spec.Name, lastSample)
			}
			if result.Lateness.Late {
				lateRuns++
			}
			realRun := realFigures(spec, result)
			hollowRun, err := RunInProcess(ctx, program, RunRequest{spec, MeasuredCosts}, filepath.Join(folder, spec.Name+".json"))
			if err != nil {
				return nil, fmt.Errorf("%s: %w", spec.Name, err)
			}
			if len(hollowRun.FailedChecks) > 0 {
				return nil, fmt.Errorf("%s: %v", spec.Name, hollowRun.FailedChecks)
			}
			realRuns, hollowRuns = append(realRuns, realRun), append(hollowRuns, hollowRun.figures(measuredHTTPBytes))
		}
		if len(usedSeeds) > 0 {
			a.addRow(spec, usedSeeds, lateRuns, realRuns, hollowRuns)
		}
	}
	return a, nil
}

// MeasuredCosts are the costs on the wire that hollow sidecars leave out. measuredHTTPBytes are the message sizes measured in
// the same runs.
var (
	MeasuredCosts = Costs{Probe: 447, Conn: 351, FailedDial: 104, DiscoveryCall: 454, DiscoveryByte: 1.05, Datagram: 28,
		Source: "probe and conn: least squares over loopback's bytes in the 18 plays of 10 sidecars with 6, 60 and 240 servers at 0.1 and 5 calls/s " +
			"(scale-agreement.json); list: payload of those plays, 4 packets; dead_dial, list_byte, datagram: reckoned from headers (2 packets of 52, " +
			"a head and half an acknowledgement in 1448, IP and UDP)"}
	measuredHTTPBytes = httpBytes{Probe: 239, Attempt: 351, DiscoveryCall: 246, ApplicationCall: 1012}
)
