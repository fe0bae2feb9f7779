package agent

import (
	"context"
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

const (
	// maxPolicyFolderBytes is enough for the last sixteen policies of a megabyte each, for a second copy of them while they are
	// rewritten, and for the log.
	maxPolicyFolderBytes = 64 << 20
	// maxParsedPolicies is the number of parsed policies above which those that aren't in use are dropped from the cache.
	maxParsedPolicies = 16
)

// policyRollout connects the core of the policy rollout to the gateway. It implements rollout.Host.
type policyRollout struct {
	agent        *Agent
	config       PolicyConfig
	reader       PolicyReader
	core         *rollout.Core
	store        *store.Store              // nil: no folder is configured, so the gateway doesn't vote
	parsed       map[rollout.Digest]Policy // cache of parsed policies
	fragments    reassembler               // of received messages
	messagesSent uint32                    // number of messages sent; the fragments of a message carry it as the message's number

	// The policy whose budgets are in force.
	quotaDigest rollout.Digest
	quotaNumber uint64
}

// newPolicyRollout opens the folder and creates the core.
func newPolicyRollout(a *Agent, now admission.Time) (*policyRollout, error) {
	p := &policyRollout{agent: a, config: *a.config.Policy, reader: a.policyReader, parsed: map[rollout.Digest]Policy{}}
	plan := &rollout.Config{
		Voters:            p.config.Voters,
		LeaseDuration:     ticks(p.config.LeaseDuration),
		PrepareTimeout:    ticks(p.config.ProposalTimeout),
		ClockDriftDivisor: clockDriftDivisor,
		Persistent:        p.config.Folder != "",
	}
	plan.Mutation = rollout.ParseMutation(mutations.names())
	stored, err := p.openFolder()
	if err != nil {
		return nil, err
	}
	p.core = rollout.New(now, plan, rollout.Process{Name: a.name, Incarnation: a.incarnation, Random: rand.New(rand.NewPCG(a.incarnation, 3)), Stored: stored}, p)
	return p, nil
}

// openFolder opens the store and reads its records. It returns nil if no folder is configured.
func (p *policyRollout) openFolder() (*rollout.StoredState, error) {
	if p.config.Folder == "" {
		return nil, nil
	}
	disk, err := store.CreateFolder(p.config.Folder)
	if err != nil {
		return nil, fmt.Errorf("fleet.policy.folder: %w", err)
	}
	stored := &rollout.StoredState{}
	limits := store.Limits{MaxBytes: maxPolicyFolderBytes}
	p.store, _, err = store.Open(faultdisk.WrapFolder(disk), p.agent.name, limits, func(key store.Key, value []byte, deleted bool) {
		stored.AddRecord([16]byte(key), slices.Clone(value), deleted)
	})
	if err != nil {
		return nil, fmt.Errorf("fleet.policy.folder: %s: %w", p.config.Folder, err)
	}
	if err := stored.Err(); err != nil {
		return nil, errors.Join(fmt.Errorf("fleet.policy.folder: %s: %w", p.config.Folder, err), p.store.Close())
	}
	return stored, nil
}

func (p *policyRollout) tick(now admission.Time) {
	p.core.Tick(now)
	p.fragments.dropExpired(now)
}

// stop has the core leave, which releases its lease, and closes the folder.
func (p *policyRollout) stop(now admission.Time) {
	p.core.Leave(now)
	if p.store == nil {
		return
	}
	if err := p.store.Close(); err != nil {
		p.logStoreError(err)
	}
}

func (p *policyRollout) logStoreError(err error) {
	p.agent.log.Warn("policy", "code", string(rollout.SaveFailed), "error", err)
}

// handleFragment processes a fragment of a message, and the message when the fragment completes it. Its error is errMalformed.
func (p *policyRollout) handleFragment(at admission.Time, e *envelope, payload []byte) error {
	message, complete, err := p.fragments.add(at, e, payload)
	if err != nil || !complete {
		return err
	}
	return p.handleMessage(at, e.sender, message)
}

// handleMessage passes a member's message to the core. Its error is errMalformed.
func (p *policyRollout) handleMessage(at admission.Time, from string, message []byte) error {
	if p.core.HandleMessage(at, from, message) != nil {
		return errMalformed
	}
	return nil
}

// handleOwnMessage passes a message of the core to the voter of the same gateway. Such a message is always well formed.
func (p *policyRollout) handleOwnMessage(at admission.Time, message []byte) {
	_ = p.handleMessage(at, p.agent.name, message)
}

// Send sends a message of the core to a member or to this gateway itself. It drops messages to members that are unknown or have left.
func (p *policyRollout) Send(to string, message []byte) {
	if to == p.agent.name {
		p.agent.queue.Put(policyMessageToSelf{message})
		return
	}
	other, ok := p.agent.members.Find(to)
	if !ok || other.State == membership.Left {
		return
	}
	mutations.crashPoint("sent")
	p.sendFragments(other.Address, message)
}

// sendFragments sends a message to an address, split into as many datagrams as necessary.
func (p *policyRollout) sendFragments(address string, message []byte) {
	p.messagesSent++
	for _, fragment := range splitMessage(p.messagesSent, message) {
		p.agent.transport.send(address, policySection, fragment)
	}
}

// Peers returns the names of the other members that are alive.
func (p *policyRollout) Peers() []string { return p.agent.livingMembers() }

// CheckPolicy parses a policy in a goroutine of its own, because parsing a long policy takes time. The agent's goroutine calls done
// with the result.
func (p *policyRollout) CheckPolicy(digest rollout.Digest, text []byte, done func(rollout.Parameters, error)) {
	p.agent.goroutines.Go(func() {
		policy, err := p.read(text)
		p.agent.queue.Put(policyParsed{digest, policy, err, done})
	})
}

// read parses a policy's text. Its error is the reason why this gateway can't apply the policy.
func (p *policyRollout) read(text []byte) (Policy, error) {
	policy, err := p.reader.ReadPolicy(text)
	if err != nil {
		return nil, err
	}
	if err := mutations.rejectPolicy(text); err != nil {
		return nil, err
	}
	if names, _ := policy.Budgets(); len(names) > 0 && p.agent.quota == nil {
		class := strings.Fields(names[0])[0]
		return nil, fmt.Errorf("statements.classes: expected fleet.budgets in this gateway's file, as %s is the fleet's, found nothing", class)
	}
	return policy, nil
}

func (p *policyRollout) finishCheck(e *policyParsed) {
	if e.err != nil {
		e.done(rollout.Parameters{}, e.err)
		return
	}
	p.parsed[e.digest] = e.policy
	e.done(e.policy.Parameters(), nil)
}

// SaveRecords stores records. The agent's goroutine calls done once the last record is stored.
func (p *policyRollout) SaveRecords(records []consensus.Record, done func(error)) {
	for i, record := range records {
		var stored func(error)
		if i == len(records)-1 {
			stored = func(err error) { p.agent.queue.Put(recordsStored{err, done}) }
		}
		if record.Value == nil {
			p.store.Delete(store.Key(record.Key), stored)
		} else {
			p.store.Put(store.Key(record.Key), record.Value, stored)
		}
	}
}

// LoadPolicy reads a policy's text from the folder. It returns nil if the text isn't stored there.
func (p *policyRollout) LoadPolicy(digest rollout.Digest) []byte {
	if p.store == nil {
		return nil
	}
	return rollout.ReadPolicyText(digest, func(key [16]byte) []byte {
		value, _, err := p.store.Get(store.Key(key))
		if err != nil {
			p.logStoreError(err)
		}
		return value
	})
}

// SetInForce puts a policy in force: its budgets at once, its classes with the next decision.
func (p *policyRollout) SetInForce(inForce *rollout.InForce) {
	active := &ActivePolicy{InForce: *inForce, Current: p.parsed[inForce.Digest], Rehearsed: p.parsed[inForce.RehearsalDigest]}
	if (inForce.OverlapDigest != rollout.Digest{}) {
		active.Proposed = p.parsed[inForce.OverlapDigest]
	}
	for _, digest := range inForce.KnownDigests {
		if policy := p.parsed[digest]; policy != nil {
			active.Parsed = append(active.Parsed, policy)
		}
	}
	changed := p.quotaDigest != inForce.Digest || p.quotaNumber != inForce.Number
	if inForce.LeaseUntil > 0 && p.agent.quota != nil && changed {
		p.quotaDigest, p.quotaNumber = inForce.Digest, inForce.Number
		p.replaceQuota(active)
	}
	p.dropParsedPolicies(inForce)
	if p.agent.history != nil {
		p.agent.history.Write(history.Event{Kind: history.PolicyChanged, Detail: inForce.Era, Number: int(inForce.Number), Success: inForce.LeaseUntil > 0, Code: inForce.Digest.String()})
	}
	p.agent.activePolicy.Store(active)
}

// dropParsedPolicies drops cached policies that aren't in use until maxParsedPolicies are left. It doesn't matter which of them
// it drops, because a policy is parsed again when it is needed.
func (p *policyRollout) dropParsedPolicies(inForce *rollout.InForce) {
	inUse := append([]rollout.Digest{inForce.Digest, inForce.OverlapDigest, inForce.RehearsalDigest}, inForce.KnownDigests...)
	for digest := range p.parsed {
		if len(p.parsed) > maxParsedPolicies && !slices.Contains(inUse, digest) {
			delete(p.parsed, digest)
		}
	}
}

// replaceQuota puts the budgets of a policy in force, under the policy's number plus one as their revision.
func (p *policyRollout) replaceQuota(active *ActivePolicy) {
	next := *p.agent.config.Quota
	next.Revision, next.Names, next.Totals = active.Number+1, nil, nil
	if next.SlowStart {
		next.Names, next.Totals = SlowStartBudgets()
	}
	if active.Current != nil {
		names, totals := active.Current.Budgets()
		next.Names = append(next.Names, names...)
		next.Totals = append(next.Totals, totals...)
	}
	if err := p.agent.ReplaceQuota(&next); err != nil {
		p.agent.log.Error("fleet", "code", "kept", "error", err)
	}
}

// Drained reports whether no attempt that was allowed earlier is still being written to an engine.
func (p *policyRollout) Drained() bool { return p.agent.writing.Load() == 0 }

// RequestCounts returns the outcomes of requests under the policy in force or, during a rehearsal, under the rehearsed one.
func (p *policyRollout) RequestCounts() rollout.RequestCounts { return p.reader.RequestCounts() }

// UnixSeconds returns the time of the wall clock in Unix seconds.
func (p *policyRollout) UnixSeconds() int64 { return time.Now().Unix() }

// LogEvent logs an event of the core.
func (p *policyRollout) LogEvent(code rollout.EventCode, more ...any) {
	level := slog.LevelInfo
	switch code {
	case rollout.VotersBehind, rollout.LogLost, rollout.LogForced, rollout.LogSuperseded, rollout.SaveFailed, rollout.PolicyRolledBack, rollout.CannotFollow:
		level = slog.LevelWarn
	}
	mutations.crashPoint(string(code))
	p.agent.log.Log(context.Background(), level, "policy", append([]any{"code", string(code)}, more...)...)
}
