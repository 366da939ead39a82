package state

var (
	sidecarBucket        = []byte("sidecar")
	endpointStatesBucket = []byte("servers")
	metaKey              = []byte("meta")
	endpointListKey      = []byte("list")
	adminSettingsKey     = []byte("ops")
	fleetKey             = []byte("fleet")

	// singles are the records of which a snapshot has one, in the order Save writes them: meta, list, ops, fleet.
	// Each one's body holds some of a Snapshot's fields, under the same JSON names.
	singles = [...]struct {
		key  []byte
		kind byte
	}{{metaKey, kindMeta}, {endpointListKey, kindEndpointList}, {adminSettingsKey, kindAdminSettings}, {fleetKey, kindFleet}}
)

// opsRecord is the body of the record of operators' orders.
type opsRecord struct {
	OpsSeq  uint64   `json:"ops_seq"`
	Banned  []string `json:"banned"`
	Drained bool     `json:"drained"`
}
