package healthreport

import (
	"cmp"
	"slices"

	"magpiebank/internal/admission"
)

// EngineStatus holds the observations of an engine for display.
type EngineStatus struct {
	Engine       admission.EngineID
	AnswerAge    Time // age of the last answer that this gateway observed; below 0: none recently
	FailureAge   Time // age of the last failure that this gateway observed; below 0: none recently
	LastFailure  admission.Observation
	Finding      Finding
	ReportAge    Time                    // age of the latest load report from peers; below 0: none recently
	PeerFailures []admission.Observation // last failure observed by each peer for which the engine is failing
}

// Status returns the status of all listed engines, sorted by name.
func (b *Table) Status(now Time) (out []EngineStatus) {
	for i := range b.engines {
		if b.engines[i].listed {
			out = append(out, b.engineStatus(now, i))
		}
	}
	slices.SortFunc(out, func(a, b EngineStatus) int { return cmp.Compare(a.Engine, b.Engine) })
	return out
}

func (b *Table) engineStatus(now Time, index int) EngineStatus {
	e := &b.engines[index]
	found := e.publishedFinding
	if now >= found.ScoreUntil {
		found.FailureScore, found.Witnesses = 0, 0
	}
	s := EngineStatus{Engine: e.Engine, AnswerAge: ageOf(now, e.own.answeredAt), FailureAge: ageOf(now, e.own.failedAt), LastFailure: e.own.failure,
		Finding: found, ReportAge: ageOf(now, found.ReportAt)}
	for k := range b.peers {
		if o := &b.peers[k].observations[index]; o.isFailing(now) {
			s.PeerFailures = append(s.PeerFailures, o.failure)
		}
	}
	return s
}

// ageOf returns the age of an observation, or -1 if it is too old to be shown or does not exist.
func ageOf(now, at Time) Time {
	const maxAge = 10 * OutcomeLifetime
	if now-at > maxAge {
		return -1
	}
	return now - at
}
