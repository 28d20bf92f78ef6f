package ring

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrClosed is returned by a ring that was closed.
var ErrClosed = errors.New("the ring is closed")

// WriteError tells that something could not be put on disk: the disk is full, refuses, or is gone. It may be
// tried again.
type WriteError struct {
	Operation string // "create", "grow", "write", "sync" or "sync folder"
	File      string // name of the file; empty for the folder
	Err       error
}

func (e *WriteError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Operation, e.File, e.Err)
}

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// TooLargeError refuses a snapshot or records for which a file would have to be longer than its share of
// Options.MaxBytes. For records, a snapshot makes room again.
type TooLargeError struct {
	Need  int64 // length of the file, in bytes
	Limit int64 // in bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("a file of %d bytes is needed, %d are allowed", e.Need, e.Limit)
}

// CorruptError tells that the files hold no state that can be read although they held one once, or that they
// are of another version.
type CorruptError struct {
	File   string // empty if it concerns all
	Reason string
	// Version is that of the file if this program does not know it: nothing need be wrong with the file then.
	// Otherwise it is 0.
	Version uint32
}

func (e *CorruptError) Error() string {
	if e.File == "" {
		return "corrupt ring: " + e.Reason
	}
	return fmt.Sprintf("corrupt ring: %s: %s", e.File, e.Reason)
}
