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

// LockTimeout is how long Save and Load wait for the other process of an upgrade to release the file's lock.
const LockTimeout = 500 * time.Millisecond

const fileMode = 0o600

// SaveStats counts what one Save wrote.
type SaveStats struct {
	Records int
	Bytes   int // of the records, headers included
}

// Path returns the path of the state file of the sidecar called name in the folder dir.
func Path(dir, name string) string { return filepath.Join(dir, url.PathEscape(name)+".db") }

// Save writes s to its sidecar's file in dir in one transaction, and returns once it is on disk (fsync). If it fails, the
// earlier snapshot stays intact. It fails if the disk is full, if the folder is read-only, or if the other process holds
// the file's lock for longer than LockTimeout (bolterrors.ErrTimeout). Admin settings are never replaced by older ones: if
// those in the file have a larger revision, they are kept.
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
		err = syncDir(filepath.Dir(path)) // the new directory entry has to be on disk, too
	}
	return stats, err
}

// writeSnapshot replaces the content of the file, except for admin settings with a larger revision than those of s.
func writeSnapshot(tx *bolt.Tx, s *Snapshot, stats *SaveStats) error {
	records := newSingleRecords(s)
	if old := tx.Bucket(sidecarBucket); old != nil {
		var saved adminSettingsRecord
		err := decodeRecord(old.Get(adminSettingsKey), kindAdminSettings, &saved)
		if err == nil && saved.Revision > records.admin.Revision {
			records.admin = saved
		}
	}
	tx.DeleteBucket(sidecarBucket) // the error, returned if there is none, is ignored
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
