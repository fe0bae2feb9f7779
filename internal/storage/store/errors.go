package store

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"
)

// Errors of writes and of Open.
var (
	// ErrFull means that a write found no room, in the store's bound or on the disk. Later writes may find room.
	ErrFull = errors.New("the store is full")
	// ErrClosed means that the store was closed before the write.
	ErrClosed = errors.New("the store is closed")
	// ErrBacklogFull means that too many writes are waiting for the disk. Later writes may be taken.
	ErrBacklogFull = errors.New("the disk is too far behind")
	// ErrLocked means that another process has the folder open.
	ErrLocked = errors.New("another process has the folder")
)

// FailedError is the error of all writes after a write or a sync that ended in an unknown state. What the system said about
// the data before that can't be relied on any more, so the store takes no further writes until it is opened anew.
type FailedError struct{ Cause error }

func (e *FailedError) Error() string { return "the store has failed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// CorruptionError locates something in a file that no crash leaves there, such as a changed byte or a missing file.
type CorruptionError struct {
	File   string
	Offset int64 // in bytes from the start of the file
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: offset %d: %s", e.File, e.Offset, e.Reason)
}

// OwnerError means that a folder was made by another owner than the one that opens it.
type OwnerError struct{ Found, Expected string }

func (e *OwnerError) Error() string {
	return fmt.Sprintf("%s: the folder belongs to %q, not to %q", manifestName, e.Found, e.Expected)
}

// ValueSizeError is the error of a write whose value is longer than a record can hold.
type ValueSizeError struct{ Bytes int }

func (e *ValueSizeError) Error() string {
	return fmt.Sprintf("a value of %d bytes, the most is %d", e.Bytes, maxValueSize)
}

// isDiskFull reports whether an error means that the disk, or the user's quota on it, has no room.
func isDiskFull(err error) bool { return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) }
