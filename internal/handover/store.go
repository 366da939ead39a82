// Package handover is what two processes of one sidecar share while an upgrade replaces one by the other: a file with
// the operators' settings, and locks that tell each process whether the other runs and which of them is the sidecar's
// member of the fleet.
//
// A process opens a Store at its start and closes it at its end. The operators' calls change the settings with Update;
// the other process polls Load every PollInterval and applies what is new. The file is in a temporary folder and may be
// lost with the machine: what has to outlive that is in internal/state, from where Restore brings it back.
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

// PollInterval is the time between two looks at the file and at the other process's locks.
const PollInterval = 100 * time.Millisecond

const (
	writeLockTimeout = 500 * time.Millisecond // the lock is taken while a small file is written
	writeLockRetry   = 5 * time.Millisecond
)

// ErrUnavailable is returned by Update where the folder of the handover file cannot be used.
var ErrUnavailable = errors.New("the state file's folder cannot be used")

// State is what both processes share: the operators' settings.
type State struct {
	Revision uint64   // grows with every change; 0 where nothing was ever changed
	Banned   []string // names of endpoints taken out of use by hand
	Drained  bool     // clients are sent to other sidecars
}

// Store reads and writes the state that two processes of one sidecar share. All methods may be called from any
// goroutine.
type Store struct {
	path string
	log  *slog.Logger

	mu       sync.Mutex
	locks    *lockFile   // nil where the lock file could not be opened, and after Close
	state    State       // last valid state
	fileInfo os.FileInfo // of the file as last read; nil before, and after a failure

	cached atomic.Pointer[State] // state, for readers that must not block on mu
}

// Open locks a process slot for this process of the sidecar called name, whose handover file is in the folder dir. Where the
// folder cannot be used it logs that; then Update fails, and all else works as for a process alone.
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

// Close releases this process's locks. What is shared stays in the file.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks != nil {
		s.locks.close()
		s.locks = nil
	}
}

// HasOtherProcess reports whether another process of this sidecar runs.
func (s *Store) HasOtherProcess() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.locks != nil && s.locks.hasOtherProcess()
}

// AcquireFleetMembership makes this process the sidecar's member of the fleet, and reports false where the other
// process is. Without a lock file no other process can be seen, and it reports true.
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

// Load returns the state as the file has it now. Where the file is not valid the last valid state stays, and the
// fault is logged once.
func (s *Store) Load() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return s.state
}

// Cached returns the last valid state without a look at the file, and never blocks.
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

// isUnchanged reports whether info is that of the file as last read.
func (s *Store) isUnchanged(info os.FileInfo) bool {
	last := s.fileInfo
	return last != nil && os.SameFile(info, last) && info.ModTime().Equal(last.ModTime()) && info.Size() == last.Size()
}

// set makes a state the last valid one. It is called with s.mu locked.
func (s *Store) set(state State) {
	s.state = state
	s.cached.Store(&state)
}

// write puts a state into the file. It is called with s.mu locked.
func (s *Store) write(state State) error {
	if err := writeFile(s.path, state); err != nil {
		return err
	}
	s.fileInfo, _ = os.Stat(s.path) // where that fails the next refresh reads the file
	return nil
}

// Restore adopts a state that was persisted on disk, where it is newer than the file's: the file may have been lost
// with the machine. The state is in force for this process even where an error reports that the file was not written.
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

// isNewer reports whether a persisted state supersedes the current one. One without a revision was written by an
// earlier release, and counts where it orders anything and nothing else is known.
func isNewer(persisted, current State) bool {
	if persisted.Revision != current.Revision {
		return persisted.Revision > current.Revision
	}
	return persisted.Revision == 0 && (len(persisted.Banned) > 0 || persisted.Drained)
}

// Update changes the state for both processes and returns the new one. It calls persist with the new state, under the
// write lock, before the other process can see it: a nil from persist means that it is where it has to outlive the
// machine. On an error the handover file is unchanged and Update returns the state that is in force; if the error is the
// file's, after persist, the change is persisted and takes effect at the next start. Errors are ErrUnavailable,
// those of persist, and those of the lock and the file.
func (s *Store) Update(alter func(*State), persist func(State) error) (State, error) {
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
	next.Banned = append([]string(nil), s.state.Banned...) // empty is always written as null
	alter(&next)
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

// lockForWrite takes the write lock, within writeLockTimeout. It is called with s.mu locked.
func (s *Store) lockForWrite() error {
	for deadline := time.Now().Add(writeLockTimeout); ; time.Sleep(writeLockRetry) {
		err := s.locks.lock(writeByte)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("lock: %w", err)
		}
	}
}
