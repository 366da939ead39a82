package sidecar

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	sharedVersion = 1
	sharedMost    = 1 << 20                // bytes of the file
	followEvery   = 100 * time.Millisecond // between looks at the file and at the other's seat
	lockPatience  = 500 * time.Millisecond // the lock is held for the writing of a small file
	lockPause     = 5 * time.Millisecond

	// Bytes of the lock file: one to write under, a seat for each of two processes, and one for the process that is
	// this sidecar's member of the fleet.
	writeByte = 0
	seatByte  = 1
	seats     = 2
	fleetByte = seatByte + seats
)

// shared is what the two processes of an upgrade agree on.
type shared struct {
	Version int      `json:"version"`
	Seq     uint64   `json:"seq"` // grows with every change
	Drained bool     `json:"drained"`
	Banned  []string `json:"banned"` // host names
}

// store keeps the shared state in a file, and tells whether another process of this sidecar runs.
type store struct {
	path string
	log  *slog.Logger

	mu   sync.Mutex
	lock *os.File    // nil where it could not be opened
	last shared      // last good state
	file os.FileInfo // as last read; nil before

	known atomic.Pointer[shared] // last, for who must not wait for mu
}

var errNoStore = errors.New("the state file's folder cannot be used")

// openStore takes a seat and reads what an earlier process left. A folder that cannot be used costs the operators'
// calls that change something, not the service.
func openStore(dir, name string, log *slog.Logger) *store {
	s := &store{path: filepath.Join(dir, "pinedale-"+url.PathEscape(name)+".json"), log: log}
	s.known.Store(&shared{})
	var err error
	if s.lock, err = os.OpenFile(s.path+".lock", os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		log.Error("state file: no lock; calls that change something are answered no", "error", err)
		return s
	}
	seated := false
	for seat := int64(seatByte); seat < seatByte+seats && !seated; seat++ {
		seated = s.flock(unix.F_WRLCK, seat) == nil
	}
	if !seated {
		log.Error("state file: more than two processes of this sidecar run")
	}
	return s
}

// close gives the seat up.
func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock != nil {
		s.lock.Close()
		s.lock = nil
	}
}

// flock locks or unlocks a byte of the lock file, for as long as the file is open.
func (s *store) flock(kind int16, at int64) error {
	return unix.FcntlFlock(s.lock.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: kind, Start: at, Len: 1})
}

// paired says whether another process of this sidecar runs.
func (s *store) paired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock == nil {
		return false
	}
	other := unix.Flock_t{Type: unix.F_WRLCK, Start: seatByte, Len: seats}
	err := unix.FcntlFlock(s.lock.Fd(), unix.F_OFD_GETLK, &other)
	return err == nil && other.Type != unix.F_UNLCK
}

// takeFleet makes this process the sidecar's member of the fleet, unless the other is; where there is no lock file, no
// other process can be told of.
func (s *store) takeFleet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lock == nil || s.flock(unix.F_WRLCK, fleetByte) == nil
}

// dropFleet lets the other process be the member.
func (s *store) dropFleet() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock != nil {
		s.flock(unix.F_UNLCK, fleetByte)
	}
}

// look returns the state by the file as it is now.
func (s *store) look() shared {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read()
	return s.last
}

// read takes in the file if it has changed. It holds s.mu.
func (s *store) read() {
	info, err := os.Stat(s.path)
	if errors.Is(err, fs.ErrNotExist) && s.file == nil {
		return // nothing was ever changed
	}
	if err == nil && s.file != nil && os.SameFile(info, s.file) && info.ModTime().Equal(s.file.ModTime()) &&
		info.Size() == s.file.Size() {
		return
	}
	if err != nil {
		s.log.Error("state file: keeping the last good state", "error", err)
		s.file = nil
		return
	}
	s.file = info
	next, err := readShared(s.path, info.Size())
	if err != nil {
		s.log.Error("state file: keeping the last good state", "error", err)
		return
	}
	if next.Seq >= s.last.Seq {
		s.set(next)
	}
}

// set takes a state for the last good one. It holds s.mu.
func (s *store) set(state shared) {
	s.last = state
	s.known.Store(&state)
}

// recall takes in what was kept on disk, where it is newer than the file: the file lives in memory and may have died
// with the machine. What was kept holds for this process also where the file cannot be written.
func (s *store) recall(kept shared) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read()
	if kept.Seq < s.last.Seq || kept.Seq == s.last.Seq && (kept.Seq > 0 || len(kept.Banned) == 0 && !kept.Drained) {
		return nil
	}
	kept.Version, kept.Seq = sharedVersion, max(kept.Seq, 1) // a snapshot of an earlier release has no number
	s.set(kept)
	return s.write(kept)
}

// write puts a state into the file. It holds s.mu.
func (s *store) write(state shared) error {
	data, err := json.Marshal(state)
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.path+".new", data, 0o600); err != nil {
		return err
	}
	if err := os.Rename(s.path+".new", s.path); err != nil {
		return err
	}
	s.file, _ = os.Stat(s.path) // it is looked at again if that failed
	return nil
}

func readShared(path string, size int64) (shared, error) {
	var state shared
	if size > sharedMost {
		return state, fmt.Errorf("%s: %d bytes are too many", path, size)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return state, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&state); err != nil {
		return shared{}, fmt.Errorf("%s: %w", path, err)
	}
	if state.Version != sharedVersion {
		return shared{}, fmt.Errorf("%s: version %d is not %d", path, state.Version, sharedVersion)
	}
	return state, nil
}

// update changes the state for both processes, and returns the new one. Before anybody learns of it, keep must have
// put it where it outlives this machine's power, if that is to be.
func (s *store) update(alter func(*shared), keep func(shared) error) (shared, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock == nil {
		return s.last, errNoStore
	}
	for until := time.Now().Add(lockPatience); ; time.Sleep(lockPause) {
		err := s.flock(unix.F_WRLCK, writeByte)
		if err == nil {
			break
		}
		if time.Now().After(until) {
			return s.last, fmt.Errorf("lock: %w", err)
		}
	}
	defer s.flock(unix.F_UNLCK, writeByte)
	s.read()
	next := s.last
	next.Banned = append([]string(nil), s.last.Banned...)
	alter(&next)
	next.Version, next.Seq = sharedVersion, s.last.Seq+1
	if err := keep(next); err != nil {
		return s.last, err
	}
	if err := s.write(next); err != nil {
		return s.last, err
	}
	s.set(next)
	return next, nil
}
