package rollout

import (
	"errors"
	"math/rand/v2"
	"testing"
)

// idleHost is the host of a gateway without a folder. Tests with it send no messages.
type idleHost struct{ Host }

func (idleHost) LoadPolicy(Digest) []byte     { return nil }
func (idleHost) SetInForce(*InForce)          {}
func (idleHost) RequestCounts() RequestCounts { return RequestCounts{} }

func newIdleCore() *Core {
	config := &Config{Voters: []string{"a", "b", "c"}, LeaseDuration: second, PrepareTimeout: second, ClockDriftDivisor: 20}
	return New(0, config, Process{Name: "a", Incarnation: 1, Random: rand.New(rand.NewPCG(1, 2))}, idleHost{})
}

func TestRefusalsAreTypedErrors(t *testing.T) {
	core := newIdleCore()
	t.Run("voters are replaced by the leader alone", func(t *testing.T) {
		var notLeader *NotLeaderError
		if err := core.ReplaceVoters(0, []string{"a"}); !errors.As(err, &notLeader) {
			t.Errorf("expected a NotLeaderError, found %v", err)
		}
	})
	t.Run("a log is forced only with a folder", func(t *testing.T) {
		if err := core.ForceNewLog(0, []string{"a"}); !errors.Is(err, ErrNoFolder) {
			t.Errorf("expected ErrNoFolder, found %v", err)
		}
	})
	for name, message := range map[string][]byte{
		"bytes that are no CBOR":      {0xff, 1},
		"a message without a part":    (&Message{Incarnation: 1}).encode(),
		"a message of two parts":      (&Message{LeaseRequest: &LeaseRequest{Seq: 1}, Log: []byte{1}}).encode(),
		"a part of another CBOR type": encode(map[int]any{1: 1, 2: "request"}),
	} {
		t.Run(name, func(t *testing.T) {
			if err := core.HandleMessage(0, "b", message); !errors.Is(err, ErrMalformedMessage) {
				t.Errorf("expected ErrMalformedMessage, found %v", err)
			}
		})
	}
}

func TestMutationsAreFoundByName(t *testing.T) {
	for mutation, name := range mutationNames {
		if name == "" {
			continue
		}
		if found := ParseMutation("quorum," + name); found != Mutation(mutation) {
			t.Errorf("%s: expected mutation %d, found %d", name, mutation, found)
		}
	}
	if found := ParseMutation(""); found != NoMutation {
		t.Errorf("without a name: expected none, found %d", found)
	}
}

func TestTableRejectsProposalsByState(t *testing.T) {
	inForce := Table{Number: 3, Digest: DigestOf([]byte("three"))}
	for _, c := range []struct {
		name         string
		openProposal *LoggedProposal
		proposal     LoggedProposal
		expected     string
	}{
		{"another is open", &LoggedProposal{ID: 1 << 32, By: "b"}, LoggedProposal{ID: 2, Digest: DigestOf([]byte("four"))}, "proposal 00000001 of b is open"},
		{"it follows another number", nil, LoggedProposal{ID: 2, BaseNumber: 2, Digest: DigestOf([]byte("four"))}, "it is meant to follow number 2, and 3 is in force"},
		{"it is in force", nil, LoggedProposal{ID: 2, Kind: KindChange, Digest: inForce.Digest}, "number 3 in force is the same"},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := inForce
			table.Proposal = c.openProposal
			table.apply(&logEntry{Proposal: &c.proposal})
			if end := table.lastProposalEnd(); end.Outcome != OutcomeRejected || end.Reason != c.expected {
				t.Errorf("expected a rejection: %s; found %v: %s", c.expected, end.Outcome, end.Reason)
			}
			if table.Proposal != c.openProposal {
				t.Errorf("expected the open proposal unchanged, found %v", table.Proposal)
			}
		})
	}
}
