package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramblestand/internal/lab/history"
)

// Result is what an experiment measured; it is written as JSON. Latencies are
// in milliseconds, times in seconds of the lab's clock from the load's start.
type Result struct {
	Format   int             `json:"format"` // resultFormat; 0 in older results
	Name     string          `json:"name"`
	Seed     uint64          `json:"seed"`
	Sidecars int             `json:"sidecars"`
	Servers  int             `json:"servers"`
	Requests int             `json:"requests"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// RanTwice counts requests of the class that must never run twice that
	// ran at two servers or twice at one; Copies, other requests run more than once.
	RanTwice   int            `json:"ran_twice"`
	Copies     int            `json:"copies"`
	AfterDrain int            `json:"after_drain"` // requests that reached a server longer than removalGrace after its drain began
	UnknownIDs int            `json:"strange"`     // ids that no client sent
	Latency    Percentiles    `json:"latency_ms"`  // of served and late requests
	Series     []Second       `json:"series"`
	Faults     []Mark         `json:"faults"`
	Examples   map[string]any `json:"examples"` // a few ids of each breach, to follow in the logs
	// Datagrams between sidecars, where they have peers: relayed, dropped by
	// faults, longer than 256 bytes (a breach), and from no sidecar.
	Datagrams struct {
		Relayed  int `json:"relayed"`
		Dropped  int `json:"dropped"`
		Oversize int `json:"oversize"`
		Unknown  int `json:"strange"` // from no sidecar of the lab
	} `json:"datagrams"`

	AfterBan int `json:"after_ban"` // requests that reached a server longer than removalGrace after its sidecar confirmed a ban
	// Excused counts breaches and late responses that the lab's own lateness explains, or that happened
	// while the sidecar was cut off from discovery.
	Excused            map[string]int      `json:"excused"`
	Lateness           Lateness            `json:"lateness"`
	Violations         []history.Violation `json:"broken"`   // checks that the history violates
	UnexpectedFailures []string            `json:"troubles"` // sidecars that exited or did not start, without a fault: breaches
	Calls              map[string]int      `json:"calls"`    // admin calls, by op and outcome

	Views []ViewConvergence `json:"views,omitempty"` // convergence of the membership views, with fleet.view and operators

	Control *Control `json:"control,omitempty"` // control traffic by kind, with operators

	Restarts []Restart `json:"restarts"` // of sidecars started again after a kill or a term

	ReceivedLoad []ReceivedLoad `json:"borne"` // of the fake servers, one sample a second

	SidecarCPUSeconds float64 `json:"sidecar_cpu_s"`   // over all sidecars
	SidecarMeanMB     float64 `json:"sidecar_mean_mb"` // peak resident memory of one, mean
	SidecarPeakMB     float64 `json:"sidecar_peak_mb"` // peak resident memory of one, largest
	LabCPUSeconds     float64 `json:"lab_cpu_s"`       // the lab itself: fake servers, faults, load
	LabPeakMB         float64 `json:"lab_peak_mb"`
}

// Percentiles of a latency, in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Second is one second of the run, by when its requests were sent.
type Second struct {
	At      int         `json:"at_s"`
	Served  int         `json:"served"`
	Errors  int         `json:"errors"` // rejected, failed, late, cut, lost, forged
	Latency Percentiles `json:"latency_ms"`
}

// Breaches counts the violations of all rules: requests that were lost, forged,
// run twice, sent to a server long drained or banned, or that no client sent,
// datagrams that are too long, violated checks, and unexpected failures.
func (r *Result) Breaches() int {
	sum := 0
	for _, n := range r.rules() {
		sum += n
	}
	return sum
}

// rules counts the breaches by the name of the rule.
func (r *Result) rules() map[string]int {
	rules := map[string]int{"lost": r.Outcomes[Lost], "forged": r.Outcomes[Forged], "unfinished": r.Outcomes[Unfinished], "ran_twice": r.RanTwice,
		"after_drain": r.AfterDrain, "after_ban": r.AfterBan, "strange": r.UnknownIDs, "oversize": r.Datagrams.Oversize, "trouble": len(r.UnexpectedFailures)}
	for _, b := range r.Violations {
		rules[b.Check]++
	}
	return rules
}

// resultFormat is the version of a result's JSON. 1 added links, machines, admin calls, histories and lateness.
const resultFormat = 1

// ms is a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) } // µs

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: ms(50), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

// ReadResult reads a result written as JSON; errors name the file.
func ReadResult(path string) (*Result, error) {
	var r Result
	if err := readJSON(path, &r, &r.Format); err != nil {
		return nil, err
	}
	return &r, nil
}

// readJSON reads a file into v, of which format is a field; errors name the file.
func readJSON(path string, v any, format *int) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if *format > resultFormat {
		return fmt.Errorf("%s: format %d; this program reads up to %d", path, *format, resultFormat)
	}
	return nil
}

// WriteJSON writes v as indented JSON, and makes the file's folder.
func WriteJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
