// Package history is the lab's record of what was asked of sidecars and what
// they told, with times of call and answer on the lab's clock, and checkers:
// small functions that find what breaks a promise and give the shortest part
// of the history that shows it.
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
	Call    = "call"    // an operators' call
	Observe = "observe" // what a sidecar told when asked
	Fault   = "fault"   // a fault began or ended
	Wipe    = "wipe"    // a sidecar's disk and memory were lost between Call and Return, by the experiment's design
)

// What became of a call.
const (
	OK      = "ok"      // answered yes: it is done and promised
	No      = "no"      // answered that it was not and will not be done
	Unknown = "unknown" // no answer, or one that promises nothing: it may be done, now or later
)

// Event is one line of the history, a JSON object (JSONL, in order of Call).
type Event struct {
	Kind    string            `json:"kind"`
	Sidecar string            `json:"sidecar,omitempty"`
	Op      string            `json:"op,omitempty"`      // of a call, as "ban"; a fault's label
	Key     string            `json:"key,omitempty"`     // what a call is about; the field of an observation
	Call    int64             `json:"call_us"`           // when it was sent, microseconds from the load's start
	Return  int64             `json:"return_us"`         // when the answer was whole
	Outcome string            `json:"outcome,omitempty"` // of a call
	Value   string            `json:"value,omitempty"`   // observed: a scalar field
	Set     []string          `json:"set,omitempty"`     // observed: a list's elements, sorted
	Tokens  map[string]uint64 `json:"tokens,omitempty"`  // observed: an object of numbers, as duties held and their tokens
	Text    string            `json:"text,omitempty"`    // of the answer
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

// Events gives all events so far, in order of Call.
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

// Break is one promise broken.
type Break struct {
	Check string  `json:"check"`
	What  string  `json:"what"`
	Part  []Event `json:"part"` // the shortest part of the history that shows it
}

// String gives the break and its part, a line an event.
func (b Break) String() string {
	text := b.Check + ": " + b.What
	for _, e := range b.Part {
		line, _ := json.Marshal(e)
		text += "\n  " + string(line)
	}
	return text
}
