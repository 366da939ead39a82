// Package handover is what two processes of one sidecar share while one replaces the other.
package handover

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
	formatVersion    = 1
	maxFileBytes     = 1 << 20                // bytes of the file
	PollInterval     = 100 * time.Millisecond // between looks at the file and at the other's seat
	writeLockTimeout = 500 * time.Millisecond // the lock is held for the writing of a small file
	writeLockRetry   = 5 * time.Millisecond

	// Bytes of the lock file: one to write under, a seat for each of two processes, and one for the process that is
	// this sidecar's member of the fleet.
	writeByte     = 0
	firstSeatByte = 1
	seatCount     = 2
	fleetByte     = firstSeatByte + seatCount
)

// State is what the two processes of an upgrade agree on.
type State struct {
	Version  int      `json:"version"`
	Revision uint64   `json:"seq"` // grows with every change
	Drained  bool     `json:"drained"`
	Banned   []string `json:"banned"` // host names
}

// Store keeps the shared state in a file, and tells whether another process of this sidecar runs.
type Store struct {
	path string
	log  *slog.Logger

	mu       sync.Mutex
	lock     *os.File    // nil where it could not be opened
	state    State       // last good state
	fileInfo os.FileInfo // as last read; nil before

	cached atomic.Pointer[State] // last, for who must not wait for mu
}

var ErrUnavailable = errors.New("the state file's folder cannot be used")

// Open takes a seat and reads what an earlier process left. A folder that cannot be used costs the operators'
// calls that change something, not the service.
func Open(dir, name string, log *slog.Logger) *Store {
	s := &Store{path: filepath.Join(dir, "pinedale-"+url.PathEscape(name)+".json"), log: log}
	s.cached.Store(&State{})
	var err error
	if s.lock, err = os.OpenFile(s.path+".lock", os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		log.Error("state file: no lock; calls that change something are answered no", "error", err)
		return s
	}
	seated := false
	for seat := int64(firstSeatByte); seat < firstSeatByte+seatCount && !seated; seat++ {
		seated = s.flock(unix.F_WRLCK, seat) == nil
	}
	if !seated {
		log.Error("state file: more than two processes of this sidecar run")
	}
	return s
}

// Cached returns the last valid state, for who must not wait.
func (s *Store) Cached() *State { return s.cached.Load() }

// Close gives the seat up.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock != nil {
		s.lock.Close()
		s.lock = nil
	}
}

// flock locks or unlocks a byte of the lock file, for as long as the file is open.
func (s *Store) flock(kind int16, at int64) error {
	return unix.FcntlFlock(s.lock.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: kind, Start: at, Len: 1})
}

// HasOtherProcess says whether another process of this sidecar runs.
func (s *Store) HasOtherProcess() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock == nil {
		return false
	}
	other := unix.Flock_t{Type: unix.F_WRLCK, Start: firstSeatByte, Len: seatCount}
	err := unix.FcntlFlock(s.lock.Fd(), unix.F_OFD_GETLK, &other)
	return err == nil && other.Type != unix.F_UNLCK
}

// AcquireFleetMembership makes this process the sidecar's member of the fleet, unless the other is; where there is no lock file, no
// other process can be told of.
func (s *Store) AcquireFleetMembership() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lock == nil || s.flock(unix.F_WRLCK, fleetByte) == nil
}

// ReleaseFleetMembership lets the other process be the member.
func (s *Store) ReleaseFleetMembership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock != nil {
		s.flock(unix.F_UNLCK, fleetByte)
	}
}

// Load returns the state by the file as it is now.
func (s *Store) Load() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return s.state
}

// refresh takes in the file if it has changed. It holds s.mu.
func (s *Store) refresh() {
	info, err := os.Stat(s.path)
	if errors.Is(err, fs.ErrNotExist) && s.fileInfo == nil {
		return // nothing was ever changed
	}
	if err == nil && s.fileInfo != nil && os.SameFile(info, s.fileInfo) && info.ModTime().Equal(s.fileInfo.ModTime()) &&
		info.Size() == s.fileInfo.Size() {
		return
	}
	if err != nil {
		s.log.Error("state file: keeping the last good state", "error", err)
		s.fileInfo = nil
		return
	}
	s.fileInfo = info
	next, err := readFile(s.path, info.Size())
	if err != nil {
		s.log.Error("state file: keeping the last good state", "error", err)
		return
	}
	if next.Revision >= s.state.Revision {
		s.set(next)
	}
}

// set takes a state for the last good one. It holds s.mu.
func (s *Store) set(state State) {
	s.state = state
	s.cached.Store(&state)
}

// Restore takes in what was kept on disk, where it is newer than the file: the file lives in memory and may have died
// with the machine. What was kept holds for this process also where the file cannot be written.
func (s *Store) Restore(kept State) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	if kept.Revision < s.state.Revision || kept.Revision == s.state.Revision && (kept.Revision > 0 || len(kept.Banned) == 0 && !kept.Drained) {
		return nil
	}
	kept.Version, kept.Revision = formatVersion, max(kept.Revision, 1) // a snapshot of an earlier release has no number
	s.set(kept)
	return s.write(kept)
}

// write puts a state into the file. It holds s.mu.
func (s *Store) write(state State) error {
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
	s.fileInfo, _ = os.Stat(s.path) // it is looked at again if that failed
	return nil
}

func readFile(path string, size int64) (State, error) {
	var state State
	if size > maxFileBytes {
		return state, fmt.Errorf("%s: %d bytes are too many", path, size)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return state, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&state); err != nil {
		return State{}, fmt.Errorf("%s: %w", path, err)
	}
	if state.Version != formatVersion {
		return State{}, fmt.Errorf("%s: version %d is not %d", path, state.Version, formatVersion)
	}
	return state, nil
}

// Update changes the state for both processes, and returns the new one. Before anybody learns of it, keep must have
// put it where it outlives this machine's power, if that is to be.
func (s *Store) Update(alter func(*State), keep func(State) error) (State, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock == nil {
		return s.state, ErrUnavailable
	}
	for until := time.Now().Add(writeLockTimeout); ; time.Sleep(writeLockRetry) {
		err := s.flock(unix.F_WRLCK, writeByte)
		if err == nil {
			break
		}
		if time.Now().After(until) {
			return s.state, fmt.Errorf("lock: %w", err)
		}
	}
	defer s.flock(unix.F_UNLCK, writeByte)
	s.refresh()
	next := s.state
	next.Banned = append([]string(nil), s.state.Banned...)
	alter(&next)
	next.Version, next.Revision = formatVersion, s.state.Revision+1
	if err := keep(next); err != nil {
		return s.state, err
	}
	if err := s.write(next); err != nil {
		return s.state, err
	}
	s.set(next)
	return next, nil
}
