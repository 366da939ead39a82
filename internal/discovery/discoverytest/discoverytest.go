// Package discoverytest formats endpoint lists, for tests that compare them.
package discoverytest

import (
	"fmt"
	"strings"

	"bramblestand/internal/discovery"
)

// ListText formats a list as text, with one line for each JSON key. Each line begins with prefix.
func ListText(prefix string, list discovery.List) string {
	var out strings.Builder
	line := func(key string, value any) { fmt.Fprintf(&out, "%s%s=%v\n", prefix, key, value) }
	line("seq", list.Version)
	line("whole", list.IsFull)
	for i, h := range list.Endpoints {
		at := fmt.Sprintf("hosts.%d.", i)
		line(at+"host", h.Name)
		line(at+"dial", h.Address)
		line(at+"site", h.Zone)
		line(at+"class", h.MachineType)
		line(at+"block", h.Pod)
		line(at+"health", h.Health)
		line(at+"share", h.Weight)
		line(at+"born_ms", h.StartedAtMillis)
	}
	return out.String()
}
