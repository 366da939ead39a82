// Command 7 is a case of the second review: improper peers send much of a head and stop. The memory that their heads take is not
// limited, and the platform kills the sidecar for it.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramblestand/review/lib2"
)

const (
	memoryMB      = 64
	sockets       = 384
	improperPeers = 180
	headBytes     = 32000
	peerPause     = 200 * time.Millisecond
	clients       = 10
	timeLeft      = 2 * time.Second
	length        = 15 * time.Second
)

func main() { lib2.Main(run) }

func run(c *lib2.Case) (int, string) {
	handle := func(conn net.Conn, request *http.Request, _ []byte) bool {
		time.Sleep(100 * time.Millisecond)
		io.WriteString(conn, lib2.OK("saved:"+request.Header.Get("X-Correlation-Id")))
		return true
	}
	agent := lib2.StartAgent(lib2.ReadyHost("s-0", c.StartPinServer(handle).Address, 1),
		lib2.ReadyHost("s-1", c.StartPinServer(handle).Address, 1))
	sidecar := c.StartSidecar(lib2.SidecarOptions{Name: "n1", Discovery: agent.Address, Settings: lib2.Settings(),
		MemoryMB: memoryMB, Sockets: sockets, OneCore: true})
	time.Sleep(time.Second)
	start := time.Now()
	end := start.Add(length)

	if c.Trouble {
		for i := range improperPeers {
			go improperPeer(c, i, sidecar.Listen, end)
		}
	}
	var mu sync.Mutex
	counts := map[string]int{}
	var running sync.WaitGroup
	for k := range clients {
		lib2.Go(&running, func() {
			for i := 0; time.Now().Before(end) && !sidecar.HasExited(); i++ {
				id := fmt.Sprintf("r%d-%d", k, i)
				conn, err := c.DialClient(sidecar.Listen)
				if err != nil {
					c.Printf("%s: %v", id, err)
					continue
				}
				answer := conn.Do(lib2.Request{Class: "save-pins", ID: id, Key: "k-" + id, TimeLeft: timeLeft, Body: "pin"}, time.Second)
				conn.Close()
				c.Printf("%s: %d %v", id, answer.Status, answer.Err)
				mu.Lock()
				counts[fmt.Sprint("status ", answer.Status)]++
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}

	// The platform kills a sidecar that takes more memory than its limit. Only what the process has allocated is counted here, not
	// the pages of the program's file.
	most, isKilled := 0, false
	for time.Now().Before(end) && !isKilled {
		taken, err := allocatedKB(sidecar.Pid())
		lib2.Must(err)
		if taken > most {
			most = taken
			c.Printf("the sidecar has allocated %d kB of %d kB", taken, memoryMB<<10)
		}
		if taken > memoryMB<<10 {
			isKilled = true
			c.Printf("over the limit: the platform kills the sidecar")
			sidecar.Signal(syscall.SIGKILL)
		}
		time.Sleep(20 * time.Millisecond)
	}
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	text := fmt.Sprintf("most memory %d kB of %d kB, killed %t after %.1f s, proper requests %v", most, memoryMB<<10, isKilled,
		time.Since(start).Seconds(), counts)
	if isKilled {
		return lib2.Broken, text
	}
	return lib2.Held, text
}

// improperPeer sends most of a head, and stays until it gets an error or a close. Then it comes again.
func improperPeer(c *lib2.Case, i int, address string, end time.Time) {
	head := "POST /save-pins HTTP/1.1\r\nHost: api.internal\r\n"
	for i := 0; len(head) < headBytes; i++ {
		head += strconv.FormatInt(int64(i), 36) + ":\r\n"
	}
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		c.Printf("improper peer %d sends %d bytes of a head", i, len(head))
		io.WriteString(conn, head)
		conn.SetReadDeadline(end)
		answer, _ := io.ReadAll(conn)
		c.Printf("improper peer %d got %q and was closed", i, answer)
		conn.Close()
		time.Sleep(peerPause)
	}
}

// allocatedKB returns how much anonymous memory a process holds.
func allocatedKB(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(text), "RssAnon:")
	return strconv.Atoi(strings.Fields(after)[0])
}
