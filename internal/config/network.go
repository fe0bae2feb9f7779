package config

import (
	"time"

	"magpiebank/internal/jsonvalue"
)

// Network is what the gateway on sockets needs of the settings: the names on its wires of what the admission controller knows
// by index, and the network's timeouts.
type Network struct {
	Classes, Zones, Kinds []string
	Tenants               []string        // empty if requests name none
	LongestWaits          []time.Duration // by class, how long a client waits at most; 0: not told
	AttemptsPerConnection int             // that a connection to an engine carries at the same time, at least 1
	ConnectTimeout        time.Duration
	IdleTimeout           time.Duration // after which engines close idle connections
	ReportsInAnswers      bool          // answers hold the engine's load report, as health checks do
}

// ReadNetwork decodes the part of the settings that the gateway on sockets needs. Errors name the field at fault.
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

// readDuration reads microseconds.
func readDuration(settings *jsonvalue.Value, path ...any) time.Duration {
	return time.Duration(settings.Float(path...)) * time.Microsecond
}
