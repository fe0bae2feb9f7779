package rollout

import (
	"crypto/sha256"
	"encoding/hex"

	"magpiebank/internal/admission"
)

// Time is a point on the caller's monotonic clock, or a length of time on it.
type Time = admission.Time

const (
	second      = admission.Second
	millisecond = second / 1000
)

// MaxPolicyBytes is the length of the longest policy text.
const MaxPolicyBytes = 1 << 20

// Digest identifies a policy by its text's SHA-256. The zero digest is that of having no policy.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a text; an empty text has the zero digest.
func DigestOf(text []byte) Digest {
	if len(text) == 0 {
		return Digest{}
	}
	return sha256.Sum256(text)
}

// String is the short form by which people compare digests: 12 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// Config is what a member's own settings say about rollouts.
type Config struct {
	// Voters are the names of the first voters: 1, 3, 5 or 7.
	Voters []string
	// LeaseDuration is for how long a gateway goes on without a renewal. What the first voters agree on counts for all.
	LeaseDuration Time
	// PrepareTimeout is for how long a proposal waits for a gateway that is heard and neither takes nor refuses it.
	PrepareTimeout Time
	// ClockDriftDivisor bounds the drift of clocks: they run at most one part in so many fast or slow.
	ClockDriftDivisor Time
	// Persistent says that records survive this process; only such a process can vote.
	Persistent bool
	// Mutation is NoMutation in a process that serves.
	Mutation Mutation
}

// leaseMargin is how long this process must wait until another one, whose clock may run slower, has surely counted a time of length t.
func (c *Config) leaseMargin(t Time) Time {
	if c.Mutation == IgnoreClockDrift {
		return t
	}
	return t + (3*t+c.ClockDriftDivisor-1)/c.ClockDriftDivisor
}

// Parameters are what a policy's text asks of its rollout.
type Parameters struct {
	Overlap         Time     // for how long a gateway without a lease goes by what both policies allow; 0: not at all
	RehearsalLength Time     // for how long all gateways try it on live requests before it is decided
	RehearsalBounds Bounds   // beyond which the rehearsal ends the proposal
	Probation       Time     // for how long it may be rolled back automatically
	ProbationBounds Bounds   // beyond which it is
	Voters          []string // that decide from then on; none: those that do
}

// Bounds are the largest shares of requests that may be rejected, or shed for want of capacity; above 1 there is no bound.
type Bounds struct{ Rejected, Shed float64 }

// RequestCounts count the requests at one member since a rehearsal or a policy began there.
type RequestCounts struct {
	Subject    uint64 `cbor:"1,keyasint,omitempty"` // ID of the proposal that is rehearsed, or number of the policy
	Requests   uint64 `cbor:"2,keyasint,omitempty"`
	Classified uint64 `cbor:"3,keyasint,omitempty"`
	Rejected   uint64 `cbor:"4,keyasint,omitempty"` // in a rehearsal: that the policy in force doesn't reject
	Shed       uint64 `cbor:"5,keyasint,omitempty"` // for want of a slot or capacity; in a rehearsal: that the policy in force doesn't shed
}
