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
		Gateways:    max(1, int(s.Float("fleetSize"))),
		Me:          int(s.Float("me")),
		Cores:       s.Floats("familyInfo", "kindCores"),
		Memory:      s.Floats("familyInfo", "sizeMb"),
		Ranked:      s.Bool("familyInfo", "lanesCount"),
		Grants:      s.Bool("familyInfo", "grants"),
		Swaps:       s.Lookup("familyInfo", "whenShort") == "swap",
		TellsCost:   s.Bool("familyInfo", "saysCost"),
		Cancels:     s.Bool("limits", "cancel"),
		Probes:      s.Bool("limits", "probes"),
		ProbePrice:  s.Float("penalties", "probe"),
		Peers:       s.Bool("limits", "peerMessages"),
		PeerPrice:   s.Float("penalties", "peer"),
		MaxAttempts: int(s.Float("limits", "maxAttempts")),
		Seats:       int(s.Float("limits", "maxOpen")),
		Asks:        s.Lookup("discovery") == "ask",
		ColdShare:   s.Float("rules", "coldShare"),
		WarmAfter:   up(s, "rules", "warmAfterUs"),
		TipFactor:   s.Float("rules", "overloadFactor"),
		TipAfter:    up(s, "rules", "tipAfterUs"),
		RetryBurst:  s.Float("rules", "extraFree"),
		RetryRatio:  s.Float("rules", "resendRatio"),
		RetryWindow: up(s, "rules", "ratioSpanUs"),
		Settle:      up(s, "rules", "settleAfterDoubtUs"),
		Pace:        up(s, "familyInfo", "progressPaceUs"),
	}
	if s.Bool("limits", "retryAfter") {
		d.RetryAfter = down(s, "limits", "maxRetryAfterUs")
	}
	for i := range s.List("classes") {
		l := admission.Class{
			Threads:        max(1, int(s.Float("familyInfo", "dop", i))),
			LatencyTarget:  down(s, "classes", i, "sloUs"),
			Stretch:        s.Float("classes", i, "aimStretch"),
			Value:          s.Float("classes", i, "worth"),
			LateShare:      s.Float("classes", i, "lateWorth"),
			DedupWindow:    down(s, "classes", i, "windowUs"),
			InOrder:        s.Bool("classes", i, "fifoByKey"),
			Zones:          places(s, "classes", i, "confinedTo"),
			Kinds:          places(s, "classes", i, "servedOn"),
			Load:           s.Bool("familyInfo", "loads", i),
			BlockedByLoads: s.Bool("familyInfo", "blockedByLoads", i),
		}
		switch s.Lookup("classes", i, "effect") {
		case "read_like":
			l.Effect = admission.Idempotent
		case "idempotency_key":
			l.Effect = admission.Deduplicated
		case "non_idempotent":
			l.Effect = admission.Unrepeatable
		default:
			s.Fail("read_like, idempotency_key or non_idempotent", "classes", i, "effect")
		}
		switch s.Lookup("classes", i, "group") {
		case "zone":
			l.DedupWithin = admission.SameZone
		case "cell":
			l.DedupWithin = admission.SameCell
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
