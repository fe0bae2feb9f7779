package installation

import (
	"encoding/json"
	"strings"
	"time"
)

// Policy is one that is proposed: what loads may use, and what is asked of the change.
type Policy struct {
	ClusterLimits
	Fleet            bool          // the limits are those of all gateways together
	Refuse           bool          // loads are never sent
	LookClass        bool          // look-ups are of a class as well
	Zones            []string      // of the pool that loads go to
	UnknownField     string        // one that no build knows
	BothFor          time.Duration // for which a gateway that hears nothing goes by what both policies allow
	Rehearse         time.Duration
	MaxRejectedShare float64 // share of requests that may be rejected in the rehearsal; 0: any
	Probation        time.Duration
	MaxShedShare     float64 // share of requests that may be shed in probation; 0: any
	MinTextBytes     int64   // bytes that its text is filled up to
}

// Text is a policy as it is proposed.
func (p *Policy) Text() []byte {
	classes, pools := p.classes()
	text, err := json.Marshal(map[string]any{"statements": map[string]any{"pools": pools, "classes": classes}, "policy": p.rolloutSettings()})
	if err != nil {
		panic(err) // of texts and numbers, which can always be written
	}
	return text
}

// classes are the classes of the policy, and the pools that they name.
func (p *Policy) classes() (classes, pools []any) {
	pools = []any{}
	loads := map[string]any{"name": "loads", "when": map[string]any{"lanes": []string{"load"}}}
	p.addTo(loads)
	if !p.Fleet {
		delete(loads, "fleet") // each gateway's own
	}
	if p.Refuse {
		loads["refuse"] = "loads rest"
	}
	if len(p.Zones) > 0 {
		loads["pool"] = "some"
		pools = append(pools, map[string]any{"name": "some", "zones": p.Zones})
	}
	if p.UnknownField != "" {
		loads[p.UnknownField] = true
	}
	classes = append(classes, loads)
	if p.LookClass {
		classes = append(classes, map[string]any{"name": "looks", "when": map[string]any{"lanes": []string{"look"}}})
	}
	if p.MinTextBytes > 0 {
		classes = append(classes, map[string]any{"name": "filled", "when": map[string]any{"lanes": []string{"none"}}, "refuse": strings.Repeat("no ", int(p.MinTextBytes)/3)})
	}
	return classes, pools
}

// rolloutSettings are what is asked of the change.
func (p *Policy) rolloutSettings() map[string]any {
	settings := map[string]any{}
	if p.BothFor > 0 {
		settings["silent"], settings["both_for"] = "both", p.BothFor.String()
	}
	if p.Rehearse > 0 {
		rehearsal := map[string]any{"length": p.Rehearse.String()}
		if p.MaxRejectedShare > 0 {
			rehearsal["refused_above"] = p.MaxRejectedShare
		}
		settings["rehearse"] = rehearsal
	}
	if p.Probation > 0 {
		probation := map[string]any{"length": p.Probation.String()}
		if p.MaxShedShare > 0 {
			probation["held_above"] = p.MaxShedShare
		}
		settings["probation"] = probation
	}
	return settings
}
