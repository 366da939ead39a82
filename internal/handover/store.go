// Package handover holds the state that two processes of one sidecar share while an upgrade replaces one by the other. It
// consists of a file with the operators' settings, and of locks that show each process whether the other is running and
// which of the two is the sidecar's member of the fleet.
//
// A process opens a Store when it starts and closes it when it ends. Operators' calls change the settings with Update; the
// other process calls Load every PollInterval and applies the changes. The file is in a temporary folder and may be lost
// if the machine fails. Settings that must survive that are persisted by internal/state, and Restore adopts them from
// there.
package handover

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// PollInterval is the time between two checks of the file and of the other process's locks.
const PollInterval = 100 * time.Millisecond

const (
	writeLockTimeout = 500 * time.Millisecond // the other process holds the lock while it writes a small file
	writeLockRetry   = 5 * time.Millisecond
)

// ErrUnavailable is returned by Update if the folder of the handover file cannot be used.
var ErrUnavailable = errors.New("the state file's folder cannot be used")

// State is what both processes share: the operators' settings.
type State struct {
	Revision uint64   // grows with every change; 0 if nothing was ever changed
	Banned   []string // names of the endpoints that operators have banned
	Drained  bool     // clients are sent to other sidecars
}

// Store reads and writes the state that two processes of one sidecar share. All methods may be called from any
// goroutine.
type Store struct {
	path string
	log  *slog.Logger

	mu       sync.Mutex
	locks    *lockFile   // nil if the lock file could not be opened, and after Close
	state    State       // last valid state
	fileInfo os.FileInfo // of the file when it was last read; nil before the first read and after a failed one

	cached atomic.Pointer[State] // state, for readers that must not block on mu
}

// Open locks a process slot for this process of the sidecar called name, whose handover file is in the folder dir. If the
// folder cannot be used, Open logs an error. Update then fails, and all other methods work as if no other process were
// running.
func Open(dir, name string, log *slog.Logger) *Store {
	s := &Store{path: filePath(dir, name), log: log}
	s.cached.Store(&State{})
	locks, err := openLockFile(s.path + ".lock")
	if err != nil {
		log.Error("handover lock file not opened; calls that change settings will fail", "error", err)
		return s
	}
	s.locks = locks
	if err := locks.lockProcessSlot(); err != nil {
		log.Error("handover process slot not taken", "error", err)
	}
	return s
}

// Close releases this process's locks. The shared state stays in the file.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks != nil {
		s.locks.close()
		s.locks = nil
	}
}

// HasOtherProcess reports whether another process of this sidecar is running.
func (s *Store) HasOtherProcess() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.locks != nil && s.locks.hasOtherProcess()
}

// AcquireFleetMembership makes this process the sidecar's member of the fleet, or reports false if the other process is the
// member. Without a lock file it cannot detect another process and reports true.
func (s *Store) AcquireFleetMembership() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.locks == nil || s.locks.lock(fleetByte) == nil
}

// ReleaseFleetMembership lets the other process become the sidecar's member of the fleet.
func (s *Store) ReleaseFleetMembership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks != nil {
		s.locks.unlock(fleetByte)
	}
}

// Load reads the file if it has changed and returns its state. If the file is not valid, Load logs the fault once and
// returns the last valid state.
func (s *Store) Load() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return s.state
}

// Cached returns the last valid state without reading the file, and never blocks.
func (s *Store) Cached() *State { return s.cached.Load() }

// refresh reads the file if it has changed. It is called with s.mu locked.
func (s *Store) refresh() {
	info, err := os.Stat(s.path)
	if errors.Is(err, fs.ErrNotExist) && s.fileInfo == nil {
		return // nothing was ever changed
	}
	if err == nil && s.isUnchanged(info) {
		return
	}
	s.fileInfo = info // nil after an error
	var next State
	if err == nil {
		next, err = readFile(s.path, info.Size())
	}
	if err != nil {
		s.log.Error("handover file not valid; the last valid settings stay", "error", err)
		return
	}
	if next.Revision >= s.state.Revision {
		s.set(next)
	}
}

// isUnchanged reports whether info describes the file as it was when it was last read.
func (s *Store) isUnchanged(info os.FileInfo) bool {
	last := s.fileInfo
	return last != nil && os.SameFile(info, last) && info.ModTime().Equal(last.ModTime()) && info.Size() == last.Size()
}

// set makes state the last valid state. It is called with s.mu locked.
func (s *Store) set(state State) {
	s.state = state
	s.cached.Store(&state)
}

// write writes state to the file. It is called with s.mu locked.
func (s *Store) write(state State) error {
	if err := writeFile(s.path, state); err != nil {
		return err
	}
	s.fileInfo, _ = os.Stat(s.path) // if Stat fails, fileInfo is nil and the next refresh reads the file
	return nil
}

// Restore adopts a state that was persisted on disk if it is newer than that of the handover file, which may have been lost
// when the machine failed. An error means that the adopted state could not be written to the handover file; the state is
// in force in this process all the same.
func (s *Store) Restore(persisted State) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	if !isNewer(persisted, s.state) {
		return nil
	}
	persisted.Revision = max(persisted.Revision, 1)
	s.set(persisted)
	return s.write(persisted)
}

// isNewer reports whether a persisted state supersedes the current one. A persisted state without a revision was written by
// an earlier release. It supersedes the current state if it holds a ban or a drain and the current state has no revision
// either.
func isNewer(persisted, current State) bool {
	if persisted.Revision != current.Revision {
		return persisted.Revision > current.Revision
	}
	return persisted.Revision == 0 && (len(persisted.Banned) > 0 || persisted.Drained)
}

// Update changes the state for both processes and returns the new state. Under the write lock, and before the other process
// can see the new state, it calls persist with it. If persist returns nil, the new state is stored where it survives a
// failure of the machine.
//
// If Update returns an error, the handover file is unchanged, and the returned state is the one in force. If the error
// comes from writing the file, after persist has succeeded, the change is persisted and takes effect at the next start.
// Errors are ErrUnavailable, those of persist, and those of locking and of writing the file.
func (s *Store) Update(change func(*State), persist func(State) error) (State, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks == nil {
		return s.state, ErrUnavailable
	}
	if err := s.lockForWrite(); err != nil {
		return s.state, err
	}
	defer s.locks.unlock(writeByte)
	s.refresh()
	next := s.state
	next.Banned = append([]string(nil), s.state.Banned...) // an empty list is always written as null
	change(&next)
	next.Revision = s.state.Revision + 1
	if err := persist(next); err != nil {
		return s.state, err
	}
	if err := s.write(next); err != nil {
		return s.state, err
	}
	s.set(next)
	return next, nil
}

// lockForWrite takes the write lock. It fails if that takes longer than writeLockTimeout. It is called with s.mu locked.
func (s *Store) lockForWrite() error {
	for deadline := time.Now().Add(writeLockTimeout); ; time.Sleep(writeLockRetry) {
		err := s.locks.lock(writeByte)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("handover write lock: %w", err)
		}
	}
}
