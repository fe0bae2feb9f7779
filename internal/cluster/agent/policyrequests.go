package agent

import (
	"fmt"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
)

// PolicyOperation is the operation that a PolicyRequest requests.
type PolicyOperation string

// The operations of a PolicyRequest.
const (
	StatusOperation   PolicyOperation = "status"
	ProposeOperation  PolicyOperation = "propose"
	RehearseOperation PolicyOperation = "rehearse"
	RollbackOperation PolicyOperation = "rollback"
	AwaitOperation    PolicyOperation = "await" // the progress of a proposal that was made at this gateway
	TextOperation     PolicyOperation = "text"
	VotersOperation   PolicyOperation = "voters"
	ForceOperation    PolicyOperation = "force"
)

// PolicyRequest is a request to a gateway's control socket that concerns policies.
type PolicyRequest struct {
	Operation      PolicyOperation `json:"do"`
	ID             uint64          `json:"id,omitempty"`     // ID of a proposal
	Text           []byte          `json:"text,omitempty"`   // text of a proposed policy
	BaseNumber     uint64          `json:"base,omitempty"`   // number of the policy that has to be in force for a proposal; 0: any
	Number         uint64          `json:"number,omitempty"` // number of the policy whose text is requested or that a rollback returns to
	DurationMillis int64           `json:"for,omitempty"`    // length of a rehearsal
	Voters         []string        `json:"voters,omitempty"`
}

// PolicyReply is the reply to a PolicyRequest. At most one of its fields is set.
type PolicyReply struct {
	Error  string          `json:"error,omitempty"`
	Result *ProposalResult `json:"result,omitempty"`
	Status *PolicyStatus   `json:"status,omitempty"`
	Text   []byte          `json:"text,omitempty"`
}

// The values of ProposalResult.Outcome that aren't failures.
const (
	PendingOutcome   = "pending"
	DecidedOutcome   = "decided"
	RehearsedOutcome = "rehearsed"
)

// ProposalResult is the outcome of a proposal.
type ProposalResult struct {
	ID      uint64 `json:"id"`
	Outcome string `json:"end"` // PendingOutcome, DecidedOutcome, RehearsedOutcome or the kind of failure
	Number  uint64 `json:"number,omitempty"`
	Reason  string `json:"why,omitempty"`
}

func newProposalResult(r rollout.Result) *ProposalResult {
	return &ProposalResult{ID: r.ID, Outcome: r.Outcome.String(), Number: r.Number, Reason: r.Reason}
}

// PolicyStatus is a gateway's state of the policy rollout.
type PolicyStatus struct {
	Name           string           `json:"name"`   // name of the gateway
	Number         uint64           `json:"number"` // number of the policy that is in force at this gateway, or was in force last
	Era            uint64           `json:"era"`
	Digest         string           `json:"digest"`
	LeaseSeconds   float64          `json:"lease"` // time for which it may apply the policy without another message; 0: it may not
	DecidedNumber  uint64           `json:"decided"`
	Leader         string           `json:"leader"`
	Voters         []string         `json:"voters"`
	IsVoter        bool             `json:"votes"`
	IsLearner      bool             `json:"learning,omitempty"`
	Proposal       string           `json:"proposal,omitempty"` // ID of the open proposal; empty: none is known
	ProposalDigest string           `json:"offered,omitempty"`
	Ready          bool             `json:"ready,omitempty"` // the gateway can apply the open proposal's policy
	Reason         string           `json:"why,omitempty"`   // why the gateway isn't ready
	VoterChange    string           `json:"change,omitempty"`
	UnusableDigest string           `json:"cannot_follow,omitempty"`
	Records        []PolicyRecord   `json:"past,omitempty"`
	Results        []ProposalResult `json:"ends,omitempty"`
	Members        []PolicyMember   `json:"members,omitempty"` // only the leader lists them
}

// PolicyRecord is a policy that is or was in force.
type PolicyRecord struct {
	Number       uint64 `json:"number"`
	Digest       string `json:"digest"`
	Size         int    `json:"size"` // bytes
	Kind         string `json:"kind"`
	Proposer     string `json:"by"`
	UnixSeconds  int64  `json:"at"`
	SourceNumber uint64 `json:"of,omitempty"` // for a rollback: number of the policy that it returned to
}

// PolicyMember is the leader's view of a gateway.
type PolicyMember struct {
	Name           string  `json:"name"`
	ContactSeconds float64 `json:"heard"` // time since its last lease request
	LeaseSeconds   float64 `json:"lease"` // time until its lease has surely ended
	Ready          bool    `json:"ready"`
	Excluded       bool    `json:"out"`
	Reason         string  `json:"why,omitempty"`
}

// proposalKinds maps the operations that make proposals to the kinds of these proposals.
var proposalKinds = map[PolicyOperation]rollout.ProposalKind{
	ProposeOperation:  rollout.KindChange,
	RehearseOperation: rollout.KindRehearsal,
	RollbackOperation: rollout.KindRollback,
}

// handleRequest handles one request of the control socket, in the agent's goroutine. It calls reply once: for an accepted
// proposal when the proposal has ended, otherwise before handleRequest returns.
func (p *policyRollout) handleRequest(now admission.Time, request *PolicyRequest, reply func(*PolicyReply)) {
	if kind, ok := proposalKinds[request.Operation]; ok {
		p.propose(now, kind, request, reply)
		return
	}
	answer, err := p.answer(now, request)
	if err != nil {
		answer = &PolicyReply{Error: err.Error()}
	}
	reply(answer)
}

func (p *policyRollout) propose(now admission.Time, kind rollout.ProposalKind, request *PolicyRequest, reply func(*PolicyReply)) {
	proposal := rollout.Proposal{
		ID:              request.ID,
		Kind:            kind,
		Text:            request.Text,
		BaseNumber:      request.BaseNumber,
		RollbackTo:      request.Number,
		RehearsalLength: ticks(time.Duration(request.DurationMillis) * time.Millisecond),
	}
	err := p.core.Propose(now, proposal, func(r rollout.Result) { reply(&PolicyReply{Result: newProposalResult(r)}) })
	if err != nil {
		reply(&PolicyReply{Error: err.Error()})
	}
}

// answer handles a request that isn't a proposal.
func (p *policyRollout) answer(now admission.Time, request *PolicyRequest) (*PolicyReply, error) {
	switch request.Operation {
	case StatusOperation:
		return &PolicyReply{Status: p.status(now)}, nil
	case AwaitOperation:
		result, ok := p.core.ProposalProgress(request.ID)
		if !ok {
			return nil, fmt.Errorf("no proposal %08x was made here", uint32(request.ID>>32))
		}
		return &PolicyReply{Result: newProposalResult(result)}, nil
	case TextOperation:
		return p.answerText(now, request.Number)
	case VotersOperation:
		if err := p.core.ReplaceVoters(now, request.Voters); err != nil {
			return nil, err
		}
		return &PolicyReply{Status: p.status(now)}, nil
	case ForceOperation:
		if err := p.core.ForceNewLog(now, request.Voters); err != nil {
			return nil, err
		}
		return &PolicyReply{Status: p.status(now)}, nil
	}
	return nil, fmt.Errorf("expected status, propose, rehearse, rollback, await, text, voters or force, found %q", string(request.Operation))
}

func (p *policyRollout) answerText(now admission.Time, number uint64) (*PolicyReply, error) {
	digest, err := p.findDigest(now, number)
	if err != nil {
		return nil, err
	}
	text := p.core.PolicyText(digest)
	if text == nil && (digest != rollout.Digest{}) {
		return nil, fmt.Errorf("the text of number %d isn't here: ask a voter", number)
	}
	return &PolicyReply{Text: text}, nil
}

// findDigest returns the digest of the policy with a number. If number 0 isn't known, it returns the zero digest.
func (p *policyRollout) findDigest(now admission.Time, number uint64) (rollout.Digest, error) {
	state := p.core.Status(now)
	if number == state.InForce.Number {
		return state.InForce.Digest, nil
	}
	for _, past := range state.PastPolicies {
		if past.Number == number {
			return past.Digest, nil
		}
	}
	if number == 0 {
		return rollout.Digest{}, nil
	}
	return rollout.Digest{}, fmt.Errorf("number %d isn't known here: ask a voter, which knows the last ones", number)
}

// status returns the gateway's state of the policy rollout.
func (p *policyRollout) status(now admission.Time) *PolicyStatus {
	state := p.core.Status(now)
	inForce := &state.InForce
	out := &PolicyStatus{
		Name:          state.Name,
		Number:        inForce.Number,
		Era:           inForce.Era,
		Digest:        inForce.Digest.String(),
		LeaseSeconds:  seconds(state.LeaseRemaining),
		DecidedNumber: state.DecidedNumber,
		Leader:        state.Leader,
		Voters:        state.Voters,
		IsVoter:       state.IsVoter,
		IsLearner:     state.IsLearner,
		Ready:         state.Ready,
		Reason:        state.Reason,
		VoterChange:   state.Progress,
	}
	if state.ProposalID != 0 {
		out.Proposal = fmt.Sprintf("%08x", uint32(state.ProposalID>>32))
		out.ProposalDigest = state.ProposalDigest.String()
	}
	if (state.Unsupported != rollout.Digest{}) {
		out.UnusableDigest = state.Unsupported.String()
	}
	for _, past := range state.PastPolicies {
		out.Records = append(out.Records, PolicyRecord{past.Number, past.Digest.String(), past.Size, past.Kind.String(), past.ProposedBy, past.UnixSeconds, past.RollbackTo})
	}
	for _, end := range state.EndedProposals {
		out.Results = append(out.Results, *newProposalResult(rollout.Result(end)))
	}
	for _, m := range state.Members {
		out.Members = append(out.Members, PolicyMember{m.Name, seconds(m.SinceLastRequest), seconds(m.LeaseRemaining), m.Ready, m.Excluded, m.Reason})
	}
	return out
}
