package rollout

import (
	"crypto/sha256"
	"encoding/hex"

	"magpiebank/internal/admission"
)

// Time is a point in time on the caller's monotonic clock, or a duration.
type Time = admission.Time

const (
	second      = admission.Second
	millisecond = second / 1000
)

// MaxPolicyBytes limits the length of a policy's text.
const MaxPolicyBytes = 1 << 20

// Digest is the SHA-256 of a policy's text and identifies the policy. The zero digest stands for no policy.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a text; an empty text has the zero digest.
func DigestOf(text []byte) Digest {
	if len(text) == 0 {
		return Digest{}
	}
	return sha256.Sum256(text)
}

// String returns the short form in which operators compare digests: the first 12 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// Config holds a member's own settings for rollouts.
type Config struct {
	// Voters lists the names of the first voters: 1, 3, 5 or 7 members.
	Voters []string
	// LeaseDuration is how long a gateway may apply a policy without renewing its lease. The first voters must agree on it, and their
	// value applies to all members.
	LeaseDuration Time
	// PrepareTimeout is how long a proposal waits for a member that sends lease requests but reports neither that it is ready for the
	// proposal nor that it can't follow it. After that the leader excludes the member.
	PrepareTimeout Time
	// ClockDriftDivisor bounds clock drift: a clock gains or loses at most 1/ClockDriftDivisor of the elapsed time.
	ClockDriftDivisor Time
	// Persistent is set if records survive a restart of this process. Only a persistent process can vote.
	Persistent bool
	// Mutation is NoMutation in production.
	Mutation Mutation
}

// leaseMargin returns how long this process must wait, by its own clock, until the duration t has certainly passed by the clock of any
// other process, which may run slower.
func (c *Config) leaseMargin(t Time) Time {
	if c.Mutation == IgnoreClockDrift {
		return t
	}
	return t + (3*t+c.ClockDriftDivisor-1)/c.ClockDriftDivisor
}

// Parameters are the settings in a policy's text that control its own rollout.
type Parameters struct {
	// Overlap is how long a gateway without a lease may admit requests that both the old and the new policy allow; 0 allows none.
	Overlap Time
	// RehearsalLength is how long all gateways evaluate the policy on live requests before it is decided.
	RehearsalLength Time
	// RehearsalBounds are limits for the rehearsal. The proposal is dropped if the rehearsal exceeds them.
	RehearsalBounds Bounds
	// Probation is how long the policy may be rolled back automatically after it is decided.
	Probation Time
	// ProbationBounds are limits for the probation. The policy is rolled back if it exceeds them.
	ProbationBounds Bounds
	// Voters is unused: policies don't change the voters. Core.ReplaceVoters does.
	Voters []string
}

// Bounds are the largest shares of requests that may be rejected, or shed for lack of capacity. A value above 1 sets no limit.
type Bounds struct{ Rejected, Shed float64 }

// RequestCounts counts the requests at one member since a rehearsal began or a policy came into force there.
type RequestCounts struct {
	Subject    uint64 `cbor:"1,keyasint,omitempty"` // the ID of the proposal being rehearsed, or the number of the policy in force
	Requests   uint64 `cbor:"2,keyasint,omitempty"`
	Classified uint64 `cbor:"3,keyasint,omitempty"`
	Rejected   uint64 `cbor:"4,keyasint,omitempty"` // in a rehearsal: only requests that the policy in force doesn't reject
	Shed       uint64 `cbor:"5,keyasint,omitempty"` // no slot or capacity; in a rehearsal: only requests that the policy in force doesn't shed
}
