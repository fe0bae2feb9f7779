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
func down(s *jsonvalue.Sheet, path ...any) admission.Time {
	return admission.Time(int64(s.Num(path...)) / tenth)
}

func up(s *jsonvalue.Sheet, path ...any) admission.Time {
	return admission.Time((int64(s.Num(path...)) + tenth - 1) / tenth)
}

// places is nil where the key is absent, and empty but not nil where nothing is allowed.
func places(s *jsonvalue.Sheet, path ...any) []int {
	if s.At(path...) == nil {
		return nil
	}
	out := []int{}
	for _, f := range s.Nums(path...) {
		out = append(out, int(f))
	}
	return out
}

// Read decodes the part of the settings that decisions rest on.
func Read(s *jsonvalue.Sheet) (*admission.Deployment, error) {
	d := &admission.Deployment{
		Gateways:    max(1, int(s.Num("fleetSize"))),
		Me:          int(s.Num("me")),
		Cores:       s.Nums("familyInfo", "kindCores"),
		Memory:      s.Nums("familyInfo", "sizeMb"),
		Ranked:      s.Flag("familyInfo", "lanesCount"),
		Grants:      s.Flag("familyInfo", "grants"),
		Swaps:       s.At("familyInfo", "whenShort") == "swap",
		TellsCost:   s.Flag("familyInfo", "saysCost"),
		Cancels:     s.Flag("limits", "cancel"),
		Probes:      s.Flag("limits", "probes"),
		ProbePrice:  s.Num("penalties", "probe"),
		Peers:       s.Flag("limits", "peerMessages"),
		PeerPrice:   s.Num("penalties", "peer"),
		MaxAttempts: int(s.Num("limits", "maxAttempts")),
		Seats:       int(s.Num("limits", "maxOpen")),
		Asks:        s.At("discovery") == "ask",
		ColdShare:   s.Num("rules", "coldShare"),
		WarmAfter:   up(s, "rules", "warmAfterUs"),
		TipFactor:   s.Num("rules", "overloadFactor"),
		TipAfter:    up(s, "rules", "tipAfterUs"),
		RetryBurst:  s.Num("rules", "extraFree"),
		RetryRatio:  s.Num("rules", "resendRatio"),
		RetryWindow: up(s, "rules", "ratioSpanUs"),
		Settle:      up(s, "rules", "settleAfterDoubtUs"),
		Pace:        up(s, "familyInfo", "progressPaceUs"),
	}
	if s.Flag("limits", "retryAfter") {
		d.RetryAfter = down(s, "limits", "maxRetryAfterUs")
	}
	for i := range s.List("classes") {
		l := admission.Class{
			Threads:        max(1, int(s.Num("familyInfo", "dop", i))),
			LatencyTarget:  down(s, "classes", i, "sloUs"),
			Stretch:        s.Num("classes", i, "aimStretch"),
			Value:          s.Num("classes", i, "worth"),
			LateShare:      s.Num("classes", i, "lateWorth"),
			DedupWindow:    down(s, "classes", i, "windowUs"),
			InOrder:        s.Flag("classes", i, "fifoByKey"),
			Zones:          places(s, "classes", i, "confinedTo"),
			Kinds:          places(s, "classes", i, "servedOn"),
			Load:           s.Flag("familyInfo", "loads", i),
			BlockedByLoads: s.Flag("familyInfo", "blockedByLoads", i),
		}
		switch s.At("classes", i, "effect") {
		case "read_like":
			l.Effect = admission.Idempotent
		case "idempotency_key":
			l.Effect = admission.Deduplicated
		case "non_idempotent":
			l.Effect = admission.Unrepeatable
		default:
			s.Fail("read_like, idempotency_key or non_idempotent", "classes", i, "effect")
		}
		switch s.At("classes", i, "group") {
		case "zone":
			l.DedupWithin = admission.SameZone
		case "cell":
			l.DedupWithin = admission.SameCell
		}
		d.Classes = append(d.Classes, l)
	}
	for i := range s.List("projects") {
		d.Tenants = append(d.Tenants, admission.Tenant{
			Share: s.Num("projects", i, "fraction"),
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
	Lanes, Zones, Kinds []string
	Tenants             []string        // empty: requests name none
	Longest             []time.Duration // that a lane's client waits; 0: not told
	Streams             int             // hand-offs that one engine connection carries at the same time
	ConnectWithin       time.Duration
	IdleClose           time.Duration // engines close connections that were idle for so long
	AnswersTell         bool          // answers hold the engine's load report, as probes do
}

// ReadNetwork decodes the part of the settings that the router's sockets rest on.
func ReadNetwork(s *jsonvalue.Sheet) (*Network, error) {
	n := &Network{
		Zones:         s.Texts("zones"),
		Kinds:         s.Texts("skus"),
		Streams:       max(1, int(s.Num("limits", "multiplex"))),
		ConnectWithin: time.Duration(s.Num("limits", "connectTimeoutUs")) * time.Microsecond,
		IdleClose:     time.Duration(s.Num("limits", "keepaliveUs")) * time.Microsecond,
		AnswersTell:   s.At("stats", "how") == "answers",
	}
	switch s.At("stats", "how") {
	case nil, "answers", "probe", "none":
	default:
		s.Fail("answers, probe or none", "stats", "how")
	}
	if s.Num("familyInfo", "progressPaceUs") < 0 {
		s.Fail("a time of 0 or more", "familyInfo", "progressPaceUs")
	}
	for i := range s.List("projects") {
		n.Tenants = append(n.Tenants, s.Text("projects", i, "name"))
	}
	for i := range s.List("classes") {
		n.Lanes = append(n.Lanes, s.Needed("classes", i, "name"))
		n.Longest = append(n.Longest, time.Duration(s.Num("classes", i, "deadlineUs"))*time.Microsecond)
	}
	if n.ConnectWithin <= 0 {
		s.Fail("a time above 0", "limits", "connectTimeoutUs")
	}
	if n.IdleClose <= 0 {
		s.Fail("a time above 0", "limits", "keepaliveUs")
	}
	return n, s.Err()
}
