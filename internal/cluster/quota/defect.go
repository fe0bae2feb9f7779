package quota

// defect is a mistake in the protocol that the laboratory plants, to show that its checkers find it.
type defect uint8

const (
	none             defect = iota
	noDrift                 // a lender uses its right again at the borrower's own end
	noWait                  // a keeper that started anew confirms at once
	takesTwice              // a loan that is told twice counts twice
	fromArrival             // a confirmation counts from when it came
	entersAlone             // a keeper takes part before all others know its start
	lendsBeyond             // a holder lends beyond the end of its own seat
	takesAfterBack          // more time on a loan that was given back counts
	countsNothingOut        // what was lent is used by the lender as well
	recalledIsBack          // what was called back is used by the lender before it is back
	followsAtOnce           // who follows a process uses its part while what that one lent is still out
	followsAnyone           // a keeper has a seat pass to whoever follows any process under its name
	countsStrangers         // confirmations count together though neither keeper knew the other
	entersUnequal           // a keeper opens once all others know its start, whatever they know of each other
	lendsNothing            // no defect, but what this is measured against: parts stay as they are
)
