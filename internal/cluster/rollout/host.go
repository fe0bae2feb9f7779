package rollout

import "magpiebank/internal/cluster/consensus"

// Host is what a core acts on.
type Host interface {
	// Send sends a message to a member by name, which may be this one.
	Send(to string, m []byte)
	// Peers are the names of the other members that are up.
	Peers() []string
	// CheckPolicy reads a policy's text and calls done, never before it returns, with its terms or with the reason why this gateway can't
	// follow it.
	CheckPolicy(d Digest, text []byte, done func(Parameters, error))
	// SaveRecords writes records in their order and calls done, never before it returns, once all survive a crash.
	SaveRecords(records []consensus.Record, done func(error))
	// LoadPolicy reads a text from stored records; nil: it isn't there.
	LoadPolicy(d Digest) []byte
	// SetInForce has the gateway go by another policy or lease at once.
	SetInForce(inForce *InForce)
	// Drained tells that nothing that was decided under an earlier InForce is still on its way to an engine.
	Drained() bool
	// RequestCounts are those of the policy in force or, while there is one, of the rehearsal.
	RequestCounts() RequestCounts
	// UnixSeconds is the wall clock's time.
	UnixSeconds() int64
	// LogEvent logs an event with pairs of keys and values.
	LogEvent(code EventCode, more ...any)
}

// InForce is what a gateway may go by.
type InForce struct {
	Era        uint64
	Number     uint64
	Digest     Digest
	LeaseUntil Time // the gateway may not decide by the policy from then on

	// OverlapDigest is a second policy: without a lease, the gateway may go by what both allow until OverlapUntil. Zero: it may not.
	OverlapDigest Digest
	OverlapUntil  Time

	// KnownDigests are the policies that this gateway has heard of, the one in force first. Requests that none of them concerns need no
	// lease.
	KnownDigests []Digest
	// KnowsDecidedPolicy says that the gateway has heard of the decided policy since it started, or that its folder has one.
	KnowsDecidedPolicy bool

	RehearsalDigest Digest // the policy that is tried on live requests; zero: none
	RehearsalID     uint64 // its proposal
}

// HoldsLease tells whether the gateway may decide by the policy now.
func (f *InForce) HoldsLease(now Time) bool { return now < f.LeaseUntil }

// EventCode identifies an event in the log; docs/policy.md lists the codes.
type EventCode string

// The events.
const (
	LeaseHeld           EventCode = "holding"       // this gateway goes by a policy from now on
	LeaseLost           EventCode = "lapsed"        // this gateway's lease has ended
	ProposalHeard       EventCode = "heard"         // this gateway has heard of a proposal
	ProposalPrepared    EventCode = "took"          // this gateway has stored a proposal and can follow it
	ProposalUnsupported EventCode = "refuses"       // this gateway can't follow a proposal
	CannotFollow        EventCode = "cannot_follow" // this gateway can't follow the decided policy
	LeaderElected       EventCode = "leads"         // this voter leads
	ProposalOpened      EventCode = "opened"        // the log has a proposal
	SwitchStarted       EventCode = "yielding"      // all are ready and give up their leases
	SwitchAbandoned     EventCode = "resumed"       // not all gave them up in time: leases go on, and the switch is tried again
	ProposalDecided     EventCode = "decided"       // a proposal is in force
	ProposalDropped     EventCode = "dropped"       // a proposal has ended without taking hold
	ProposalRejected    EventCode = "refused"       // a proposal was never open
	MemberExcluded      EventCode = "left_out"      // a member took no part in time
	LogStarted          EventCode = "begun"         // the first voters have begun the log
	VotersChanged       EventCode = "voting"        // the voters are others now
	VoterWaiting        EventCode = "waits"         // this process is to vote and can't yet
	SaveFailed          EventCode = "cant_keep"     // a record could not be saved, or a voters' message not be taken in
	LogLost             EventCode = "lost"          // the folder lacks entries that others were told it has: this voter gets a new ID
	VotersBehind        EventCode = "behind"        // a gateway has gone by more than the voters know
	LogForced           EventCode = "forced"        // an operator has forced a new log here
	LogSuperseded       EventCode = "overruled"     // a log was forced elsewhere
	PolicyRolledBack    EventCode = "taken_back"    // a policy on probation has passed its bounds
)
