package quota

import (
	"fmt"
	"strings"
	"testing"
)

// lines keeps what a core sends.
type lines struct{ out strings.Builder }

func (l *lines) Send(to string, m Message) {
	if m.Kind == Back || m.Kind == Lend {
		fmt.Fprintf(&l.out, "%s %d to %s\n", kinds[m.Kind], m.Amount, to)
	}
}
func (l *lines) Others() []string { return []string{"g1"} }

// What the owner was promised is there when its task goes out, whatever the fleet's goroutine does in between: it is not lent, nor given
// back when its loan is called back or lies idle, nor missed because time went on.
func TestPromise(t *testing.T) {
	const s = second
	plan := &Plan{Seats: 2, Keepers: []string{"g9"}, Term: 100 * s, Loan: 2 * s, Longest: s, Drift: 20, Number: 1, IDs: []uint32{7}, Totals: []int64{2}}
	post := &lines{}
	c := New(0, plan, "g0", 1, 0, post)
	c.claims[0].until, c.claims[0].next = 100*s, Never
	p := NewPurse(c)
	ask := Message{Kind: Ask, From: "g1", Start: 2, Number: 1, Budget: 7, Amount: 1, ID: 1}

	if !p.Open(1, 0, 1, s) {
		t.Fatal("one of its own was expected")
	}
	p.Heard(2, ask)
	if !p.Take(1, 0, 1, s) || strings.Contains(post.out.String(), "lend") {
		t.Errorf("what was promised was lent: %q", post.out.String())
	}
	c.Want(3, 0, 1)
	c.borrow(0, "g1", 1, 1)
	p.Heard(4, Message{Kind: Lend, From: "g1", Start: 2, For: 1, Number: 1, Budget: 7, Amount: 1, Seq: c.last, ID: 1})
	p.Want(5, 0, 0)
	if !p.Open(6, 0, 1, s) {
		t.Fatal("one that is borrowed was expected")
	}
	c.borrow(0, "g1", 1, 1)
	p.Heard(7, Message{Kind: Refuse, From: "g1", Start: 2, For: 1, Number: 1, Budget: 7, Seq: c.last, ID: 1})
	p.Due(s / 2)
	if !p.Take(6, 0, 1, s) || strings.Contains(post.out.String(), "back") {
		t.Errorf("what was promised went back: %q", post.out.String())
	}
	if p.Open(s/2, 0, 1, s) {
		t.Error("there is nothing more")
	}
	p.Done(s, 0, 1)
	p.Due(s)
	if got := post.out.String(); got != "back 0 to g1\n" {
		t.Errorf("the loan that was called back goes back once its task has ended, found %q", got)
	}
}
