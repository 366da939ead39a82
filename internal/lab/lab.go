package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Run carries out an experiment: stand-ins and sidecars up, the load
// and the schedule played, everything ended, and the result reckoned. The
// folder receives the sidecars' configurations and logs. Run leaves no
// process behind, also when ctx ends early.
func Run(ctx context.Context, exp *Experiment, program, folder string, log *slog.Logger) (*Result, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("sidecar: %w", err)
	}
	ledger := NewLedger()
	disco, err := NewDiscovery(exp.Seed)
	if err != nil {
		return nil, err
	}
	defer disco.Close()
	servers := make([]*PinServer, exp.Fleet.Servers)
	for i := range servers {
		zone := exp.Fleet.Zones[i%len(exp.Fleet.Zones)]
		if servers[i], err = NewPinServer(fmt.Sprintf("v%03d", i), zone, exp.Server, ledger, exp.Seed+uint64(i)); err != nil {
			return nil, err
		}
		defer servers[i].Close()
		disco.Set(host(servers[i], "Ready"), nil)
	}
	var peers *Peers
	if exp.Fleet.Peers {
		if peers, err = NewPeers(exp.Fleet.Sidecars, exp.Seed); err != nil {
			return nil, err
		}
		defer peers.Close()
	}
	sidecars := newSidecars(program, folder, exp, disco.Address(), peers, ledger, log)
	defer sidecars.Stop()
	var starting sync.WaitGroup
	errs := make([]error, exp.Fleet.Sidecars)
	for i := range exp.Fleet.Sidecars {
		starting.Add(1)
		go func() { defer starting.Done(); errs[i] = sidecars.Start(i) }()
	}
	starting.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	log.Info("the fleet is up", "sidecars", exp.Fleet.Sidecars, "servers", exp.Fleet.Servers, "discovery", disco.Address())
	ledger.start = time.Now() // the lab's clock starts with the load
	world := &world{exp: exp, disco: disco, servers: servers, peers: peers, sidecars: sidecars, ledger: ledger, log: log}
	runCtx, cancel := context.WithTimeout(ctx, exp.Duration.Duration+exp.Load.Deadline.Duration+10*time.Second)
	defer cancel()
	var played []Mark
	done := make(chan struct{})
	go func() { played = world.play(runCtx, exp.Schedule()); close(done) }()
	var load sync.WaitGroup
	for i := range exp.Fleet.Sidecars {
		load.Add(1)
		go func() { defer load.Done(); newClient(i, exp, ledger, sidecars).run(runCtx, exp.Arrivals(i)) }()
	}
	load.Wait()
	cancel()
	<-done
	result := reckon(exp, ledger, played, sidecars.Restarts())
	result.SidecarCPUSeconds, result.SidecarMeanMB, result.SidecarPeakMB = sidecars.Cost()
	result.LabCPUSeconds, result.LabPeakMB = selfCost()
	if peers != nil {
		result.Datagrams.Relayed, result.Datagrams.Dropped, result.Datagrams.Oversize, result.Datagrams.Strange = peers.Counts()
	}
	return result, nil
}

func host(s *PinServer, health string) Host {
	s.mu.Lock()
	born := s.born.UnixMilli()
	s.mu.Unlock()
	return Host{Host: s.Name, Dial: s.Address(), Site: s.Zone, Class: "m", Health: health, Share: 1, BornMs: born}
}

// world is what the schedule acts on.
type world struct {
	exp      *Experiment
	disco    *Discovery
	servers  []*PinServer
	peers    *Peers
	sidecars *Sidecars
	ledger   *Ledger
	log      *slog.Logger
}

// Mark is a fault as played, on the lab's clock, for reports.
type Mark struct {
	AtMs  float64 `json:"at_ms"`
	Label string  `json:"label"`
}

func (w *world) play(ctx context.Context, events []Event) []Mark {
	var marks []Mark
	var acting sync.WaitGroup
	defer acting.Wait()
	for _, ev := range events {
		if wait := ev.At - w.ledger.Since(); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return marks
			}
		}
		marks = append(marks, Mark{AtMs: float64(w.ledger.Since().Microseconds()) / 1000, Label: ev.Label()})
		w.log.Info("fault", "event", ev.Label(), "lab_ms", w.ledger.Since().Milliseconds())
		acting.Add(1)
		go func() { defer acting.Done(); w.act(ev) }() // a slow kill or start holds up no other event
	}
	return marks
}

func (w *world) act(ev Event) {
	f := ev.Fault
	var starting sync.WaitGroup // starts again run side by side: each waits for its own yes
	defer starting.Wait()
	for _, i := range f.Sidecars {
		switch {
		case f.Kind == "isolate":
			in, out := ev.ways()
			w.peers.Isolate(i, in, out)
		case f.Kind == "kill" && !ev.Heal:
			w.sidecars.Kill(i)
		case f.Kind == "pause" && !ev.Heal:
			w.sidecars.Pause(i)
		case f.Kind == "pause":
			w.sidecars.Resume(i)
		case f.Kind == "term" && !ev.Heal:
			w.sidecars.Term(i)
		default: // a kill or a term heals by a start
			starting.Add(1)
			go func() {
				defer starting.Done()
				if err := w.sidecars.Start(i); err != nil {
					w.log.Error("a sidecar did not start again", "sidecar", i, "error", err)
				}
			}()
		}
	}
	for _, i := range f.Servers {
		s := w.servers[i]
		p := s.Faults
		switch f.Kind {
		case "partition":
			p.Partition(ev.ways())
		case "delay":
			delay := f.Delay.Duration
			if ev.Heal {
				delay = 0
			}
			p.Delay(delay)
		case "reset":
			p.Reset(!ev.Heal)
		case "drain":
			if ev.Heal {
				s.SetDrained(time.Time{})
				w.disco.Set(host(s, "Ready"), nil)
			} else { // the 1.5 s run from when discovery can tell it
				w.disco.Set(host(s, "Terminating"), func() { s.SetDrained(time.Now()) })
			}
		}
	}
	if f.Kind == "peers" {
		if ev.Heal {
			w.peers.Degrade(0, 0)
		} else {
			w.peers.Degrade(f.Share, f.Delay.Duration)
		}
	}
	if f.Kind == "discovery" {
		switch {
		case f.Mode == "down":
			w.disco.SetDown(!ev.Heal)
		case ev.Heal:
			w.disco.SetLag(0)
		default:
			w.disco.SetLag(f.Delay.Duration)
		}
	}
}

// MergeLogs writes every JSON log line of the folder's *.log files into one
// file, ordered by their "time" fields, each with "file" added. Lines that are
// not JSON objects are kept, under "text", at the time of the line before.
func MergeLogs(folder, out string) error {
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return err
	}
	type line struct {
		at   time.Time
		text []byte
	}
	var lines []line
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var last time.Time
		for _, raw := range bytes.Split(data, []byte("\n")) {
			if len(bytes.TrimSpace(raw)) == 0 {
				continue
			}
			fields := map[string]any{}
			if json.Unmarshal(raw, &fields) != nil {
				fields = map[string]any{"text": string(raw)}
			}
			if at, ok := fields["time"].(string); ok {
				if t, err := time.Parse(time.RFC3339Nano, at); err == nil {
					last = t
				}
			}
			fields["file"] = filepath.Base(path)
			text, _ := json.Marshal(fields)
			lines = append(lines, line{last, text})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	var merged bytes.Buffer
	for _, l := range lines {
		merged.Write(l.text)
		merged.WriteByte('\n')
	}
	return os.WriteFile(out, merged.Bytes(), 0o644)
}
