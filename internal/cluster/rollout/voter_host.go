package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"magpiebank/internal/cluster/consensus"
)

// voterHost is what the voters' log acts on.
type voterHost struct {
	c *Core
	v *voter
}

func (h voterHost) Send(to uint64, m []byte) {
	if n := h.v.called(to); n != "" && n != h.c.name {
		h.c.send(n, message{Log: m})
	}
}

func (h voterHost) Save(records []consensus.Record, done func(error)) {
	log := h.v.log
	h.c.host.Keep(records, func(err error) {
		if h.v.log == log || log == nil { // it is another voter by now
			done(err)
		}
	})
}

func (h voterHost) Applied(_ uint64, e []byte) { h.v.applied(h.c, e) }

func (h voterHost) Changed(_ uint64, context []byte, voters, learners []uint64) {
	v, c := h.v, h.c
	var more []Voter
	if len(context) > 0 && unmarshal(context, &more) != nil {
		more = nil
	}
	v.names = append(v.names, more...)
	v.names = v.names[max(0, len(v.names)-2*mostWaits):]
	var list []Voter
	for _, id := range voters { // by what the log itself says, so that all come to the same
		known := append(slices.Clone(v.book.Voters), more...)
		if i := slices.IndexFunc(known, func(k Voter) bool { return k.Birth == id }); i >= 0 {
			list = append(list, known[i])
		}
	}
	slices.SortFunc(list, func(a, b Voter) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Birth, b.Birth))
	})
	if !slices.Equal(list, v.book.Voters) {
		v.book.Voters = list
		c.host.Say(Voting, "voters", strings.Join(names(list), " "), "learners", len(learners))
	}
}

func (h voterHost) Installed(_ uint64, state []byte) {
	var b Book
	if unmarshal(state, &b) == nil {
		h.v.book = b
	}
}

func (h voterHost) State() []byte { return encode(h.v.book) }

func (h voterHost) Led(term uint64) { h.v.led(h.c, term) }

func (h voterHost) Confirmed(read uint64) { h.v.confirmed(h.c, read) }

func (h voterHost) Forgot() {
	h.c.host.Say(Lost, "birth", fmt.Sprintf("%016x", h.v.birth))
	h.v.forgot = true
}
