// Package history records the admin calls of an experiment and the observed
// states of its sidecars, with the times of request and response on the lab's
// clock. Its checkers are functions that find a violation of a guarantee and
// return the shortest part of the history that shows it.
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
	Wipe    = "wipe"    // a sidecar's disk and memory were erased between Call and Return by a fault
)

// The outcomes of a call.
const (
	OK      = "ok"      // confirmed: it has taken effect and is durable
	No      = "no"      // rejected: it has not taken effect and will not
	Unknown = "unknown" // no response, or an inconclusive one: it may take effect, now or later
)

// Event is one line of the history, a JSON object (JSONL, in order of Call).
type Event struct {
	Kind    string            `json:"kind"`
	Sidecar string            `json:"sidecar,omitempty"`
	Op      string            `json:"op,omitempty"`      // of a call, as "ban"; a fault's label
	Key     string            `json:"key,omitempty"`     // what a call is about; the field of an observation
	Call    int64             `json:"call_us"`           // when it was sent, microseconds from the load's start
	Return  int64             `json:"return_us"`         // when the response was complete
	Outcome string            `json:"outcome,omitempty"` // of a call
	Value   string            `json:"value,omitempty"`   // observed: a scalar field
	Set     []string          `json:"set,omitempty"`     // observed: a list's elements, sorted
	Tokens  map[string]uint64 `json:"tokens,omitempty"`  // observed: an object of numbers, as leases and their fencing tokens
	Text    string            `json:"text,omitempty"`    // of the response
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

// Read reads what Write wrote; errors name the line.
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

// Violation is a part of a history that violates a check.
type Violation struct {
	Check  string  `json:"check"`
	What   string  `json:"what"`
	Events []Event `json:"part"` // the shortest part of the history that shows it
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
