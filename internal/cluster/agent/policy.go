package agent

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/consensus"
	"magpiebank/internal/cluster/history"
	"magpiebank/internal/cluster/membership"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/storage/faultdisk"
	"magpiebank/internal/storage/store"
)

// PolicyConfig is how the fleet changes its policy.
type PolicyConfig struct {
	Voters          []string      // names of the gateways that decide, at first
	Folder          string        // for the log and the policies; empty: none, as for a gateway that doesn't vote
	LeaseDuration   time.Duration // for which a gateway that hears nothing goes on by the policy it has
	ProposalTimeout time.Duration // that a proposal waits for gateways that are heard and take no part
}

// PolicyReader reads policies for the gateway that goes by them; the operator's desk does.
type PolicyReader interface {
	// ReadPolicy reads a policy's text; an error is why this gateway can't follow it. Any goroutine may call it.
	ReadPolicy(text []byte) (Policy, error)
	// RequestCounts is what became of requests since a policy or a rehearsal began here.
	RequestCounts() rollout.RequestCounts
}

// Policy is one that was read.
type Policy interface {
	Terms() rollout.Terms
	Budgets() (names []string, totals []int64) // of the whole fleet
}

// ActivePolicy is what this gateway may go by, as those see it that decide.
type ActivePolicy struct {
	rollout.InForce
	Current   Policy   // in force, or last so; nil: none is known
	Proposed  Policy   // that may be gone by beside it
	Parsed    []Policy // that were heard of
	Rehearsed Policy   // that is rehearsed
}

// policies is the fleet's part in changes of policy.
type policies struct {
	f      *Agent
	plan   PolicyConfig
	desk   PolicyReader
	core   *rollout.Core
	store  *store.Store
	read   map[rollout.Digest]Policy
	inUse  rollout.Digest // whose budgets are gone by
	number uint64
	parts  []parcel
	sent   uint32
}

// parcel is a message that comes in several datagrams.
type parcel struct {
	from  string
	start uint64
	id    uint32
	parts [][]byte
	left  int
	at    admission.Time
}

// SetPolicyReader has the fleet's policies be gone by; it is called before Start.
func (f *Agent) SetPolicyReader(desk PolicyReader) { f.policies.desk = desk }

// newPolicies opens the folder.
func (f *Agent) newPolicies(now admission.Time, start uint64) (*policies, error) {
	p := &f.policies
	p.f, p.plan, p.read = f, *f.plan.Policy, map[rollout.Digest]Policy{}
	plan := &rollout.Config{Voters: p.plan.Voters, LeaseDuration: tenths(p.plan.LeaseDuration), PrepareTimeout: tenths(p.plan.ProposalTimeout), ClockDriftDivisor: 20, Persistent: p.plan.Folder != ""}
	plan.Mutation = rollout.ParseMutation(planted())
	var kept *rollout.StoredState
	if p.plan.Folder != "" {
		disk, err := store.CreateFolder(p.plan.Folder)
		if err != nil {
			return nil, fmt.Errorf("fleet.policy.folder: %w", err)
		}
		kept = &rollout.StoredState{}
		// The last sixteen policies of a megabyte each, as many again while they are rewritten, and the log.
		limits := store.Limits{MaxBytes: 64 << 20}
		p.store, _, err = store.Open(faultdisk.WrapFolder(disk), f.name, limits, func(k store.Key, b []byte, gone bool) {
			kept.AddRecord([16]byte(k), slices.Clone(b), gone)
		})
		if err != nil {
			return nil, fmt.Errorf("fleet.policy.folder: %s: %w", p.plan.Folder, err)
		}
		if err := kept.Err(); err != nil {
			return nil, errors.Join(fmt.Errorf("fleet.policy.folder: %s: %w", p.plan.Folder, err), p.store.Close())
		}
	}
	p.core = rollout.New(now, plan, f.name, start, rand.New(rand.NewPCG(start, 3)), kept, p)
	return p, nil
}

// ActivePolicy is what may be gone by now; nil: the fleet has no charter.
func (f *Agent) ActivePolicy() *ActivePolicy { return f.ruling.Load() }

// TryBeginWrite tells whether a hand-off that a number had go out may be written now; Passed follows once it is.
func (f *Agent) TryBeginWrite(by uint64, task admission.RequestID) bool {
	f.passing.Add(1)
	asOf := f.HistoryNow()
	if by != f.ruling.Load().BasisAt(f.clock.Now()) {
		f.passing.Add(-1)
		return false
	}
	f.RecordDecision("sent", by, task, asOf)
	return true
}

// EndWrite takes in that it is written.
func (f *Agent) EndWrite(by uint64, task admission.RequestID) {
	f.passing.Add(-1)
	if f.history != nil {
		f.history.Write(history.Event{Kind: history.AttemptWritten, Request: string(task)})
	}
}

// HistoryNow is when something is looked at that is decided by; only histories need it.
func (f *Agent) HistoryNow() int64 {
	if f.history == nil {
		return 0
	}
	return history.Now()
}

// RecordDecision has the history know what was decided of a task, by what (0: without any number), and when that was looked at.
func (f *Agent) RecordDecision(what string, by uint64, task admission.RequestID, asOf int64) {
	if f.history != nil {
		f.history.Write(history.Event{Kind: history.RequestDecided, Code: what, Number: int(by&^byBoth) - 1, Out: by&byBoth != 0, Request: string(task), ObservedAt: asOf})
	}
}

// byBoth marks decisions by what a number and the proposal after it both allow.
const byBoth = uint64(1) << 63

// BasisAt is what may be gone by at a time: a number from 1 up, as a number and one, or, marked, two of them; 0: nothing.
func (r *ActivePolicy) BasisAt(now admission.Time) uint64 {
	switch {
	case r.HoldsLease(now):
		return r.Number + 1
	case r.Proposed != nil && now < r.OverlapUntil:
		return r.Number + 1 | byBoth
	}
	return 0
}

// CoversBoth tells whether it is two policies.
func CoversBoth(by uint64) bool { return by&byBoth != 0 }

// due steps the charter.
func (p *policies) due(now admission.Time) {
	p.core.Tick(now)
	p.parts = slices.DeleteFunc(p.parts, func(k parcel) bool { return now-k.at >= 2*admission.Second })
}

// A part of a datagram holds so much of a message; longer ones come in several: how many (1 byte), which (1), and the message's number (4).
const mostPart = 1000

func (p *policies) Send(to string, m []byte) {
	f := p.f
	if to == f.name {
		f.box.Put(func() { p.heard(f.clock.Now(), f.name, m) })
		return
	}
	other, ok := f.core.Find(to)
	if !ok || other.State == membership.Left {
		return
	}
	moment("sent")
	n := (len(m) + mostPart - 1) / mostPart
	if n > 255 {
		return // none is as long
	}
	p.sent++
	for i := range n {
		b := []byte{byte(n), byte(i)}
		b = binary.BigEndian.AppendUint32(b, p.sent)
		f.send(other.Address, part{partCharter, append(b, m[i*mostPart:min(len(m), (i+1)*mostPart)]...)})
	}
}

// part takes in a part of a datagram.
func (p *policies) part(at admission.Time, l *letter, b []byte) error {
	if len(b) < 6 || b[0] == 0 || b[1] >= b[0] {
		return errBroken
	}
	n, i, id, b := int(b[0]), int(b[1]), binary.BigEndian.Uint32(b[2:]), b[6:]
	if n == 1 {
		return p.heard(at, l.name, b)
	}
	k := slices.IndexFunc(p.parts, func(k parcel) bool { return k.from == l.name && k.start == l.start && k.id == id })
	if k < 0 {
		const most = 64 // under way at a time; the oldest goes
		if len(p.parts) >= most {
			p.parts = slices.Delete(p.parts, 0, 1)
		}
		k = len(p.parts)
		p.parts = append(p.parts, parcel{l.name, l.start, id, make([][]byte, n), n, at})
	}
	m := &p.parts[k]
	if len(m.parts) != n {
		return errBroken
	}
	if m.parts[i] == nil {
		m.parts[i] = b
		m.left--
	}
	if m.left > 0 {
		return nil
	}
	whole := slices.Concat(m.parts...)
	p.parts = slices.Delete(p.parts, k, k+1)
	return p.heard(at, l.name, whole)
}

func (p *policies) heard(at admission.Time, from string, m []byte) error {
	if p.core.HandleMessage(at, from, m) != nil {
		return errBroken
	}
	return nil
}

func (p *policies) Peers() []string { return lender{p.f}.Peers() }

// Check reads a policy beside the fleet's goroutine: a long one takes its time.
func (p *policies) CheckPolicy(d rollout.Digest, text []byte, done func(rollout.Terms, error)) {
	f := p.f
	go func() {
		policy, err := p.desk.ReadPolicy(text)
		if err == nil {
			err = olderBuild(text)
		}
		if err == nil {
			if names, _ := policy.Budgets(); len(names) > 0 && f.rights == nil {
				err = fmt.Errorf("statements.classes: expected fleet.budgets in this gateway's file, as %s is the fleet's, found nothing", strings.Fields(names[0])[0])
			}
		}
		f.box.Put(func() {
			if err != nil {
				done(rollout.Terms{}, err)
				return
			}
			p.read[d] = policy
			done(policy.Terms(), nil)
		})
	}()
}

func (p *policies) SaveRecords(records []consensus.Record, done func(error)) {
	f := p.f
	for i, r := range records {
		var told func(error)
		if i == len(records)-1 {
			told = func(err error) { f.box.Put(func() { done(err) }) }
		}
		if r.Value == nil {
			p.store.Delete(store.Key(r.Key), told)
		} else {
			p.store.Put(store.Key(r.Key), r.Value, told)
		}
	}
}

func (p *policies) LoadPolicy(d rollout.Digest) []byte {
	if p.store == nil {
		return nil
	}
	return rollout.ReadPolicyText(d, func(key [16]byte) []byte {
		b, _, err := p.store.Get(store.Key(key))
		if err != nil {
			p.f.log.Warn("policy", "code", string(rollout.SaveFailed), "error", err)
		}
		return b
	})
}

// Stand has this gateway go by another standing: the fleet's budgets at once, the desk at its next decision.
func (p *policies) SetInForce(s *rollout.InForce) {
	f := p.f
	r := &ActivePolicy{InForce: *s, Current: p.read[s.Digest], Rehearsed: p.read[s.RehearsalDigest]}
	if (s.OverlapDigest != rollout.Digest{}) {
		r.Proposed = p.read[s.OverlapDigest]
	}
	keep := []rollout.Digest{s.Digest, s.OverlapDigest, s.RehearsalDigest}
	for _, d := range s.KnownDigests {
		keep = append(keep, d)
		if k := p.read[d]; k != nil {
			r.Parsed = append(r.Parsed, k)
		}
	}
	if s.LeaseUntil > 0 && f.rights != nil && (p.inUse != s.Digest || p.number != s.Number) {
		p.inUse, p.number = s.Digest, s.Number
		p.share(r)
	}
	for d := range p.read {
		if len(p.read) > 16 && !slices.Contains(keep, d) {
			delete(p.read, d) // which one goes decides nothing: it is read again where it is needed
		}
	}
	if f.history != nil {
		f.history.Write(history.Event{Kind: history.PolicyChanged, Of: s.Era, Number: int(s.Number), Success: s.LeaseUntil > 0, Code: s.Digest.String()})
	}
	f.ruling.Store(r)
}

// share goes by the budgets of a policy under its number.
func (p *policies) share(r *ActivePolicy) {
	f := p.f
	b := *f.plan.Quota
	b.Number, b.Names, b.Totals = r.Number+1, nil, nil
	if b.SlowStart {
		b.Names, b.Totals = SlowStartBudgets()
	}
	if r.Current != nil {
		names, totals := r.Current.Budgets()
		b.Names, b.Totals = append(b.Names, names...), append(b.Totals, totals...)
	}
	if err := f.ReplaceQuota(&b); err != nil {
		f.log.Error("fleet", "code", "kept", "error", err)
	}
}

func (p *policies) Drained() bool                        { return p.f.passing.Load() == 0 }
func (p *policies) RequestCounts() rollout.RequestCounts { return p.desk.RequestCounts() }
func (p *policies) UnixSeconds() int64                   { return time.Now().Unix() }

func (p *policies) LogEvent(code rollout.EventCode, more ...any) {
	level := slog.LevelInfo
	switch code {
	case rollout.VotersBehind, rollout.LogLost, rollout.LogForced, rollout.LogSuperseded, rollout.SaveFailed, rollout.PolicyRolledBack, rollout.CannotFollow:
		level = slog.LevelWarn
	}
	moment(string(code))
	p.f.log.Log(context.Background(), level, "policy", append([]any{"code", string(code)}, more...)...)
}

// stop gives up what is held, and closes the folder.
func (p *policies) stop(now admission.Time) {
	p.core.Leave(now)
	if p.store != nil {
		if err := p.store.Close(); err != nil {
			p.f.log.Warn("policy", "code", string(rollout.SaveFailed), "error", err)
		}
	}
}

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
	ID             uint64          `json:"id,omitempty"`
	Text           []byte          `json:"text,omitempty"`
	BaseNumber     uint64          `json:"base,omitempty"`
	Number         uint64          `json:"number,omitempty"`
	DurationMillis int64           `json:"for,omitempty"` // ms
	Voters         []string        `json:"voters,omitempty"`
}

// PolicyReply is what it answers.
type PolicyReply struct {
	Error  string          `json:"error,omitempty"`
	Result *ProposalResult `json:"result,omitempty"`
	Status *PolicyStatus   `json:"status,omitempty"`
	Text   []byte          `json:"text,omitempty"`
}

// ProposalResult is what became of a proposal.
type ProposalResult struct {
	ID      uint64 `json:"id"`
	Outcome string `json:"end"`
	Number  uint64 `json:"number,omitempty"`
	Reason  string `json:"why,omitempty"`
}

// PolicyStatus is what a gateway knows of policies.
type PolicyStatus struct {
	Name           string           `json:"name"`
	Number         uint64           `json:"number"` // that it goes by, or went by last
	Era            uint64           `json:"era"`
	Digest         string           `json:"digest"`
	LeaseSeconds   float64          `json:"lease"` // seconds for which it holds without another word; 0: it does not
	DecidedNumber  uint64           `json:"decided"`
	Leader         string           `json:"leader"`
	Voters         []string         `json:"voters"`
	IsVoter        bool             `json:"votes"`
	IsLearner      bool             `json:"learning,omitempty"`
	Proposal       string           `json:"proposal,omitempty"`
	ProposalDigest string           `json:"offered,omitempty"` // its digest
	Ready          bool             `json:"ready,omitempty"`
	Reason         string           `json:"why,omitempty"`
	VoterChange    string           `json:"change,omitempty"`
	UnusableDigest string           `json:"cannot_follow,omitempty"`
	Records        []PolicyRecord   `json:"past,omitempty"`
	Results        []ProposalResult `json:"ends,omitempty"`
	Members        []PolicyMember   `json:"members,omitempty"`
}

// PolicyRecord is one policy that was in force.
type PolicyRecord struct {
	Number       uint64 `json:"number"`
	Digest       string `json:"digest"`
	Size         int    `json:"size"`
	Kind         string `json:"kind"`
	Proposer     string `json:"by"`
	UnixSeconds  int64  `json:"at"` // seconds, Unix
	SourceNumber uint64 `json:"of,omitempty"`
}

// PolicyMember is one as the leader knows it.
type PolicyMember struct {
	Name           string  `json:"name"`
	ContactSeconds float64 `json:"heard"` // seconds ago
	LeaseSeconds   float64 `json:"lease"` // seconds until it has surely ended
	Ready          bool    `json:"ready"`
	Excluded       bool    `json:"out"`
	Reason         string  `json:"why,omitempty"`
}

// ask serves one request of the control socket, in the fleet's goroutine; reply is called once.
func (p *policies) ask(now admission.Time, q *PolicyRequest, reply func(*PolicyReply)) {
	failed := func(err error) { reply(&PolicyReply{Error: err.Error()}) }
	propose := func(kind rollout.ProposalKind) {
		err := p.core.Propose(now, rollout.Proposal{ID: q.ID, Kind: kind, Text: q.Text, BaseNumber: q.BaseNumber, RollbackTo: q.Number, RehearsalLength: tenths(time.Duration(q.DurationMillis) * time.Millisecond)},
			func(r rollout.Result) { reply(&PolicyReply{Result: result(r)}) })
		if err != nil {
			failed(err)
		}
	}
	switch q.Operation {
	case StatusOperation:
		reply(&PolicyReply{Status: p.status(now)})
	case ProposeOperation:
		propose(rollout.KindChange)
	case RehearseOperation:
		propose(rollout.KindRehearsal)
	case RollbackOperation:
		propose(rollout.KindRollback)
	case AwaitOperation: // how far one is that was made here
		r, ok := p.core.ProposalProgress(q.ID)
		if !ok {
			failed(fmt.Errorf("no proposal %08x was made here", uint32(q.ID>>32)))
			return
		}
		reply(&PolicyReply{Result: result(r)})
	case TextOperation:
		d, err := p.digest(now, q.Number)
		if err != nil {
			failed(err)
			return
		}
		text := p.core.PolicyText(d)
		if text == nil && (d != rollout.Digest{}) {
			failed(fmt.Errorf("the text of number %d isn't here: ask a voter", q.Number))
			return
		}
		reply(&PolicyReply{Text: text})
	case VotersOperation:
		if err := p.core.ReplaceVoters(now, q.Voters); err != nil {
			failed(err)
			return
		}
		reply(&PolicyReply{Status: p.status(now)})
	case ForceOperation:
		if err := p.core.ForceNewLog(now, q.Voters); err != nil {
			failed(err)
			return
		}
		reply(&PolicyReply{Status: p.status(now)})
	default:
		failed(fmt.Errorf("expected status, propose, rehearse, rollback, await, text, voters or force, found %q", q.Operation))
	}
}

// digest is that of a number that this gateway knows.
func (p *policies) digest(now admission.Time, number uint64) (rollout.Digest, error) {
	s := p.core.Status(now)
	if number == s.InForce.Number {
		return s.InForce.Digest, nil
	}
	for _, a := range s.Past {
		if a.Number == number {
			return a.Digest, nil
		}
	}
	if number == 0 {
		return rollout.Digest{}, nil
	}
	return rollout.Digest{}, fmt.Errorf("number %d isn't known here: ask a voter, which knows the last ones", number)
}

func result(r rollout.Result) *ProposalResult {
	return &ProposalResult{ID: r.ID, Outcome: r.Outcome.String(), Number: r.Number, Reason: r.Reason}
}

func (p *policies) status(now admission.Time) *PolicyStatus {
	s := p.core.Status(now)
	out := &PolicyStatus{Name: s.Name, Number: s.InForce.Number, Era: s.InForce.Era, Digest: s.InForce.Digest.String(), LeaseSeconds: seconds(s.LeaseRemaining), DecidedNumber: s.DecidedNumber,
		Leader: s.Leader, Voters: s.Voters, IsVoter: s.IsVoter, IsLearner: s.IsLearner, Ready: s.Ready, Reason: s.Reason, VoterChange: s.Progress}
	if s.ProposalID != 0 {
		out.Proposal, out.ProposalDigest = fmt.Sprintf("%08x", uint32(s.ProposalID>>32)), s.ProposalDigest.String()
	}
	if (s.Unsupported != rollout.Digest{}) {
		out.UnusableDigest = s.Unsupported.String()
	}
	for _, a := range s.Past {
		out.Records = append(out.Records, PolicyRecord{a.Number, a.Digest.String(), a.Size, a.Kind.String(), a.By, a.UnixSeconds, a.RollbackTo})
	}
	for _, e := range s.Ends {
		out.Results = append(out.Results, *result(rollout.Result(e)))
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, PolicyMember{m.Name, seconds(m.SinceHeard), seconds(m.LeaseRemaining), m.Ready, m.Excluded, m.Reason})
	}
	return out
}

var errNoCharter = errors.New("this gateway's file has no fleet.policy")
