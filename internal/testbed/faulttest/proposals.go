package faulttest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/testbed/installation"
)

// ProposalResult is a proposal that was made, and what became of it.
type ProposalResult struct {
	At     time.Duration `json:"at"` // from the load's begin
	By     string        `json:"by"`
	Took   time.Duration `json:"took"`
	End    string        `json:"end"` // unknown: no gateway answered
	Number uint64        `json:"number"`
	Why    string        `json:"why,omitempty"`
	id     uint64
	digest string
}

func (p ProposalResult) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s %d %s", p.End, p.Number, p.Why))
}

const (
	policyRetryDelay   = 50 * time.Millisecond  // before another gateway is asked
	proposalRetryDelay = 100 * time.Millisecond // before a proposal is made again, as another one was open
	changeVotersWithin = 10 * time.Second
)

// proposalTimeout is how long a proposal may take at most while a majority of the voters is there: the rollout's own limit, the longest
// leases that may have to end, an election, some attempts and the answer.
func (s *Scenario) proposalTimeout() time.Duration {
	longest := s.Rollout.Lease
	for _, step := range s.Steps {
		longest = max(longest, step.Policy.BothFor)
	}
	return s.Rollout.DecideWithin + 4*longest + 20*time.Second
}

// isDown tells whether a gateway is not to be running at this time of the scenario.
func (p *run) isDown(gateway *installation.Gateway) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notRunning[gateway.Label()]
}

// requestPolicy sends a request to a gateway, and to the next ones in turn while it is away.
func (p *run) requestPolicy(ctx context.Context, first *installation.Gateway, request *agent.PolicyRequest, deadline time.Time) (*agent.PolicyReply, error) {
	index := slices.Index(p.installation.Gateways, first)
	var lastError error
	for time.Now().Before(deadline) {
		gateways := p.installation.Gateways
		gateway := gateways[index%len(gateways)]
		index++
		if !p.isDown(gateway) && gateway.IsRunning() {
			reply, err := sendPolicyRequest(ctx, gateway, request, deadline)
			if err == nil {
				return reply, nil
			}
			lastError = err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(policyRetryDelay):
		}
	}
	return nil, fmt.Errorf("no gateway answered: %w", lastError)
}

// sendPolicyRequest sends a request to one gateway. A reply that bears an error is returned as that error.
func sendPolicyRequest(ctx context.Context, gateway *installation.Gateway, request *agent.PolicyRequest, deadline time.Time) (*agent.PolicyReply, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	reply, err := agent.SendPolicyRequest(ctx, gateway.Control, request)
	if err != nil {
		return nil, err
	}
	if reply.Error != "" {
		return nil, errors.New(reply.Error)
	}
	return reply, nil
}

// propose makes a step's proposal, and waits for its end beside the steps that follow.
func (p *run) propose(step Step) {
	gateways := p.matchingGateways(step.Gateways)
	if len(gateways) == 0 {
		p.missedDeadlines = append(p.missedDeadlines, fmt.Sprintf("step at %v: no gateway is called %v", step.At, step.Gateways))
		return
	}
	first := gateways[0]
	if step.Action == "voters" || step.Action == "force" {
		request := &agent.PolicyRequest{Operation: agent.PolicyOperation(step.Action), Voters: step.Gateways}
		if _, err := p.requestPolicy(context.Background(), first, request, time.Now().Add(changeVotersWithin)); err != nil {
			p.missedDeadlines = append(p.missedDeadlines, fmt.Sprintf("step at %v: %s: %v", step.At, step.Action, err))
		}
		return
	}
	request := p.proposalRequest(step)
	p.proposals.Add(1)
	go func() {
		defer p.proposals.Done()
		deadline := time.Now().Add(p.scenario.proposalTimeout())
		for p.tryProposal(first, request) && step.ProposalName == "" && time.Now().Before(deadline) {
			time.Sleep(proposalRetryDelay)
			request.ID = rand.Uint64() | 1 // another one was open: it is proposed again, as its operator would
		}
	}()
}

var proposalOperations = map[string]agent.PolicyOperation{
	"change":   agent.ProposeOperation,
	"rollback": agent.RollbackOperation,
	"rehearse": agent.RehearseOperation,
}

// proposalRequest is the request that makes a step's proposal.
func (p *run) proposalRequest(step Step) *agent.PolicyRequest {
	step.Policy.Fleet = p.scenario.Limits.Any()
	request := &agent.PolicyRequest{
		Operation:      proposalOperations[step.ProposalKind],
		ID:             p.proposalID(step.ProposalName),
		Text:           step.Policy.Text(),
		Number:         uint64(step.PolicyNumber),
		DurationMillis: step.Policy.Rehearse.Milliseconds(),
	}
	if step.ProposalKind == "rollback" {
		request.Text = nil
	}
	return request
}

// proposalID is the id of the proposals that bear a name, or a new one where they bear none.
func (p *run) proposalID(name string) uint64 {
	if id := p.proposalIDs[name]; id != 0 {
		return id
	}
	id := rand.Uint64() | 1
	if name == "" {
		return id
	}
	if p.proposalIDs == nil {
		p.proposalIDs = map[string]uint64{}
	}
	p.proposalIDs[name] = id
	return id
}

// tryProposal makes a proposal and waits for its end. It returns true if another one was open.
func (p *run) tryProposal(first *installation.Gateway, request *agent.PolicyRequest) bool {
	began := time.Now()
	reply, err := p.requestPolicy(context.Background(), first, request, began.Add(p.scenario.proposalTimeout()))
	proposal := ProposalResult{At: began.Sub(p.startedAt), By: first.Label(), Took: time.Since(began), End: "unknown", id: request.ID}
	if request.Text != nil { // else it goes back to an earlier policy
		proposal.digest = rollout.DigestOf(request.Text).String()
	}
	if err != nil {
		proposal.Why = err.Error()
	} else if reply.Result != nil {
		proposal.End, proposal.Number, proposal.Why = reply.Result.Outcome, reply.Result.Number, reply.Result.Reason
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proposalResults = append(p.proposalResults, proposal)
	return proposal.End == "refused" && strings.Contains(proposal.Why, "is open")
}

// firstPolicyText is the first policy's: the scenario's limits.
func (p *run) firstPolicyText() []byte {
	return (&installation.Policy{ClusterLimits: p.scenario.Limits, Fleet: p.scenario.Limits.Any()}).Text()
}

// proposeFirst proposes the scenario's limits as the first policy, and waits until all gateways go by it.
func (p *run) proposeFirst(ctx context.Context) error {
	request := &agent.PolicyRequest{Operation: agent.ProposeOperation, ID: 1, Text: p.firstPolicyText()}
	deadline := time.Now().Add(p.scenario.ConvergeWithin + 5*p.scenario.Rollout.Lease)
	last := p.installation.Gateways[len(p.installation.Gateways)-1]
	reply, err := p.requestPolicy(ctx, last, request, deadline)
	if err != nil {
		return fmt.Errorf("eventual: the first policy was not decided: %w", err)
	}
	if reply.Result == nil || reply.Result.Outcome != "decided" {
		return fmt.Errorf("eventual: the first policy was not decided: %+v", reply.Result)
	}
	for time.Now().Before(deadline) {
		if p.policyDifference() == "" {
			return nil
		}
		time.Sleep(policyRetryDelay)
	}
	return fmt.Errorf("eventual: not all go by the first policy: %s", p.policyDifference())
}

// policyDifference names the first gateway that is there and does not go by the others' policy; it is empty if there is none.
func (p *run) policyDifference() string {
	number, other := uint64(0), ""
	for _, gateway := range p.installation.Gateways {
		if p.isDown(gateway) {
			continue
		}
		if status, err := agent.FetchStatus(gateway.Control); err != nil || status.Displaced {
			continue // another process has its name
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		reply, err := agent.SendPolicyRequest(ctx, gateway.Control, &agent.PolicyRequest{Operation: agent.StatusOperation})
		cancel()
		switch {
		case err != nil:
			return gateway.Label() + ": " + err.Error()
		case reply.Status == nil || reply.Status.LeaseSeconds == 0:
			return gateway.Label() + " holds no lease"
		case other != "" && reply.Status.Number != number:
			return fmt.Sprintf("%s goes by number %d, %s by %d", gateway.Label(), reply.Status.Number, other, number)
		}
		number, other = reply.Status.Number, gateway.Label()
	}
	return ""
}
