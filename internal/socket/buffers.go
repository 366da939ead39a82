package socket

import (
	"os"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	sendBufferSizesFile  = "/proc/sys/net/ipv4/tcp_wmem" // the least, the initial and the greatest size in bytes
	defaultMaxSendBuffer = 4 << 20                       // bytes; Linux's default greatest size
	maxSegment           = 64 << 10                      // bytes; the last segment may exceed the size of the buffer
)

// MaxSendBuffer returns the maximum number of bytes that the system holds for a program on this machine between a write to a TCP
// connection and their receipt by the other end, unless the program has chosen a size of its own.
var MaxSendBuffer = sync.OnceValue(func() int64 {
	text, err := os.ReadFile(sendBufferSizesFile)
	if err != nil {
		return defaultMaxSendBuffer + maxSegment
	}
	return parseMaxSendBuffer(string(text)) + maxSegment
})

// parseMaxSendBuffer returns the greatest size in the text of sendBufferSizesFile, or defaultMaxSendBuffer if there is none.
func parseMaxSendBuffer(text string) int64 {
	sizes := strings.Fields(text)
	if len(sizes) != 3 {
		return defaultMaxSendBuffer
	}
	size, err := strconv.ParseInt(sizes[2], 10, 64)
	if err != nil || size <= 0 {
		return defaultMaxSendBuffer
	}
	return size
}

// UnreadBytes returns how many bytes of input the system holds for a socket. ok is false if the system does not tell.
func UnreadBytes(fd uintptr) (n int64, ok bool) {
	unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	return int64(unread), err == nil
}
