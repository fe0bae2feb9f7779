package source

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/configfile"
	"magpiebank/internal/workload"
)

// ExtractPolicy returns the part of an operator's file that is proposed as the cluster's policy: pools, classes and the requirements on
// the rollout. The text is plain JSON, in which all Jsonnet has been evaluated, and which ParsePolicy reads.
func ExtractPolicy(path string) (text []byte, err error) {
	file, object, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	policy := map[string]any{}
	if statements, ok := object.RawValue("statements").(map[string]any); ok {
		plan := map[string]any{}
		for _, name := range []string{"pools", "classes"} {
			if value := statements[name]; value != nil {
				plan[name] = value
			}
		}
		policy["statements"] = plan
	}
	if requirements := object.RawValue("policy"); requirements != nil {
		policy["policy"] = requirements
	}
	text, err = json.Marshal(policy)
	if err != nil {
		return nil, err
	}
	if _, err := ParsePolicy(text); err != nil {
		return nil, errors.New(file.LocateError(err.Error()))
	}
	return text, nil
}

// LocateError prepends the file's name and line to the text of an error that begins with a field, as gateways report errors in a policy.
// If the file can't be read, it returns the text unchanged.
func LocateError(path, text string) string {
	if _, err := os.Stat(path); err != nil {
		return text
	}
	file, _, err := configfile.Read(path)
	if err != nil {
		return text
	}
	return file.LocateError(text)
}

// ParsePolicy parses and validates a policy's text. Each line of its error begins with the invalid field.
func ParsePolicy(text []byte) (*workload.Policy, error) {
	object, err := configfile.ParseJSON(text)
	if err != nil {
		return nil, err
	}
	policy := &workload.Policy{}
	if statements := object.Object("statements"); statements != nil {
		policy.Plan = readPlan(statements)
	}
	if requirements := object.Object("policy"); requirements != nil {
		policy.Requirements = readRequirements(requirements)
	}
	return policy, object.Validate()
}

const (
	// defaultOverlap is the time for which a gateway without a valid lease does what the current and the proposed policy both allow.
	defaultOverlap   = 30 * time.Second
	maxOverlap       = 5 * time.Minute
	defaultRehearsal = 5 * time.Second
	maxRehearsal     = 5 * time.Minute
	defaultProbation = 30 * time.Second
	maxProbation     = time.Hour
	minStageLength   = 100 * time.Millisecond

	timeUnit = 100 * time.Microsecond // unit of admission.Time
)

// readRequirements reads the parameters of a policy's rollout.
func readRequirements(object *configfile.Object) (parameters rollout.Parameters) {
	if object.OneOf("silent", "nack", "nack", "both") == "both" {
		parameters.Overlap = readStageLength(object, "both_for", defaultOverlap, maxOverlap)
	} else if object.HasField("both_for") {
		object.Reject("both_for", `none but with silent: "both"`)
	}
	if rehearsal := object.Object("rehearse"); rehearsal != nil {
		parameters.RehearsalLength = readStageLength(rehearsal, "length", defaultRehearsal, maxRehearsal)
		parameters.RehearsalBounds = readBounds(rehearsal)
	}
	if probation := object.Object("probation"); probation != nil {
		parameters.Probation = readStageLength(probation, "length", defaultProbation, maxProbation)
		parameters.ProbationBounds = readBounds(probation)
	}
	return parameters
}

func readStageLength(object *configfile.Object, field string, defaultLength, maxLength time.Duration) admission.Time {
	length := object.Duration(field, defaultLength)
	if length < minStageLength || length > maxLength {
		object.Reject(field, fmt.Sprintf(`a time from "100ms" to "%v"`, maxLength))
	}
	return admission.Time(length / timeUnit)
}

func readBounds(object *configfile.Object) rollout.Bounds {
	return rollout.Bounds{Rejected: object.Fraction("refused_above", 1), Shed: object.Fraction("held_above", 1)}
}
