// Command simadapter hosts balancers behind the simulator's wire: batches of events
// on standard input, one reply each on standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"bramblestand/balancer"
	"bramblestand/internal/simwire"
)

func main() {
	// Nothing is allocated in the steady state: collect rarely.
	debug.SetGCPercent(400)
	if err := run(bufio.NewReaderSize(os.Stdin, 1<<18), os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// host runs the instances of one process. They share nothing but its buffers.
type host struct {
	decoder simwire.Decoder
	reply   simwire.Reply
	balance map[uint32]*instance
	strange [256]bool // unknown codes already reported
	stderr  io.Writer
}

// instance is one balancer with its number, and the Actions given to it.
type instance struct {
	*host
	number   uint32
	balancer *balancer.Balancer // nil once stopped or faulty
}

func run(in io.Reader, out, stderr io.Writer) error {
	h := &host{balance: map[uint32]*instance{}, stderr: stderr}
	var frame []byte
	for {
		next, err := simwire.ReadFrame(in, frame)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		frame = next
		if err := h.batch(frame); err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("standard output: %w", err)
		}
	}
}

func (h *host) batch(frame []byte) error {
	number, now, err := h.decoder.Reset(frame)
	if err != nil {
		return err
	}
	h.reply.Reset(number)
	var e simwire.Event
	var current uint32
	named := false
	for {
		err := h.decoder.Next(&e)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		switch e.Code {
		case simwire.Manifest:
			continue
		case simwire.Instance:
			current, named = e.Instance, true
			h.reply.As(current)
			continue
		}
		if e.Code < simwire.Begin || e.Code > simwire.Instance {
			if !h.strange[e.Code] {
				h.strange[e.Code] = true
				fmt.Fprintf(h.stderr, "simadapter: %v at byte %d: unknown code, skipped\n", e.Code, e.Offset)
			}
			continue
		}
		if !named {
			return &simwire.FrameError{Record: e.Code.String(), Offset: e.Offset, Reason: "comes before any instance"}
		}
		i := h.balance[current]
		if i == nil {
			if e.Code != simwire.Begin {
				return &simwire.FrameError{Record: e.Code.String(), Offset: e.Offset,
					Reason: fmt.Sprintf("instance %d has not begun", current)}
			}
			i = &instance{host: h, number: current}
			h.balance[current] = i
		}
		i.handle(now, &e)
	}
}

// handle passes an event on. A panic becomes an exception on the simwire.
func (i *instance) handle(now balancer.Micros, e *simwire.Event) {
	defer func() {
		if p := recover(); p != nil {
			i.balancer = nil
			i.reply.Exception(fmt.Sprintf("panic in %v: %v", e.Code, p))
		}
	}()
	switch e.Code {
	case simwire.Begin:
		i.begin(now, e)
		return
	case simwire.Stop:
		i.balancer = nil
	}
	b := i.balancer
	if b == nil {
		return
	}
	switch e.Code {
	case simwire.Membership:
		b.UpdateEndpoints(now, e.Kind, e.Entries)
	case simwire.Request:
		b.RequestArrived(now, e.Request)
	case simwire.Headers:
		b.ResponseStarted(now, e.Outcome.ID, e.Outcome.Attempt, e.Outcome.Latency)
	case simwire.Answer:
		b.AttemptFinished(now, e.Outcome)
	case simwire.CancelledByClient:
		b.ClientDisconnected(now, e.Outcome.ID)
	case simwire.TimeoutFired:
		b.TimerFired(now, e.Token)
	case simwire.HealthResult:
		b.LoadProbeResult(now, e.Endpoint, e.Status, e.Latency, e.Load)
	case simwire.Whisper:
		b.ReceiveGossip(now, e.Data)
	}
}

func (i *instance) begin(now balancer.Micros, e *simwire.Event) {
	i.balancer = nil
	s, err := simwire.ParseSettings(e.Config)
	if err == nil {
		i.balancer, err = balancer.New(s, e.Seed, i)
	}
	if err != nil {
		i.reply.Exception(err.Error())
		return
	}
	i.balancer.Start(now)
}

// StartAttempt writes a deliver record.
func (i *instance) StartAttempt(id uint64, endpoint uint32, timeout balancer.Micros) {
	i.reply.Deliver(id, endpoint, timeout)
}

// Reject writes a decline record.
func (i *instance) Reject(id uint64, retryAfter balancer.Micros) { i.reply.Decline(id, retryAfter) }

// Fail writes a fail record.
func (i *instance) Fail(id uint64) { i.reply.Fail(id) }

// CancelAttempt writes a revoke record.
func (i *instance) CancelAttempt(id uint64, attempt int) { i.reply.Revoke(id, attempt) }

// SetTimer writes an arm record.
func (i *instance) SetTimer(delay balancer.Micros, token uint32) { i.reply.Arm(delay, token) }

// SendLoadProbe writes a sound_out record.
func (i *instance) SendLoadProbe(endpoint uint32) { i.reply.SoundOut(endpoint) }

// SendGossip writes a write_peer record to all peers.
func (i *instance) SendGossip(data []byte) { i.reply.WritePeer(simwire.AllPeers, data) }

// WatchEndpoints writes a track record.
func (i *instance) WatchEndpoints(on bool) { i.reply.Track(on) }

// Log writes a trace record.
func (i *instance) Log(line string) { i.reply.Trace(line) }
