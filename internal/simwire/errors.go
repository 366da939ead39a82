package simwire

import "fmt"

// DecodeError reports a malformed record or header of a frame. The rest of the input cannot be decoded.
type DecodeError struct {
	Record string // name of the record on the wire, or "batch", "batch header" or "record"
	Field  string // name of the field on the wire; empty if no single field is at fault
	Offset int    // of the byte at fault, from the start of the frame
	Reason string
}

// Error gives the record, the byte offset, the field if there is one, and the reason.
func (e *DecodeError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s at byte %d: %s", e.Record, e.Offset, e.Reason)
	}
	return fmt.Sprintf("%s at byte %d: field %s: %s", e.Record, e.Offset, e.Field, e.Reason)
}
