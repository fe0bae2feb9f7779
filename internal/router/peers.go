package router

import "magpiebank/internal/admission"

// Peers is this gateway's connection to the other gateways. The owner calls all methods except Start and Stop, and the methods
// that it calls never block. Package agent implements Peers.
type Peers interface {
	// Start begins the exchange of messages. The listener receives their contents.
	Start(clock Clock, listener PeerListener) error
	// HandleEndpoints handles an update of the engine list.
	HandleEndpoints(now admission.Time, kind admission.UpdateKind, endpoints []admission.Endpoint)
	// RecordObservation records this gateway's observation of an engine. allowedBytes is the number of bytes that may be sent
	// to the other gateways from now on.
	RecordObservation(now admission.Time, engine admission.EngineID, observation admission.Observation, report admission.Report, allowedBytes float64)
	// TryReserveSlowStart tries to reserve a fraction, from 0 to 1, of the slow-start quota of an engine, and reports whether
	// it is reserved. shared is false if the gateways don't share such quotas.
	TryReserveSlowStart(now admission.Time, engine admission.EngineID, fraction float64) (reserved, shared bool)
	// Tick is called when the owner's timer expires.
	Tick(now admission.Time)
	// RecordAttempt records the start of an attempt.
	RecordAttempt(now admission.Time, request admission.RequestID, engine admission.EngineID)
	// RecordPlacement records that the placement of a request has changed. policyClass is the name of the operator's class, or
	// empty if the request belongs to none.
	RecordPlacement(class, policyClass string, previous, current Placement)
	// Stop notifies the other gateways that this gateway leaves, and stops all goroutines that Start started.
	Stop()
}

// PeerListener receives the contents of the other gateways' messages. Its methods may be called from any goroutine and never
// block.
type PeerListener interface {
	// HandlePeerReport handles the other gateways' observations of an engine. The caller must not change the report any more.
	HandlePeerReport(report *admission.PeerReport)
	// HandleCapacityChange handles a change by which a shared quota may have capacity for waiting requests.
	HandleCapacityChange()
}

// peerListener posts the contents of the peers' messages as events to the owner.
type peerListener struct{ owner *owner }

func (l peerListener) HandlePeerReport(report *admission.PeerReport) {
	l.owner.post(peerReportReceived{report})
}

func (l peerListener) HandleCapacityChange() { l.owner.post(sharedCapacityChanged{}) }

// Placement describes whether a request is in this gateway, and on which engine it runs.
type Placement struct {
	Present bool               // the request is accepted by this gateway and has no final answer
	Engine  admission.EngineID // the engine of the current attempt; empty while the request waits
}

// recordPlacement reports a request's new placement to the peers.
func (o *owner) recordPlacement(request *request, current Placement) {
	if o.peers == nil {
		return
	}
	policyClass := ""
	if request.policyClass > 0 {
		policyClass = o.resourceGroups.ClassName(request.policyClass)
	}
	o.peers.RecordPlacement(request.className, policyClass, request.placement, current)
	request.placement = current
}

// joinPeers starts the exchange of messages with the other gateways.
func (o *owner) joinPeers(peers Peers) error {
	o.peers = peers
	return peers.Start(o.clock, peerListener{o})
}
