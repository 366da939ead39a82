package turns

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pollBarrier waits until the Go scheduler has polled the network. The scheduler polls only when no goroutine is runnable, or every 10 ms.
// After the wait, therefore, all goroutines that were runnable at its start have run, and all connections that had become ready are
// runnable.
//
// It uses an eventfd that the scheduler polls together with the sockets. One goroutine uses it at a time.
type pollBarrier struct {
	file *os.File
	raw  syscall.RawConn
}

// eventCount is what is written to an eventfd, in the machine's byte order, and the buffer that its counter is read into.
type eventCount [8]byte

func newPollBarrier() (*pollBarrier, error) {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("create an eventfd: %w", err)
	}
	file := os.NewFile(uintptr(fd), "eventfd")
	raw, err := file.SyscallConn()
	if err == nil {
		err = file.SetReadDeadline(time.Time{}) // fails if the scheduler does not poll the file
	}
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("poll an eventfd: %w", err)
	}
	return &pollBarrier{file: file, raw: raw}, nil
}

// wait waits until the network has been polled, but no longer than timeout.
func (b *pollBarrier) wait(timeout time.Duration) {
	b.file.SetReadDeadline(time.Now().Add(timeout))
	isSignaled := false
	// The event has to be signaled after raw.Read has begun, which forgets events of before. It fails only at the deadline.
	b.raw.Read(func(fd uintptr) (isDone bool) {
		var count eventCount
		if isSignaled {
			unix.Read(int(fd), count[:])
			return true
		}
		isSignaled = true
		count[0] = 1
		_, err := unix.Write(int(fd), count[:])
		return err != nil
	})
}
