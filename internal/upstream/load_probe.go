package upstream

import (
	"context"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramblestand/balancer"
)

// Paths of load probes.
const (
	loadReportPath = "/stats"
	livenessPath   = "/health/live" // if the deployment has no load reports
)

// loadProbeTimeout limits the duration of a load probe, including dialing.
const loadProbeTimeout = 400 * time.Millisecond

// LoadProbe requests an endpoint's load report, or checks its liveness if the deployment has no load reports.
func (c *Client) LoadProbe(ctx context.Context, target *Target) Result {
	ctx, cancel := context.WithTimeout(ctx, loadProbeTimeout)
	defer cancel()
	path := livenessPath
	if len(c.loadReportFields) > 0 {
		path = loadReportPath
	}
	request := &Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Host: target.Address, traffic: c.LoadProbeTraffic}
	result := c.Attempt(ctx, target, request, nil)
	if result.Status == balancer.OK {
		result.LoadReport = c.parseLoadReport(string(result.Body))
	}
	return result
}

// parseLoadReport parses comma-separated name=value pairs and returns the values in the order of Options.LoadReportFields. A
// value that is missing or malformed is NaN, which the balancer skips.
func (c *Client) parseLoadReport(text string) []float32 {
	if text == "" || len(c.loadReportFields) == 0 {
		return nil
	}
	report := make([]float32, len(c.loadReportFields))
	for i := range report {
		report[i] = float32(math.NaN())
	}
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(pair, "=")
		number, err := strconv.ParseFloat(value, 32)
		if i := slices.Index(c.loadReportFields, name); i >= 0 && err == nil {
			report[i] = float32(number)
		}
	}
	return report
}
