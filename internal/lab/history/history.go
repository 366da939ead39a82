// Package history records the admin calls of an experiment and the observed
// states of its sidecars, with the times of request and response on the lab's
// clock. Each check is a function that returns nil or a violation of a
// guarantee, with the part of the history that shows it.
package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
)

// The kinds of event.
const (
	Call    = "call"    // an admin call
	Observe = "observe" // the response to a poll of a sidecar
	Fault   = "fault"   // a fault began or ended
	Wipe    = "wipe"    // a fault erased a sidecar's disk and memory between Call and Return
)

// The outcomes of a call.
const (
	OK       = "ok"      // confirmed: it has taken effect and is durable
	Rejected = "no"      // rejected: it has not taken effect and will not
	Unknown  = "unknown" // no response, or an inconclusive one: it may have taken effect or may still do so
)

// Event is one line of the history, a JSON object (JSONL, in order of Call).
type Event struct {
	Kind    string            `json:"kind"`
	Sidecar string            `json:"sidecar,omitempty"`
	Op      string            `json:"op,omitempty"`      // operation of a call, such as "ban"; label of a fault
	Key     string            `json:"key,omitempty"`     // object of a call, such as a server; field that was observed
	Call    int64             `json:"call_us"`           // when the request was sent, in microseconds since the start of the load
	Return  int64             `json:"return_us"`         // when the response was complete, in the same unit
	Outcome string            `json:"outcome,omitempty"` // of a call
	Value   string            `json:"value,omitempty"`   // observed value of a scalar field
	Set     []string          `json:"set,omitempty"`     // observed elements of a list, sorted
	Tokens  map[string]uint64 `json:"tokens,omitempty"`  // observed object of numbers, such as leases and their fencing tokens
	Text    string            `json:"text,omitempty"`    // text of the response
}

// Log collects events; it is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	events []Event
}

// Add records an event.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
}

// Events returns all events so far, in order of Call.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := slices.Clone(l.events)
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.Call - b.Call) })
	return events
}

// Write writes events as JSONL.
func Write(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

// Read reads events that Write has written. Errors name the line.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("history, line %d: %w", n, err)
		}
		events = append(events, e)
	}
	return events, lines.Err()
}

// Violation is a failed check, with the part of the history that shows it.
type Violation struct {
	Check  string  `json:"check"`
	What   string  `json:"what"`
	Events []Event `json:"part"` // the part of the history that shows it, as short as the check can make it
}

// String formats the violation, with one line per event.
func (v Violation) String() string {
	text := v.Check + ": " + v.What
	for _, e := range v.Events {
		line, _ := json.Marshal(e)
		text += "\n  " + string(line)
	}
	return text
}
