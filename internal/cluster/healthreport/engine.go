package healthreport

import (
	"slices"

	"magpiebank/internal/admission"
)

// engine holds the state of an engine that is or was in the endpoint list.
type engine struct {
	admission.Endpoint
	hash   uint32
	listed bool
	own    observations

	sent             observations // own observations when they were last sent
	waitingSince     Time         // time from which there is something to send; never: there is nothing
	contradictsPeers bool         // this gateway had an answer that contradicts the failures that peers reported
	repeatNews       bool         // news must be sent a second time, because the first message may be lost

	currentFinding   Finding // finding from all observations
	publishedFinding Finding // finding last passed to the caller; its score is 0 if too many engines would be ejected
}

// UpdateEngines applies an update of the endpoint list. A full update removes the engines that it does not name. Observations of an engine
// are removed when it has restarted.
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

// addEngine adds an engine and returns its index. It reuses the index of a removed engine if there is one.
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

// resetEngine removes all observations of an engine, and its findings.
func (b *Table) resetEngine(index int) {
	e := &b.engines[index]
	nothing := Finding{Engine: e.Engine, EngineStartedAt: e.StartedAt, Report: admission.NoReport, ReportAt: never}
	*e = engine{Endpoint: e.Endpoint, hash: e.hash, listed: e.listed, own: noObservations, sent: noObservations, waitingSince: never, currentFinding: nothing, publishedFinding: nothing}
	b.removePeerObservations(index)
}

// removePeerObservations removes all observations of an engine that peers reported.
func (b *Table) removePeerObservations(index int) {
	for k := range b.peers {
		b.peers[k].observations[index] = noObservations
	}
	b.markChanged(index)
}
