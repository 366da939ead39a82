// Package dedup remembers the attempts of requests that must not run twice, by the ids that clients gave the requests. If a request comes
// again under its id, after its client has left or at the other process of an upgrade, the sidecar knows that it may have run.
//
// A Table holds the latest attempts in memory. If it has a file, it writes them there, too, and finds those of the other process in it. A
// file that cannot be read or written is logged and does no harm but that the other process's attempts are not known.
package dedup

import (
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	// retention is how long an attempt is remembered.
	retention = 2 * time.Minute
	// buckets is the number of buckets of a table, and bucketSlots that of the attempts in each. When a bucket is full its oldest attempt
	// is forgotten.
	buckets     = 1024
	bucketSlots = 8

	slotSize   = 24 // bytes of a slot in a file
	bucketSize = bucketSlots * slotSize
	fileMode   = 0o600
)

// Attempt is an attempt that may have run.
type Attempt struct {
	Zone   uint8  // of the endpoint
	Pod    uint16 // of the endpoint
	SentAt time.Time
}

// slot is a remembered attempt. The zero value is empty.
type slot struct {
	hash      uint64 // of the request's id
	sentAt    int64  // nanoseconds of the system's monotonic clock, which all processes share
	zone      uint8
	pod       uint16
	isRemoved bool // the attempt did not run
}

// bucket holds the attempts whose hashes fall into it.
type bucket [bucketSlots]slot

// Table remembers attempts. Its methods may be called from any goroutine.
type Table struct {
	log *slog.Logger

	mu     sync.Mutex // guards the fields below; held over accesses to the file, which has 200 KB
	memory []bucket   // by the hash modulo buckets
	file   *os.File   // nil if there is none
	failed bool       // the last access to the file failed
}

// New returns a table without a file.
func New(log *slog.Logger) *Table { return &Table{log: log, memory: make([]bucket, buckets)} }

// Open opens the file in the folder dir that the table shares with the other process of the sidecar called name. If the file cannot be
// used, it logs an error and the table stays without one.
func (t *Table) Open(dir, name string) {
	path := filepath.Join(dir, "pinedale-"+url.PathEscape(name)+".ids")
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		t.log.Error("file of request ids not opened; requests that come again at another process may run twice", "error", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.file = file
}

// Close closes the file.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.file != nil {
		t.file.Close()
		t.file = nil
	}
}

// Record remembers an attempt of the request with this id, which is about to be sent.
func (t *Table) Record(id string, attempt Attempt) {
	t.put(slot{hash: hashOf(id), sentAt: monotonicNanos() - time.Since(attempt.SentAt).Nanoseconds(), zone: attempt.Zone, pod: attempt.Pod})
}

// Remove forgets the attempt of a request that certainly did not run.
func (t *Table) Remove(id string) {
	t.put(slot{hash: hashOf(id), sentAt: monotonicNanos(), isRemoved: true})
}

// Find returns an earlier attempt of the request with this id that may have run. ok is false if none is known.
func (t *Table) Find(id string) (attempt Attempt, ok bool) {
	hash, now := hashOf(id), monotonicNanos()
	t.mu.Lock()
	defer t.mu.Unlock()
	var found *slot
	if shared := t.readBucket(hash); shared != nil {
		found = shared.find(hash, now) // the latest of both processes
	}
	if found == nil {
		found = t.memory[hash%buckets].find(hash, now)
	}
	if found == nil || found.isRemoved {
		return Attempt{}, false
	}
	return Attempt{Zone: found.zone, Pod: found.pod, SentAt: time.Now().Add(-time.Duration(now - found.sentAt))}, true
}

// put stores a slot in memory and in the file.
func (t *Table) put(s slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.memory[s.hash%buckets].put(s)
	shared := t.readBucket(s.hash)
	if shared == nil {
		return
	}
	index := shared.put(s)
	var data [slotSize]byte
	s.encode(data[:])
	_, err := t.file.WriteAt(data[:], offsetOf(s.hash)+int64(index*slotSize))
	t.recordAccess(err)
}

// readBucket reads the bucket of a hash from the file. It returns nil if there is no file, or if it cannot be read. The caller holds t.mu.
func (t *Table) readBucket(hash uint64) *bucket {
	if t.file == nil {
		return nil
	}
	var data [bucketSize]byte
	if _, err := t.file.ReadAt(data[:], offsetOf(hash)); err != nil && !errors.Is(err, io.EOF) {
		t.recordAccess(err)
		return nil
	}
	b := new(bucket)
	for i := range b {
		b[i].decode(data[i*slotSize:])
	}
	return b
}

// recordAccess records whether an access to the file failed, and logs the first of several failures. The caller holds t.mu.
func (t *Table) recordAccess(err error) {
	if err != nil && !t.failed {
		t.log.Error("file of request ids not accessible; requests that come again at another process may run twice", "error", err)
	}
	t.failed = err != nil
}

// find returns the slot with this hash, or nil if there is none or it is too old.
func (b *bucket) find(hash uint64, now int64) *slot {
	for i := range b {
		if s := &b[i]; s.hash == hash && s.sentAt != 0 && s.age(now) < retention {
			return s
		}
	}
	return nil
}

// put stores a slot in place of the one with its hash, or else of the oldest, and returns its index.
func (b *bucket) put(s slot) (index int) {
	now := monotonicNanos()
	for i := range b {
		if b[i].hash == s.hash {
			index = i
			break
		}
		if b[i].age(now) > b[index].age(now) {
			index = i
		}
	}
	b[index] = s
	return index
}

// age returns how old a slot is. One from before the machine's last start, whose clock is ahead, is older than any other.
func (s *slot) age(now int64) time.Duration {
	if s.sentAt > now {
		return max(time.Duration(now), retention)
	}
	return time.Duration(now - s.sentAt)
}

// encode writes a slot in the form of the file: the hash, the time, the zone, the pod and whether it is removed, and the low bits of the
// sum of the rest, by which a slot that was written in part is recognised.
func (s *slot) encode(data []byte) {
	binary.LittleEndian.PutUint64(data, s.hash)
	binary.LittleEndian.PutUint64(data[8:], uint64(s.sentAt))
	data[16] = s.zone
	binary.LittleEndian.PutUint16(data[17:], s.pod)
	if s.isRemoved {
		data[19] = 1
	}
	binary.LittleEndian.PutUint32(data[20:], uint32(xxhash.Sum64(data[:20])))
}

// decode reads a slot. One that is not valid is empty.
func (s *slot) decode(data []byte) {
	data = data[:slotSize]
	if binary.LittleEndian.Uint32(data[20:]) != uint32(xxhash.Sum64(data[:20])) {
		*s = slot{}
		return
	}
	*s = slot{hash: binary.LittleEndian.Uint64(data), sentAt: int64(binary.LittleEndian.Uint64(data[8:])), zone: data[16],
		pod: binary.LittleEndian.Uint16(data[17:]), isRemoved: data[19] == 1}
}

// hashOf returns the hash of an id.
func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

// offsetOf returns where the bucket of a hash is in the file.
func offsetOf(hash uint64) int64 { return int64(hash%buckets) * bucketSize }

// clockStart is a reading of the system's monotonic clock together with the time of Go's clock at that moment, which runs alike.
var clockStart = sync.OnceValues(func() (nanos int64, at time.Time) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0, time.Now() // the clock exists on every Linux
	}
	return now.Nano(), time.Now()
})

// monotonicNanos returns the time of the system's monotonic clock in nanoseconds, which does not follow steps of the wall clock.
func monotonicNanos() int64 {
	nanos, at := clockStart()
	return nanos + time.Since(at).Nanoseconds()
}
