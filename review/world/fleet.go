package world

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// Fleet is a small deployment: pin servers, discovery and some sidecars, each with one client process beside it.
type Fleet struct {
	Record   *Record
	Servers  []*PinServer
	Sidecars []*Sidecar
	Clients  []*Client
	Random   *rand.Rand // for the goroutine of the case only

	discovery *Discovery
	dir       string
	mu        sync.Mutex
	sent      map[string]bool // ids that clients have sent
}

// Options are the command line of a case.
type Options struct {
	Trouble bool
	Record  string
	Seed    uint64
}

// ParseOptions reads the command line.
func ParseOptions() Options {
	var o Options
	flag.BoolVar(&o.Trouble, "trouble", true, "with the disruption")
	flag.StringVar(&o.Record, "record", "", "file for the record")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of the stand-ins' draws")
	flag.Parse()
	return o
}

// NewFleet makes the pin servers, which do not serve before Start. Each pod has five, all in one zone.
func NewFleet(o Options, servers int) (*Fleet, error) {
	record, err := OpenRecord(o.Record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: record, dir: dir, sent: map[string]bool{}, Random: rand.New(rand.NewPCG(o.Seed, 43))}
	for i := range servers {
		pod := i / 5
		zones := []string{"sydney", "melbourne", "hobart", "adelaide", "brisbane"}
		s, err := StartPinServer(record, i, zones[pod%len(zones)], pod+1)
		if err != nil {
			f.Close()
			return nil, err
		}
		s.Known = f.isSent
		f.Servers = append(f.Servers, s)
	}
	return f, nil
}

// Start starts everything, the sidecars last.
func (f *Fleet) Start(sidecars int, settings map[string]any) error {
	var hosts []Host
	for _, s := range f.Servers {
		s.Serve()
		hosts = append(hosts, s.Host)
	}
	var err error
	if f.discovery, err = StartDiscovery(hosts); err != nil {
		return err
	}
	for i := range sidecars {
		s, err := StartSidecar(f.dir, fmt.Sprintf("n%d", i), f.discovery.Address, settings, hosts)
		if err != nil {
			return err
		}
		f.Sidecars = append(f.Sidecars, s)
		f.Clients = append(f.Clients, &Client{Address: s.Address})
	}
	return nil
}

// Close ends all processes, and removes the temporary folder.
func (f *Fleet) Close() {
	for _, c := range f.Clients {
		c.Close()
	}
	for _, s := range f.Sidecars {
		s.Stop()
	}
	for _, s := range f.Servers {
		s.Close()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
	os.RemoveAll(f.dir)
	f.Record.Close()
}

// SidecarsRun returns an error if a sidecar has ended.
func (f *Fleet) SidecarsRun() error {
	for _, s := range f.Sidecars {
		if s.HasEnded() {
			return errors.New("sidecar " + s.Name + " has ended")
		}
	}
	return nil
}

func (f *Fleet) isSent(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent[id]
}

// Load has the clients send requests, at random times with a mean rate (per second, over all clients), for a duration. change may
// alter each request. judge gets each answer, and may be called from many goroutines at once. Load returns when all are judged.
func (f *Fleet) Load(rate float64, duration time.Duration, change func(*Request), judge func(Request, Answer)) int {
	var group sync.WaitGroup
	count := 0
	for next, end := time.Now(), time.Now().Add(duration); ; count++ {
		next = next.Add(time.Duration(f.Random.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) {
			break
		}
		r := Request{ID: fmt.Sprintf("%016x", f.Random.Uint64()), Key: fmt.Sprintf("%016x%016x", f.Random.Uint64(), f.Random.Uint64()),
			Tenant: Tenants[f.Random.IntN(len(Tenants))], Subject: fmt.Sprintf("%016x", f.Random.IntN(2000)),
			TimeLeft: 2 * time.Second, Wait: 4 * time.Second, Body: make([]byte, 100+f.Random.IntN(400))}
		change(&r)
		client := f.Random.IntN(len(f.Clients))
		time.Sleep(time.Until(next))
		f.mu.Lock()
		f.sent[r.ID] = true
		f.mu.Unlock()
		group.Add(1)
		go func() {
			defer group.Done()
			f.Record.Add("sent      %s to n%d, %d bytes", r.ID, client, len(r.Body))
			answer := f.Clients[client].Do(&r)
			f.Record.Add("answered  %s status %d whole %t open %t after %.3f s, written in %.3f s", r.ID, answer.Status, answer.IsWhole, answer.IsOpen,
				answer.Took().Seconds(), answer.LastByteAt.Sub(answer.BegunAt).Seconds())
			judge(r, answer)
		}()
	}
	group.Wait()
	return count
}

// Main runs a case, and ends the process with its exit code. A case that takes longer than limit has not run.
func Main(limit time.Duration, run func(Options) (int, error)) {
	time.AfterFunc(limit, func() {
		fmt.Println("not run: over the time limit")
		os.Exit(ExitNotRun) // the sidecars end with this process
	})
	code, err := run(ParseOptions())
	if err != nil {
		fmt.Println("not run:", err)
		code = ExitNotRun
	}
	os.Exit(code)
}
