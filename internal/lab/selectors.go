package lab

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// maxGroupDepth is the maximum depth to which groups may contain other groups.
const maxGroupDepth = 4

// selectorResolver resolves the selectors by which an experiment's faults name endpoints.
type selectorResolver struct{ exp *Experiment }

// sidecars returns the number of sidecars.
func (r selectorResolver) sidecars() int { return r.exp.Fleet.Sidecars }

// server returns the endpoint of server j.
func (r selectorResolver) server(j int) endpoint { return endpoint(r.sidecars() + j) }

// discovery returns the endpoint of the discovery service.
func (r selectorResolver) discovery() endpoint { return endpoint(r.sidecars() + r.exp.Fleet.Servers) }

// endpoints resolves selectors to the set of their endpoints. Selectors are "s3" and "s0-s9" (sidecars), "v3" and "v0-v9"
// (servers), "zone:a" and "machine:0" (their sidecars), "group:NAME" (a group of the experiment), "all" (all sidecars),
// "servers" (all servers) and "discovery". Errors name the selector.
func (r selectorResolver) endpoints(selectors []string) (map[endpoint]bool, error) {
	return r.resolve(selectors, 0)
}

// resolve resolves selectors that are nested in groups to the given depth.
func (r selectorResolver) resolve(selectors []string, depth int) (map[endpoint]bool, error) {
	set := map[endpoint]bool{}
	for _, selector := range selectors {
		var found []endpoint
		if group, ok := strings.CutPrefix(selector, "group:"); ok {
			var err error
			if found, err = r.resolveGroup(group, depth); err != nil {
				return nil, err
			}
		} else if found = r.resolveOne(selector); len(found) == 0 {
			return nil, fmt.Errorf("%q names no sidecar, server, zone, machine or group of the experiment", selector)
		}
		for _, e := range found {
			set[e] = true
		}
	}
	return set, nil
}

// resolveOne resolves a selector that is not a group. It returns none if the selector is invalid.
func (r selectorResolver) resolveOne(selector string) []endpoint {
	kind, name, _ := strings.Cut(selector, ":")
	switch {
	case selector == "all":
		return endpointRange(0, r.server(0))
	case selector == "servers":
		return endpointRange(r.server(0), r.discovery())
	case selector == "discovery":
		return []endpoint{r.discovery()}
	case kind == "zone":
		return r.sidecarsWhere(func(i int) bool { return r.exp.zoneOf(i) == name })
	case kind == "machine":
		return r.sidecarsWhere(func(i int) bool { return strconv.Itoa(r.exp.machineOf(i)) == name })
	}
	return r.resolveRange(selector)
}

// resolveGroup resolves a group of the experiment that is nested to the given depth. A group may be empty.
func (r selectorResolver) resolveGroup(name string, depth int) ([]endpoint, error) {
	members, ok := r.exp.Groups[name]
	if !ok || depth > maxGroupDepth {
		return nil, fmt.Errorf("\"group:%s\" is not a group of the experiment, or groups are nested too deeply", name)
	}
	set, err := r.resolve(members, depth+1)
	if err != nil {
		return nil, fmt.Errorf("group:%s: %w", name, err)
	}
	return slices.Collect(maps.Keys(set)), nil
}

// resolveRange resolves a single endpoint such as "s3" or a range such as "s0-s9". It returns none if the selector is
// neither.
func (r selectorResolver) resolveRange(selector string) []endpoint {
	first, last, isRange := strings.Cut(selector, "-")
	if !isRange {
		last = first
	}
	from, err1 := r.parseEndpoint(first)
	to, err2 := r.parseEndpoint(last)
	if err1 != nil || err2 != nil || from > to || first[0] != last[0] {
		return nil
	}
	return endpointRange(from, to+1)
}

// sidecarsWhere returns the sidecars for which matches returns true.
func (r selectorResolver) sidecarsWhere(matches func(i int) bool) (found []endpoint) {
	for i := range r.sidecars() {
		if matches(i) {
			found = append(found, endpoint(i))
		}
	}
	return found
}

// endpointRange returns the endpoints in [from, to).
func endpointRange(from, to endpoint) (all []endpoint) {
	for e := from; e < to; e++ {
		all = append(all, e)
	}
	return all
}

// parseEndpoint resolves the name of one sidecar, such as "s3", or server, such as "v3".
func (r selectorResolver) parseEndpoint(text string) (endpoint, error) {
	if len(text) > 1 {
		i, err := strconv.Atoi(text[1:])
		switch {
		case err == nil && text[0] == 's' && i >= 0 && i < r.sidecars():
			return endpoint(i), nil
		case err == nil && text[0] == 'v' && i >= 0 && i < r.exp.Fleet.Servers:
			return r.server(i), nil
		}
	}
	return unknownEndpoint, fmt.Errorf("%q is not an endpoint", text)
}

// linksBetween returns a function that matches the links from one set to the other ("out"), from the other to the one
// ("in"), or in both directions ("both" or "").
func linksBetween(from, to map[endpoint]bool, direction string) func(a, b endpoint) bool {
	return func(a, b endpoint) bool {
		return a != b && (direction != "in" && from[a] && to[b] || direction != "out" && from[b] && to[a])
	}
}

// linksAcrossGroups returns a function that matches the links between endpoints that are each in a group, but have no
// group in common.
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

// linkRule returns the rule of a fault on links, nil for a fault of another kind.
func (r selectorResolver) linkRule(f Fault) (*Rule, error) {
	setOf := func(base endpoint, list []int) map[endpoint]bool {
		set := map[endpoint]bool{}
		for _, i := range list {
			set[base+endpoint(i)] = true
		}
		return set
	}
	linksOf := func(set map[endpoint]bool, direction string) func(a, b endpoint) bool { // to ("in") or from ("out") the set, or both
		return func(a, b endpoint) bool { return direction != "out" && set[b] || direction != "in" && set[a] }
	}
	switch f.Kind {
	case "partition":
		return &Rule{Cut: true, Resets: true, Match: linksOf(setOf(r.server(0), f.Servers), f.Direction)}, nil
	case "delay":
		return &Rule{Delay: f.Delay.Duration, Jitter: f.Jitter.Duration, Match: linksOf(setOf(r.server(0), f.Servers), "both")}, nil
	case "isolate":
		return &Rule{Cut: true, Datagrams: true, Match: linksOf(setOf(0, f.Sidecars), f.Direction)}, nil
	case "peers":
		return &Rule{Loss: f.Share, Delay: f.Delay.Duration, Datagrams: true, Match: func(a, b endpoint) bool { return true }}, nil
	case "split":
		var groups []map[endpoint]bool
		for i, g := range f.Groups {
			set, err := r.endpoints(g)
			if err != nil {
				return nil, fmt.Errorf("groups[%d]: %w", i, err)
			}
			groups = append(groups, set)
		}
		return &Rule{Cut: true, Match: linksAcrossGroups(groups)}, nil
	case "link", "cut", "flap":
		orAll := func(selectors []string) []string {
			if len(selectors) == 0 {
				return []string{"all"}
			}
			return selectors
		}
		from, err := r.endpoints(orAll(f.From))
		if err != nil {
			return nil, fmt.Errorf("from: %w", err)
		}
		to, err := r.endpoints(orAll(f.To))
		if err != nil {
			return nil, fmt.Errorf("to: %w", err)
		}
		return &Rule{Cut: f.Kind != "link", Loss: f.Loss, Duplicate: f.Duplicate, Reorder: f.Reorder, Rate: f.Rate,
			Delay: f.Delay.Duration, Jitter: f.Jitter.Duration, Match: linksBetween(from, to, f.Direction)}, nil
	}
	return nil, nil
}
