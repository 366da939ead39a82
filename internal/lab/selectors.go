package lab

import (
	"fmt"
	"strconv"
	"strings"
)

// selectorResolver resolves what an experiment's faults call endpoints by.
type selectorResolver struct{ exp *Experiment }

func (n selectorResolver) sidecars() int { return n.exp.Fleet.Sidecars }

func (n selectorResolver) server(j int) endpoint { return endpoint(n.sidecars() + j) }

func (n selectorResolver) discovery() endpoint { return endpoint(n.sidecars() + n.exp.Fleet.Servers) }

// endpoints resolves selectors: "s3", "s0-s9", "v3", "v0-v9", "zone:a" (its sidecars),
// "machine:0" (its sidecars), "group:NAME" (of the experiment's groups), "all"
// (sidecars), "servers", "discovery". Errors name the selector.
func (n selectorResolver) endpoints(selectors []string) (map[endpoint]bool, error) {
	return n.resolve(selectors, 0)
}

func (n selectorResolver) resolve(selectors []string, depth int) (map[endpoint]bool, error) {
	set := map[endpoint]bool{}
	fill := func(from, to endpoint) {
		for e := from; e < to; e++ {
			set[e] = true
		}
	}
	for _, text := range selectors {
		kind, name, _ := strings.Cut(text, ":")
		found := false
		switch {
		case text == "all":
			fill(0, n.server(0))
			found = true
		case text == "servers":
			fill(n.server(0), n.discovery())
			found = true
		case text == "discovery":
			set[n.discovery()] = true
			found = true
		case kind == "zone":
			for i := range n.sidecars() {
				if n.exp.zoneOf(i) == name {
					set[endpoint(i)], found = true, true
				}
			}
		case kind == "machine":
			for i := range n.sidecars() {
				if strconv.Itoa(n.exp.machineOf(i)) == name {
					set[endpoint(i)], found = true, true
				}
			}
		case kind == "group":
			members, ok := n.exp.Groups[name]
			if !ok || depth > 4 {
				return nil, fmt.Errorf("%q is not a group (or groups name each other too deep)", text)
			}
			more, err := n.resolve(members, depth+1)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", text, err)
			}
			for e := range more {
				set[e] = true
			}
			found = true
		default:
			first, last, isRange := strings.Cut(text, "-")
			if !isRange {
				last = first
			}
			from, err1 := n.parseEndpoint(first)
			to, err2 := n.parseEndpoint(last)
			if err1 == nil && err2 == nil && from <= to && first[0] == last[0] {
				fill(from, to+1)
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("%q names no sidecar, server, zone, machine or group of the experiment", text)
		}
	}
	return set, nil
}

// parseEndpoint resolves "s3" or "v3".
func (n selectorResolver) parseEndpoint(text string) (endpoint, error) {
	if len(text) > 1 {
		i, err := strconv.Atoi(text[1:])
		switch {
		case err == nil && text[0] == 's' && i >= 0 && i < n.sidecars():
			return endpoint(i), nil
		case err == nil && text[0] == 'v' && i >= 0 && i < n.exp.Fleet.Servers:
			return n.server(i), nil
		}
	}
	return unknownEndpoint, fmt.Errorf("%q is no endpoint", text)
}

// linksBetween matches links from one set to the other, and back where the direction is "both" or not given; "out" is from to to alone, "in" the way back alone.
func linksBetween(from, to map[endpoint]bool, direction string) func(a, b endpoint) bool {
	return func(a, b endpoint) bool {
		return a != b && (direction != "in" && from[a] && to[b] || direction != "out" && from[b] && to[a])
	}
}

// linksAcrossGroups matches links between endpoints that are named in groups but share none.
func linksAcrossGroups(groups []map[endpoint]bool) func(a, b endpoint) bool {
	return func(a, b endpoint) bool {
		inA, inB := false, false
		for _, g := range groups {
			if g[a] && g[b] {
				return false
			}
			inA, inB = inA || g[a], inB || g[b]
		}
		return inA && inB
	}
}

// linkRule builds the rule of a fault on links, nil for a fault of another kind.
func (n selectorResolver) linkRule(f Fault) (*Rule, error) {
	own := func(base endpoint, list []int) map[endpoint]bool {
		set := map[endpoint]bool{}
		for _, i := range list {
			set[base+endpoint(i)] = true
		}
		return set
	}
	any := func(set map[endpoint]bool, direction string) func(a, b endpoint) bool { // to ("in") and from ("out") the set
		return func(a, b endpoint) bool { return direction != "out" && set[b] || direction != "in" && set[a] }
	}
	switch f.Kind {
	case "partition":
		return &Rule{Cut: true, Resets: true, Match: any(own(n.server(0), f.Servers), f.Direction)}, nil
	case "delay":
		return &Rule{Delay: f.Delay.Duration, Jitter: f.Jitter.Duration, Match: any(own(n.server(0), f.Servers), "both")}, nil
	case "isolate":
		return &Rule{Cut: true, Datagrams: true, Match: any(own(0, f.Sidecars), f.Direction)}, nil
	case "peers":
		return &Rule{Loss: f.Share, Delay: f.Delay.Duration, Datagrams: true, Match: func(a, b endpoint) bool { return true }}, nil
	case "split":
		var groups []map[endpoint]bool
		for i, g := range f.Groups {
			set, err := n.endpoints(g)
			if err != nil {
				return nil, fmt.Errorf("groups[%d]: %w", i, err)
			}
			groups = append(groups, set)
		}
		return &Rule{Cut: true, Match: linksAcrossGroups(groups)}, nil
	case "link", "cut", "flap":
		or := func(selectors []string) []string {
			if len(selectors) == 0 {
				return []string{"all"}
			}
			return selectors
		}
		from, err := n.endpoints(or(f.From))
		if err != nil {
			return nil, fmt.Errorf("from: %w", err)
		}
		to, err := n.endpoints(or(f.To))
		if err != nil {
			return nil, fmt.Errorf("to: %w", err)
		}
		return &Rule{Cut: f.Kind != "link", Loss: f.Loss, Duplicate: f.Duplicate, Reorder: f.Reorder, Rate: f.Rate,
			Delay: f.Delay.Duration, Jitter: f.Jitter.Duration, Match: linksBetween(from, to, f.Direction)}, nil
	}
	return nil, nil
}
