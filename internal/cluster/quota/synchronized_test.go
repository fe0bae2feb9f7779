package quota

import (
	"fmt"
	"strings"
	"testing"

	"magpiebank/internal/admission"
)

// leaseRecorder is a host that records the grants and returns that a core sends.
type leaseRecorder struct{ sent strings.Builder }

func (r *leaseRecorder) Send(to string, m Message) {
	if m.Kind == KindLeaseReturn || m.Kind == KindLeaseGrant {
		fmt.Fprintf(&r.sent, "%s of %d to %s\n", m.Kind, m.Units, to)
	}
}
func (r *leaseRecorder) Peers() []string { return []string{"g1"} }

// What was reserved is there when its request is sent, whatever the agent's goroutine does in between: it is not leased out, nor returned
// when its lease is recalled or idle, nor missing because time went on.
func TestReservationStandsUntilItIsCommitted(t *testing.T) {
	const second = admission.Second
	plan := &Plan{Shares: 2, Voters: []string{"g9"}, ShareTerm: 100 * second, LeaseTerm: 2 * second, LongestUse: second, DriftDivisor: 20, Revision: 1, QuotaIDs: []uint32{7}, Totals: []int64{2}}
	host := &leaseRecorder{}
	c := New(0, Options{Plan: plan, Name: "g0", Incarnation: 1, Share: 0, Host: host})
	c.HoldShare(100 * second)
	s := NewSynchronized(c)
	request := Message{Kind: KindLeaseRequest, Sender: "g1", SenderIncarnation: 2, PlanRevision: 1, QuotaID: 7, Units: 1, LeaseID: 1}

	if !s.TryReserve(1, 0, 1, second) {
		t.Fatal("one of its own was expected")
	}
	s.HandleMessage(2, request)
	if !s.CommitReservation(1, 0, 1, second) || strings.Contains(host.sent.String(), "grant") {
		t.Errorf("what was reserved was leased out: %q", host.sent.String())
	}
	c.SetDemand(3, 0, 1)
	c.requestLease(0, "g1", 1, 1)
	s.HandleMessage(4, Message{Kind: KindLeaseGrant, Sender: "g1", SenderIncarnation: 2, RecipientIncarnation: 1, PlanRevision: 1, QuotaID: 7, Units: 1, Sequence: c.sequence, LeaseID: 1})
	s.SetDemand(5, 0, 0)
	if !s.TryReserve(6, 0, 1, second) {
		t.Fatal("one that is borrowed was expected")
	}
	c.requestLease(0, "g1", 1, 1)
	s.HandleMessage(7, Message{Kind: KindReject, Sender: "g1", SenderIncarnation: 2, RecipientIncarnation: 1, PlanRevision: 1, QuotaID: 7, Sequence: c.sequence, LeaseID: 1})
	s.Tick(second / 2)
	if !s.CommitReservation(6, 0, 1, second) || strings.Contains(host.sent.String(), "return") {
		t.Errorf("what was reserved was returned: %q", host.sent.String())
	}
	if s.TryReserve(second/2, 0, 1, second) {
		t.Error("there is nothing more")
	}
	s.Release(second, 0, 1)
	s.Tick(second)
	if sent := host.sent.String(); sent != "lease return of 0 to g1\n" {
		t.Errorf("a recalled lease is returned once its use has ended, found %q", sent)
	}
}
