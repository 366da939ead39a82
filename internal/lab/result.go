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

// Result is the result of one run of an experiment; it is written as JSON.
// Latencies are in milliseconds, times in seconds from the load's start, which
// is the zero of the lab's clock.
type Result struct {
	Format   int             `json:"format"` // resultFormat; 0 in older results
	Name     string          `json:"name"`
	Seed     uint64          `json:"seed"`
	Sidecars int             `json:"sidecars"`
	Servers  int             `json:"servers"`
	Requests int             `json:"requests"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// RanTwice counts the requests of the class that must never run twice that
	// ran more than once, at one server or at several.
	RanTwice   int            `json:"ran_twice"`
	Copies     int            `json:"copies"`      // requests of other classes that ran more than once
	AfterDrain int            `json:"after_drain"` // requests that reached a server longer than removalGrace after its drain began
	UnknownIDs int            `json:"strange"`     // requests that servers received with an id that no client sent
	Latency    Percentiles    `json:"latency_ms"`  // of served and late requests
	Series     []Second       `json:"series"`
	Faults     []Mark         `json:"faults"`
	Examples   map[string]any `json:"examples"` // a few request ids for each kind of breach, to search for in the logs
	// Datagrams counts the datagrams between sidecars, in experiments with peers
	// or views.
	Datagrams struct {
		Relayed  int `json:"relayed"`  // each copy
		Dropped  int `json:"dropped"`  // by faults
		Oversize int `json:"oversize"` // longer than 256 bytes, a breach
		Unknown  int `json:"strange"`  // from senders that are not sidecars of the lab
	} `json:"datagrams"`

	AfterBan int `json:"after_ban"` // requests that reached a server longer than removalGrace after its sidecar confirmed a ban
	// Excused counts the breaches and late responses that do not count, since the lab's own lateness explains them
	// or the sidecar was cut off from discovery at the time.
	Excused            map[string]int      `json:"excused"`
	Lateness           Lateness            `json:"lateness"`
	Violations         []history.Violation `json:"broken"`   // of checks, by the history
	UnexpectedFailures []string            `json:"troubles"` // sidecars that exited or did not start without a fault; each is a breach
	Calls              map[string]int      `json:"calls"`    // number of admin calls, by op and outcome

	Views []ViewConvergence `json:"views,omitempty"` // convergence of the membership views, with fleet.view and operators

	Control *Control `json:"control,omitempty"` // control traffic by kind, with operators

	Restarts []Restart `json:"restarts"` // of sidecars that were started again after a fault

	ReceivedLoad []ReceivedLoad `json:"borne"` // one sample per second

	SidecarCPUSeconds float64 `json:"sidecar_cpu_s"`   // over all sidecars
	SidecarMeanMB     float64 `json:"sidecar_mean_mb"` // mean of the sidecars' peak resident memory
	SidecarPeakMB     float64 `json:"sidecar_peak_mb"` // maximum of the sidecars' peak resident memory
	LabCPUSeconds     float64 `json:"lab_cpu_s"`       // of the lab itself: fake servers, faults, load
	LabPeakMB         float64 `json:"lab_peak_mb"`     // peak resident memory of the lab itself
}

// Percentiles are the percentiles of a latency, in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Second is the result of the requests that were sent in one second of the run.
type Second struct {
	At      int         `json:"at_s"`
	Served  int         `json:"served"`
	Errors  int         `json:"errors"` // rejected, failed, late, cut, lost, forged, unfinished
	Latency Percentiles `json:"latency_ms"`
}

// Breaches returns the number of violations of all rules:
//
//   - requests that were lost, forged, unfinished, or run twice,
//   - requests that reached a server longer than removalGrace after its drain or
//     ban, or that no client sent,
//   - datagrams that are too long,
//   - violated checks, and unexpected failures.
func (r *Result) Breaches() int {
	sum := 0
	for _, n := range r.rules() {
		sum += n
	}
	return sum
}

// rules returns the number of breaches of each rule, by the rule's name.
func (r *Result) rules() map[string]int {
	rules := map[string]int{"lost": r.Outcomes[Lost], "forged": r.Outcomes[Forged], "unfinished": r.Outcomes[Unfinished], "ran_twice": r.RanTwice,
		"after_drain": r.AfterDrain, "after_ban": r.AfterBan, "strange": r.UnknownIDs, "oversize": r.Datagrams.Oversize, "trouble": len(r.UnexpectedFailures)}
	for _, violation := range r.Violations {
		rules[violation.Check]++
	}
	return rules
}

// resultFormat is the version of a result's JSON. 1 added links, machines, admin calls, histories and lateness.
const resultFormat = 1

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// newHistogram returns a histogram of durations in µs.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

// percentiles returns the percentiles of a histogram of durations in µs.
func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: ms(50), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

// ReadResult reads a result from a JSON file. Errors name the file.
func ReadResult(path string) (*Result, error) {
	var r Result
	if err := readJSON(path, &r, &r.Format); err != nil {
		return nil, err
	}
	return &r, nil
}

// readJSON reads a JSON file into v. format points to v's field with the file's format, which must not be newer than
// resultFormat. Errors name the file.
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

// WriteJSON writes v as indented JSON to a file, and creates its folder if needed.
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
