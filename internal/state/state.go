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

// Version is the format of the records this package writes and reads.
const Version = 1

// LockWait is how long Save and Load wait for the other process of an upgrade
// to finish its snapshot.
const LockWait = 500 * time.Millisecond

const (
	magic      = "BS"
	headerSize = 2 + 1 + 1 + 4 + 8 // magic, version, kind, body length, xxhash64 of the body
	bodyMost   = 64 << 20
)

// The kinds of record.
const (
	kindMeta byte = iota + 1
	kindList
	kindOps
	kindServer
	kindFleet
)

var (
	topBucket     = []byte("sidecar")
	serversBucket = []byte("servers")
	keyMeta       = []byte("meta")
	keyList       = []byte("list")
	keyOps        = []byte("ops")
	keyFleet      = []byte("fleet")

	// singles are the records of which a snapshot has one, in the order Save writes them: meta, list, ops, fleet.
	// Each one's body holds some of a Snapshot's fields, under the same JSON names.
	singles = [...]struct {
		key  []byte
		kind byte
	}{{keyMeta, kindMeta}, {keyList, kindList}, {keyOps, kindOps}, {keyFleet, kindFleet}}
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

// Server is what the module learned of one server: breaker latency baselines
// (microseconds), pace (microseconds a unit of work) and the recent share of
// failures (0..1).
type Server struct {
	Host    string  `json:"host"`
	Base    float64 `json:"base"`
	Current float64 `json:"current"`
	Pace    float64 `json:"pace"`
	Errs    float64 `json:"errs"`
}

// Snapshot is all that is kept. Written is the wall-clock time at which
// discovery last told the list, from which its age runs; nothing else in it is
// a time.
type Snapshot struct {
	Name    string    `json:"name"` // of the sidecar; a file of another is foreign
	Written time.Time `json:"written"`
	Seq     uint64    `json:"seq"` // of the list
	Whole   bool      `json:"whole"`
	Hosts   []Host    `json:"hosts"`
	OpsSeq  uint64    `json:"ops_seq"` // of what operators ordered: of two records the one with the larger stands
	Banned  []string  `json:"banned"`  // host names, out of use by hand
	Drained bool      `json:"drained"`
	Servers []Server  `json:"servers"`
	Epoch   uint64    `json:"epoch"` // of the lease last held; issue 13
	Stage   string    `json:"stage"` // of the release; issue 15

	View json.RawMessage `json:"view,omitempty"` // the fleet's last settled view, as internal/fleet keeps it
}

// opsRecord is the body of the record of operators' orders.
type opsRecord struct {
	OpsSeq  uint64   `json:"ops_seq"`
	Banned  []string `json:"banned"`
	Drained bool     `json:"drained"`
}

// Written is what one Save cost.
type Written struct {
	Records int
	Bytes   int
}

// Error names the file and record that could not be read, and why.
type Error struct {
	File, Record, Reason string
}

func (e *Error) Error() string {
	if e.Record == "" {
		return fmt.Sprintf("state file %s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("state file %s, record %s: %s", e.File, e.Record, e.Reason)
}

// ErrNone says that there is no state file yet.
var ErrNone = errors.New("no state file")

// Path is where the state of the sidecar called name is kept in dir.
func Path(dir, name string) string { return filepath.Join(dir, url.PathEscape(name)+".db") }

// Save writes s as one transaction, fsynced before it returns. The earlier
// snapshot stays whole where it fails: disk full, a read-only folder, a lock
// that the other process holds past LockWait. Orders of operators never go
// back: where the file has some of a larger OpsSeq, they stay.
func Save(dir string, s *Snapshot) (Written, error) {
	var w Written
	_, missing := os.Stat(Path(dir, s.Name))
	db, err := bolt.Open(Path(dir, s.Name), 0o600, &bolt.Options{Timeout: LockWait, NoFreelistSync: true})
	if err != nil {
		return w, fmt.Errorf("state file %s: %w", Path(dir, s.Name), err)
	}
	defer db.Close()
	err = db.Update(func(tx *bolt.Tx) error {
		ops := opsRecord{s.OpsSeq, s.Banned, s.Drained}
		if old := tx.Bucket(topBucket); old != nil {
			var had opsRecord
			if Decode(old.Get(keyOps), kindOps, &had) == nil && had.OpsSeq > ops.OpsSeq {
				ops = had
			}
		}
		tx.DeleteBucket(topBucket)
		top, err := tx.CreateBucket(topBucket)
		if err != nil {
			return err
		}
		put := func(b *bolt.Bucket, key []byte, kind byte, v any) error {
			body, err := json.Marshal(v)
			if err != nil {
				return err
			}
			record := Frame(kind, body)
			w.Records++
			w.Bytes += len(record)
			return b.Put(key, record)
		}
		meta := struct {
			Name    string    `json:"name"`
			Written time.Time `json:"written"`
		}{s.Name, s.Written}
		list := struct {
			Seq   uint64 `json:"seq"`
			Whole bool   `json:"whole"`
			Hosts []Host `json:"hosts"`
		}{s.Seq, s.Whole, s.Hosts}
		fleet := struct {
			Epoch uint64 `json:"epoch"`
			Stage string `json:"stage"`

			View json.RawMessage `json:"view,omitempty"`
		}{s.Epoch, s.Stage, s.View}
		for i, v := range [len(singles)]any{meta, list, ops, fleet} {
			if err := put(top, singles[i].key, singles[i].kind, v); err != nil {
				return err
			}
		}
		servers, err := top.CreateBucket(serversBucket)
		if err != nil {
			return err
		}
		for _, v := range s.Servers {
			if err := put(servers, []byte(v.Host), kindServer, v); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil && missing != nil { // the file is new: its name must be on disk, too
		err = syncDir(dir)
	}
	if err != nil {
		return Written{}, fmt.Errorf("state file %s: %w", Path(dir, s.Name), err)
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
		return nil, ErrNone
	}
	s, err = read(path, name)
	var bad *Error
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
			s, err = nil, &Error{File: path, Reason: fmt.Sprintf("damaged: %v", p)}
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: LockWait, ReadOnly: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("state file %s: %w", path, err)
	} else if err != nil {
		return nil, &Error{File: path, Reason: err.Error()}
	}
	defer db.Close()
	s = &Snapshot{}
	err = db.View(func(tx *bolt.Tx) error {
		top := tx.Bucket(topBucket)
		if top == nil {
			return &Error{File: path, Record: string(topBucket), Reason: "missing"}
		}
		get := func(b *bolt.Bucket, key []byte, kind byte, into any) error {
			value := b.Get(key)
			if value == nil {
				return &Error{File: path, Record: string(key), Reason: "missing"}
			}
			if err := Decode(value, kind, into); err != nil {
				return &Error{File: path, Record: string(key), Reason: err.Error()}
			}
			return nil
		}
		for _, r := range singles {
			if err := get(top, r.key, r.kind, s); err != nil {
				return err
			}
		}
		if s.Name != name {
			return &Error{File: path, Record: string(keyMeta), Reason: fmt.Sprintf("of sidecar %q, not %q", s.Name, name)}
		}
		servers := top.Bucket(serversBucket)
		if servers == nil {
			return &Error{File: path, Record: string(serversBucket), Reason: "missing"}
		}
		return servers.ForEach(func(k, _ []byte) error {
			var v Server
			if err := get(servers, k, kindServer, &v); err != nil {
				return err
			}
			s.Servers = append(s.Servers, v)
			return nil
		})
	})
	if err != nil {
		return nil, err
	}
	sort.Slice(s.Servers, func(i, j int) bool { return s.Servers[i].Host < s.Servers[j].Host })
	return s, nil
}

// Frame wraps a record's body in its header.
func Frame(kind byte, body []byte) []byte {
	record := make([]byte, headerSize, headerSize+len(body))
	copy(record, magic)
	record[2], record[3] = Version, kind
	binary.BigEndian.PutUint32(record[4:], uint32(len(body)))
	binary.BigEndian.PutUint64(record[8:], xxhash.Sum64(body))
	return append(record, body...)
}

// Decode checks a framed record of the given kind and reads its JSON body
// into v. Its errors say what is wrong: not a record, another version or kind,
// truncated, a checksum that does not match, a body that is not JSON.
func Decode(record []byte, kind byte, v any) error {
	switch {
	case len(record) < headerSize || string(record[:2]) != magic:
		return errors.New("not a record of this program")
	case record[2] != Version:
		return fmt.Errorf("format version %d; this program reads %d", record[2], Version)
	case record[3] != kind:
		return fmt.Errorf("kind %d where %d belongs", record[3], kind)
	}
	size := binary.BigEndian.Uint32(record[4:])
	body := record[headerSize:]
	switch {
	case size > bodyMost:
		return fmt.Errorf("body of %d bytes, more than %d", size, bodyMost)
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

// Fresh says whether a list written at written may still be served at now: it
// is younger than maxAge, and not from the future by more than a minute (the
// clock jumped, or it was written elsewhere).
func Fresh(written, now time.Time, maxAge time.Duration) bool {
	age := now.Sub(written)
	return age < maxAge && age > -time.Minute
}
