package sidecar

import "hash/fnv"

// endpointIDs maps the names of endpoints to the balancer's IDs. An ID is the name's hash, so that it is the same at every sidecar
// and gossip can refer to endpoints by it. The event loop's goroutine alone uses it.
type endpointIDs struct {
	byName map[string]uint32
	names  map[uint32]string // by ID
}

func newEndpointIDs() endpointIDs {
	return endpointIDs{byName: map[string]uint32{}, names: map[uint32]string{}}
}

// assign returns the ID of a name, a new one if the name has none yet.
func (ids endpointIDs) assign(name string) uint32 {
	if id, ok := ids.byName[name]; ok {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := hash.Sum32()
	// Of two names with one hash the later gets the next ID. Only gossip on that endpoint is lost: other sidecars may have met
	// the names in another order.
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

// name returns the name of an ID, "" if there is none.
func (ids endpointIDs) name(id uint32) string { return ids.names[id] }
