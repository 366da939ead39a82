package state

import (
	"errors"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
)

// LockTimeout is how long Save and Load wait for the other process of an upgrade to finish with the file.
const LockTimeout = 500 * time.Millisecond

const fileMode = 0o600

// SaveStats is what one Save wrote.
type SaveStats struct {
	Records int
	Bytes   int // of the records, headers included
}

// Path returns the path of the state file of the sidecar called name in the folder dir.
func Path(dir, name string) string { return filepath.Join(dir, url.PathEscape(name)+".db") }

// Save writes s into its sidecar's file in dir as one transaction, and returns once it is on disk (fsync). Where it
// fails the earlier snapshot stays whole: a full disk, a read-only folder, a lock that the other process keeps for
// longer than LockTimeout (bolterrors.ErrTimeout). Admin settings never go back: where the file has some of a larger
// revision, those stay.
func Save(dir string, s *Snapshot) (SaveStats, error) {
	path := Path(dir, s.SidecarName)
	stats, err := save(path, s)
	if err != nil {
		return SaveStats{}, fmt.Errorf("state file %s: %w", path, err)
	}
	return stats, nil
}

func save(path string, s *Snapshot) (SaveStats, error) {
	var stats SaveStats
	_, statErr := os.Stat(path)
	isNew := statErr != nil
	db, err := bolt.Open(path, fileMode, &bolt.Options{Timeout: LockTimeout, NoFreelistSync: true})
	if err != nil {
		return stats, err
	}
	defer db.Close()
	err = db.Update(func(tx *bolt.Tx) error { return writeSnapshot(tx, s, &stats) })
	if err == nil && isNew {
		err = syncDir(filepath.Dir(path)) // the file's name has to be on disk, too
	}
	return stats, err
}

// writeSnapshot replaces the content of the file.
func writeSnapshot(tx *bolt.Tx, s *Snapshot, stats *SaveStats) error {
	records := newSingleRecords(s)
	if old := tx.Bucket(sidecarBucket); old != nil {
		var saved adminSettingsRecord
		err := decodeRecord(old.Get(adminSettingsKey), kindAdminSettings, &saved)
		if err == nil && saved.Revision > records.admin.Revision {
			records.admin = saved
		}
	}
	tx.DeleteBucket(sidecarBucket) // it fails where there is none
	bucket, err := tx.CreateBucket(sidecarBucket)
	if err != nil {
		return err
	}
	for _, r := range records.all() {
		if err := putRecord(bucket, r.key, r.kind, r.body, stats); err != nil {
			return err
		}
	}
	endpointStates, err := bucket.CreateBucket(endpointStatesBucket)
	if err != nil {
		return err
	}
	for _, e := range s.EndpointStates {
		if err := putRecord(endpointStates, []byte(e.Name), kindEndpointState, endpointStateRecord(e), stats); err != nil {
			return err
		}
	}
	return nil
}

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
