package source

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/configfile"
	"magpiebank/internal/workload"
)

// Policy takes the part of an operator's file that is the fleet's policy (pools, classes, and what is asked of a change) out of it,
// as members read it: JSON, with nothing left to evaluate.
func ExtractPolicy(file string) (text []byte, err error) {
	f, o, err := configfile.Read(file)
	if err != nil {
		return nil, err
	}
	whole := map[string]any{}
	if s, ok := o.RawValue("statements").(map[string]any); ok {
		part := map[string]any{}
		for _, name := range []string{"pools", "classes"} {
			if v := s[name]; v != nil {
				part[name] = v
			}
		}
		whole["statements"] = part
	}
	if p := o.RawValue("policy"); p != nil {
		whole["policy"] = p
	}
	if text, err = json.Marshal(whole); err != nil {
		return nil, err
	}
	if _, err := ParsePolicy(text); err != nil {
		return nil, fmt.Errorf("%s", f.LocateError(err.Error()))
	}
	return text, nil
}

// Place puts a file's name and line before what a member found amiss, whose text begins with the field.
func LocateError(file, why string) string {
	if _, err := os.Stat(file); err != nil {
		return why
	}
	f, _, err := configfile.Read(file)
	if err != nil {
		return why
	}
	return f.LocateError(why)
}

// ParsePolicy reads a policy; an error begins with the field.
func ParsePolicy(text []byte) (*workload.Policy, error) {
	o, err := configfile.ParseJSON(text)
	if err != nil {
		return nil, err
	}
	p := &workload.Policy{}
	if s := o.Object("statements"); s != nil {
		p.Plan = readPlan(s)
	}
	if k := o.Object("policy"); k != nil {
		p.Requirements = readRequirements(k)
	}
	return p, o.Validate()
}

// usualBoth is how long a gateway that hears nothing goes by what two policies allow, where it does.
const defaultBothFor = 30 * time.Second

// terms reads what a policy asks of the change to it.
func readRequirements(k *configfile.Object) (t rollout.Terms) {
	length := func(o *configfile.Object, name string, usual, most time.Duration) admission.Time {
		d := o.Duration(name, usual)
		if d < 100*time.Millisecond || d > most {
			o.Reject(name, fmt.Sprintf(`a time from "100ms" to "%v"`, most))
		}
		return admission.Time(d / (100 * time.Microsecond))
	}
	if k.OneOf("silent", "nack", "nack", "both") == "both" {
		t.Overlap = length(k, "both_for", defaultBothFor, 5*time.Minute)
	} else if k.HasField("both_for") {
		k.Reject("both_for", `none but with silent: "both"`)
	}
	bounds := func(o *configfile.Object) rollout.Bounds {
		return rollout.Bounds{Rejected: o.Fraction("refused_above", 1), Shed: o.Fraction("held_above", 1)}
	}
	if o := k.Object("rehearse"); o != nil {
		t.RehearsalLength, t.RehearsalBounds = length(o, "length", 5*time.Second, 5*time.Minute), bounds(o)
	}
	if o := k.Object("probation"); o != nil {
		t.Probation, t.ProbationBounds = length(o, "length", 30*time.Second, time.Hour), bounds(o)
	}
	return t
}
