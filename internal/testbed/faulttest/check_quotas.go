package faulttest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/cluster/history"
	"magpiebank/internal/testbed/fake"
)

// quotaTotals holds the totals of the quotas under each policy revision, and when each replica first applied each revision.
type quotaTotals struct {
	byCode       map[string][]quotaTotal     // by code of the quota
	appliedSince map[uint64]map[string]int64 // by policy revision and replica: time at which the replica first applied the revision
	replicas     []string
	loweredAfter int64 // nanoseconds after which a lowered total must be kept to
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

// allowed returns how much of a quota may be in use at a time. It is the highest total of all policy revisions except those that are
// older than a revision that a majority of the replicas applied at least loweredAfter before.
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

// CheckEngines compares the number of running loads, as the engines count them, with the total of threads. An engine that receives no
// cancellation continues to run a load that its gateway has abandoned. So CheckEngines returns nil for scenarios in which engines may be
// unreachable or faulty.
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
			out = append(out, fmt.Sprintf("%.3f s: engines: %d loads run on the engines, at most %d may", change.At.Sub(startedAt).Seconds(), running, most))
		}
	}
	return out
}

// hidesEngines reports whether engines may be unreachable or faulty in a step.
func hidesEngines(step Step) bool {
	if step.Action == "engine" && step.EngineState != "gone" && step.EngineState != "drains" {
		return true
	}
	return slices.ContainsFunc(slices.Concat(step.To, step.From), func(name string) bool {
		return name == "*" || strings.HasPrefix(name, "e")
	})
}

// CheckQuotas checks in a merged history that all processes together never use more of a quota than its total. What a process used when
// it died counts until its validity ends, because no other process may use it before. A lowered total counts from totals.loweredAfter
// after a majority of the replicas has applied its policy revision; until then the larger total counts.
func CheckQuotas(events []history.Event, totals *quotaTotals) (out []string) {
	uses := &quotaUses{reserved: map[quotaOwner][]quotaUse{}, rates: map[quotaOwner]quotaUse{}}
	for i := range events {
		e := &events[i]
		if !uses.record(e) {
			continue
		}
		sum := uses.sum(e.Code, e.At)
		if most := totals.allowed(e.Code, e.At); sum > most {
			out = append(out, fmt.Sprintf("%.3f s, %s: budget: %d of %s are in use by all processes together, at most %d may be", float64(e.At-events[0].At)/1e9, e.Process, sum, e.Code, most))
		}
	}
	return out
}

// quotaUses holds the current use of the quotas by all processes.
type quotaUses struct {
	reserved map[quotaOwner][]quotaUse
	rates    map[quotaOwner]quotaUse // the last rate granted to each process
}

type quotaOwner struct {
	incarnation
	code string
}

type quotaUse struct {
	amount int
	until  int64
}

// record applies an event, and reports whether it may have increased the use of a quota.
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

// release removes a use of the given amount, the one that ends first.
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

// sum returns how much of a quota is in use at an instant.
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
