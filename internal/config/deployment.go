package config

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/jsonvalue"
)

// microsPerUnit converts times: the settings are in microseconds, admission.Time counts units of 100 microseconds.
const microsPerUnit = 100

// readTimeDown reads a time in microseconds and rounds it down. It is for limits that must not be exceeded.
func readTimeDown(settings *jsonvalue.Value, path ...any) admission.Time {
	return admission.Time(int64(settings.Float(path...)) / microsPerUnit)
}

// readTimeUp reads a time in microseconds and rounds it up. It is for waits that must not be too short.
func readTimeUp(settings *jsonvalue.Value, path ...any) admission.Time {
	return admission.Time((int64(settings.Float(path...)) + microsPerUnit - 1) / microsPerUnit)
}

// readIndexes reads a list of allowed indexes. It returns nil, which allows all indexes, if the key is absent. For an empty
// list, which allows none, it returns an empty slice that is not nil.
func readIndexes(settings *jsonvalue.Value, path ...any) []int {
	if settings.Lookup(path...) == nil {
		return nil
	}
	indexes := []int{}
	for _, index := range settings.Floats(path...) {
		indexes = append(indexes, int(index))
	}
	return indexes
}

// ReadDeployment decodes the settings that the admission controller uses. Errors name the invalid field.
func ReadDeployment(settings *jsonvalue.Value) (*admission.Deployment, error) {
	deployment := &admission.Deployment{
		Gateways:             max(1, int(settings.Float("fleetSize"))),
		GatewayIndex:         int(settings.Float("me")),
		CoresByKind:          settings.Floats("familyInfo", "kindCores"),
		MemoryByKind:         settings.Floats("familyInfo", "sizeMb"),
		SupportsRanks:        settings.Bool("familyInfo", "lanesCount"),
		SupportsMemoryGrants: settings.Bool("familyInfo", "grants"),
		EnginesSwap:          settings.Lookup("familyInfo", "whenShort") == "swap",
		ReportsCost:          settings.Bool("familyInfo", "saysCost"),
		SupportsCancel:       settings.Bool("limits", "cancel"),
		SupportsProbes:       settings.Bool("limits", "probes"),
		ProbeCost:            settings.Float("penalties", "probe"),
		PeerMessages:         settings.Bool("limits", "peerMessages"),
		PeerMessageCost:      settings.Float("penalties", "peer"),
		MaxAttempts:          int(settings.Float("limits", "maxAttempts")),
		MaxRequests:          int(settings.Float("limits", "maxOpen")),
		PollsEndpoints:       settings.Lookup("discovery") == "ask",
		WarmUpCapacityShare:  settings.Float("rules", "coldShare"),
		WarmUpTime:           readTimeUp(settings, "rules", "warmAfterUs"),
		WarmUpOverloadFactor: settings.Float("rules", "overloadFactor"),
		WarmUpOverloadTime:   readTimeUp(settings, "rules", "tipAfterUs"),
		RetryBurst:           settings.Float("rules", "extraFree"),
		RetryRatio:           settings.Float("rules", "resendRatio"),
		RetryWindow:          readTimeUp(settings, "rules", "ratioSpanUs"),
		KeyCooldown:          readTimeUp(settings, "rules", "settleAfterDoubtUs"),
		NoticeInterval:       readTimeUp(settings, "familyInfo", "progressPaceUs"),
	}
	if settings.Bool("limits", "retryAfter") {
		deployment.RetryAfter = readTimeDown(settings, "limits", "maxRetryAfterUs")
	}
	for i := range settings.List("classes") {
		deployment.Classes = append(deployment.Classes, readClass(settings, i))
	}
	for i := range settings.List("projects") {
		deployment.Tenants = append(deployment.Tenants, admission.Tenant{Share: settings.Float("projects", i, "fraction")})
	}
	if len(deployment.Classes) == 0 && settings.Err() == nil {
		settings.Fail("at least one class", "classes")
	}
	return deployment, settings.Err()
}

// readClass decodes the class at index i of the list of classes.
func readClass(settings *jsonvalue.Value, i int) admission.Class {
	class := admission.Class{
		Threads:          max(1, int(settings.Float("familyInfo", "dop", i))),
		LatencyObjective: readTimeDown(settings, "classes", i, "sloUs"),
		ObjectivePerWork: settings.Float("classes", i, "aimStretch"),
		Weight:           settings.Float("classes", i, "worth"),
		LateWeightShare:  settings.Float("classes", i, "lateWorth"),
		DedupWindow:      readTimeDown(settings, "classes", i, "windowUs"),
		Ordered:          settings.Bool("classes", i, "fifoByKey"),
		Zones:            readIndexes(settings, "classes", i, "confinedTo"),
		Kinds:            readIndexes(settings, "classes", i, "servedOn"),
		LoadsTables:      settings.Bool("familyInfo", "loads", i),
		BlockedByLoads:   settings.Bool("familyInfo", "blockedByLoads", i),
	}
	switch settings.Lookup("classes", i, "effect") {
	case "read_like":
		class.RepeatEffect = admission.Idempotent
	case "idempotency_key":
		class.RepeatEffect = admission.Deduplicated
	case "non_idempotent":
		class.RepeatEffect = admission.NonIdempotent
	default:
		settings.Fail("read_like, idempotency_key or non_idempotent", "classes", i, "effect")
	}
	switch settings.Lookup("classes", i, "group") {
	case "zone":
		class.DedupScope = admission.SameZone
	case "cell":
		class.DedupScope = admission.SameGroup
	}
	return class
}
