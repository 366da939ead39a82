package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"

	"bramblestand/internal/simwire"
)

// host runs the instances of one process in one goroutine. The instances share the host's buffers and nothing else.
type host struct {
	decoder             simwire.Decoder
	reply               simwire.Reply
	instances           map[uint32]*instance
	reportedUnknownCode [256]bool // indexed by event code
	log                 *slog.Logger
}

// run answers batches until input ends.
func run(input io.Reader, output io.Writer, log *slog.Logger) error {
	h := &host{instances: map[uint32]*instance{}, log: log}
	var frame []byte
	for {
		var err error
		frame, err = simwire.ReadFrame(input, frame)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.answerBatch(frame); err != nil {
			return err
		}
		if _, err := output.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("standard output: %w", err)
		}
	}
}

// answerBatch passes the events of a batch to their instances, which write their actions to h.reply.
func (h *host) answerBatch(frame []byte) error {
	batch, now, err := h.decoder.Reset(frame)
	if err != nil {
		return err
	}
	h.reply.Reset(batch)
	var event simwire.Event
	var current uint32   // number of the instance that the events are for
	hasInstance := false // whether the batch has named an instance yet
	for {
		err := h.decoder.Next(&event)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch {
		case event.Code == simwire.EventEndpointList: // the decoder keeps the list for later updates
		case event.Code == simwire.EventInstance:
			current, hasInstance = event.Instance, true
			h.reply.SelectInstance(current)
		case !event.Code.Known():
			h.reportUnknownCode(&event)
		case !hasInstance:
			return eventError(&event, "comes before the record that names an instance")
		default:
			target, err := h.instanceFor(current, &event)
			if err != nil {
				return err
			}
			target.handle(now, &event)
		}
	}
}

// instanceFor returns the instance with a number. Only a start event creates a new instance.
func (h *host) instanceFor(number uint32, event *simwire.Event) (*instance, error) {
	if known := h.instances[number]; known != nil {
		return known, nil
	}
	if event.Code != simwire.EventStart {
		return nil, eventError(event, fmt.Sprintf("instance %d has not begun", number))
	}
	started := &instance{reply: &h.reply}
	h.instances[number] = started
	return started, nil
}

// reportUnknownCode logs the first event of a code that this version does not know. Such events are skipped.
func (h *host) reportUnknownCode(event *simwire.Event) {
	if h.reportedUnknownCode[event.Code] {
		return
	}
	h.reportedUnknownCode[event.Code] = true
	h.log.Warn("skipping events of an unknown code", "code", event.Code, "offset", event.Offset)
}

// eventError returns the error for a well-formed event that is not allowed at its place in the batch.
func eventError(event *simwire.Event, reason string) error {
	return &simwire.DecodeError{Record: event.Code.String(), Offset: event.Offset, Reason: reason}
}
