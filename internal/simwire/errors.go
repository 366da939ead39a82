package simwire

import (
	"fmt"
)

// DecodeError says which record is malformed and at which byte of its frame.
type DecodeError struct {
	Record string
	Offset int
	Reason string
}

// Error names the record, the byte offset and the reason.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", e.Record, e.Offset, e.Reason)
}
