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
// sidecars and their TMPDIR. Faults of one kind are counted, and end with the last.
type disk struct {
	folder string

	mu       sync.Mutex
	full     int
	readonly int
	slow     map[int]func() // by fault, ends it
}

// newDisk makes the folder, or uses that of an earlier run.
func newDisk(folder string) (*disk, error) {
	d := &disk{folder: folder, slow: map[int]func(){}}
	return d, d.makeFolders()
}

func (d *disk) makeFolders() error {
	for _, f := range []string{d.state(), d.tmp()} {
		if err := os.MkdirAll(f, 0o700); err != nil {
			return fmt.Errorf("disk: %w", err)
		}
	}
	return nil
}

func (d *disk) state() string { return filepath.Join(d.folder, "state") }

func (d *disk) tmp() string { return filepath.Join(d.folder, "tmp") }

// reboot clears TMPDIR, as a loss of power does; replace empties the disk, as a new machine's is.
func (d *disk) reboot() error { return d.clear(d.tmp()) }

func (d *disk) replace() error { return d.clear(d.folder) }

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

// applyPermissions sets the permissions of folders and files by the active faults. The caller holds d.mu.
func (d *disk) applyPermissions() error {
	return filepath.WalkDir(d.folder, func(path string, e fs.DirEntry, err error) error {
		if errors.Is(err, fs.ErrNotExist) {
			return nil // a file that a sidecar renamed meanwhile
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

// setReadonly begins or ends a fault that forbids writing.
func (d *disk) setReadonly(on bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readonly += sign(on)
	return d.applyPermissions()
}

// setFull counts the faults that make the disk full; fileSizeLimit returns the effect.
func (d *disk) setFull(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full += sign(on)
}

// fileSizeLimit is the current file size limit of this machine's processes, in bytes.
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

// lockPeriodically locks the state files for delay at a time, until stop is closed.
func (d *disk) lockPeriodically(delay time.Duration, stop <-chan struct{}) {
	const gap = 60 * time.Millisecond // longer than the 50 ms between two attempts of bbolt to lock
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

// lockStateFiles locks the state files of all sidecars, without those that stay locked.
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

// lockFile locks a file, and reports whether it could. A save that holds the lock is short.
func lockFile(f *os.File) bool {
	const maxLockAttempts = 500 // one a millisecond
	for range maxLockAttempts {
		if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// waitOrStop waits for a time, and reports whether stop was closed before.
func waitOrStop(d time.Duration, stop <-chan struct{}) bool {
	select {
	case <-time.After(d):
		return false
	case <-stop:
		return true
	}
}

// close ends the disk's faults and makes its files removable.
func (d *disk) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, end := range d.slow {
		end()
	}
	d.readonly = 0
	d.applyPermissions()
}

func sign(on bool) int {
	if on {
		return 1
	}
	return -1
}
