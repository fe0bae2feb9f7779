package rollout

import "magpiebank/internal/cluster/consensus"

// Host is the environment of a core: it sends messages, stores records, checks policies and enforces them.
type Host interface {
	// Send sends a message to the member with the given name, which may be this process itself.
	Send(to string, m []byte)
	// Peers returns the names of the other members that are alive.
	Peers() []string
	// CheckPolicy parses a policy's text and calls done with its parameters, or with the reason why this gateway can't follow the policy.
	// It calls done only after CheckPolicy has returned.
	CheckPolicy(d Digest, text []byte, done func(Parameters, error))
	// SaveRecords writes records in the given order. It calls done once all of them survive a crash, or with an error, but only after
	// SaveRecords has returned.
	SaveRecords(records []consensus.Record, done func(error))
	// LoadPolicy returns a policy's text from the stored records, or nil if it isn't stored.
	LoadPolicy(d Digest) []byte
	// SetInForce makes the gateway apply the given policy and lease from now on.
	SetInForce(inForce *InForce)
	// Drained reports whether no request that was admitted under an earlier InForce is still being sent to an engine.
	Drained() bool
	// RequestCounts returns the counts of the rehearsal while one runs, otherwise those of the policy in force.
	RequestCounts() RequestCounts
	// UnixSeconds returns the time of the wall clock.
	UnixSeconds() int64
	// LogEvent logs an event with alternating keys and values.
	LogEvent(code EventCode, more ...any)
}

// InForce describes which policies a gateway may apply, and until when.
type InForce struct {
	Era        uint64
	Number     uint64
	Digest     Digest
	LeaseUntil Time // the end of the lease; from then on the gateway may not apply the policy

	// OverlapDigest is a second policy. Until OverlapUntil, a gateway without a lease may admit requests that both policies allow.
	// Zero: there is no such policy.
	OverlapDigest Digest
	OverlapUntil  Time

	// KnownDigests are the policies that this gateway knows of, the one in force first. A request that none of them applies to needs no
	// lease.
	KnownDigests []Digest
	// KnowsDecidedPolicy is set once the gateway has learned the decided policy from the leader since it started, or has read the text of
	// the policy that it applied last from its folder.
	KnowsDecidedPolicy bool

	RehearsalDigest Digest // the policy being rehearsed, that is evaluated on live requests; zero: none
	RehearsalID     uint64 // the ID of the proposal being rehearsed
}

// HoldsLease reports whether the gateway may apply the policy now.
func (f *InForce) HoldsLease(now Time) bool { return now < f.LeaseUntil }

// EventCode identifies an event in the log; docs/policy.md lists the codes.
type EventCode string

// The events that a core logs.
const (
	LeaseAcquired       EventCode = "holding"       // this gateway got a lease on a policy that it held no lease on
	LeaseExpired        EventCode = "lapsed"        // this gateway's lease has expired
	ProposalReceived    EventCode = "heard"         // this gateway has received the announcement of a proposal
	ProposalPrepared    EventCode = "took"          // this gateway has checked and stored a proposal and can follow it
	ProposalUnsupported EventCode = "refuses"       // this gateway can't follow a proposal
	CannotFollow        EventCode = "cannot_follow" // this gateway can't follow the decided policy
	LeaderElected       EventCode = "leads"         // this voter is the leader from now on
	ProposalOpened      EventCode = "opened"        // the log contains a new open proposal
	SwitchStarted       EventCode = "yielding"      // all members are ready, and the leader asks them to give up their leases
	SwitchAbandoned     EventCode = "resumed"       // a member kept its lease too long: leases are granted again, and the switch is retried
	ProposalDecided     EventCode = "decided"       // a proposal is in force
	ProposalDropped     EventCode = "dropped"       // an open proposal has ended without coming into force
	ProposalRejected    EventCode = "refused"       // a proposal was not opened
	MemberExcluded      EventCode = "left_out"      // a member was not ready in time, or kept its lease too long
	LogStarted          EventCode = "begun"         // the first voters have started the log
	VotersChanged       EventCode = "voting"        // the set of voters has changed
	VoterWaiting        EventCode = "waits"         // this process is meant to vote, but can't yet
	SaveFailed          EventCode = "cant_keep"     // a record could not be saved, or the voters' log failed or rejected a message
	LogLost             EventCode = "lost"          // the folder lacks entries that this voter had acknowledged: it gets a new replica ID
	VotersBehind        EventCode = "behind"        // a gateway has applied a later policy than the voters know of
	LogForced           EventCode = "forced"        // an operator has forced a new log at this voter
	LogSuperseded       EventCode = "overruled"     // an operator has forced a new log at another voter
	PolicyRolledBack    EventCode = "taken_back"    // a policy on probation has exceeded its bounds
)
