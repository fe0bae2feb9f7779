package healthreport

import (
	"slices"

	"magpiebank/internal/admission"
)

// engine is one of the endpoint list.
type engine struct {
	admission.Endpoint
	hash   uint32
	listed bool
	own    observations

	sent         observations // last, by times
	waitingSince Time         // since when there is something to send; never: nothing
	contradicts  bool         // there is an answer that contradicts what peers reported
	repeat       bool         // news is sent a second time, because the first message may be lost

	found     Finding // by all observations
	published Finding // as far as not too many engines are ejected at a time
}

// UpdateEngines takes in an update of the endpoint list. Nothing is used of engines that it does not name, and what was known of an engine
// ends with its incarnation.
func (b *Table) UpdateEngines(kind admission.UpdateKind, list []admission.Endpoint) {
	if kind == admission.FailedPoll {
		return
	}
	if kind != admission.PartialUpdate {
		for i := range b.engines {
			b.engines[i].listed = false
		}
	}
	for _, endpoint := range list {
		i, known := b.byName[endpoint.Engine]
		if !known {
			i = b.addEngine(endpoint.Engine)
		}
		e := &b.engines[i]
		restarted := !known || e.StartedAt != endpoint.StartedAt
		e.Endpoint, e.listed = endpoint, endpoint.State != admission.Gone
		if restarted {
			b.resetEngine(i)
		}
	}
	b.indexHashes()
}

func (b *Table) indexHashes() {
	clear(b.byHash)
	for i := range b.engines {
		e := &b.engines[i]
		if !e.listed {
			continue
		}
		index := i
		if _, taken := b.byHash[e.hash]; taken {
			index = -1
		}
		b.byHash[e.hash] = index
	}
}

// addEngine returns the index of a new engine. Those of engines that are gone are used again.
func (b *Table) addEngine(name admission.EngineID) int {
	i := slices.IndexFunc(b.engines, func(e engine) bool { return !e.listed })
	if i < 0 {
		i = len(b.engines)
		b.engines = append(b.engines, engine{})
		for k := range b.peers {
			b.peers[k].observations = append(b.peers[k].observations, noObservations)
		}
	} else {
		delete(b.byName, b.engines[i].Engine)
	}
	b.engines[i] = engine{hash: hashName(name)}
	b.byName[name] = i
	return i
}

// resetEngine forgets all that is known of an engine.
func (b *Table) resetEngine(index int) {
	e := &b.engines[index]
	nothing := Finding{Engine: e.Engine, EngineStartedAt: e.StartedAt, Report: admission.NoReport, ReportAt: never}
	*e = engine{Endpoint: e.Endpoint, hash: e.hash, listed: e.listed, own: noObservations, sent: noObservations, waitingSince: never, found: nothing, published: nothing}
	b.forgetObservations(index)
}

// forgetObservations forgets all that peers reported of an engine.
func (b *Table) forgetObservations(index int) {
	for k := range b.peers {
		b.peers[k].observations[index] = noObservations
	}
	b.markChanged(index)
}
