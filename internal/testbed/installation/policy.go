package installation

import (
	"encoding/json"
	"strings"
	"time"
)

// Policy is a policy to be proposed: limits for loads, and settings of the rollout.
type Policy struct {
	ClusterLimits
	Fleet            bool          // the limits apply to all gateways together, not to each gateway
	Refuse           bool          // loads are rejected
	LookClass        bool          // the policy has a class for look-ups as well
	Zones            []string      // zones of the pool that runs loads; empty: no pool
	UnknownField     string        // name of an additional field that no version of the gateway knows
	BothFor          time.Duration // time for which a gateway that receives no messages allows only what both the old and the new policy allow
	Rehearse         time.Duration // length of the rehearsal; 0: none
	MaxRejectedShare float64       // share of requests that may be rejected in the rehearsal; 0: no limit
	Probation        time.Duration // length of the probation; 0: none
	MaxShedShare     float64       // share of requests that may be shed in probation; 0: no limit
	FillerBytes      int64         // size of a filler text that makes the policy larger
}

// Text returns the policy as the JSON text that is proposed.
func (p *Policy) Text() []byte {
	classes, pools := p.classes()
	text, err := json.Marshal(map[string]any{"statements": map[string]any{"pools": pools, "classes": classes}, "policy": p.rolloutSettings()})
	if err != nil {
		panic(err) // strings, numbers and booleans can always be encoded
	}
	return text
}

// classes returns the classes of the policy, and the pools that they refer to.
func (p *Policy) classes() (classes, pools []any) {
	pools = []any{}
	loads := map[string]any{"name": "loads", "when": map[string]any{"lanes": []string{"load"}}}
	p.addTo(loads)
	if !p.Fleet {
		delete(loads, "fleet") // the limits then apply to each gateway alone
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
	if p.FillerBytes > 0 {
		classes = append(classes, map[string]any{"name": "filled", "when": map[string]any{"lanes": []string{"none"}}, "refuse": strings.Repeat("no ", int(p.FillerBytes)/3)})
	}
	return classes, pools
}

// rolloutSettings returns the policy's settings of the rollout.
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
