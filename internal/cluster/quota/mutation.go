package quota

// Mutation is a deliberate fault of the protocol. Tests and the testbed set one in a plan to prove that their checks find it.
type Mutation uint8

// The mutations.
const (
	NoMutation                  Mutation = iota
	IgnoreClockDrift                     // a lender uses leased units again at the borrower's own end of the lease
	OpenVoterAtOnce                      // a voter that has restarted confirms shares without waiting for a term
	CountGrantTwice                      // a grant that is delivered twice counts twice
	CountTermFromArrival                 // the term of a share runs from the arrival of the confirmation, not from the claim
	JoinWithoutAllVoters                 // a voter opens before all other voters know its incarnation
	LeaseBeyondShareTerm                 // a lease may end after the lender's share does
	RenewReturnedLease                   // a renewal of a lease that has been returned counts
	UseLeasedUnits                       // the lender goes on using what it has leased out
	UseRecalledUnits                     // the lender uses what it has recalled before it is returned
	SucceedWithoutWaiting                // a successor uses its share while its predecessor's leases are still out
	SucceedAnyHolder                     // a voter passes a share to the successor of another process than its holder
	CountMutuallyUnknownVoters           // confirmations count together though neither voter knows the other
	JoinWithUnequalIncarnations          // a voter opens although the others know other incarnations than it does
	GrantNoLease                         // no fault, but the baseline of measurements: shares stay as they are
)
