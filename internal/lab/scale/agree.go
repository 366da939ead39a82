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

// Agreement is hollow sidecars held against real processes under the same settings.
type Agreement struct {
	MaxDeviation float64        `json:"goal"` // the most that a figure may deviate for its row to be used
	Rows         []AgreementRow `json:"rows"`
	NotRun       []string       `json:"not_run"`
}

// AgreeRow is one fleet, played both ways with each seed.
type AgreementRow struct {
	Sidecars   int               `json:"sidecars"`
	Servers    int               `json:"servers"`
	Rate       float64           `json:"rate"` // calls a second a sidecar
	Peers      bool              `json:"peers"`
	Seeds      []uint64          `json:"seeds"`
	LateRuns   int               `json:"late"` // plays in which the lab ran late
	Figures    []AgreementFigure `json:"figures"`
	WithinGoal bool              `json:"used"` // no figure is beyond the goal
	Exceeding  []string          `json:"beyond,omitempty"`
}

// AgreeFigure is one figure: means over the seeds, least and largest.
type AgreementFigure struct {
	Name        string     `json:"name"`
	Real        float64    `json:"real"`
	RealRange   [2]float64 `json:"real_span"`
	Hollow      float64    `json:"hollow"`
	HollowRange [2]float64 `json:"hollow_span"`
	Deviation   float64    `json:"deviation"` // of hollow, as a share of real
	Compared    bool       `json:"judged"`    // it counts for the goal
}

// AgreeSpec is a row's rung: all ways are as short as loopback's.
func AgreementSpec(sidecars, servers int, rate float64, peers bool, seed uint64) Spec {
	s := NewSpec(servers)
	s.Name = fmt.Sprintf("agree-%dx%d-%v-%v-%d", sidecars, servers, rate, peers, seed)
	s.Sidecars, s.Rate, s.Peers, s.Seed = sidecars, rate, peers, seed
	way := lab.Duration{Duration: 60 * time.Microsecond}
	s.SameZoneDelay, s.SameRegionDelay, s.CrossRegionDelay = way, way, way
	s.Server.ColdStart.Duration = 0
	s.WarmUp.Duration, s.SteadyDuration.Duration = 10*time.Second, agreeFor
	s.Regions = 1
	return s
}

// agreeFor is the window: as long as discovery's calls are apart.
const agreeFor = 20 * time.Second

// agreeFrom is when it begins, on the lab's clock, which starts once all sidecars are ready.
const agreeFrom = 8 * time.Second

// agreeNames are the figures. Rates are of the whole fleet.
var agreeNames = []string{"probes/s", "attempts a call", "connections/s", "discovery calls/s", "server payload B/s", "discovery payload B/s",
	"datagrams/s", "wire B/s with calls", "start probes a sidecar", "served %", "late %", "refused %", "failed %"}

// judged says whether a figure counts: not where it is so near to 0 that a share says nothing.
func judged(name string, real, hollow float64) bool {
	if strings.HasSuffix(name, "%") && name != "served %" || strings.HasPrefix(name, "start") {
		return max(real, hollow) >= 1
	}
	return real > 0
}

// headBytes are payload bytes of HTTP: a probe's and an attempt's request and answer together, and a call of discovery
// without its answer's body. Call is an application's call on the wire, to its sidecar and on to a server.
type headBytes struct{ Probe, Attempt, List, Call float64 }

func realFile(s Spec, folder string) string { return filepath.Join(folder, s.Name+"-real.json") }

// real plays a row's rung with real processes, or takes what an earlier go left in the folder.
func real(ctx context.Context, s Spec, program, folder string) (*lab.Result, error) {
	file := realFile(s, folder)
	if result, err := lab.ReadResult(file); err == nil {
		return result, nil
	}
	e := s.experiment()
	e.Duration.Duration = agreeFrom + agreeFor + 500*time.Millisecond
	e.Load.Shape = "poisson"
	result, err := lab.Run(ctx, e, program, filepath.Join(folder, s.Name), slog.New(slog.DiscardHandler))
	if err == nil {
		err = ctx.Err() // cut short
	}
	if err != nil {
		return nil, err
	}
	return result, lab.WriteJSON(file, result)
}

// realFigures gives the figures of a play with real processes.
func realFigures(s Spec, result *lab.Result) map[string]float64 {
	from, to := borneAt(result.ReceivedLoad, agreeFrom), borneAt(result.ReceivedLoad, agreeFrom+agreeFor)
	span := to.At - from.At
	per := func(a, b int64) float64 { return float64(b-a) / span }
	figures := map[string]float64{"probes/s": per(from.Probes, to.Probes), "attempts a call": 0, "connections/s": per(from.Conns, to.Conns),
		"discovery calls/s": per(from.DiscoveryCalls, to.DiscoveryCalls), "server payload B/s": per(from.Bytes, to.Bytes), "discovery payload B/s": per(from.DiscoveryBytes, to.DiscoveryBytes),
		"datagrams/s": per(from.Datagrams, to.Datagrams), "wire B/s with calls": per(from.LoopbackBytes, to.LoopbackBytes)}
	sent := 0
	for _, second := range result.Series {
		if at := float64(second.At); at >= agreeFrom.Seconds() && at < (agreeFrom+agreeFor).Seconds() {
			sent += second.Served + second.Errors
		}
	}
	if sent > 0 {
		figures["attempts a call"] = float64(to.Calls-from.Calls) / float64(sent)
	}
	// What came before the window, less what the steady rate makes of the time since the sidecars were up, is the start's.
	figures["start probes a sidecar"] = (float64(from.Probes) - figures["probes/s"]*(from.At+startMean(result.ReceivedLoad))) / float64(s.Sidecars)
	all := 0
	for _, n := range result.Outcomes {
		all += n
	}
	share := func(o lab.Outcome) float64 { return 100 * float64(result.Outcomes[o]) / math.Max(1, float64(all)) }
	if all > 0 {
		figures["served %"], figures["late %"] = share(lab.Served), share(lab.Late)+share(lab.Excused)
		figures["refused %"], figures["failed %"] = share(lab.Rejected), share(lab.Failed)
	}
	return figures
}

// borneAt is the sample nearest to an instant.
func borneAt(all []lab.ReceivedLoad, at time.Duration) lab.ReceivedLoad {
	best := all[0]
	for _, b := range all {
		if math.Abs(b.At-at.Seconds()) < math.Abs(best.At-at.Seconds()) {
			best = b
		}
	}
	return best
}

// startMean is how long before the lab's clock the sidecars began, in seconds, on the mean: by their first calls of discovery.
func startMean(all []lab.ReceivedLoad) float64 {
	sum, calls := 0.0, int64(0)
	for i := 1; i < len(all) && all[i].At <= 0; i++ {
		n := all[i].DiscoveryCalls - all[i-1].DiscoveryCalls
		sum, calls = sum-float64(n)*(all[i].At+all[i-1].At)/2, calls+n
	}
	return sum / math.Max(1, float64(calls))
}

// figures gives the same of a rung as played.
func (r *Result) figures(h headBytes) map[string]float64 {
	p, n := r.Phase("steady"), float64(r.Spec.Sidecars)
	of := func(k kind) float64 { return p.Sidecar[kindNames[k]].Mean * n }
	f := map[string]float64{"probes/s": of(probes) - of(unheard), "connections/s": of(probeConns) + of(attemptConns),
		"discovery calls/s": of(lists), "server payload B/s": of(probes)*h.Probe + of(attempts)*h.Attempt,
		"discovery payload B/s": of(lists)*h.List + of(listBytes), "datagrams/s": of(newsBorne) + of(viewBorne)}
	calls := int64(0)
	for _, c := range p.Outcomes {
		calls += c
	}
	if calls > 0 {
		f["attempts a call"] = of(attempts) * (p.To - p.From) / float64(calls)
	}
	f["wire B/s with calls"] = p.Bytes["all"].Mean*n + of(attempts)*h.Call + of(attemptConns)*r.Costs.Conn
	// The start's windows and what lies between them and the steady phase's begin.
	start := r.Phase("start")
	f["start probes a sidecar"] = start.Sidecar["probes"].Mean*(start.To-start.From) - p.Sidecar["probes"].Mean*(start.To-r.Spec.StartSpread.Seconds()/2)
	all := int64(0)
	for _, c := range r.Calls {
		all += c
	}
	if all -= r.Calls["cut"]; all > 0 { // of those that a rung's end cut nothing is known
		for _, o := range []string{"served", "late", "refused", "failed"} {
			f[o+" %"] = 100 * float64(r.Calls[o]) / float64(all)
		}
	}
	return f
}

// row makes a row of the plays of its seeds.
func (a *Agreement) row(s Spec, seeds []uint64, late int, real, hollow []map[string]float64) {
	row := AgreementRow{Sidecars: s.Sidecars, Servers: s.Servers, Rate: s.Rate, Peers: s.Peers, Seeds: seeds, LateRuns: late, WithinGoal: true}
	for _, name := range agreeNames {
		f := AgreementFigure{Name: name}
		f.Real, f.RealRange = spread(real, name)
		f.Hollow, f.HollowRange = spread(hollow, name)
		if f.Compared = judged(name, f.Real, f.Hollow); f.Compared {
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

func spread(plays []map[string]float64, name string) (m float64, span [2]float64) {
	span = [2]float64{math.Inf(1), math.Inf(-1)}
	for _, p := range plays {
		m += p[name] / float64(len(plays))
		span[0], span[1] = math.Min(span[0], p[name]), math.Max(span[1], p[name])
	}
	return m, span
}

// Table is the agreement for people, a line a figure.
func (a *Agreement) Table() string {
	var b strings.Builder
	for _, r := range a.Rows {
		fmt.Fprintf(&b, "%d sidecars x %d servers, %v calls/s a sidecar, peers %v, seeds %v: ", r.Sidecars, r.Servers, r.Rate, r.Peers, r.Seeds)
		if r.WithinGoal {
			fmt.Fprintf(&b, "within %.0f%%", 100*a.MaxDeviation)
		} else {
			fmt.Fprintf(&b, "BEYOND %.0f%%, not used: %s", 100*a.MaxDeviation, strings.Join(r.Exceeding, ", "))
		}
		if r.LateRuns > 0 {
			fmt.Fprintf(&b, "; the lab ran late in %d", r.LateRuns)
		}
		b.WriteByte('\n')
		for _, f := range r.Figures {
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

// agreeRows are the fleets of the agreement: sidecars, servers, calls a second a sidecar, peers.
var agreeRows = []struct {
	sidecars, servers int
	rate              float64
	peers             bool
}{
	{10, 6, 0.1, false}, {10, 60, 0.1, false}, {10, 240, 0.1, false}, // at rest
	{10, 6, 5, false}, {10, 60, 5, false}, {10, 240, 5, false},
	{50, 6, 5, false}, {50, 60, 5, false}, {50, 240, 5, false},
	{10, 60, 5, true},
}

// Agree plays all rows both ways: first all that is real, one after the other, then the hollow. With kept nothing real
// is played: plays that the folder does not hold are left out, and named.
func CheckAgreement(ctx context.Context, program, sidecar string, seeds []uint64, kept bool, folder string, say func(string)) (*Agreement, error) {
	a := &Agreement{MaxDeviation: 0.15, NotRun: []string{}}
	missing := func(s Spec) bool {
		_, err := os.Stat(realFile(s, folder))
		return kept && err != nil
	}
	for _, row := range agreeRows {
		for _, seed := range seeds {
			spec := AgreementSpec(row.sidecars, row.servers, row.rate, row.peers, seed)
			if missing(spec) {
				a.NotRun = append(a.NotRun, spec.Name)
				continue
			}
			result, err := real(ctx, spec, sidecar, folder)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", spec.Name, err)
			}
			say(fmt.Sprintf("%s: real %v", spec.Name, realFigures(spec, result)))
		}
	}
	for _, row := range agreeRows {
		var reals, hollow []map[string]float64
		var played []uint64
		var spec Spec
		late := 0
		for _, seed := range seeds {
			one := AgreementSpec(row.sidecars, row.servers, row.rate, row.peers, seed)
			if missing(one) {
				continue
			}
			spec, played = one, append(played, seed)
			result, err := real(ctx, spec, sidecar, folder)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", spec.Name, err)
			}
			if last := result.ReceivedLoad[len(result.ReceivedLoad)-1].At; last < (agreeFrom+agreeFor).Seconds()-5 { // it ends with the last call
				return nil, fmt.Errorf("%s: the real play was cut short at %.1f s: take its file away", spec.Name, last)
			}
			if result.Lateness.Late {
				late++
			}
			r := realFigures(spec, result)
			h, err := RunInProcess(ctx, program, RunRequest{spec, MeasuredCosts}, filepath.Join(folder, spec.Name+".json"))
			if err != nil {
				return nil, fmt.Errorf("%s: %w", spec.Name, err)
			}
			if len(h.FailedChecks) > 0 {
				return nil, fmt.Errorf("%s: %v", spec.Name, h.FailedChecks)
			}
			reals, hollow = append(reals, r), append(hollow, h.figures(heads))
		}
		if len(played) > 0 {
			a.row(spec, played, late, reals, hollow)
		}
	}
	return a, nil
}

// Measured are the costs that hollow sidecars leave out, and heads the payload in them, of the same plays.
var (
	MeasuredCosts = Costs{Probe: 447, Conn: 351, FailedDial: 104, DiscoveryCall: 454, DiscoveryByte: 1.05, Datagram: 28,
		Source: "probe and conn: least squares over loopback's bytes in the 18 plays of 10 sidecars with 6, 60 and 240 servers at 0.1 and 5 calls/s " +
			"(scale-agreement.json); list: payload of those plays, 4 packets; dead_dial, list_byte, datagram: reckoned from headers (2 packets of 52, " +
			"a head and half an acknowledgement in 1448, IP and UDP)"}
	heads = headBytes{Probe: 239, Attempt: 351, List: 246, Call: 1012}
)
