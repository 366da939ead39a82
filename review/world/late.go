package world

import (
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Phases of a LateListener. A connection that is asked for in a late phase is asked for again by the sidecar's system one second
// later, which is then in an open phase: it comes up one second late.
const (
	latePhase = 500 * time.Millisecond
	openPhase = time.Second
	backlog   = 16
)

// LateListener is a listening socket at which a third of the connections come up late: in its late phases its queue of connections
// that are not accepted is full, as on a machine that is short of time, so that the system drops what asks for further ones.
type LateListener struct {
	net.Listener
	mu     sync.Mutex
	isLate bool
	opened *sync.Cond
	ended  chan struct{}
	once   sync.Once
}

// ListenLate opens a listener on 127.0.0.1. Its late phases begin with Begin.
func ListenLate() (*LateListener, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close() // FileListener has a copy
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := unix.Listen(fd, backlog); err != nil {
		return nil, err
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	l := &LateListener{Listener: listener, ended: make(chan struct{})}
	l.opened = sync.NewCond(&l.mu)
	return l, nil
}

// Accept waits for the next connection, but not in a late phase.
func (l *LateListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.isLate {
		l.opened.Wait()
	}
	l.mu.Unlock()
	return l.Listener.Accept()
}

// Close ends the phases and closes the socket.
func (l *LateListener) Close() error {
	l.once.Do(func() { close(l.ended) })
	l.setLate(false)
	return l.Listener.Close()
}

func (l *LateListener) setLate(late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLate = late
	l.opened.Broadcast()
}

// Begin alternates late and open phases until Close. The first phase is an open one that lasts for first.
func (l *LateListener) Begin(first time.Duration) {
	go func() {
		for wait := first; ; wait = openPhase {
			if !l.sleep(wait) {
				return
			}
			l.setLate(true)
			begin := time.Now()
			own := l.fill()
			ok := l.sleep(latePhase - time.Since(begin))
			for _, conn := range own {
				conn.Close()
			}
			l.setLate(false)
			if !ok {
				return
			}
		}
	}()
}

// fill opens connections of its own until the queue is full.
func (l *LateListener) fill() (own []net.Conn) {
	for range 4 * backlog {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), 10*time.Millisecond)
		if err != nil {
			return own
		}
		own = append(own, conn)
	}
	return own
}

// sleep returns false if the listener is closed meanwhile.
func (l *LateListener) sleep(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-l.ended:
		return false
	}
}
