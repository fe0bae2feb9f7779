package store

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"
)

// Errors of writes and of Open.
var (
	// ErrFull means that a write would exceed Limits.MaxBytes, or that the disk is full. Later writes may succeed.
	ErrFull = errors.New("the store is full")
	// ErrClosed means that the store was closed before the write.
	ErrClosed = errors.New("the store is closed")
	// ErrBacklogFull means that too many writes are waiting for the disk. Later writes may succeed.
	ErrBacklogFull = errors.New("the disk is too far behind")
	// ErrLocked means that another process has opened the folder.
	ErrLocked = errors.New("another process has opened the folder")
)

// FailedError is the error of all writes after a write or a sync failed in a way that leaves the state of the files unknown. What the
// operating system reported about the data before the failure is then unreliable, so the store rejects all writes until it is opened
// again.
type FailedError struct{ Cause error }

func (e *FailedError) Error() string { return "the store has failed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// CorruptionError describes damage that a crash can't have caused, such as a changed byte or a missing file.
type CorruptionError struct {
	File   string
	Offset int64 // in bytes from the start of the file
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: offset %d: %s", e.File, e.Offset, e.Reason)
}

// OwnerError means that the store in a folder was created by an owner other than the one that opens it.
type OwnerError struct{ Found, Expected string }

func (e *OwnerError) Error() string {
	return fmt.Sprintf("%s: the store in the folder belongs to %q, not to %q", manifestName, e.Found, e.Expected)
}

// ValueSizeError is the error of a write whose value exceeds the maximum size.
type ValueSizeError struct{ Bytes int }

func (e *ValueSizeError) Error() string {
	return fmt.Sprintf("a value of %d bytes, the most is %d", e.Bytes, maxValueSize)
}

// isDiskFull reports whether an error means that the disk is full or that the user's disk quota is exhausted.
func isDiskFull(err error) bool { return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) }
