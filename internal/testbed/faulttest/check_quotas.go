package faulttest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/cluster/history"
	"magpiebank/internal/testbed/fake"
)

// quotaTotals are the totals that quotas had, under which policy numbers, and from when on each replica went by a number.
type quotaTotals struct {
	byCode       map[string][]quotaTotal
	appliedSince map[uint64]map[string]int64 // by number and replica: when the replica first went by the number
	replicas     []string
	loweredAfter int64 // nanoseconds after which a total that was lowered counts
}

type quotaTotal struct {
	number uint64
	amount int
}

func readQuotaTotals(events []history.Event, replicas []string, loweredAfter time.Duration) *quotaTotals {
	totals := &quotaTotals{
		byCode:       map[string][]quotaTotal{},
		appliedSince: map[uint64]map[string]int64{},
		replicas:     replicas,
		loweredAfter: int64(loweredAfter),
	}
	for i := range events {
		e := &events[i]
		if e.Kind != history.TotalChanged {
			continue
		}
		total := quotaTotal{e.Detail, e.Number}
		if !slices.Contains(totals.byCode[e.Code], total) {
			totals.byCode[e.Code] = append(totals.byCode[e.Code], total)
		}
		if totals.appliedSince[e.Detail] == nil {
			totals.appliedSince[e.Detail] = map[string]int64{}
		}
		if _, ok := totals.appliedSince[e.Detail][e.Process]; !ok && slices.Contains(replicas, e.Process) {
			totals.appliedSince[e.Detail][e.Process] = e.At
		}
	}
	return totals
}

// allowed is the most that may be in use of a quota at a time: the highest total among the numbers that may still be in force.
func (t *quotaTotals) allowed(code string, at int64) (most int) {
	inForce := uint64(0)
	for number, since := range t.appliedSince {
		applied := 0
		for _, appliedAt := range since {
			if appliedAt+t.loweredAfter <= at {
				applied++
			}
		}
		if 2*applied > len(t.replicas) {
			inForce = max(inForce, number)
		}
	}
	for _, total := range t.byCode[code] {
		if total.number >= inForce {
			most = max(most, total.amount)
		}
	}
	return most
}

// CheckEngines holds the loads that run by the engines' own count against the total of threads. What a gateway gave up without the engine
// hearing of it still runs there: a scenario in which engines are unreachable, or stand still, is not read.
func CheckEngines(s *Scenario, runs []fake.RunningChange, startedAt time.Time, startMonotonic int64, totals *quotaTotals) (out []string) {
	if s.Limits.Threads == 0 || slices.ContainsFunc(s.Steps, hidesEngines) {
		return nil
	}
	running := 0
	for _, change := range runs {
		if change.Class != "load" {
			continue
		}
		running += change.Delta
		if most := totals.allowed("loads threads", startMonotonic+int64(change.At.Sub(startedAt))); running > most {
			out = append(out, fmt.Sprintf("%.3f s: engines: %d loads run there, of %d that may", change.At.Sub(startedAt).Seconds(), running, most))
		}
	}
	return out
}

// hidesEngines tells whether engines may be unreachable, or stand still, in a step.
func hidesEngines(step Step) bool {
	if step.Action == "engine" && step.EngineState != "gone" && step.EngineState != "drains" {
		return true
	}
	return slices.ContainsFunc(slices.Concat(step.To, step.From), func(name string) bool {
		return name == "*" || strings.HasPrefix(name, "e")
	})
}

// CheckQuotas reads a merged history for what all processes use of each quota at every instant. What a process that died had
// counts until it would have ended: nobody else may use it before. A total that was lowered counts a stated time after a majority of
// the replicas first went by its number; until then the larger counts.
func CheckQuotas(events []history.Event, totals *quotaTotals) (out []string) {
	uses := &quotaUses{reserved: map[quotaOwner][]quotaUse{}, rates: map[quotaOwner]quotaUse{}}
	for i := range events {
		e := &events[i]
		if !uses.record(e) {
			continue
		}
		sum := uses.sum(e.Code, e.At)
		if most := totals.allowed(e.Code, e.At); sum > most {
			out = append(out, fmt.Sprintf("%.3f s, %s: budget: %d of %s are in use by all together, of %d", float64(e.At-events[0].At)/1e9, e.Process, sum, e.Code, most))
		}
	}
	return out
}

// quotaUses is what all processes use of the quotas.
type quotaUses struct {
	reserved map[quotaOwner][]quotaUse
	rates    map[quotaOwner]quotaUse
}

type quotaOwner struct {
	incarnation
	code string
}

type quotaUse struct {
	amount int
	until  int64
}

// record takes in an event, and tells whether a use may have grown by it.
func (u *quotaUses) record(e *history.Event) bool {
	owner := quotaOwner{incarnationOf(e), e.Code}
	switch e.Kind {
	case history.BudgetUsed:
		u.reserved[owner] = append(u.reserved[owner], quotaUse{e.Number, e.At + e.ValidNanos})
		return true
	case history.RateGranted:
		u.rates[owner] = quotaUse{e.Number, e.At + e.ValidNanos}
		return true
	case history.BudgetReleased:
		u.release(owner, e.Number)
	}
	return false
}

// release takes out the use of that amount that ends first.
func (u *quotaUses) release(owner quotaOwner, amount int) {
	first := -1
	uses := u.reserved[owner]
	for i, use := range uses {
		if use.amount == amount && (first < 0 || use.until < uses[first].until) {
			first = i
		}
	}
	if first >= 0 {
		u.reserved[owner] = slices.Delete(uses, first, first+1)
	}
}

// sum is what is in use of one quota at an instant.
func (u *quotaUses) sum(code string, at int64) int {
	sum := 0
	for owner, uses := range u.reserved {
		if owner.code != code {
			continue
		}
		for _, use := range uses {
			if use.until > at {
				sum += use.amount
			}
		}
	}
	for owner, rate := range u.rates {
		if owner.code == code && rate.until > at {
			sum += rate.amount
		}
	}
	return sum
}
