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

// ProposalResult is a proposal that was made, with its outcome.
type ProposalResult struct {
	At     time.Duration `json:"at"` // time since the start of the load
	By     string        `json:"by"`
	Took   time.Duration `json:"took"`
	End    string        `json:"end"` // outcome in the gateway's reply; unknown: there was no reply with an outcome
	Number uint64        `json:"number"`
	Why    string        `json:"why,omitempty"`
	id     uint64
	digest string
}

func (p ProposalResult) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s %d %s", p.End, p.Number, p.Why))
}

const (
	policyRetryDelay   = 50 * time.Millisecond  // before a request is sent to another gateway, or the status is requested again
	proposalRetryDelay = 100 * time.Millisecond // before a proposal is made again because another one was open
	changeVotersWithin = 10 * time.Second
)

// proposalTimeout returns how long a proposal may take while a majority of the voters is running. It covers the rollout's own time
// limit, the longest leases that may have to end first, an election, several attempts and the reply.
func (s *Scenario) proposalTimeout() time.Duration {
	longest := s.Rollout.Lease
	for _, step := range s.Steps {
		longest = max(longest, step.Policy.BothFor)
	}
	return s.Rollout.DecideWithin + 4*longest + 20*time.Second
}

// isDown reports whether, according to the scenario, a gateway is not running at present.
func (p *run) isDown(gateway *installation.Gateway) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notRunning[gateway.Label()]
}

// requestPolicy sends a request to the gateway first. While it gets no reply, it tries the other gateways in turn, until the deadline.
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

// sendPolicyRequest sends a request to one gateway. If the reply contains an error, it returns this error.
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

// propose makes the proposal of a step. It waits for the outcome in the background, while further steps run. Steps that change the voters
// are carried out before propose returns.
func (p *run) propose(step Step) {
	gateways := p.matchingGateways(step.Gateways)
	if len(gateways) == 0 {
		p.missedDeadlines = append(p.missedDeadlines, fmt.Sprintf("step at %v: no gateway matches %v", step.At, step.Gateways))
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
			request.ID = rand.Uint64() | 1 // another proposal was open, so it is proposed again with a new id, as an operator would do
		}
	}()
}

var proposalOperations = map[string]agent.PolicyOperation{
	"change":   agent.ProposeOperation,
	"rollback": agent.RollbackOperation,
	"rehearse": agent.RehearseOperation,
}

// proposalRequest returns the request that makes the proposal of a step.
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

// proposalID returns the common id of all proposals with the name, or a new id if the name is empty.
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

// tryProposal makes a proposal, waits for its outcome and records it. It returns true if the proposal was refused because another one
// was open.
func (p *run) tryProposal(first *installation.Gateway, request *agent.PolicyRequest) bool {
	began := time.Now()
	reply, err := p.requestPolicy(context.Background(), first, request, began.Add(p.scenario.proposalTimeout()))
	proposal := ProposalResult{At: began.Sub(p.startedAt), By: first.Label(), Took: time.Since(began), End: "unknown", id: request.ID}
	if request.Text != nil { // without a text, the proposal is a rollback to an earlier policy
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

// firstPolicyText returns the text of the first policy, which has the scenario's limits.
func (p *run) firstPolicyText() []byte {
	return (&installation.Policy{ClusterLimits: p.scenario.Limits, Fleet: p.scenario.Limits.Any()}).Text()
}

// proposeFirst proposes the first policy, and waits until all running gateways apply it.
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
	return fmt.Errorf("eventual: not all gateways apply the first policy: %s", p.policyDifference())
}

// policyDifference describes the first running gateway that does not answer, holds no lease, or applies another policy than the gateways
// before it. It is empty if there is none. Gateways whose name another process has taken are left out.
func (p *run) policyDifference() string {
	number, other := uint64(0), ""
	for _, gateway := range p.installation.Gateways {
		if p.isDown(gateway) {
			continue
		}
		if status, err := agent.FetchStatus(gateway.Control); err != nil || status.Displaced {
			continue // another process has taken its name, or its status is not available
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
			return fmt.Sprintf("%s applies policy %d, but %s applies %d", gateway.Label(), reply.Status.Number, other, number)
		}
		number, other = reply.Status.Number, gateway.Label()
	}
	return ""
}
