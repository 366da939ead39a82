package state

import (
	"errors"
	"fmt"
)

// ErrNotFound is returned by Load if there is no state file yet.
var ErrNotFound = errors.New("no state file")

// The reasons for which a record is rejected, wrapped in a *FileError.
var (
	// ErrMissing reports that the file lacks a record or bucket.
	ErrMissing = errors.New("missing")
	// ErrNotRecord reports that a value does not begin with the header of a record of this program.
	ErrNotRecord = errors.New("not a record of this program")
	// ErrFormatVersion reports that a record was written in another format version.
	ErrFormatVersion = errors.New("format version")
	// ErrRecordKind reports that a key holds a record of a kind that does not belong there.
	ErrRecordKind = errors.New("kind")
	// ErrLength reports that a body's length differs from the one in its header, or that the header's exceeds the maximum.
	ErrLength = errors.New("truncated or overlong")
	// ErrChecksum reports that a body does not match the checksum in its header: it was changed after it was written.
	ErrChecksum = errors.New("checksum does not match")
	// ErrOtherSidecar reports that the file belongs to another sidecar.
	ErrOtherSidecar = errors.New("of sidecar")
)

// FileError reports a state file that cannot be used, the record at fault if there is one, and the reason. Load returns
// it after it has tried to rename the file.
type FileError struct {
	Path   string
	Record string // key of the record; empty if the file as a whole is at fault
	Err    error

	RenamedTo string // the file's new base name; empty if it could not be renamed
	RenameErr error  // why the file could not be renamed; nil if it was renamed
}

// Error gives the file and the record, the reason, and whether the file was renamed.
func (e *FileError) Error() string {
	text := "state file " + e.Path
	if e.Record != "" {
		text += ", record " + e.Record
	}
	text += ": " + e.Err.Error()
	switch {
	case e.RenameErr != nil:
		text += fmt.Sprintf("; could not be set aside: %v", e.RenameErr)
	case e.RenamedTo != "":
		text += "; set aside as " + e.RenamedTo
	}
	return text
}

// Unwrap returns the reason.
func (e *FileError) Unwrap() error { return e.Err }
