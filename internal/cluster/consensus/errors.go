package consensus

import "errors"

// What callers tell apart. Errors of this package wrap them.
var (
	// ErrNotLeader: only the leader appends entries and changes voters.
	ErrNotLeader = errors.New("consensus: this node doesn't lead")
	// ErrEntryTooLong: an entry is longer than MaxEntryBytes.
	ErrEntryTooLong = errors.New("consensus: the entry is too long")
	// ErrProposalDropped: the leader can't take more entries now; it may be asked again.
	ErrProposalDropped = errors.New("consensus: the proposal was dropped")
	// ErrLogNotEmpty: a log that exists can't be bootstrapped.
	ErrLogNotEmpty = errors.New("consensus: expected an empty log to begin with")
	// ErrLogLost: the log lacks entries that other voters were told it has, so that this node must not vote any more.
	ErrLogLost = errors.New("consensus: the log lacks what others were told it has")
	// ErrEntriesMissing: stored records lack entries that were decided.
	ErrEntriesMissing = errors.New("consensus: the folder lacks entries that were decided")
	// ErrMalformedMessage: a message can't be decoded.
	ErrMalformedMessage = errors.New("consensus: malformed message")
)
