package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
)

// LockTimeout is how long Save and Load wait for the other process of an upgrade
// to finish its snapshot.
const LockTimeout = 500 * time.Millisecond

// SaveStats is what one Save cost.
type SaveStats struct {
	Records int
	Bytes   int
}

// Path is where the state of the sidecar called name is kept in dir.
func Path(dir, name string) string { return filepath.Join(dir, url.PathEscape(name)+".db") }

// Save writes s as one transaction, fsynced before it returns. The earlier
// snapshot stays whole where it fails: disk full, a read-only folder, a lock
// that the other process holds past LockWait. Orders of operators never go
// back: where the file has some of a larger OpsSeq, they stay.
func Save(dir string, s *Snapshot) (SaveStats, error) {
	var w SaveStats
	_, missing := os.Stat(Path(dir, s.SidecarName))
	db, err := bolt.Open(Path(dir, s.SidecarName), 0o600, &bolt.Options{Timeout: LockTimeout, NoFreelistSync: true})
	if err != nil {
		return w, fmt.Errorf("state file %s: %w", Path(dir, s.SidecarName), err)
	}
	defer db.Close()
	err = db.Update(func(tx *bolt.Tx) error {
		ops := opsRecord{s.AdminRevision, s.Banned, s.Drained}
		if old := tx.Bucket(sidecarBucket); old != nil {
			var had opsRecord
			if decodeRecord(old.Get(adminSettingsKey), kindAdminSettings, &had) == nil && had.OpsSeq > ops.OpsSeq {
				ops = had
			}
		}
		tx.DeleteBucket(sidecarBucket)
		top, err := tx.CreateBucket(sidecarBucket)
		if err != nil {
			return err
		}
		put := func(b *bolt.Bucket, key []byte, kind byte, v any) error {
			body, err := json.Marshal(v)
			if err != nil {
				return err
			}
			record := encodeRecord(kind, body)
			w.Records++
			w.Bytes += len(record)
			return b.Put(key, record)
		}
		meta := struct {
			Name    string    `json:"name"`
			Written time.Time `json:"written"`
		}{s.SidecarName, s.ListedAt}
		list := struct {
			Seq   uint64     `json:"seq"`
			Whole bool       `json:"whole"`
			Hosts []Endpoint `json:"hosts"`
		}{s.ListVersion, s.IsFullList, s.Endpoints}
		fleet := struct {
			Epoch uint64 `json:"epoch"`
			Stage string `json:"stage"`

			View json.RawMessage `json:"view,omitempty"`
		}{s.LeaseEpoch, s.ReleaseStage, s.Membership}
		for i, v := range [len(singles)]any{meta, list, ops, fleet} {
			if err := put(top, singles[i].key, singles[i].kind, v); err != nil {
				return err
			}
		}
		servers, err := top.CreateBucket(endpointStatesBucket)
		if err != nil {
			return err
		}
		for _, v := range s.EndpointStates {
			if err := put(servers, []byte(v.Name), kindEndpointState, v); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil && missing != nil { // the file is new: its name must be on disk, too
		err = syncDir(dir)
	}
	if err != nil {
		return SaveStats{}, fmt.Errorf("state file %s: %w", Path(dir, s.SidecarName), err)
	}
	return w, nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
