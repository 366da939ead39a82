package sidecar

import (
	"time"

	"golang.org/x/sys/unix"
)

// systemTimeResolution is the resolution of the times that the system reports for a socket.
const systemTimeResolution = 10 * time.Millisecond

// inputArrivals tells when a client's input arrived in the system's buffers, where it may wait before it is read: for the connection to be
// accepted, for the processor, or behind earlier requests on the same connection. A client's time begins with its request, not
// with the read.
//
// A sample of the socket says that everything that has arrived by now had arrived at a time. The next sample is taken when more than that
// was read.
type inputArrivals struct {
	bytesRead  int64
	knownBytes int64     // of the input that had arrived at knownAt
	knownAt    time.Time // when the newest of them arrived
}

// inputSample is what the system tells about a socket's input.
type inputSample struct {
	age         time.Duration // since the newest input arrived
	unreadBytes int64
}

// add counts n bytes that were read at now. It calls sample if they had not arrived at the last sample.
func (a *inputArrivals) add(n int, now time.Time, sample func() inputSample) {
	a.bytesRead += int64(n)
	if a.bytesRead <= a.knownBytes {
		return
	}
	s := sample()
	a.knownBytes, a.knownAt = a.bytesRead+s.unreadBytes, now.Add(-s.age)
}

// sampleInput asks the system how old the newest input of the connection is. The caller holds c.mu.
func (c *clientConn) sampleInput(fd uintptr, unread remainingInput) (sample inputSample) {
	sample.unreadBytes = unread.bytes
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return sample
	}
	// Between requests, everything that was written before has been sent, unless the client does not read it.
	if writeAge, ok := c.lastWrite.age(); ok && c.requestsTaken == c.requestsFinished && info.Notsent_bytes == 0 {
		c.owner.systemClock.compare(time.Duration(info.Last_data_sent)*time.Millisecond, writeAge)
	}
	if !c.owner.systemClock.differs.Load() {
		sample.age = max(0, time.Duration(info.Last_data_recv)*time.Millisecond+c.handshakeDelay(info)-systemTimeResolution)
	}
	return sample
}

// handshakeDelay returns how long the end of the handshake was delayed, if the client's first input came with it. When the queue of
// connections to be accepted is full, the system drops what ends the handshake, and the client's system sends it again with the
// request after 0.2 s or more: by the client's clock the connection was made at its begin. The caller holds c.mu.
func (c *clientConn) handshakeDelay(info *unix.TCPInfo) time.Duration {
	// Until something is sent, Last_data_sent counts from the end of the handshake, and Rtt is that of the handshake.
	const microsPerMilli = 1000
	if _, isWritten := c.lastWrite.age(); isWritten || c.arrivals.knownBytes > 0 {
		return 0
	}
	sinceHandshake, sinceInput := time.Duration(info.Last_data_sent)*time.Millisecond, time.Duration(info.Last_data_recv)*time.Millisecond
	if sinceHandshake-sinceInput > systemTimeResolution {
		return 0
	}
	return time.Duration(info.Rtt/microsPerMilli) * time.Millisecond
}

// requestArrivedAt returns when the request that was read last had arrived, as far as it was read. It is never later than the read.
func (c *clientConn) requestArrivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestArrived
}
