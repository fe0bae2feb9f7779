package quota

import (
	"fmt"
	"strings"
	"testing"

	"magpiebank/internal/admission"
)

// leaseRecorder is a host that records the lease grants and lease returns that a core sends.
type leaseRecorder struct{ sent strings.Builder }

func (r *leaseRecorder) Send(to string, m Message) {
	if m.Kind == KindLeaseReturn || m.Kind == KindLeaseGrant {
		fmt.Fprintf(&r.sent, "%s of %d to %s\n", m.Kind, m.Units, to)
	}
}
func (r *leaseRecorder) Peers() []string { return []string{"g1"} }

// Guards against reserved units that are missing when the request is sent. Between reservation and commit, the agent's goroutine must not
// lease them out, nor return them because their lease is recalled or idle, and the passing of time must not make them unavailable.
func TestReservationStandsUntilItIsCommitted(t *testing.T) {
	const second = admission.Second
	plan := &Plan{Shares: 2, Voters: []string{"g9"}, ShareTerm: 100 * second, LeaseTerm: 2 * second, LongestUse: second, DriftDivisor: 20, Revision: 1, QuotaIDs: []uint32{7}, Totals: []int64{2}}
	host := &leaseRecorder{}
	c := New(0, Options{Plan: plan, Name: "g0", Incarnation: 1, Share: 0, Host: host})
	c.HoldShare(100 * second)
	s := NewSynchronized(c)
	request := Message{Kind: KindLeaseRequest, Sender: "g1", SenderIncarnation: 2, PlanRevision: 1, QuotaID: 7, Units: 1, LeaseID: 1}

	if !s.TryReserve(1, 0, 1, second) {
		t.Fatal("expected a unit of the own share to be reserved")
	}
	s.HandleMessage(2, request)
	if !s.CommitReservation(1, 0, 1, second) || strings.Contains(host.sent.String(), "grant") {
		t.Errorf("reserved units were not available or were leased out; sent %q", host.sent.String())
	}
	c.SetDemand(3, 0, 1)
	c.requestLease(0, "g1", 1, 1)
	s.HandleMessage(4, Message{Kind: KindLeaseGrant, Sender: "g1", SenderIncarnation: 2, RecipientIncarnation: 1, PlanRevision: 1, QuotaID: 7, Units: 1, Sequence: c.sequence, LeaseID: 1})
	s.SetDemand(5, 0, 0)
	if !s.TryReserve(6, 0, 1, second) {
		t.Fatal("expected a borrowed unit to be reserved")
	}
	c.requestLease(0, "g1", 1, 1)
	s.HandleMessage(7, Message{Kind: KindReject, Sender: "g1", SenderIncarnation: 2, RecipientIncarnation: 1, PlanRevision: 1, QuotaID: 7, Sequence: c.sequence, LeaseID: 1})
	s.Tick(second / 2)
	if !s.CommitReservation(6, 0, 1, second) || strings.Contains(host.sent.String(), "return") {
		t.Errorf("reserved units were not available or were returned; sent %q", host.sent.String())
	}
	if s.TryReserve(second/2, 0, 1, second) {
		t.Error("reserved a unit although none was free")
	}
	s.Release(second, 0, 1)
	s.Tick(second)
	if sent := host.sent.String(); sent != "lease return of 0 to g1\n" {
		t.Errorf("expected only the return of the recalled lease after its use has ended, sent %q", sent)
	}
}
