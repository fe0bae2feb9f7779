package rollout

import (
	"fmt"
	"slices"
)

// Proposal is what an operator asks for at one gateway.
type Proposal struct {
	ID   uint64 // drawn by who asks; the same one again is the same proposal
	Kind Kind
	Text []byte // of a change or a rehearsal
	Base uint64 // the number that it is to follow; 0: any
	Of   uint64 // of a rollback
	For  Time   // of a rehearsal
}

// Result is what became of one.
type Result struct {
	ID     uint64
	End    Outcome
	Number uint64
	Why    string // a reason, or how far it is
}

// attempt is a proposal made here, which is repeated until its end is told.
type attempt struct {
	propose
	askedAt Time
	turn    int
	leader  string
	over    bool
	result  Result
	done    func(Result)
}

// Propose has a proposal made; done is told of its end. One that was made here before goes on.
func (c *Core) Propose(now Time, p Proposal, done func(Result)) error {
	c.pass(now)
	if p.ID == 0 || p.Kind < Change || p.Kind > Rehearsal {
		return fmt.Errorf("expected a proposal with an id, found %d of kind %d", p.ID, p.Kind)
	}
	if p.Kind != Rollback && (len(p.Text) == 0 || len(p.Text) > MostText) {
		return fmt.Errorf("expected a policy of 1 to %d bytes, found %d", MostText, len(p.Text))
	}
	if i := slices.IndexFunc(c.trying, func(a *attempt) bool { return a.ID == p.ID }); i >= 0 {
		a := c.trying[i]
		if a.over {
			done(a.result)
			return nil
		}
		a.done = done
		return nil
	}
	if len(c.trying) >= 2*mostWaits {
		return fmt.Errorf("%d proposals are under way here", len(c.trying))
	}
	a := &attempt{propose: propose{ID: p.ID, Digest: Of(p.Text), Size: len(p.Text), Kind: p.Kind, Base: p.Base, Of: p.Of, For: p.For}, done: done, result: Result{ID: p.ID}}
	if len(p.Text) > 0 {
		c.shelf.put(c, a.Digest, slices.Clone(p.Text), false)
	}
	c.trying = append(c.trying, a)
	a.ask(c)
	return nil
}

// Progress is what is known of a proposal made here.
func (c *Core) Progress(id uint64) (r Result, ok bool) {
	for _, a := range c.trying {
		if a.ID == id {
			return a.result, true
		}
	}
	return Result{ID: id}, false
}

func (a *attempt) due(c *Core) {
	if !a.over && c.now-a.askedAt >= second/5 {
		a.ask(c)
	}
}

func (a *attempt) ask(c *Core) {
	o := &c.own
	to := a.leader
	if to == "" {
		if to = o.leader; to == "" || a.turn%2 == 1 {
			to = o.voters[(a.turn/2)%len(o.voters)]
		}
		a.turn++
	}
	a.leader, a.askedAt = "", c.now
	p := a.propose
	c.send(to, message{Propose: &p})
}

func (a *attempt) told(c *Core, t *told) {
	if t.ID != a.ID || a.over {
		return
	}
	if t.Leader != "" {
		if a.leader != t.Leader {
			a.leader = t.Leader
			a.ask(c)
		}
		return
	}
	a.result.End, a.result.Number, a.result.Why = t.End, t.Number, t.Why
	if t.End != Pending {
		a.over = true
		a.done(a.result)
	}
}

// State is what this process knows, for people.
type State struct {
	Name     string
	Standing Standing
	Lease    Time // for which it is still held; 0: it is not
	Floor    uint64
	Decided  uint64 // the latest number that it knows as decided
	Leader   string
	Voters   []string
	Votes    bool
	Learning bool // it is to vote, and doesn't yet
	Open     uint64
	OpenIs   Digest
	Ready    bool
	Why      string // it refuses the proposal
	Change   string // how far it is, as the leader says
	Cannot   Digest // a decided policy that it can't follow
	Past     []Act  // as far as this one knows: voters alone
	Ends     []End
	Members  []Member // of the leader alone
}

// Member is one as the leader knows it.
type Member struct {
	Name  string
	Heard Time // ago
	Lease Time // until it has surely ended
	Ready bool
	Out   bool
	Why   string
}

// State tells it.
func (c *Core) State(now Time) State {
	c.pass(now)
	o := &c.own
	s := State{Name: c.name, Standing: o.stood, Lease: max(0, o.until-c.now), Floor: o.at.Number, Decided: o.target.Number, Leader: o.leader, Voters: o.voters, Change: o.state, Cannot: o.cannot}
	if o.target == o.at {
		s.Cannot = Digest{}
	}
	if o.open != nil {
		s.Open, s.OpenIs, s.Ready, s.Why = o.open.ID, o.open.Digest, o.ready == o.open.ID, o.why
	}
	v := c.voter
	if v == nil {
		return s
	}
	s.Votes = v.log != nil && v.votes(c)
	s.Learning = !s.Votes && (slices.Contains(v.book.Want, c.name) || slices.Contains(c.plan.Voters, c.name))
	s.Past, s.Ends = slices.Clone(v.book.Past), slices.Clone(v.book.Ends)
	if l := v.lead; l != nil {
		s.Change = v.state(c)
		for i := range l.guests {
			g := &l.guests[i]
			k := Member{Name: g.name, Heard: c.now - g.heardAt, Lease: max(0, g.until-c.now), Out: g.out}
			if p := v.book.Open; p != nil {
				k.Ready = g.ask.Ready == p.ID
				if g.ask.Refuses == p.ID {
					k.Why = g.ask.Why
				}
			}
			s.Members = append(s.Members, k)
		}
	}
	return s
}

// Want has other gateways vote, one change at a time; only the leader can.
func (c *Core) Want(now Time, voters []string) error {
	c.pass(now)
	if c.voter == nil || c.voter.lead == nil {
		return fmt.Errorf("only the leader, %s, can", c.own.leader)
	}
	if n := len(voters); n != 1 && n != 3 && n != 5 && n != 7 {
		return fmt.Errorf("expected 1, 3, 5 or 7 voters, found %d", n)
	}
	c.voter.want(c, voters)
	return nil
}

// Text is that of a policy, if it is here.
func (c *Core) Text(d Digest) []byte {
	if t := c.shelf.get(d); t != nil && t.state >= looked {
		return t.body
	}
	return c.host.Load(d)
}
