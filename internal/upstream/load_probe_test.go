package upstream

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"bramblestand/balancer"
	"bramblestand/internal/endpointtest"
)

func TestLoadProbeReadsTheReport(t *testing.T) {
	report := func(text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	for _, c := range []struct {
		name, response string
		status         balancer.Status
		load           []float32 // -1 stands for NaN
	}{
		{"both figures, in any order", report("pending=7,failed_ps=0.5\n"), balancer.OK, []float32{0.5, 7}},
		{"one figure and others", report("util=0.3,pending=2"), balancer.OK, []float32{-1, 2}},
		{"a malformed figure", report("pending=many,failed_ps=1,,=,x"), balancer.OK, []float32{1, -1}},
		{"no report yet", report(""), balancer.OK, nil},
		{"rejected", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", balancer.Error, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := endpointtest.NewServer(t, endpointtest.Always(c.response))
			result := newTestClient(t, 1).LoadProbe(context.Background(), &Target{Address: server.Address})
			for i, v := range result.LoadReport {
				if v != v {
					result.LoadReport[i] = -1
				}
			}
			if result.Status != c.status || !slices.Equal(result.LoadReport, c.load) {
				t.Errorf("status %v, load %v; want %v, %v", result.Status, result.LoadReport, c.status, c.load)
			}
			if path := server.Request(0).RequestURI; path != "/stats" {
				t.Errorf("the load probe requested %s, want /stats", path)
			}
		})
	}
}
