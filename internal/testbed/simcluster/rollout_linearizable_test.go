package simcluster

import (
	"fmt"
	"math"
	"testing"

	"github.com/anishathalye/porcupine"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
)

// registerInput is an operation on the register. A proposal writes: it increases the number by one. A process that applies a policy
// reads: it returns the number.
type registerInput struct {
	isWrite bool
	id      uint64 // of a proposal
}

// unknownNumber is the output of a proposal whose outcome is unknown.
const unknownNumber uint64 = math.MaxUint64

// registerModel returns the model of a register. A write increases the register's number by one and returns it, or fails and returns 0.
func registerModel(t *testing.T) porcupine.Model {
	t.Helper()
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(state, in, out any) []any {
			number, isNumber := state.(uint64)
			input, isInput := in.(registerInput)
			output, isOutput := out.(uint64)
			if !isNumber || !isInput || !isOutput {
				t.Fatalf("unexpected types in the history: state %T, input %T, output %T", state, in, out)
			}
			return stepRegister(number, input, output)
		},
	}
	return model.ToModel()
}

// stepRegister returns the numbers that the register may have after an operation with an output. It returns none if the operation cannot
// have that output.
func stepRegister(number uint64, input registerInput, output uint64) []any {
	switch {
	case !input.isWrite && number == output, input.isWrite && output == 0:
		return []any{number}
	case input.isWrite && output == unknownNumber:
		return []any{number, number + 1}
	case input.isWrite && output == number+1:
		return []any{number + 1}
	}
	return nil
}

// registerHistory records the proposals and the applied policy numbers in a cluster with faults.
type registerHistory struct {
	t          *testing.T
	cluster    *rolloutCluster
	operations []porcupine.Operation
	open       map[uint64]int // by proposal ID: index of its operation
}

// propose makes a random member propose a policy, if the member is running.
func (h *registerHistory) propose(seed uint64, client int) {
	c := h.cluster
	p := c.members[c.random.IntN(len(c.members))]
	if !p.isRunning() {
		return
	}
	id := c.random.Uint64() | 1
	h.open[id] = len(h.operations)
	h.operations = append(h.operations, porcupine.Operation{ClientId: 10 + client, Input: registerInput{true, id}, Call: int64(c.now), Output: unknownNumber, Return: math.MaxInt64})
	proposal := rollout.Proposal{ID: id, Kind: rollout.KindChange, Text: []byte(fmt.Sprint("policy ", seed, client))}
	err := p.core.Propose(p.clock(), proposal, func(r rollout.Result) {
		operation := &h.operations[h.open[id]]
		operation.Return, operation.Output = int64(c.now)+1, uint64(0)
		if r.Outcome == rollout.OutcomeDecided {
			operation.Output = r.Number
		}
	})
	if err != nil { // the outcome stays unknown, so that the model allows a write that did not happen
		h.t.Logf("%s rejects the proposal: %v", p.name, err)
	}
}

// injectFault injects a random fault into a random process or the network, or ends all faults except pauses.
func (h *registerHistory) injectFault() {
	c := h.cluster
	p := c.members[c.random.IntN(len(c.members))]
	switch c.random.IntN(5) {
	case 0:
		if p.up {
			p.kill()
		}
	case 1:
		p.pausedUntil = c.now + Time(c.random.Int64N(int64(4*second)))
	case 2:
		n := c.random.IntN(len(c.members))
		c.cut = func(from, _ int) bool { return from == n }
	default:
		c.cut = nil
		for _, member := range c.members {
			if !member.up {
				member.start()
			}
		}
	}
}

// observe simulates some time, and records the policy numbers that a random third of the members with a lease apply.
func (h *registerHistory) observe() {
	c := h.cluster
	c.advance(100 * admission.Millisecond)
	for _, p := range c.members {
		if p.isRunning() && p.inForce.HoldsLease(p.clock()) && c.random.IntN(3) == 0 {
			h.operations = append(h.operations, porcupine.Operation{ClientId: p.index, Input: registerInput{}, Call: int64(c.now), Output: p.inForce.Number, Return: int64(c.now)})
		}
	}
}

// countWrites returns the number of proposals that are known to be decided.
func (h *registerHistory) countWrites() (writes int) {
	for _, operation := range h.operations {
		input, isInput := operation.Input.(registerInput)
		number, isNumber := operation.Output.(uint64)
		if isInput && isNumber && input.isWrite && number > 0 && number < unknownNumber {
			writes++
		}
	}
	return writes
}

// Under faults, the histories of proposals and applied policy numbers are linearizable: they are possible histories of a single register.
func TestLinearizable(t *testing.T) {
	model := registerModel(t)
	for seed := range uint64(6) {
		c := newRolloutCluster(seed+100, 7, 3, 2*second)
		c.advance(6 * second)
		h := &registerHistory{t: t, cluster: c, open: map[uint64]int{}}
		c.loss, c.duplicate, c.delayedShare = 0.05, 0.05, 0.01
		for client := range 24 {
			h.propose(seed, client)
			h.injectFault()
			for range 10 {
				h.observe()
			}
		}
		if !porcupine.CheckOperations(model, h.operations) {
			t.Errorf("seed %d: the history of %d operations is not linearizable", seed, len(h.operations))
		}
		if writes := h.countWrites(); len(h.operations) < 200 || writes < 3 {
			t.Errorf("seed %d: only %d operations with %d decided changes", seed, len(h.operations), writes)
		}
	}
}
