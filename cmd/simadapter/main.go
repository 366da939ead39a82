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
	decoder             simwire.Decoder
	reply               simwire.Reply
	instances           map[uint32]*instance
	reportedUnknownCode [256]bool // unknown codes already reported
	stderr              io.Writer
}

// instance is one balancer with its number, and the Actions given to it.
type instance struct {
	*host
	number   uint32
	balancer *balancer.Balancer // nil once stopped or faulty
}

func run(in io.Reader, out, stderr io.Writer) error {
	h := &host{instances: map[uint32]*instance{}, stderr: stderr}
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
		if err := h.answerBatch(frame); err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("standard output: %w", err)
		}
	}
}

func (h *host) answerBatch(frame []byte) error {
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
		case simwire.EventEndpointList:
			continue
		case simwire.EventInstance:
			current, named = e.Instance, true
			h.reply.SelectInstance(current)
			continue
		}
		if e.Code < simwire.EventStart || e.Code > simwire.EventInstance {
			if !h.reportedUnknownCode[e.Code] {
				h.reportedUnknownCode[e.Code] = true
				fmt.Fprintf(h.stderr, "simadapter: %v at byte %d: unknown code, skipped\n", e.Code, e.Offset)
			}
			continue
		}
		if !named {
			return &simwire.DecodeError{Record: e.Code.String(), Offset: e.Offset, Reason: "comes before any instance"}
		}
		i := h.instances[current]
		if i == nil {
			if e.Code != simwire.EventStart {
				return &simwire.DecodeError{Record: e.Code.String(), Offset: e.Offset,
					Reason: fmt.Sprintf("instance %d has not begun", current)}
			}
			i = &instance{host: h, number: current}
			h.instances[current] = i
		}
		i.handle(now, &e)
	}
}

// handle passes an event on. A panic becomes an exception on the simwire.
func (i *instance) handle(now balancer.Micros, e *simwire.Event) {
	defer func() {
		if p := recover(); p != nil {
			i.balancer = nil
			i.reply.ReportFault(fmt.Sprintf("panic in %v: %v", e.Code, p))
		}
	}()
	switch e.Code {
	case simwire.EventStart:
		i.start(now, e)
		return
	case simwire.EventStop:
		i.balancer = nil
	}
	b := i.balancer
	if b == nil {
		return
	}
	switch e.Code {
	case simwire.EventEndpointUpdate:
		b.UpdateEndpoints(now, e.UpdateKind, e.Endpoints)
	case simwire.EventRequest:
		b.RequestArrived(now, e.Request)
	case simwire.EventResponseStarted:
		b.ResponseStarted(now, e.Outcome.ID, e.Outcome.Attempt, e.Outcome.Latency)
	case simwire.EventAttemptFinished:
		b.AttemptFinished(now, e.Outcome)
	case simwire.EventClientDisconnected:
		b.ClientDisconnected(now, e.Outcome.ID)
	case simwire.EventTimerFired:
		b.TimerFired(now, e.TimerToken)
	case simwire.EventLoadProbeResult:
		b.LoadProbeResult(now, e.Endpoint, e.Status, e.Latency, e.LoadReport)
	case simwire.EventGossip:
		b.ReceiveGossip(now, e.Message)
	}
}

func (i *instance) start(now balancer.Micros, e *simwire.Event) {
	i.balancer = nil
	s, err := simwire.ParseSettings(e.SettingsText)
	if err == nil {
		i.balancer, err = balancer.New(s, e.Seed, i)
	}
	if err != nil {
		i.reply.ReportFault(err.Error())
		return
	}
	i.balancer.Start(now)
}

// StartAttempt writes a deliver record.
func (i *instance) StartAttempt(id uint64, endpoint uint32, timeout balancer.Micros) {
	i.reply.StartAttempt(id, endpoint, timeout)
}

// Reject writes a decline record.
func (i *instance) Reject(id uint64, retryAfter balancer.Micros) { i.reply.Reject(id, retryAfter) }

// Fail writes a fail record.
func (i *instance) Fail(id uint64) { i.reply.Fail(id) }

// CancelAttempt writes a revoke record.
func (i *instance) CancelAttempt(id uint64, attempt int) { i.reply.CancelAttempt(id, attempt) }

// SetTimer writes an arm record.
func (i *instance) SetTimer(delay balancer.Micros, token uint32) { i.reply.SetTimer(delay, token) }

// SendLoadProbe writes a sound_out record.
func (i *instance) SendLoadProbe(endpoint uint32) { i.reply.SendLoadProbe(endpoint) }

// SendGossip writes a write_peer record to all peers.
func (i *instance) SendGossip(data []byte) { i.reply.SendGossip(simwire.AllPeers, data) }

// WatchEndpoints writes a track record.
func (i *instance) WatchEndpoints(on bool) { i.reply.WatchEndpoints(on) }

// Log writes a trace record.
func (i *instance) Log(line string) { i.reply.Log(line) }
