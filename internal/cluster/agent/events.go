package agent

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/history"
	"magpiebank/internal/cluster/quota"
	"magpiebank/internal/cluster/rollout"
)

// event is an input of the agent's goroutine, sent by another goroutine or by a core. The types below are all events that
// there are.
type event interface{ isEvent() }

type (
	// endpointsReceived is an update of the gateway's own endpoint list.
	endpointsReceived struct {
		kind      admission.UpdateKind
		endpoints []admission.Endpoint
	}

	// outcomeObserved is an observation that this gateway made of an engine itself.
	outcomeObserved struct {
		at          admission.Time
		engine      admission.EngineID
		observation admission.Observation
		report      admission.Report
		capacity    float64 // bytes of health reports that may be sent in addition from now on
	}

	// attemptSent is an attempt that the gateway sent. It serves only to write attempts to the history in their order among
	// the other events.
	attemptSent struct {
		request    admission.RequestID
		engine     admission.EngineID
		observedAt int64 // time on the clock of histories
	}

	// datagramReceived is a datagram of another gateway, with the time at which it was read from the socket.
	datagramReceived struct {
		at       admission.Time
		datagram []byte
	}

	// quotaMessageToSelf is a message of the quota core to the voter of the same gateway.
	quotaMessageToSelf struct{ message quota.Message }

	// policyMessageToSelf is a message of the policy rollout's core to the voter of the same gateway.
	policyMessageToSelf struct{ message []byte }

	// quotaDemandChanged wakes the agent's goroutine, so that the quota core at once sends the messages that a call of the
	// router's owner made necessary.
	quotaDemandChanged struct{}

	// policyParsed is the result of parsing a policy's text.
	policyParsed struct {
		digest rollout.Digest
		policy Policy
		err    error // why the gateway can't apply the policy; nil: it can
		done   func(rollout.Parameters, error)
	}

	// recordsStored is the result of storing records of the policy rollout.
	recordsStored struct {
		err  error
		done func(error)
	}

	// controlRequested is a request to the control socket. The reply channel has a buffer for one reply.
	controlRequested struct {
		request *controlRequest
		reply   chan<- controlReply
	}
)

func (endpointsReceived) isEvent()   {}
func (outcomeObserved) isEvent()     {}
func (attemptSent) isEvent()         {}
func (datagramReceived) isEvent()    {}
func (quotaMessageToSelf) isEvent()  {}
func (policyMessageToSelf) isEvent() {}
func (quotaDemandChanged) isEvent()  {}
func (policyParsed) isEvent()        {}
func (recordsStored) isEvent()       {}
func (controlRequested) isEvent()    {}

// handle processes one event, in the agent's goroutine.
func (a *Agent) handle(received event) {
	switch e := received.(type) {
	case endpointsReceived:
		a.health.handleEndpoints(e.kind, e.endpoints)
	case outcomeObserved:
		a.health.recordOutcome(&e)
	case attemptSent:
		a.history.Write(history.Event{Kind: history.AttemptSent, Engine: string(e.engine), Request: string(e.request), ObservedAt: e.observedAt})
	case datagramReceived:
		a.transport.queued.Add(-1)
		a.handleDatagram(e.at, e.datagram)
	case quotaMessageToSelf:
		a.quota.handleMessage(a.clock.Now(), e.message)
	case policyMessageToSelf:
		a.policies.handleOwnMessage(a.clock.Now(), e.message)
	case quotaDemandChanged: // run calls tick after every event, which sends what is due
	case policyParsed:
		a.policies.finishCheck(&e)
	case recordsStored:
		e.done(e.err)
	case controlRequested:
		a.handleControlRequest(a.clock.Now(), &e)
	}
}
