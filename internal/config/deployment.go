// Package config decodes what a router is told at start, for the simulator's wire and for sockets.
package config

import (
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/jsonvalue"
)

// tenth is the project's unit of time in the settings' microseconds.
const tenth = 100

// down and up read microseconds as a Time, rounded so that a rule's figure stays safe.
func down(s *jsonvalue.Value, path ...any) admission.Time {
	return admission.Time(int64(s.Float(path...)) / tenth)
}

func up(s *jsonvalue.Value, path ...any) admission.Time {
	return admission.Time((int64(s.Float(path...)) + tenth - 1) / tenth)
}

// places is nil where the key is absent, and empty but not nil where nothing is allowed.
func places(s *jsonvalue.Value, path ...any) []int {
	if s.Lookup(path...) == nil {
		return nil
	}
	out := []int{}
	for _, f := range s.Floats(path...) {
		out = append(out, int(f))
	}
	return out
}

// Read decodes the part of the settings that decisions rest on.
func ReadDeployment(s *jsonvalue.Value) (*admission.Deployment, error) {
	d := &admission.Deployment{
		Gateways:             max(1, int(s.Float("fleetSize"))),
		GatewayIndex:         int(s.Float("me")),
		CoresByKind:          s.Floats("familyInfo", "kindCores"),
		MemoryByKind:         s.Floats("familyInfo", "sizeMb"),
		SupportsRanks:        s.Bool("familyInfo", "lanesCount"),
		SupportsMemoryGrants: s.Bool("familyInfo", "grants"),
		EnginesSwap:          s.Lookup("familyInfo", "whenShort") == "swap",
		ReportsCost:          s.Bool("familyInfo", "saysCost"),
		SupportsCancel:       s.Bool("limits", "cancel"),
		SupportsProbes:       s.Bool("limits", "probes"),
		ProbePrice:           s.Float("penalties", "probe"),
		PeerMessages:         s.Bool("limits", "peerMessages"),
		PeerMessagePrice:     s.Float("penalties", "peer"),
		MaxAttempts:          int(s.Float("limits", "maxAttempts")),
		MaxRequests:          int(s.Float("limits", "maxOpen")),
		PollsEndpoints:       s.Lookup("discovery") == "ask",
		WarmUpCapacityShare:  s.Float("rules", "coldShare"),
		WarmUpTime:           up(s, "rules", "warmAfterUs"),
		WarmUpOverloadFactor: s.Float("rules", "overloadFactor"),
		WarmUpOverloadTime:   up(s, "rules", "tipAfterUs"),
		RetryBurst:           s.Float("rules", "extraFree"),
		RetryRatio:           s.Float("rules", "resendRatio"),
		RetryWindow:          up(s, "rules", "ratioSpanUs"),
		KeySettleTime:        up(s, "rules", "settleAfterDoubtUs"),
		NoticeInterval:       up(s, "familyInfo", "progressPaceUs"),
	}
	if s.Bool("limits", "retryAfter") {
		d.RetryAfter = down(s, "limits", "maxRetryAfterUs")
	}
	for i := range s.List("classes") {
		l := admission.Class{
			Threads:          max(1, int(s.Float("familyInfo", "dop", i))),
			LatencyObjective: down(s, "classes", i, "sloUs"),
			ObjectivePerWork: s.Float("classes", i, "aimStretch"),
			Weight:           s.Float("classes", i, "worth"),
			LateWeightShare:  s.Float("classes", i, "lateWorth"),
			DedupWindow:      down(s, "classes", i, "windowUs"),
			Ordered:          s.Bool("classes", i, "fifoByKey"),
			Zones:            places(s, "classes", i, "confinedTo"),
			Kinds:            places(s, "classes", i, "servedOn"),
			LoadsTables:      s.Bool("familyInfo", "loads", i),
			BlockedByLoads:   s.Bool("familyInfo", "blockedByLoads", i),
		}
		switch s.Lookup("classes", i, "effect") {
		case "read_like":
			l.Effect = admission.Idempotent
		case "idempotency_key":
			l.Effect = admission.Deduplicated
		case "non_idempotent":
			l.Effect = admission.NonIdempotent
		default:
			s.Fail("read_like, idempotency_key or non_idempotent", "classes", i, "effect")
		}
		switch s.Lookup("classes", i, "group") {
		case "zone":
			l.DedupScope = admission.SameZone
		case "cell":
			l.DedupScope = admission.SameCell
		}
		d.Classes = append(d.Classes, l)
	}
	for i := range s.List("projects") {
		d.Tenants = append(d.Tenants, admission.Tenant{
			Share: s.Float("projects", i, "fraction"),
		})
	}
	if len(d.Classes) == 0 && s.Err() == nil {
		s.Fail("at least one class", "classes")
	}
	return d, s.Err()
}

// Network is what the router on sockets goes by: names that stand on its wires for the module's numbers, and
// the waits that the site states.
type Network struct {
	Classes, Zones, Kinds []string
	Tenants               []string        // empty: requests name none
	LongestWaits          []time.Duration // that a lane's client waits; 0: not told
	AttemptsPerConnection int             // hand-offs that one engine connection carries at the same time
	ConnectTimeout        time.Duration
	IdleTimeout           time.Duration // engines close connections that were idle for so long
	ReportsInAnswers      bool          // answers hold the engine's load report, as probes do
}

// ReadNetwork decodes the part of the settings that the router's sockets rest on.
func ReadNetwork(s *jsonvalue.Value) (*Network, error) {
	n := &Network{
		Zones:                 s.Texts("zones"),
		Kinds:                 s.Texts("skus"),
		AttemptsPerConnection: max(1, int(s.Float("limits", "multiplex"))),
		ConnectTimeout:        time.Duration(s.Float("limits", "connectTimeoutUs")) * time.Microsecond,
		IdleTimeout:           time.Duration(s.Float("limits", "keepaliveUs")) * time.Microsecond,
		ReportsInAnswers:      s.Lookup("stats", "how") == "answers",
	}
	switch s.Lookup("stats", "how") {
	case nil, "answers", "probe", "none":
	default:
		s.Fail("answers, probe or none", "stats", "how")
	}
	if s.Float("familyInfo", "progressPaceUs") < 0 {
		s.Fail("a time of 0 or more", "familyInfo", "progressPaceUs")
	}
	for i := range s.List("projects") {
		n.Tenants = append(n.Tenants, s.Text("projects", i, "name"))
	}
	for i := range s.List("classes") {
		n.Classes = append(n.Classes, s.RequireText("classes", i, "name"))
		n.LongestWaits = append(n.LongestWaits, time.Duration(s.Float("classes", i, "deadlineUs"))*time.Microsecond)
	}
	if n.ConnectTimeout <= 0 {
		s.Fail("a time above 0", "limits", "connectTimeoutUs")
	}
	if n.IdleTimeout <= 0 {
		s.Fail("a time above 0", "limits", "keepaliveUs")
	}
	return n, s.Err()
}
