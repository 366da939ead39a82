package handover

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// Bytes of the lock file. Each is locked by itself; processes of other releases use the same ones.
const (
	writeByte     = 0 // locked while the handover file is written
	firstSeatByte = 1 // one seat for each of two processes
	seatCount     = 2
	fleetByte     = firstSeatByte + seatCount // locked by the process that is the sidecar's member of the fleet
)

// errNoSeat reports that as many processes of this sidecar run as may.
var errNoSeat = errors.New("more than two processes of this sidecar run")

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

// lock takes the lock on a byte, or fails with EAGAIN or EACCES where another process has it.
func (l *lockFile) lock(at int64) error { return l.set(unix.F_WRLCK, at) }

func (l *lockFile) unlock(at int64) error { return l.set(unix.F_UNLCK, at) }

func (l *lockFile) set(kind int16, at int64) error {
	return unix.FcntlFlock(l.file.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: kind, Start: at, Len: 1})
}

// takeSeat locks the first free seat.
func (l *lockFile) takeSeat() error {
	for seat := int64(firstSeatByte); seat < firstSeatByte+seatCount; seat++ {
		if l.lock(seat) == nil {
			return nil
		}
	}
	return errNoSeat
}

// isOtherSeatTaken reports whether another process has a seat.
func (l *lockFile) isOtherSeatTaken() bool {
	query := unix.Flock_t{Type: unix.F_WRLCK, Start: firstSeatByte, Len: seatCount}
	err := unix.FcntlFlock(l.file.Fd(), unix.F_OFD_GETLK, &query)
	return err == nil && query.Type != unix.F_UNLCK
}
