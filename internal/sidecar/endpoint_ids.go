package sidecar

import "hash/fnv"

// endpointIDs maps the names of endpoints to the balancer's IDs. An ID is the hash of the name, so that all sidecars assign the
// same ID and gossip can refer to endpoints by it. Only the event loop's goroutine uses it.
type endpointIDs struct {
	byName map[string]uint32
	names  map[uint32]string // by ID
}

func newEndpointIDs() endpointIDs {
	return endpointIDs{byName: map[string]uint32{}, names: map[uint32]string{}}
}

// assign returns the ID of a name. A name that has none yet gets a new one.
func (ids endpointIDs) assign(name string) uint32 {
	if id, ok := ids.byName[name]; ok {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := hash.Sum32()
	// If two names have the same hash, the later one gets the next ID. Other sidecars may have seen the names in another order and
	// assigned the IDs differently; only gossip about that endpoint is lost then.
	for ids.names[id] != "" {
		id++
	}
	ids.byName[name], ids.names[id] = id, name
	return id
}

// lookup returns the ID of a name, and whether it has one.
func (ids endpointIDs) lookup(name string) (uint32, bool) {
	id, ok := ids.byName[name]
	return id, ok
}

// name returns the name with this ID, or "" if there is none.
func (ids endpointIDs) name(id uint32) string { return ids.names[id] }
