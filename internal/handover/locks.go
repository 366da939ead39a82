package handover

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// Offsets of the bytes in the lock file that serve as locks. Each byte is locked on its own. Processes of other releases use
// the same offsets.
const (
	writeByte        = 0 // locked while the handover file is written
	firstProcessByte = 1 // the first process slot; each of two processes locks one
	maxProcesses     = 2
	fleetByte        = firstProcessByte + maxProcesses // locked by the process that is the sidecar's member of the fleet
)

// errTooManyProcesses reports that other processes of this sidecar hold all process slots.
var errTooManyProcesses = errors.New("more than two processes of this sidecar run")

// lockFile is a file whose bytes serve as locks between processes. They are open file description locks: the system
// releases them when the file is closed, however the process ends.
type lockFile struct{ file *os.File }

func openLockFile(path string) (*lockFile, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	return &lockFile{file}, nil
}

// close releases all locks.
func (l *lockFile) close() error { return l.file.Close() }

// lock locks the byte at an offset. It fails with EAGAIN or EACCES if another process holds the lock.
func (l *lockFile) lock(offset int64) error { return l.set(unix.F_WRLCK, offset) }

func (l *lockFile) unlock(offset int64) error { return l.set(unix.F_UNLCK, offset) }

func (l *lockFile) set(kind int16, offset int64) error {
	return unix.FcntlFlock(l.file.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: kind, Start: offset, Len: 1})
}

// lockProcessSlot locks the first free process slot. It returns errTooManyProcesses if none is free.
func (l *lockFile) lockProcessSlot() error {
	for slot := int64(firstProcessByte); slot < firstProcessByte+maxProcesses; slot++ {
		if l.lock(slot) == nil {
			return nil
		}
	}
	return errTooManyProcesses
}

// hasOtherProcess reports whether another process holds a process slot.
func (l *lockFile) hasOtherProcess() bool {
	query := unix.Flock_t{Type: unix.F_WRLCK, Start: firstProcessByte, Len: maxProcesses}
	err := unix.FcntlFlock(l.file.Fd(), unix.F_OFD_GETLK, &query)
	return err == nil && query.Type != unix.F_UNLCK
}
