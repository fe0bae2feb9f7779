package simwire

import (
	"encoding/json"
	"fmt"

	"magpiebank/internal/admission"
)

// settings reads values by path out of the boot message's JSON; the first thing amiss stays in err.
type settings struct {
	root any
	err  error
}

func (s *settings) at(path ...any) any {
	v := s.root
	for _, p := range path {
		switch p := p.(type) {
		case string:
			m, _ := v.(map[string]any)
			v = m[p]
		case int:
			a, _ := v.([]any)
			if p >= len(a) {
				return nil
			}
			v = a[p]
		}
	}
	return v
}

func (s *settings) fail(want string, path []any) {
	if s.err == nil {
		s.err = fmt.Errorf("field info%v: expected %s", path, want)
	}
}

func (s *settings) num(path ...any) float64 {
	v := s.at(path...)
	f, ok := v.(float64)
	if v != nil && !ok {
		s.fail("a number", path)
	}
	return f
}

func (s *settings) flag(path ...any) bool {
	v := s.at(path...)
	b, ok := v.(bool)
	if v != nil && !ok {
		s.fail("true or false", path)
	}
	return b
}

// down and up read microseconds as a Time, rounded so that a rule's figure stays safe.
func (s *settings) down(path ...any) admission.Time {
	return admission.Time(int64(s.num(path...)) / tenth)
}

func (s *settings) up(path ...any) admission.Time {
	return admission.Time((int64(s.num(path...)) + tenth - 1) / tenth)
}

func (s *settings) list(path ...any) []any {
	v := s.at(path...)
	a, ok := v.([]any)
	if v != nil && !ok {
		s.fail("a list", path)
	}
	return a
}

func (s *settings) nums(path ...any) []float64 {
	var out []float64
	for i := range s.list(path...) {
		out = append(out, s.num(append(path[:len(path):len(path)], i)...))
	}
	return out
}

// places is nil where the key is absent, and empty but not nil where nothing is allowed.
func (s *settings) places(path ...any) []int {
	if s.at(path...) == nil {
		return nil
	}
	out := []int{}
	for _, f := range s.nums(path...) {
		out = append(out, int(f))
	}
	return out
}

func readDeployment(info string) (*admission.Deployment, error) {
	s := &settings{}
	if err := json.Unmarshal([]byte(info), &s.root); err != nil {
		return nil, fmt.Errorf("field info: expected a JSON object: %v", err)
	}
	if _, ok := s.root.(map[string]any); !ok {
		return nil, fmt.Errorf("field info: expected a JSON object")
	}
	d := &admission.Deployment{
		Gateways:   max(1, int(s.num("fleetSize"))),
		Me:         int(s.num("me")),
		Cores:      s.nums("familyInfo", "kindCores"),
		Memory:     s.nums("familyInfo", "sizeMb"),
		Ranked:     s.flag("familyInfo", "lanesCount"),
		Grants:     s.flag("familyInfo", "grants"),
		Swaps:      s.at("familyInfo", "whenShort") == "swap",
		TellsCost:  s.flag("familyInfo", "saysCost"),
		Cancels:    s.flag("limits", "cancel"),
		Probes:     s.flag("limits", "probes"),
		ProbePrice: s.num("penalties", "probe"),
		MaxTries:   int(s.num("limits", "maxAttempts")),
		Asks:       s.at("discovery") == "ask",
		ColdShare:  s.num("rules", "coldShare"),
		WarmAfter:  s.up("rules", "warmAfterUs"),
		TipFactor:  s.num("rules", "overloadFactor"),
		TipAfter:   s.up("rules", "tipAfterUs"),
		ExtraFree:  s.num("rules", "extraFree"),
		ExtraShare: s.num("rules", "resendRatio"),
		ExtraSpan:  s.up("rules", "ratioSpanUs"),
		Settle:     s.up("rules", "settleAfterDoubtUs"),
	}
	if s.flag("limits", "retryAfter") {
		d.ComeBack = s.down("limits", "maxRetryAfterUs")
	}
	for i := range s.list("classes") {
		l := admission.Lane{
			Threads:     max(1, int(s.num("familyInfo", "dop", i))),
			Quoted:      s.down("classes", i, "sloUs"),
			Stretch:     s.num("classes", i, "aimStretch"),
			Earnings:    s.num("classes", i, "worth"),
			LateShare:   s.num("classes", i, "lateWorth"),
			Remember:    s.down("classes", i, "windowUs"),
			InOrder:     s.flag("classes", i, "fifoByKey"),
			Zones:       s.places("classes", i, "confinedTo"),
			Kinds:       s.places("classes", i, "servedOn"),
			Load:        s.flag("familyInfo", "loads", i),
			HeldByLoads: s.flag("familyInfo", "blockedByLoads", i),
		}
		switch s.at("classes", i, "effect") {
		case "read_like":
			l.Effect = admission.Idempotent
		case "idempotency_key":
			l.Effect = admission.Deduplicated
		case "non_idempotent":
			l.Effect = admission.Unrepeatable
		default:
			s.fail("read_like, idempotency_key or non_idempotent", []any{"classes", i, "effect"})
		}
		switch s.at("classes", i, "group") {
		case "zone":
			l.Within = admission.SameZone
		case "cell":
			l.Within = admission.SameCell
		}
		d.Lanes = append(d.Lanes, l)
	}
	for i := range s.list("projects") {
		d.Tenants = append(d.Tenants, admission.Tenant{
			Share: s.num("projects", i, "fraction"),
		})
	}
	if len(d.Lanes) == 0 && s.err == nil {
		s.fail("at least one class", []any{"classes"})
	}
	return d, s.err
}
