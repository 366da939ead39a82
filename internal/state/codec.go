package state

import (
	"encoding/json"
	"time"

	bolt "go.etcd.io/bbolt"
)

// A state file has one bucket, which holds one record of each kind except for endpoint states. A nested bucket holds the
// endpoint states, one record per endpoint with the endpoint's name as its key. The names of buckets, keys and JSON fields
// are part of the stored format. They appear only in this file, which maps them to the names of a Snapshot, and in
// Endpoint.
var (
	sidecarBucket        = []byte("sidecar")
	endpointStatesBucket = []byte("servers")

	metaKey          = []byte("meta")
	endpointListKey  = []byte("list")
	adminSettingsKey = []byte("ops")
	fleetKey         = []byte("fleet")
)

// metaRecord names the sidecar that owns the file and gives the time at which its endpoint list was last confirmed.
type metaRecord struct {
	SidecarName string    `json:"name"`
	ListedAt    time.Time `json:"written"`
}

// endpointListRecord is the endpoint list from discovery.
type endpointListRecord struct {
	Version   uint64     `json:"seq"`
	IsFull    bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// adminSettingsRecord holds the settings made by operators.
type adminSettingsRecord struct {
	Revision uint64   `json:"ops_seq"`
	Banned   []string `json:"banned"`
	Drained  bool     `json:"drained"`
}

// fleetRecord holds what the sidecar last knew about the fleet.
type fleetRecord struct {
	LeaseEpoch   uint64          `json:"epoch"`
	ReleaseStage string          `json:"stage"`
	Membership   json.RawMessage `json:"view,omitempty"`
}

// endpointStateRecord holds what the balancer has learned about one endpoint.
type endpointStateRecord struct {
	Name            string  `json:"host"`
	LatencyBaseline float64 `json:"base"`
	LatencyCurrent  float64 `json:"current"`
	ServiceTime     float64 `json:"pace"`
	FailureRate     float64 `json:"errs"`
}

// singleRecord is a record of which a file has exactly one.
type singleRecord struct {
	key  []byte
	kind recordKind
	body any // a pointer to the value that is marshalled or unmarshalled
}

// singleRecords holds the records of which a file has exactly one, in the order in which they are written.
type singleRecords struct {
	meta  metaRecord
	list  endpointListRecord
	admin adminSettingsRecord
	fleet fleetRecord
}

func newSingleRecords(s *Snapshot) *singleRecords {
	return &singleRecords{
		meta:  metaRecord{s.SidecarName, s.ListedAt},
		list:  endpointListRecord{s.ListVersion, s.IsFullList, s.Endpoints},
		admin: adminSettingsRecord(s.Admin),
		fleet: fleetRecord{s.LeaseEpoch, s.ReleaseStage, s.Membership},
	}
}

// all lists the records with their keys; each body points into r.
func (r *singleRecords) all() []singleRecord {
	return []singleRecord{
		{metaKey, kindMeta, &r.meta},
		{endpointListKey, kindEndpointList, &r.list},
		{adminSettingsKey, kindAdminSettings, &r.admin},
		{fleetKey, kindFleet, &r.fleet},
	}
}

// snapshot returns a Snapshot with the content of the records, which do not include the endpoint states.
func (r *singleRecords) snapshot() *Snapshot {
	return &Snapshot{
		SidecarName: r.meta.SidecarName,
		ListedAt:    r.meta.ListedAt,
		ListVersion: r.list.Version, IsFullList: r.list.IsFull, Endpoints: r.list.Endpoints,
		Admin:      AdminSettings(r.admin),
		LeaseEpoch: r.fleet.LeaseEpoch, ReleaseStage: r.fleet.ReleaseStage, Membership: r.fleet.Membership,
	}
}

// putRecord writes one record and adds it to stats.
func putRecord(bucket *bolt.Bucket, key []byte, kind recordKind, body any, stats *SaveStats) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	record := encodeRecord(kind, data)
	stats.Records++
	stats.Bytes += len(record)
	return bucket.Put(key, record)
}
