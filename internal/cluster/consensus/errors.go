package consensus

import "errors"

// The errors that callers can distinguish with errors.Is.
var (
	// ErrNotLeader means that a node that doesn't lead, or has stopped, was called to append an entry or to change the voters.
	ErrNotLeader = errors.New("consensus: this node doesn't lead")
	// ErrEntryTooLong means that an entry is longer than MaxEntryBytes.
	ErrEntryTooLong = errors.New("consensus: the entry is too long")
	// ErrProposalDropped means that the leader can't accept an entry or a change of the voters now. The caller may try again.
	ErrProposalDropped = errors.New("consensus: the proposal was dropped")
	// ErrLogNotEmpty means that Bootstrap was called for a node that has a log.
	ErrLogNotEmpty = errors.New("consensus: expected an empty log to bootstrap")
	// ErrLogLost means that the log lacks entries that this node has acknowledged to other voters, so that it must not vote any more.
	ErrLogLost = errors.New("consensus: the log lacks entries that this node has acknowledged")
	// ErrEntriesMissing means that the stored records lack entries that were decided.
	ErrEntriesMissing = errors.New("consensus: the folder lacks entries that were decided")
	// ErrMalformedMessage means that a message can't be decoded.
	ErrMalformedMessage = errors.New("consensus: malformed message")
)
