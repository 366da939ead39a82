package simwire

import "fmt"

// DecodeError says which record of a frame is malformed. The input cannot be read on after one.
type DecodeError struct {
	Record string // its name on the wire, or "batch", "batch header", "record"
	Field  string // its name on the wire; empty if no single field is at fault
	Offset int    // of the byte at fault, from the start of the frame
	Reason string
}

// Error names the record, the byte, the field if there is one, and the reason.
func (e *DecodeError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s at byte %d: %s", e.Record, e.Offset, e.Reason)
	}
	return fmt.Sprintf("%s at byte %d: field %s: %s", e.Record, e.Offset, e.Field, e.Reason)
}
