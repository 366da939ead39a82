package upstream

import (
	"context"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"bramblestand/balancer"
)

// LoadProbe asks an endpoint for its load report, or for its health where the
// deployment has no reports.
func (u *Client) LoadProbe(ctx context.Context, t *Target) Result {
	ctx, cancel := context.WithTimeout(ctx, loadProbeTimeout)
	defer cancel()
	m := &Request{Method: http.MethodGet, URL: &url.URL{Path: "/health/live"}, Host: t.Address, traffic: u.LoadProbeTraffic}
	if len(u.loadReportFields) > 0 {
		m.URL.Path = "/stats"
	}
	r := u.Attempt(ctx, t, m, nil)
	if r.Status == balancer.OK {
		r.LoadReport = u.parseLoadReport(string(r.Body))
	}
	return r
}

// parseLoadReport reads name=value pairs into the order of the settings. A figure
// that is missing or malformed is not a number, which the balancer skips.
func (u *Client) parseLoadReport(text string) []float32 {
	if text == "" || len(u.loadReportFields) == 0 {
		return nil
	}
	load := make([]float32, len(u.loadReportFields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(value, 32)
		if i := slices.Index(u.loadReportFields, name); i >= 0 && err == nil {
			load[i] = float32(v)
		}
	}
	return load
}
