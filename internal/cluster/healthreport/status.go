package healthreport

import (
	"cmp"
	"slices"

	"magpiebank/internal/admission"
)

// EngineStatus is what is known of an engine.
type EngineStatus struct {
	Engine       admission.EngineID
	AnswerAge    Time // of the last answer that this gateway observed; below 0: not lately
	FailureAge   Time // of the last failure; below 0: not lately
	LastFailure  admission.Observation
	Finding      Finding
	ReportAge    Time
	PeerFailures []admission.Observation // the last failure of each peer for which the engine fails
}

// Status returns what is known of all listed engines, by name.
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
	found := e.published
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

// ageOf returns the age of an observation; -1: it is too old to be of interest.
func ageOf(now, at Time) Time {
	const maxAge = 10 * OutcomeLifetime
	if now-at > maxAge {
		return -1
	}
	return now - at
}
