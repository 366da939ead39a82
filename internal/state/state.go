// Package state keeps what a sidecar learned over a crash or power loss: one
// bbolt file per sidecar, written as whole snapshots, every record framed with
// its format version, kind, length and xxhash64. See docs/design-state.md.
package state

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// FormatVersion is the format of the records this package writes and reads.
const FormatVersion = 1

// LockTimeout is how long Save and Load wait for the other process of an upgrade
// to finish its snapshot.
const LockTimeout = 500 * time.Millisecond

const (
	magic        = "BS"
	headerBytes  = 2 + 1 + 1 + 4 + 8 // magic, version, kind, body length, xxhash64 of the body
	maxBodyBytes = 64 << 20
)

// The kinds of record.
const (
	kindMeta byte = iota + 1
	kindEndpointList
	kindAdminSettings
	kindEndpointState
	kindFleet
)

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

// Host is one server of the list as discovery last told it.
type Host struct {
	Name   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  uint16  `json:"block"`
	Health string  `json:"health"`
	Share  float32 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// EndpointState is what the module learned of one server: breaker latency baselines
// (microseconds), pace (microseconds a unit of work) and the recent share of
// failures (0..1).
type EndpointState struct {
	Name            string  `json:"host"`
	LatencyBaseline float64 `json:"base"`
	LatencyCurrent  float64 `json:"current"`
	ServiceTime     float64 `json:"pace"`
	FailureRate     float64 `json:"errs"`
}

// Snapshot is all that is kept. Written is the wall-clock time at which
// discovery last told the list, from which its age runs; nothing else in it is
// a time.
type Snapshot struct {
	SidecarName    string          `json:"name"` // of the sidecar; a file of another is foreign
	ListedAt       time.Time       `json:"written"`
	ListVersion    uint64          `json:"seq"` // of the list
	IsFullList     bool            `json:"whole"`
	Endpoints      []Host          `json:"hosts"`
	AdminRevision  uint64          `json:"ops_seq"` // of what operators ordered: of two records the one with the larger stands
	Banned         []string        `json:"banned"`  // host names, out of use by hand
	Drained        bool            `json:"drained"`
	EndpointStates []EndpointState `json:"servers"`
	LeaseEpoch     uint64          `json:"epoch"` // of the lease last held; issue 13
	ReleaseStage   string          `json:"stage"` // of the release; issue 15

	Membership json.RawMessage `json:"view,omitempty"` // the fleet's last settled view, as internal/fleet keeps it
}

// opsRecord is the body of the record of operators' orders.
type opsRecord struct {
	OpsSeq  uint64   `json:"ops_seq"`
	Banned  []string `json:"banned"`
	Drained bool     `json:"drained"`
}

// SaveStats is what one Save cost.
type SaveStats struct {
	Records int
	Bytes   int
}

// FileError names the file and record that could not be read, and why.
type FileError struct {
	File, Record, Reason string
}

func (e *FileError) Error() string {
	if e.Record == "" {
		return fmt.Sprintf("state file %s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("state file %s, record %s: %s", e.File, e.Record, e.Reason)
}

// ErrNotFound says that there is no state file yet.
var ErrNotFound = errors.New("no state file")

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
			Seq   uint64 `json:"seq"`
			Whole bool   `json:"whole"`
			Hosts []Host `json:"hosts"`
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

// encodeRecord wraps a record's body in its header.
func encodeRecord(kind byte, body []byte) []byte {
	record := make([]byte, headerBytes, headerBytes+len(body))
	copy(record, magic)
	record[2], record[3] = FormatVersion, kind
	binary.BigEndian.PutUint32(record[4:], uint32(len(body)))
	binary.BigEndian.PutUint64(record[8:], xxhash.Sum64(body))
	return append(record, body...)
}

// decodeRecord checks a framed record of the given kind and reads its JSON body
// into v. Its errors say what is wrong: not a record, another version or kind,
// truncated, a checksum that does not match, a body that is not JSON.
func decodeRecord(record []byte, kind byte, v any) error {
	switch {
	case len(record) < headerBytes || string(record[:2]) != magic:
		return errors.New("not a record of this program")
	case record[2] != FormatVersion:
		return fmt.Errorf("format version %d; this program reads %d", record[2], FormatVersion)
	case record[3] != kind:
		return fmt.Errorf("kind %d where %d belongs", record[3], kind)
	}
	size := binary.BigEndian.Uint32(record[4:])
	body := record[headerBytes:]
	switch {
	case size > maxBodyBytes:
		return fmt.Errorf("body of %d bytes, more than %d", size, maxBodyBytes)
	case int(size) != len(body):
		return fmt.Errorf("truncated or overlong: %d bytes of %d", len(body), size)
	case xxhash.Sum64(body) != binary.BigEndian.Uint64(record[8:]):
		return errors.New("checksum does not match")
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("body: %v", err)
	}
	return nil
}

// IsFresh says whether a list written at written may still be served at now: it
// is younger than maxAge, and not from the future by more than a minute (the
// clock jumped, or it was written elsewhere).
func IsFresh(written, now time.Time, maxAge time.Duration) bool {
	age := now.Sub(written)
	return age < maxAge && age > -time.Minute
}
