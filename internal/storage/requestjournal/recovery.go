package requestjournal

import (
	"cmp"
	"slices"

	"magpiebank/internal/admission"
)

// timedKey is the key of a request and a time: the time of its answer in Journal.answered, its deadline in Journal.recovered.
type timedKey struct {
	key Key
	at  admission.Time
}

// Replay applies one record of the log to the journal. The caller must replay the records in the order in which they were written.
// deleted reports that the key's record was deleted. If the error is ErrInvalidRecord, the journal is unchanged.
func (j *Journal) Replay(key Key, record []byte, deleted bool) error {
	if deleted {
		delete(j.entries, key)
		return nil
	}
	entry, err := decode(record, len(j.classes))
	if err != nil {
		return err
	}
	j.entries[key] = entry
	j.latestTime = max(j.latestTime, entry.AcceptedAt, entry.AnsweredAt, entry.UncertainSince)
	return nil
}

// Recover ends the replay. It assumes that an attempt that was in flight when the process crashed may have run. It records that a
// request fails if it may have run and must not run again, and that any other request is rejected if its deadline has passed. The
// remaining requests stay pending, and continue if a client repeats them.
func (j *Journal) Recover(now admission.Time) {
	now = j.advanceClock(now)
	for key, entry := range j.entries {
		if entry.Outcome != Pending {
			j.answered = append(j.answered, timedKey{key, entry.AnsweredAt})
			continue
		}
		j.recoverPending(now, key, entry)
	}
	sortByTime(j.answered)
	sortByTime(j.recovered)
}

func (j *Journal) recoverPending(now admission.Time, key Key, entry *Entry) {
	j.Counts.Recovered++
	if entry.InFlight {
		entry.InFlight, entry.MayHaveRun = false, true
	}
	if entry.MayHaveRun {
		j.Counts.Uncertain++
	}
	switch {
	case entry.MayHaveRun && !j.mayRunAgain(entry, now):
		entry.setAnswer(now, Failed, nil)
		j.storeAnswer(key, entry, nil)
	case now >= entry.Deadline:
		entry.setAnswer(now, Rejected, nil)
		j.storeAnswer(key, entry, nil)
	default:
		j.log.Put(key, entry.encode(), nil)
		j.recovered = append(j.recovered, timedKey{key, entry.Deadline})
	}
}

// mayRunAgain reports whether a request that may already have run can be sent to an engine again without repeating its effect.
func (j *Journal) mayRunAgain(entry *Entry, now admission.Time) bool {
	switch j.classes[entry.Class].Effect {
	case admission.NonIdempotent:
		return false
	case admission.Deduplicated:
		return j.withinDedupWindow(entry, now)
	default:
		return true
	}
}

// sortByTime sorts by time. Requests with the same time are sorted by key, so that the order doesn't depend on the order of the map.
func sortByTime(list []timedKey) {
	slices.SortFunc(list, func(a, b timedKey) int {
		return cmp.Or(cmp.Compare(a.at, b.at), slices.Compare(a.key[:], b.key[:]))
	})
}
