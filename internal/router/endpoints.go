package router

import (
	"cmp"
	"slices"

	"magpiebank/internal/admission"
)

// handleEndpoints applies an update of the engine list: it retires the clients of engines that left or moved, makes
// clients for new ones, and tells everything that follows the list. addresses has one entry for each endpoint.
func (o *owner) handleEndpoints(now admission.Time, kind admission.UpdateKind, endpoints []admission.Endpoint, addresses []string) {
	if kind != admission.PartialUpdate {
		o.retireUnlisted(endpoints)
	}
	for i, endpoint := range endpoints {
		o.updateEngineClient(endpoint, addresses[i])
	}
	if o.resourceGroups != nil {
		o.resourceGroups.HandleEndpoints(now, kind, endpoints)
	}
	if o.journal != nil {
		o.recordListings(kind, endpoints)
	}
	if o.peers != nil {
		o.peers.HandleEndpoints(now, kind, endpoints)
	}
	o.admission.UpdateEndpoints(now, kind, endpoints)
	o.withdrawUnwrittenAttempts(now, endpoints)
}

// retireUnlisted retires the clients of engines that a complete list no longer has.
func (o *owner) retireUnlisted(endpoints []admission.Endpoint) {
	for name, client := range o.engines {
		if !slices.ContainsFunc(endpoints, func(e admission.Endpoint) bool { return e.Engine == name }) {
			client.retire()
			delete(o.engines, name)
		}
	}
}

// updateEngineClient replaces the client of an engine that moved to another address, and removes that of one that is
// gone. Attempts in flight on a retired client end by themselves.
func (o *owner) updateEngineClient(endpoint admission.Endpoint, address string) {
	client := o.engines[endpoint.Engine]
	moved := client != nil && address != "" && client.dialAddress() != address
	if client != nil && (endpoint.State == admission.Gone || moved) {
		client.retire()
		delete(o.engines, endpoint.Engine)
		client = nil
	}
	if client == nil && endpoint.State != admission.Gone {
		o.engines[endpoint.Engine] = o.newEngineClient(endpoint.Engine, address)
	}
}

// withdrawUnwrittenAttempts ends the attempts at engines that take nothing new any more, as far as no byte of them was
// written: they wait for a connection, which may come up only after the time that the deployment allows for the last
// attempts. They end in the order of their request ids, so that a run can be repeated.
func (o *owner) withdrawUnwrittenAttempts(now admission.Time, endpoints []admission.Endpoint) {
	closed := func(a *attempt) bool {
		return o.engines[a.engineID] != a.client ||
			slices.ContainsFunc(endpoints, func(e admission.Endpoint) bool { return e.Engine == a.engineID && e.State != admission.Live })
	}
	var late []*attempt
	for _, request := range o.requests {
		if a := request.current; a != nil && !a.ended && closed(a) {
			late = append(late, a)
		}
	}
	slices.SortFunc(late, func(a, b *attempt) int { return cmp.Compare(a.requestID, b.requestID) })
	for _, attempt := range late {
		attempt.resent = true // it isn't sent again if its connection breaks now
		if attempt.withdraw() {
			attempt.request.responder.cancelAttempt(attempt)
			o.handleAttemptEnd(now, attempt, admission.Unreachable)
		}
	}
}

// recordListings keeps where engines are, for the journal.
func (o *owner) recordListings(kind admission.UpdateKind, endpoints []admission.Endpoint) {
	if kind != admission.PartialUpdate && kind != admission.FailedPoll {
		clear(o.listings)
	}
	for _, endpoint := range endpoints {
		if endpoint.State == admission.Gone {
			delete(o.listings, endpoint.Engine)
		} else {
			o.listings[endpoint.Engine] = endpoint
		}
	}
}
