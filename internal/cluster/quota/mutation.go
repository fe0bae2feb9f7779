package quota

// Mutation is a defect injected into the protocol. Tests and the testbed set one in a plan to show that their checks find it.
type Mutation uint8

// The mutations.
const (
	NoMutation                  Mutation = iota
	IgnoreClockDrift                     // waits for other members' clocks have no margin for clock drift
	OpenVoterAtOnce                      // a voter that has joined confirms shares without waiting for a share term
	CountGrantTwice                      // a grant that is delivered twice counts twice
	CountTermFromArrival                 // the term of a share starts when the confirmation arrives, not when the claim is sent
	JoinWithoutAllVoters                 // a voter opens before all other voters know its incarnation
	LeaseBeyondShareTerm                 // a lease may end after the lender's share
	RenewReturnedLease                   // a grant for the renewal of a returned lease is accepted
	UseLeasedUnits                       // a lender continues to use the units that it has leased out
	UseRecalledUnits                     // a lender uses the units of a recalled lease before they are returned
	SucceedWithoutWaiting                // a successor uses its share before the leases granted by its predecessor have ended
	SucceedAnyHolder                     // a voter accepts any claim with predecessors, even if the holder is not one of them
	CountMutuallyUnknownVoters           // confirmations count together although neither voter was known to the other
	JoinWithUnequalIncarnations          // a voter opens although other voters know other incarnations than it does
	GrantNoLease                         // not a defect: no units are leased, as a baseline for measurements
)
