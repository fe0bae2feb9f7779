package quota

import (
	"fmt"
	"strings"
	"testing"
)

// lines keeps what a core sends.
type lines struct{ out strings.Builder }

func (l *lines) Send(to string, m Message) {
	if m.Kind == KindLeaseReturn || m.Kind == KindLeaseGrant {
		fmt.Fprintf(&l.out, "%s %d to %s\n", kinds[m.Kind], m.Units, to)
	}
}
func (l *lines) Peers() []string { return []string{"g1"} }

// What the owner was promised is there when its task goes out, whatever the fleet's goroutine does in between: it is not lent, nor given
// back when its loan is called back or lies idle, nor missed because time went on.
func TestPromise(t *testing.T) {
	const s = second
	plan := &Plan{Shares: 2, Voters: []string{"g9"}, ShareTerm: 100 * s, LeaseTerm: 2 * s, LongestUse: s, DriftDivisor: 20, Number: 1, QuotaIDs: []uint32{7}, Totals: []int64{2}}
	post := &lines{}
	c := New(0, plan, "g0", 1, 0, post)
	c.claims[0].until, c.claims[0].next = 100*s, Never
	p := NewSynchronized(c)
	ask := Message{Kind: KindLeaseRequest, Sender: "g1", SenderIncarnation: 2, PlanNumber: 1, QuotaID: 7, Units: 1, LeaseID: 1}

	if !p.TryReserve(1, 0, 1, s) {
		t.Fatal("one of its own was expected")
	}
	p.HandleMessage(2, ask)
	if !p.CommitReservation(1, 0, 1, s) || strings.Contains(post.out.String(), "lend") {
		t.Errorf("what was promised was lent: %q", post.out.String())
	}
	c.SetDemand(3, 0, 1)
	c.borrow(0, "g1", 1, 1)
	p.HandleMessage(4, Message{Kind: KindLeaseGrant, Sender: "g1", SenderIncarnation: 2, RecipientIncarnation: 1, PlanNumber: 1, QuotaID: 7, Units: 1, Sequence: c.last, LeaseID: 1})
	p.SetDemand(5, 0, 0)
	if !p.TryReserve(6, 0, 1, s) {
		t.Fatal("one that is borrowed was expected")
	}
	c.borrow(0, "g1", 1, 1)
	p.HandleMessage(7, Message{Kind: KindReject, Sender: "g1", SenderIncarnation: 2, RecipientIncarnation: 1, PlanNumber: 1, QuotaID: 7, Sequence: c.last, LeaseID: 1})
	p.Tick(s / 2)
	if !p.CommitReservation(6, 0, 1, s) || strings.Contains(post.out.String(), "back") {
		t.Errorf("what was promised went back: %q", post.out.String())
	}
	if p.TryReserve(s/2, 0, 1, s) {
		t.Error("there is nothing more")
	}
	p.Release(s, 0, 1)
	p.Tick(s)
	if got := post.out.String(); got != "back 0 to g1\n" {
		t.Errorf("the loan that was called back goes back once its task has ended, found %q", got)
	}
}
