package router

import "magpiebank/internal/admission"

// Peers is this gateway's connection to the other gateways. The owner calls all methods but Start and Stop; none of them
// waits. Package agent implements it.
type Peers interface {
	// Start begins to exchange messages. The listener is told what they bring.
	Start(clock Clock, listener PeerListener) error
	// HandleEndpoints takes in an update of the engine list.
	HandleEndpoints(now admission.Time, kind admission.UpdateKind, endpoints []admission.Endpoint)
	// RecordObservation takes in what this gateway observed of an engine, and the bytes that it may send to the others from now on.
	RecordObservation(now admission.Time, engine admission.EngineID, observation admission.Observation, report admission.Report, allowedBytes float64)
	// TryReserveSlowStart reserves a part of what an engine that has just started may be sent. It reports whether this
	// gateway has it; shared is false if the gateways don't share such quotas.
	TryReserveSlowStart(now admission.Time, engine admission.EngineID, part float64) (reserved, shared bool)
	// Tick is called by the owner's timer.
	Tick(now admission.Time)
	// RecordAttempt takes in that an attempt starts.
	RecordAttempt(now admission.Time, request admission.RequestID, engine admission.EngineID)
	// RecordPlacement takes in where a request was and where it is now. policyClass is empty if it is in no class of the
	// operator's.
	RecordPlacement(class, policyClass string, was, is Placement)
	// Stop tells the others that this gateway leaves, and ends all goroutines that Start began.
	Stop()
}

// PeerListener is told what the other gateways' messages bring. Its methods may be called from any goroutine and never wait.
type PeerListener interface {
	// HandlePeerReport takes in what other gateways observed of an engine. The report must not change any more.
	HandlePeerReport(report *admission.PeerReport)
	// HandleCapacityChange tells that requests which wait for a shared quota may have it now.
	HandleCapacityChange()
}

// peerListener posts what the peers tell as events.
type peerListener struct{ owner *owner }

func (l peerListener) HandlePeerReport(report *admission.PeerReport) {
	l.owner.post(peerReportReceived{report})
}

func (l peerListener) HandleCapacityChange() { l.owner.post(sharedCapacityChanged{}) }

// Placement is where a request is.
type Placement struct {
	Present bool               // in this gateway
	Engine  admission.EngineID // where it runs; empty while it waits
}

// recordPlacement tells the peers where a request is.
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

// joinPeers starts the exchange with the other gateways.
func (o *owner) joinPeers(peers Peers) error {
	o.peers = peers
	return peers.Start(o.clock, peerListener{o})
}
