package agent

import (
	"fmt"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
)

// PolicyOperation is what a PolicyRequest asks for.
type PolicyOperation string

// The operations of a PolicyRequest.
const (
	StatusOperation   PolicyOperation = "status"
	ProposeOperation  PolicyOperation = "propose"
	RehearseOperation PolicyOperation = "rehearse"
	RollbackOperation PolicyOperation = "rollback"
	AwaitOperation    PolicyOperation = "await" // how far a proposal is that was made at this gateway
	TextOperation     PolicyOperation = "text"
	VotersOperation   PolicyOperation = "voters"
	ForceOperation    PolicyOperation = "force"
)

// PolicyRequest is a request on policies to a gateway's control socket.
type PolicyRequest struct {
	Operation      PolicyOperation `json:"do"`
	ID             uint64          `json:"id,omitempty"`     // of a proposal
	Text           []byte          `json:"text,omitempty"`   // of a proposed policy
	BaseNumber     uint64          `json:"base,omitempty"`   // that must be in force for a proposal; 0: any
	Number         uint64          `json:"number,omitempty"` // of the policy that is asked for, or returned to
	DurationMillis int64           `json:"for,omitempty"`    // of a rehearsal
	Voters         []string        `json:"voters,omitempty"`
}

// PolicyReply is the reply to a PolicyRequest: one of its fields.
type PolicyReply struct {
	Error  string          `json:"error,omitempty"`
	Result *ProposalResult `json:"result,omitempty"`
	Status *PolicyStatus   `json:"status,omitempty"`
	Text   []byte          `json:"text,omitempty"`
}

// The outcomes of proposals that aren't failures.
const (
	PendingOutcome   = "pending"
	DecidedOutcome   = "decided"
	RehearsedOutcome = "rehearsed"
)

// ProposalResult is what became of a proposal.
type ProposalResult struct {
	ID      uint64 `json:"id"`
	Outcome string `json:"end"` // one of the outcomes above, or how it failed
	Number  uint64 `json:"number,omitempty"`
	Reason  string `json:"why,omitempty"`
}

func newProposalResult(r rollout.Result) *ProposalResult {
	return &ProposalResult{ID: r.ID, Outcome: r.Outcome.String(), Number: r.Number, Reason: r.Reason}
}

// PolicyStatus is what a gateway knows of policies.
type PolicyStatus struct {
	Name           string           `json:"name"`   // of the gateway
	Number         uint64           `json:"number"` // in force here, or so last
	Era            uint64           `json:"era"`
	Digest         string           `json:"digest"`
	LeaseSeconds   float64          `json:"lease"` // for which the policy may be followed without another message; 0: it may not
	DecidedNumber  uint64           `json:"decided"`
	Leader         string           `json:"leader"`
	Voters         []string         `json:"voters"`
	IsVoter        bool             `json:"votes"`
	IsLearner      bool             `json:"learning,omitempty"`
	Proposal       string           `json:"proposal,omitempty"` // the open one's ID
	ProposalDigest string           `json:"offered,omitempty"`
	Ready          bool             `json:"ready,omitempty"` // for the open proposal
	Reason         string           `json:"why,omitempty"`   // why not
	VoterChange    string           `json:"change,omitempty"`
	UnusableDigest string           `json:"cannot_follow,omitempty"`
	Records        []PolicyRecord   `json:"past,omitempty"`
	Results        []ProposalResult `json:"ends,omitempty"`
	Members        []PolicyMember   `json:"members,omitempty"` // at the leader
}

// PolicyRecord is one policy that was in force.
type PolicyRecord struct {
	Number       uint64 `json:"number"`
	Digest       string `json:"digest"`
	Size         int    `json:"size"` // bytes
	Kind         string `json:"kind"`
	Proposer     string `json:"by"`
	UnixSeconds  int64  `json:"at"`
	SourceNumber uint64 `json:"of,omitempty"` // that a rollback returned to
}

// PolicyMember is a gateway as the leader knows it.
type PolicyMember struct {
	Name           string  `json:"name"`
	ContactSeconds float64 `json:"heard"` // since its last message
	LeaseSeconds   float64 `json:"lease"` // until its lease has surely ended
	Ready          bool    `json:"ready"`
	Excluded       bool    `json:"out"`
	Reason         string  `json:"why,omitempty"`
}

// proposalKinds are the kinds of proposals by the operations that make them.
var proposalKinds = map[PolicyOperation]rollout.ProposalKind{
	ProposeOperation:  rollout.KindChange,
	RehearseOperation: rollout.KindRehearsal,
	RollbackOperation: rollout.KindRollback,
}

// handleRequest serves one request of the control socket, in the agent's goroutine. It calls reply once: for a proposal
// that was taken, when it has ended; otherwise before it returns.
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

// answer serves a request that isn't a proposal.
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

// findDigest is the digest of a number that this gateway knows.
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

// status is what the gateway knows of policies.
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
