// Package rolloutmodel explores the protocol of package rollout: every interleaving of a small system, up to a maximum number of states,
// with the cores that gateways run. It looks for a gateway that applies an older policy to a request after another gateway has applied a
// newer one.
//
// The system has three voters, a, b and c, and a member m that doesn't vote. Only a and b can be elected, and c has no process. Voter a
// and the member are gateways. Voter b is a gateway only if there are elections. Two policies are proposed. The model of the voters' log
// makes only the guarantees that a replicated log with majority decisions makes (see sharedLog). The clock of a runs true, that of b a
// quarter fast and that of m a quarter slow, so that a few steps of time reveal errors in the handling of clock drift. While the current
// leader grants leases, it renews its own after every transition. All processes have the texts of both policies. Lease requests arrive at
// once unless Options.DelayRequests is set. A lease starts at its request, so that a delay of the reply has the same effect as a delay of
// the request.
package rolloutmodel

import (
	"math/rand/v2"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/testbed/modelcheck"
)

const (
	// The rate of a clock is wrong by at most 1/clockDriftDivisor.
	clockDriftDivisor = 4
	// timeStep is the time that passes on a true clock in one step. On a fast clock 5/4 of it pass, on a slow clock 3/4.
	timeStep = rollout.YieldTimeout
	// maxInFlight is the maximum number of messages in flight. Beyond it the first messages of the list are lost.
	maxInFlight = 2
	// maxDepth is the maximum number of transitions to a state. It does not limit any exploration in practice.
	maxDepth = 1000
	// memberIndex and memberName identify the member that doesn't vote.
	memberIndex = 2
	memberName  = "m"
	// noLeader is the value of sharedLog.leader while no voter leads.
	noLeader = -1
)

// Options are the faults that may happen in a model, and the settings of its proposals.
type Options struct {
	Mutation      rollout.Mutation
	Overlap       admission.Time // how long a gateway without a lease may admit requests that both the old and the new policy allow
	Restarts      int            // how many times the member may be killed and restarted with its stored state
	Elections     int            // number of elections after the first
	Duplicates    int            // how many times a message may be delivered and stay in flight
	DelayRequests bool           // lease requests stay in flight like other messages
}

// New returns the first state of the model: voter a has been the leader for a long time, and no policy is in force.
func New(options Options) modelcheck.State {
	config := &rollout.Config{
		Voters: []string{"a", "b", "c"}, LeaseDuration: 2 * timeStep, PrepareTimeout: timeStep, ClockDriftDivisor: clockDriftDivisor,
		Mutation: options.Mutation,
	}
	s := &system{
		config: config, restarts: options.Restarts, elections: options.Elections, duplicates: options.Duplicates,
		delayRequests: options.DelayRequests, leaseRequests: 4, log: sharedLog{leader: noLeader},
	}
	quarters := []admission.Time{4, 5, 3}
	s.now = -100 // voter a is elected 100 time steps before the first state
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

// policyTexts are the texts of the two proposed policies.
var policyTexts = [][]byte{[]byte("one"), []byte("two")}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) } // the cores need a random source, but its numbers don't matter here

// Explore explores several variants of the model, each up to maxStates states, and calls report with the name and the result of each.
func Explore(maxStates int, report func(name string, result modelcheck.Result)) {
	for _, variant := range []struct {
		name    string
		options Options
	}{
		{"the member is killed, a message is duplicated", Options{Restarts: 1, Duplicates: 1}},
		{"two elections", Options{Elections: 2}},
		{"an election, gateways without a lease admit what both policies allow", Options{Elections: 1, Overlap: 4 * timeStep}},
		{"an election, lease requests are delayed", Options{Elections: 1, DelayRequests: true}},
	} {
		report("policy, 3 voters, 1 member, 2 proposals, "+variant.name, modelcheck.Explore(New(variant.options), maxStates, maxDepth))
	}
}
