package agent

import (
	"math"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/healthreport"
	"magpiebank/internal/cluster/history"
	"magpiebank/internal/cluster/membership"
	"magpiebank/internal/config"
)

// healthSharing exchanges health reports on engines with the other gateways.
type healthSharing struct {
	agent         *Agent
	reports       *healthreport.Table
	ejectionShare float64                     // share of the engines that reports of other gateways may eject
	ejected       map[admission.EngineID]bool // engines last logged as ejected by reports of other gateways alone

	// A token bucket, filled at Config.BytesPerSecond, limits the bytes of reports that are sent.
	tokens   float64        // bytes
	filledAt admission.Time // when tokens were last added

	listedStarts map[admission.EngineID]admission.Time // start times of listed engines, as last written to the history
}

func newHealthSharing(a *Agent, startConfig *config.Config) healthSharing {
	return healthSharing{
		agent:         a,
		ejectionShare: healthreport.MaxEjectedShare(startConfig.Deployment, len(startConfig.Network.Zones)),
		ejected:       map[admission.EngineID]bool{},
		listedStarts:  map[admission.EngineID]admission.Time{},
	}
}

func (s *healthSharing) begin() {
	s.reports = healthreport.New(1, s.ejectionShare, healthreport.RetryPhase(s.agent.name))
	if s.agent.history != nil {
		s.reports.OnObservation = s.recordPeerOutcomes
	}
}

// accepts reports whether health reports that arrive at a time are processed. They are ignored for a while after a stall.
func (s *healthSharing) accepts(at admission.Time) bool {
	return s.agent.config.ShareHealth && at >= s.agent.wake.ignoreReportsUntil
}

func (s *healthSharing) handleEndpoints(kind admission.UpdateKind, endpoints []admission.Endpoint) {
	s.reports.UpdateEngines(kind, endpoints)
	if s.agent.history != nil {
		s.recordEndpoints(kind, endpoints)
	}
}

func (s *healthSharing) recordOutcome(e *outcomeObserved) {
	s.reports.Observe(e.at, e.engine, e.observation, e.report, e.capacity)
	if s.agent.history != nil && e.observation != admission.Reported {
		s.agent.history.Write(history.Event{Kind: history.OutcomeObserved, Engine: string(e.engine), EngineStart: int64(s.listedStarts[e.engine]), Success: !e.observation.IsFailure()})
	}
}

// handleReport processes a report of a known member. It ignores reports of an earlier process under the member's name.
func (s *healthSharing) handleReport(at admission.Time, e *envelope, payload []byte) error {
	m, ok := s.agent.members.Find(e.sender)
	if !ok || m.Incarnation > e.incarnation && !mutations.acceptsEarlierIncarnations() {
		return nil
	}
	return s.reports.HandleMessage(at, healthreport.Source{Name: e.sender, Incarnation: e.incarnation}, payload)
}

// tick notifies the router's owner of changed findings and broadcasts a report if one is due.
func (s *healthSharing) tick(now admission.Time) {
	observedAt := int64(0)
	if s.agent.history != nil {
		observedAt = history.Now() - duration(s.agent.clock.Now()-now).Nanoseconds()
	}
	s.reports.VisitChangedFindings(now, func(finding *admission.PeerReport) {
		report := *finding
		s.recordFinding(now, observedAt, &report)
		s.agent.listener.HandlePeerReport(&report)
	})
	s.broadcast(now)
}

func (s *healthSharing) recordFinding(now admission.Time, observedAt int64, finding *admission.PeerReport) {
	ejects := finding.Ejects()
	s.agent.history.Write(history.Event{Kind: history.EngineAssessed, Engine: string(finding.Engine), EngineStart: int64(finding.EngineStartedAt), FailureScore: finding.FailureScore, Number: finding.Witnesses, Ejects: ejects,
		ObservedAt: observedAt, ValidNanos: duration(max(0, finding.ScoreUntil-now)).Nanoseconds()})
	if ejects == s.ejected[finding.Engine] {
		return
	}
	s.ejected[finding.Engine] = ejects
	s.agent.log.Info("fleet", "code", "found", "engine", string(finding.Engine), "out", ejects, "against", math.Round(100*finding.FailureScore)/100, "witnesses", finding.Witnesses)
}

// broadcast sends a report to the other members if one is due and the configured rate allows it.
func (s *healthSharing) broadcast(now admission.Time) {
	members, rate := s.agent.members, float64(s.agent.config.BytesPerSecond)
	s.tokens = min(rate, s.tokens+rate*float64(now-s.filledAt)/float64(admission.Second))
	s.filledAt = now
	peers := members.CountReachable()
	if !s.agent.config.ShareHealth || peers == 0 || members.IsInactive() {
		return
	}
	if s.tokens < float64(peers*healthreport.MaxMessageBytes) && s.tokens < rate {
		return
	}
	s.reports.SetPeerCount(peers)
	message := s.reports.NextMessage(now)
	if message == nil {
		return
	}
	for _, other := range members.Members() {
		if other.State <= membership.Suspect {
			s.tokens -= float64(s.agent.transport.send(other.Address, healthReportSection, message))
		}
	}
}

// recordPeerOutcomes writes the outcomes that a peer reported for an engine to the history, unless they have expired.
func (s *healthSharing) recordPeerOutcomes(from healthreport.Source, endpoint *admission.Endpoint, successAge, failureAge admission.Time) {
	for _, outcome := range []struct {
		success bool
		age     admission.Time
	}{{true, successAge}, {false, failureAge}} {
		if outcome.age < healthreport.OutcomeLifetime {
			s.agent.history.Write(history.Event{Kind: history.PeerOutcomeReceived, Member: from.Name, Detail: from.Incarnation, Engine: string(endpoint.Engine), EngineStart: int64(endpoint.StartedAt), Success: outcome.success,
				AgeNanos: duration(outcome.age).Nanoseconds()})
		}
	}
}

// recordEndpoints writes engines to the history that the gateway's own endpoint list has added, restarted or removed.
func (s *healthSharing) recordEndpoints(kind admission.UpdateKind, endpoints []admission.Endpoint) {
	if kind == admission.FailedPoll {
		return
	}
	present := map[admission.EngineID]bool{}
	for i := range endpoints {
		present[endpoints[i].Engine] = true
		s.recordEndpoint(&endpoints[i])
	}
	if kind == admission.PartialUpdate {
		return
	}
	for engine := range s.listedStarts {
		if !present[engine] {
			delete(s.listedStarts, engine)
			s.agent.history.Write(history.Event{Kind: history.EngineListed, Engine: string(engine), State: endpointStates[admission.Gone]})
		}
	}
}

// endpointStates lists the names of endpoint states in histories.
var endpointStates = [...]string{"live", "draining", "gone"}

func (s *healthSharing) recordEndpoint(endpoint *admission.Endpoint) {
	startedAt, known := s.listedStarts[endpoint.Engine]
	if endpoint.State == admission.Gone {
		delete(s.listedStarts, endpoint.Engine)
	} else {
		s.listedStarts[endpoint.Engine] = endpoint.StartedAt
		if known && startedAt == endpoint.StartedAt {
			return
		}
	}
	s.agent.history.Write(history.Event{Kind: history.EngineListed, Engine: string(endpoint.Engine), EngineStart: int64(endpoint.StartedAt), State: endpointStates[endpoint.State]})
}
