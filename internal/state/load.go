package state

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// Load reads the snapshot of the sidecar called name in the folder dir. It returns ErrNotFound if there is none, and an
// error that wraps bolterrors.ErrTimeout if the other process of an upgrade holds the file's lock for longer than
// LockTimeout. For a file that is corrupt, truncated, of another format version or of another sidecar it returns a
// *FileError. Such a file is renamed to <file>.bad-<Unix seconds>, so that the next Save starts a new one.
func Load(dir, name string) (*Snapshot, error) {
	path := Path(dir, name)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNotFound
	}
	s, err := readFile(path, name)
	var invalid *FileError
	if errors.As(err, &invalid) {
		renameInvalid(invalid)
	}
	return s, err
}

// renameInvalid renames a file that cannot be used, and records in the error the new name or why the renaming failed.
func renameInvalid(invalid *FileError) {
	renamed := fmt.Sprintf("%s.bad-%d", invalid.Path, time.Now().Unix())
	if err := os.Rename(invalid.Path, renamed); err != nil {
		invalid.RenameErr = err
		return
	}
	invalid.RenamedTo = filepath.Base(renamed)
}

func readFile(path, name string) (s *Snapshot, err error) {
	defer func() { // bbolt panics on some damaged pages
		if damage := recover(); damage != nil {
			s, err = nil, &FileError{Path: path, Err: fmt.Errorf("damaged: %v", damage)}
		}
	}()
	db, err := bolt.Open(path, fileMode, &bolt.Options{Timeout: LockTimeout, ReadOnly: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("state file %s: %w", path, err)
	} else if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	defer db.Close()
	r := fileReader{path}
	err = db.View(func(tx *bolt.Tx) error {
		s, err = r.readSnapshot(tx, name)
		return err
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// fileReader reads records of one file; its errors are *FileErrors that name the file and the record.
type fileReader struct{ path string }

func (r fileReader) readSnapshot(tx *bolt.Tx, name string) (*Snapshot, error) {
	bucket := tx.Bucket(sidecarBucket)
	if bucket == nil {
		return nil, r.invalid(sidecarBucket, ErrMissing)
	}
	var records singleRecords
	for _, record := range records.all() {
		if err := r.read(bucket, record.key, record.kind, record.body); err != nil {
			return nil, err
		}
	}
	if owner := records.meta.SidecarName; owner != name {
		return nil, r.invalid(metaKey, fmt.Errorf("%w %q, not %q", ErrOtherSidecar, owner, name))
	}
	endpointStates := bucket.Bucket(endpointStatesBucket)
	if endpointStates == nil {
		return nil, r.invalid(endpointStatesBucket, ErrMissing)
	}
	s := records.snapshot()
	err := endpointStates.ForEach(func(key, _ []byte) error {
		var record endpointStateRecord
		if err := r.read(endpointStates, key, kindEndpointState, &record); err != nil {
			return err
		}
		s.EndpointStates = append(s.EndpointStates, EndpointState(record))
		return nil
	})
	sort.Slice(s.EndpointStates, func(i, j int) bool { return s.EndpointStates[i].Name < s.EndpointStates[j].Name })
	return s, err
}

// read decodes the record under key into the value that into points to.
func (r fileReader) read(bucket *bolt.Bucket, key []byte, kind recordKind, into any) error {
	record := bucket.Get(key)
	if record == nil {
		return r.invalid(key, ErrMissing)
	}
	if err := decodeRecord(record, kind, into); err != nil {
		return r.invalid(key, err)
	}
	return nil
}

func (r fileReader) invalid(key []byte, err error) error {
	return &FileError{Path: r.path, Record: string(key), Err: err}
}
