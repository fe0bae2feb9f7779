package requestjournal

import (
	"cmp"
	"slices"

	"magpiebank/internal/admission"
)

// expiry is the time at which a request is dealt with next.
type expiry struct {
	key Key
	at  admission.Time
}

// Replay takes in one record of the log. Records have to be replayed in the order in which they were written; deleted tells
// that the key's record was deleted. The error is ErrInvalidRecord, in which case the journal is unchanged.
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

// Recover ends the replay. An attempt that was in flight when the process died may have run. A request that must not run
// again fails, which is recorded; any other one stays pending and goes on if a client repeats it.
func (j *Journal) Recover(now admission.Time) {
	now = j.advanceClock(now)
	for key, entry := range j.entries {
		if entry.Outcome != Pending {
			j.answered = append(j.answered, expiry{key, entry.AnsweredAt})
			continue
		}
		j.recoverPending(now, key, entry)
	}
	sortByExpiry(j.answered)
	sortByExpiry(j.recovered)
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
		j.recovered = append(j.recovered, expiry{key, entry.Deadline})
	}
}

// mayRunAgain reports whether a request that may have run already can be sent to an engine once more without harm.
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

// sortByExpiry sorts by time; requests of the same time are sorted by key, so that the order does not depend on the map.
func sortByExpiry(list []expiry) {
	slices.SortFunc(list, func(a, b expiry) int {
		return cmp.Or(cmp.Compare(a.at, b.at), slices.Compare(a.key[:], b.key[:]))
	})
}
