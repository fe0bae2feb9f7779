package config

import (
	"time"

	"magpiebank/internal/jsonvalue"
)

// Network holds the settings that only a gateway process needs: the names that the protocols use for the classes, zones, kinds
// and tenants, which the admission controller identifies by index, and the settings of connections.
type Network struct {
	Classes, Zones, Kinds []string
	Tenants               []string        // empty if requests name no tenant
	LongestWaits          []time.Duration // by class: longest time that a client waits for an answer; 0: not configured
	AttemptsPerConnection int             // maximum number of concurrent attempts on a connection to an engine, at least 1
	ConnectTimeout        time.Duration
	IdleTimeout           time.Duration // idle time after which engines close a connection
	ReportsInAnswers      bool          // answers contain the engine's load report, as answers to health checks do
}

// ReadNetwork decodes the settings that only a gateway process needs. Errors name the invalid field.
func ReadNetwork(settings *jsonvalue.Value) (*Network, error) {
	network := &Network{
		Zones:                 settings.Texts("zones"),
		Kinds:                 settings.Texts("skus"),
		AttemptsPerConnection: max(1, int(settings.Float("limits", "multiplex"))),
		ConnectTimeout:        readDuration(settings, "limits", "connectTimeoutUs"),
		IdleTimeout:           readDuration(settings, "limits", "keepaliveUs"),
		ReportsInAnswers:      settings.Lookup("stats", "how") == "answers",
	}
	switch settings.Lookup("stats", "how") {
	case nil, "answers", "probe", "none":
	default:
		settings.Fail("answers, probe or none", "stats", "how")
	}
	if settings.Float("familyInfo", "progressPaceUs") < 0 {
		settings.Fail("a time of 0 or more", "familyInfo", "progressPaceUs")
	}
	for i := range settings.List("projects") {
		network.Tenants = append(network.Tenants, settings.Text("projects", i, "name"))
	}
	for i := range settings.List("classes") {
		network.Classes = append(network.Classes, settings.RequireText("classes", i, "name"))
		network.LongestWaits = append(network.LongestWaits, readDuration(settings, "classes", i, "deadlineUs"))
	}
	if network.ConnectTimeout <= 0 {
		settings.Fail("a time above 0", "limits", "connectTimeoutUs")
	}
	if network.IdleTimeout <= 0 {
		settings.Fail("a time above 0", "limits", "keepaliveUs")
	}
	return network, settings.Err()
}

// readDuration reads a time in microseconds.
func readDuration(settings *jsonvalue.Value, path ...any) time.Duration {
	return time.Duration(settings.Float(path...)) * time.Microsecond
}
