// Package rolloutmodel explores the protocol of package rollout: every interleaving of a small system, up to a number of states, with
// the cores that gateways run. It looks for a gateway that decides by an older policy after another has decided by a newer one.
//
// The system has three voters, of which two can be elected, and a member that doesn't vote; all are gateways, and two policies are
// proposed. The voters' log is modelled by what a log by majority promises and no more (sharedLog). The clocks of the three run true,
// a quarter fast and a quarter slow, so that few steps of time show what drift does. The leader that counts always has a lease of its
// own. All have the texts of both policies. Lease requests arrive at once, unless DelayRequests says otherwise: a lease counts from its
// request, so that the delay of the reply covers that of the request.
package rolloutmodel

import (
	"math/rand/v2"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/testbed/modelcheck"
)

const (
	// Clocks run at most one part in so many fast or slow.
	clockDriftDivisor = 4
	// timeStep is how far a true clock goes at a time; a fast one goes five quarters of it, a slow one three.
	timeStep = rollout.YieldTimeout
	// maxInFlight is how many messages are under way at most; beyond it the oldest are lost.
	maxInFlight = 2
	// maxDepth bounds how many transitions lead to a state.
	maxDepth = 1000
	// The member that doesn't vote.
	memberIndex = 2
	memberName  = "m"
	// No voter leads.
	nobody = -1
)

// Options are the faults of a model and what its proposals allow.
type Options struct {
	Mutation      rollout.Mutation
	Overlap       admission.Time // for which gateways without a lease may go by what two policies both allow
	Restarts      int            // of the member, which is killed and starts by its folder
	Elections     int
	Duplicates    int  // messages that arrive twice
	DelayRequests bool // lease requests stay under way like other messages
}

// New is the model's first state: voter a has led for long, and no policy is in force.
func New(options Options) modelcheck.State {
	config := &rollout.Config{
		Voters: []string{"a", "b", "c"}, LeaseDuration: 2 * timeStep, PrepareTimeout: timeStep, ClockDriftDivisor: clockDriftDivisor,
		Mutation: options.Mutation,
	}
	s := &system{
		config: config, restarts: options.Restarts, elections: options.Elections, duplicates: options.Duplicates,
		delayRequests: options.DelayRequests, leaseRequests: 4, log: sharedLog{leader: nobody},
	}
	quarters := []admission.Time{4, 5, 3}
	s.now = -100 // time steps: long ago, when voter a was elected
	for i, name := range []string{"a", "b", memberName} {
		p := &process{name: name, clockQuarters: quarters[i], isGateway: i != 1 || options.Elections > 0}
		s.processes = append(s.processes, p)
		s.start(i, nil)
		if i == memberIndex {
			continue
		}
		p.replica = &replica{system: s, index: i}
		id := uint64(i + 1)
		p.core.JoinVoters(p.replica, rollout.Table{LeaseDuration: config.LeaseDuration, Voters: []rollout.Voter{{Name: name, ReplicaID: id}}}, id)
	}
	for i, text := range policyTexts {
		s.proposals = append(s.proposals, &rollout.LoggedProposal{
			ID: uint64(i + 1), Digest: rollout.DigestOf(text), Size: len(text), Kind: rollout.KindChange, By: memberName, Overlap: options.Overlap,
		})
	}
	s.elect(0, false)
	s.now, s.inFlight = 0, nil
	for _, p := range s.processes {
		p.core.Advance(s.clock(p))
	}
	return s
}

// policyTexts are the texts of the policies that are proposed.
var policyTexts = [][]byte{[]byte("one"), []byte("two")}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) } // what is drawn decides nothing here

// Explore explores the model in some forms, each up to a number of states, and reports the result of each by a name.
func Explore(maxStates int, report func(name string, result modelcheck.Result)) {
	for _, form := range []struct {
		name    string
		options Options
	}{
		{"the member killed, a message doubled", Options{Restarts: 1, Duplicates: 1}},
		{"two elections", Options{Elections: 2}},
		{"an election, gateways go by what both allow", Options{Elections: 1, Overlap: 4 * timeStep}},
		{"an election, asks are late", Options{Elections: 1, DelayRequests: true}},
	} {
		report("policy, 3 voters, 1 member, 2 proposals, "+form.name, modelcheck.Explore(New(form.options), maxStates, maxDepth))
	}
}
