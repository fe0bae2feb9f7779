package router

import "magpiebank/internal/admission"

// Peers are the other gateways, where this one may speak to them. All calls are the owner's but Start and Stop, and none waits;
// package fleet has the one there is.
type Peers interface {
	// Start is handed the clock, and how to have a call made by the owner, with the module.
	Start(clock Clock, tell func(call func(now admission.Time, module *admission.Controller))) error
	HandleEndpoints(now admission.Time, form admission.UpdateKind, list []admission.Endpoint)
	// Saw takes in what the decisions saw of an engine themselves, and the bytes that may be told more from now on.
	RecordObservation(now admission.Time, engine admission.EngineID, saw admission.Observation, report admission.Report, room float64)
	// ColdRoom tells whether a part of what an engine that has just started may be sent is this gateway's to send next, where that is
	// shared.
	TryReserveSlowStart(now admission.Time, engine admission.EngineID, part float64) (room, shared bool)
	// Due is the owner's timer.
	Tick(now admission.Time)
	// Sent takes in an attempt.
	RecordAttempt(now admission.Time, requestID admission.RequestID, engine admission.EngineID)
	// Moved takes in where a request of a class and a class of the operator's (empty: none) was and is.
	RecordPlacement(class, policyClass string, was, is Placement)
	// Stop says farewell to them.
	Stop()
}

// Place is where a request is.
type Placement struct {
	Present bool               // the gateway has it
	Engine  admission.EngineID // where it runs; empty: it waits
}

// moved has the peers know where a request is.
func (o *owner) recordPlacement(request *request, is Placement) {
	if o.peers == nil {
		return
	}
	policyClass := ""
	if request.policyClass > 0 {
		policyClass = o.resourceGroups.ClassName(request.policyClass)
	}
	o.peers.RecordPlacement(request.className, policyClass, request.placement, is)
	request.placement = is
}

// join has a gateway take part among its peers.
func (o *owner) joinPeers(p Peers) error {
	o.peers = p
	return p.Start(o.clock, func(call func(admission.Time, *admission.Controller)) {
		o.post(peerCallRequested{call})
	})
}
