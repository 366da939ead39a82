package state

import (
	"errors"
	"fmt"
)

// FileError names the file and record that could not be read, and why.
type FileError struct {
	File, Record, Reason string
}

func (e *FileError) Error() string {
	if e.Record == "" {
		return fmt.Sprintf("state file %s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("state file %s, record %s: %s", e.File, e.Record, e.Reason)
}

// ErrNotFound says that there is no state file yet.
var ErrNotFound = errors.New("no state file")
