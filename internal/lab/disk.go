package lab

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// disk is the disk of one machine: a folder with the persisted state of its
// sidecars and their TMPDIR. Faults of one kind may overlap: their effect lasts
// until the last of them ends.
type disk struct {
	folder string

	mu       sync.Mutex     // guards the fields below
	full     int            // active faults that make it full
	readonly int            // active faults that make it read-only
	slow     map[int]func() // functions that end the active faults that make it slow, by fault
}

// newDisk creates the disk's folders, or uses those of an earlier run.
func newDisk(folder string) (*disk, error) {
	d := &disk{folder: folder, slow: map[int]func(){}}
	return d, d.makeFolders()
}

// makeFolders creates the folders that do not exist.
func (d *disk) makeFolders() error {
	for _, f := range []string{d.state(), d.tmp()} {
		if err := os.MkdirAll(f, 0o700); err != nil {
			return fmt.Errorf("disk: %w", err)
		}
	}
	return nil
}

// state is the folder of the sidecars' persisted state.
func (d *disk) state() string { return filepath.Join(d.folder, "state") }

// tmp is the sidecars' TMPDIR.
func (d *disk) tmp() string { return filepath.Join(d.folder, "tmp") }

// reboot clears TMPDIR, as a loss of power does.
func (d *disk) reboot() error { return d.clear(d.tmp()) }

// replace clears the whole disk, as the replacement of the machine does.
func (d *disk) replace() error { return d.clear(d.folder) }

// clear deletes a folder with its contents, creates the disk's folders again and applies the active faults to them.
func (d *disk) clear(folder string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := os.RemoveAll(folder); err != nil {
		return err
	}
	if err := d.makeFolders(); err != nil {
		return err
	}
	return d.applyPermissions()
}

// applyPermissions sets the permissions of all folders and files: not writable while the disk is read-only. The caller
// holds d.mu.
func (d *disk) applyPermissions() error {
	return filepath.WalkDir(d.folder, func(path string, e fs.DirEntry, err error) error {
		if errors.Is(err, fs.ErrNotExist) {
			return nil // a sidecar has renamed the file meanwhile
		} else if err != nil {
			return err
		}
		mode := os.FileMode(0o600)
		if e.IsDir() {
			mode = 0o700
		}
		if d.readonly > 0 {
			mode &^= 0o200
		}
		if err := os.Chmod(path, mode); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	})
}

// setReadonly begins or ends a fault that makes the disk read-only.
func (d *disk) setReadonly(on bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readonly += sign(on)
	return d.applyPermissions()
}

// setFull begins or ends a fault that makes the disk full. Its effect is the limit that fileSizeLimit returns.
func (d *disk) setFull(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full += sign(on)
}

// fileSizeLimit returns the current file size limit for the processes of this machine, in bytes: 0 while the disk is
// full, otherwise infinite.
func (d *disk) fileSizeLimit() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full > 0 {
		return 0
	}
	return unix.RLIM_INFINITY
}

// setSlow begins or ends a fault that delays every save of a state file on this
// disk by up to delay: the lab locks the files for delay at a time, with gaps.
func (d *disk) setSlow(fault int, delay time.Duration, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end := d.slow[fault]; end != nil {
		end()
		delete(d.slow, fault)
	}
	if !on {
		return
	}
	stop := make(chan struct{})
	d.slow[fault] = sync.OnceFunc(func() { close(stop) })
	go d.lockPeriodically(delay, stop)
}

// lockPeriodically locks the state files for delay at a time, with gaps, until stop is closed.
func (d *disk) lockPeriodically(delay time.Duration, stop <-chan struct{}) {
	const gap = 60 * time.Millisecond // longer than the 50 ms between two of bbolt's attempts to lock a file
	for {
		locked := d.lockStateFiles()
		isStopped := waitOrStop(delay, stop)
		for _, f := range locked {
			f.Close() // releases the lock
		}
		if isStopped || waitOrStop(gap, stop) {
			return
		}
	}
}

// lockStateFiles locks the state files of all sidecars and returns those that it could lock.
func (d *disk) lockStateFiles() (locked []*os.File) {
	paths, _ := filepath.Glob(filepath.Join(d.state(), "*.db"))
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			continue
		}
		if !lockFile(f) {
			f.Close()
			continue
		}
		locked = append(locked, f)
	}
	return locked
}

// lockFile locks a file and reports whether it succeeded. It retries, since a sidecar holds the lock during a save, which
// is short.
func lockFile(f *os.File) bool {
	const maxLockAttempts = 500 // one every millisecond
	for range maxLockAttempts {
		if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// waitOrStop waits for a duration, or until stop is closed, and reports whether stop was closed first.
func waitOrStop(d time.Duration, stop <-chan struct{}) bool {
	select {
	case <-time.After(d):
		return false
	case <-stop:
		return true
	}
}

// close ends the disk's faults and makes its files writable, so that they can be deleted.
func (d *disk) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, end := range d.slow {
		end()
	}
	d.readonly = 0
	d.applyPermissions()
}

// sign returns 1 if on, otherwise -1: the change of a counter of active faults.
func sign(on bool) int {
	if on {
		return 1
	}
	return -1
}
