// Command 6 is a case of the second review: pin servers send some answers twice, and the second one, some milliseconds late, is
// passed to a client as the answer to another request.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"bramblestand/review/lib2"
)

const (
	pinServers  = 6
	clients     = 12
	maxThink    = 40 * time.Millisecond
	minWork     = 84 * time.Millisecond
	maxWork     = 150 * time.Millisecond
	spoiltOneIn = 50 // answers of which one is sent twice
	maxLate     = 10 * time.Millisecond
	timeLeft    = 2 * time.Second
	length      = 30 * time.Second
)

func main() { lib2.Main(run) }

// between returns a random time between two bounds.
func between(least, most time.Duration) time.Duration {
	return least + rand.N(most-least)
}

func run(c *lib2.Case) (int, string) {
	var mu sync.Mutex
	counts := map[string]int{}
	count := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		counts[what]++
	}
	handle := func(conn net.Conn, request *http.Request, _ []byte) bool {
		time.Sleep(between(minWork, maxWork))
		answer := lib2.OK("saved:" + request.Header.Get("X-Correlation-Id"))
		io.WriteString(conn, answer)
		if c.Trouble && rand.IntN(spoiltOneIn) == 0 {
			late := between(time.Millisecond, maxLate)
			c.Printf("the answer to %s is sent again after %v", request.Header.Get("X-Correlation-Id"), late)
			count("sent twice")
			time.AfterFunc(late, func() { io.WriteString(conn, answer) })
		}
		return true
	}
	var hosts []lib2.Host
	for i := range pinServers {
		hosts = append(hosts, lib2.ReadyHost(fmt.Sprintf("s-%d", i), lib2.StartPinServer(handle).Address, 1))
	}
	agent := lib2.StartAgent(hosts...)
	sidecar := c.StartSidecar(lib2.SidecarOptions{Name: "n1", Discovery: agent.Address, Settings: lib2.Settings()})
	time.Sleep(time.Second)

	end := time.Now().Add(length)
	var running sync.WaitGroup
	for k := range clients {
		lib2.Go(&running, func() {
			var conn *lib2.ClientConn
			for i := 0; time.Now().Before(end); i++ {
				if conn == nil {
					var err error
					conn, err = lib2.DialClient(sidecar.Listen)
					lib2.Must(err)
				}
				id := fmt.Sprintf("r%d-%d", k, i)
				answer := conn.Do(lib2.Request{Class: "save-pins", ID: id, Key: "k-" + id, TimeLeft: timeLeft, Body: "pin"}, time.Second)
				c.Printf("%s: %d %q %v", id, answer.Status, answer.Body, answer.Err)
				count(fmt.Sprint("status ", answer.Status))
				if answer.Status == http.StatusOK && answer.Body != "saved:"+id {
					c.Printf("FOREIGN: %s got the answer %q", id, answer.Body)
					count("foreign")
				}
				if answer.Close || answer.Err != nil {
					conn.Close()
					conn = nil
				}
				time.Sleep(between(0, maxThink))
			}
		})
	}
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	if counts["foreign"] > 0 {
		return lib2.Broken, fmt.Sprint(counts)
	}
	return lib2.Held, fmt.Sprint(counts)
}
