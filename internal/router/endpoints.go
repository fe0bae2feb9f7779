package router

import (
	"cmp"
	"slices"

	"magpiebank/internal/admission"
)

// handleEndpoints applies an update of the engine list. It retires the clients of engines that were removed or moved to
// another address, creates clients for new engines, and passes the update to the resource groups, the journal's listings, the
// peers and the admission controller. addresses has one entry for each endpoint.
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

// retireUnlisted retires the clients of engines that are missing from a complete engine list.
func (o *owner) retireUnlisted(endpoints []admission.Endpoint) {
	for name, client := range o.engines {
		if !slices.ContainsFunc(endpoints, func(e admission.Endpoint) bool { return e.Engine == name }) {
			client.retire()
			delete(o.engines, name)
		}
	}
}

// updateEngineClient creates the client of a new engine, replaces the client of an engine that moved to another address, and
// removes the client of an engine that is gone. Attempts in flight on a retired client run to their end.
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

// withdrawUnwrittenAttempts ends the unwritten attempts at engines that moved or no longer accept attempts. Such an attempt waits for
// a connection, which may be established only after the time up to which the deployment allows attempts at the engine. The
// attempts end in the order of their request ids, so that runs are reproducible.
func (o *owner) withdrawUnwrittenAttempts(now admission.Time, endpoints []admission.Endpoint) {
	isUnavailable := func(a *attempt) bool {
		return o.engines[a.engineID] != a.client ||
			slices.ContainsFunc(endpoints, func(e admission.Endpoint) bool { return e.Engine == a.engineID && e.State != admission.Live })
	}
	var affected []*attempt
	for _, request := range o.requests {
		if a := request.current; a != nil && !a.ended && isUnavailable(a) {
			affected = append(affected, a)
		}
	}
	slices.SortFunc(affected, func(a, b *attempt) int { return cmp.Compare(a.requestID, b.requestID) })
	for _, attempt := range affected {
		attempt.resent = true // prevents a second send if its connection breaks now
		if attempt.withdraw() {
			attempt.request.responder.cancelAttempt(attempt)
			o.handleAttemptEnd(now, attempt, admission.Unreachable)
		}
	}
}

// recordListings stores the endpoints of the listed engines. The journal records an engine's zone and group from them.
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
