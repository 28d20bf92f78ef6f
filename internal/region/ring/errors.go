package ring

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrClosed is returned by a ring after Close.
var ErrClosed = errors.New("ring is closed")

// WriteError is returned when data could not be written to disk, for example because the disk is full, rejects writes
// or is no longer available. The operation may be retried.
type WriteError struct {
	Operation string // "create", "grow", "write", "sync" or "sync folder"
	File      string // name of the file; empty for the operation "sync folder"
	Err       error
}

// Error names the operation, the file and the cause.
func (e *WriteError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Operation, e.File, e.Err)
}

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// TooLargeError rejects a snapshot or records for which a file would have to be longer than its part of
// Options.MaxBytes, or whose payload exceeds the format's limit. A snapshot makes room for records again.
type TooLargeError struct {
	Need  int64 // required length of the file, or of a payload that is too long, in bytes
	Limit int64 // allowed length, in bytes
}

// Error names the needed and the allowed length.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("ring file too large: %d bytes needed, at most %d allowed", e.Need, e.Limit)
}

// CorruptError is returned when the files have held a state that can no longer be read, or when a file has another
// format version.
type CorruptError struct {
	File   string // name of the file; empty if the error concerns all files
	Reason string
	// Version is the file's format version if this program does not support it; the file itself may then be intact.
	// Otherwise 0.
	Version uint32
}

// Error names the file and the reason.
func (e *CorruptError) Error() string {
	if e.File == "" {
		return "corrupt ring: " + e.Reason
	}
	return fmt.Sprintf("corrupt ring: %s: %s", e.File, e.Reason)
}
