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

// Load reads the snapshot of the sidecar called name. It returns ErrNone where
// there is none, and an *Error naming file and record for one that is corrupt,
// truncated, of another version or of another sidecar; that file is then set
// aside as <file>.bad-<unix seconds> and its new name is in the Error's Reason.
func Load(dir, name string) (s *Snapshot, err error) {
	path := Path(dir, name)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNotFound
	}
	s, err = read(path, name)
	var bad *FileError
	if errors.As(err, &bad) {
		aside := fmt.Sprintf("%s.bad-%d", path, time.Now().Unix())
		if moved := os.Rename(path, aside); moved != nil {
			bad.Reason += fmt.Sprintf("; could not be set aside: %v", moved)
		} else {
			bad.Reason += "; set aside as " + filepath.Base(aside)
		}
	}
	return s, err
}

func read(path, name string) (s *Snapshot, err error) {
	defer func() { // bbolt panics on some damaged pages
		if p := recover(); p != nil {
			s, err = nil, &FileError{File: path, Reason: fmt.Sprintf("damaged: %v", p)}
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: LockTimeout, ReadOnly: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("state file %s: %w", path, err)
	} else if err != nil {
		return nil, &FileError{File: path, Reason: err.Error()}
	}
	defer db.Close()
	s = &Snapshot{}
	err = db.View(func(tx *bolt.Tx) error {
		top := tx.Bucket(sidecarBucket)
		if top == nil {
			return &FileError{File: path, Record: string(sidecarBucket), Reason: "missing"}
		}
		get := func(b *bolt.Bucket, key []byte, kind byte, into any) error {
			value := b.Get(key)
			if value == nil {
				return &FileError{File: path, Record: string(key), Reason: "missing"}
			}
			if err := decodeRecord(value, kind, into); err != nil {
				return &FileError{File: path, Record: string(key), Reason: err.Error()}
			}
			return nil
		}
		for _, r := range singles {
			if err := get(top, r.key, r.kind, s); err != nil {
				return err
			}
		}
		if s.SidecarName != name {
			return &FileError{File: path, Record: string(metaKey), Reason: fmt.Sprintf("of sidecar %q, not %q", s.SidecarName, name)}
		}
		servers := top.Bucket(endpointStatesBucket)
		if servers == nil {
			return &FileError{File: path, Record: string(endpointStatesBucket), Reason: "missing"}
		}
		return servers.ForEach(func(k, _ []byte) error {
			var v EndpointState
			if err := get(servers, k, kindEndpointState, &v); err != nil {
				return err
			}
			s.EndpointStates = append(s.EndpointStates, v)
			return nil
		})
	})
	if err != nil {
		return nil, err
	}
	sort.Slice(s.EndpointStates, func(i, j int) bool { return s.EndpointStates[i].Name < s.EndpointStates[j].Name })
	return s, nil
}
